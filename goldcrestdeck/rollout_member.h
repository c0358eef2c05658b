#ifndef GOLDCRESTDECK_ROLLOUT_MEMBER_H_
#define GOLDCRESTDECK_ROLLOUT_MEMBER_H_

/// \file
/// One host's state machine for the rollouts of all services. It holds the orders, the records, and
/// the other hosts' tallies and session lists, and decides what this host writes next.
///
/// Pass it what is read from the key-value service and the outcomes seen by this host, then call
/// advance() and execute the actions it returns. It does no I/O itself.
///
/// A store that comes back from an older copy has lost orders, records and tallies, or shows
/// earlier ones. After handleRestoredStore(), what this host knows stays in force: an order that is
/// written again with the same content is the same order under its new revision, and a record that
/// is further than the one in the store is written again. finishReconciliation() ends that.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/routing_view.h"
#include "goldcrestdeck/version_rollout.h"

namespace goldcrestdeck {

/// Outcome of one send of a request to a service that has a rollout.
struct request_outcome {
    std::string service;
    std::string route;
    std::uint64_t orderRevision = 0; ///< Of the order that \a side refers to.
    version_side side = version_side::baseline;
    bool failed = false;
    bool slow = false;
};

/// A record to write by compare-and-swap against \a expectedRevision. Call finishWrite() when the
/// write has ended.
struct record_write {
    rollout_order order;
    std::uint64_t expectedRevision = 0; ///< 0 if the record must not exist yet.
    rollout_record record;
    std::string reason;      ///< For the log, as are the following.
    outcome_tally candidate; ///< Of all hosts that are known here.
    bool suspect = false;
};

/// An order whose version has just been judged bad, and the tallies that the verdict rests on.
struct bad_verdict {
    rollout_order order;
    outcome_tally candidate; ///< Of all hosts that are known here.
    outcome_tally baseline;  ///< Of this host only.
};

/// What this host has to do now.
struct rollout_actions {
    std::vector<record_write> recordWrites;
    std::vector<std::pair<rollout_order, version_tally>> tallies; ///< To publish.
    std::vector<rollout_order> sessionListsDue; ///< Orders whose session lists to publish.
    std::vector<bad_verdict> badVerdicts;

    bool changesView() const { return !badVerdicts.empty(); }
};

class rollout_member
{
public:
    rollout_member(std::string host, rollout_parameters parameters);

    void setParameters(const rollout_parameters &parameters) { m_parameters = parameters; }

    /// Update an entry to the value read from the key-value service, or remove it. Those that
    /// return bool return whether the view has changed.
    bool updateOrder(const rollout_order &order);
    bool dropOrder(const std::string &service);
    /// Drops the orders of all services other than \a services.
    bool keepOrders(const std::set<std::string> &services);
    bool updateRecord(const std::string &service, const rollout_record &record,
                      std::uint64_t revision, time_point now);
    void updateTally(const std::string &service, const std::string &host,
                     std::uint64_t orderRevision, const version_tally &tally, time_point now);
    bool updateSessions(const std::string &service, const std::string &host,
                        std::uint64_t orderRevision, const std::vector<std::uint64_t> &digests);

    /// Ignores the outcome of a send that was chosen under another order than the current one.
    /// \returns whether it was counted.
    bool recordOutcome(const request_outcome &outcome, time_point now);
    void handleRestoredStore(time_point now);
    /// The operator has written its orders again by now: those that are still missing are dropped,
    /// and those that only the copy had are followed. \returns whether the view has changed.
    bool finishReconciliation();
    bool isReconciling() const { return m_isReconciling; }
    /// \a conflict: another host wrote first; its record is read at the next poll.
    void finishWrite(const std::string &service, bool conflict, time_point now);

    /// \a instancesOf returns the number of usable instances of an order's target.
    rollout_actions advance(time_point now,
                            const std::function<std::size_t(const rollout_order &)> &instancesOf);

    /// A snapshot of the rollouts for the traffic thread, by service.
    std::map<std::string, service_rollout> view(time_point now) const;

private:
    struct known_record {
        rollout_record record;
        std::uint64_t revision = 0; ///< Of the record in the store; 0 if there is none.
        time_point seenAt;
        bool isLost = false; ///< The store has an earlier record, or none.
    };
    struct remote_tally {
        std::uint64_t orderRevision = 0;
        version_tally tally;
        time_point seenAt;
    };
    struct session_list {
        std::uint64_t orderRevision = 0;
        std::vector<std::uint64_t> digests;
    };
    /// What this host itself has observed and written for one order.
    struct local_state {
        std::uint64_t orderRevision = 0;
        version_tally candidate;
        version_tally baseline;
        double candidateOutcomes = 0; ///< Total number, without decay.
        double unreportedBadOutcomes = 0;
        time_point decayedAt;
        time_point tallyReportedAt;
        bool judgedBad = false;
        bool writing = false;
        time_point earliestWrite;      ///< No write before this time; set by a conflict.
        int sessionListsPublished = 0; ///< By this host.
    };
    using host_key = std::pair<std::string, std::string>; ///< Service and host.

    /// Takes over what is known of the order under its previous revision.
    void renumberOrder(const rollout_order &order);
    /// The write that puts a lost record into the store again.
    record_write restoringWrite(const rollout_order &order, const known_record &current,
                                time_point now) const;
    /// Learns from a record which versions have been rolled back, or are accepted after all.
    void recordVerdicts(const std::string &service, const rollout_record &record);
    /// The versions of the service that have been rolled back; nullopt if none has ever been.
    std::optional<std::vector<std::string>> rejectedVersions(const std::string &service) const;
    void advanceOrder(const rollout_order &order, std::size_t instances, time_point now,
                      rollout_actions &actions);
    bool isSessionListDue(const local_state &local, duration elapsed) const;
    void applyDecay(local_state &local, time_point now) const;
    local_state &localState(const rollout_order &order);
    /// The candidate's tally over all hosts that are known here.
    version_tally fleetTally(const rollout_order &order, const local_state &local,
                             time_point now) const;

    std::string m_host;
    rollout_parameters m_parameters;
    std::map<std::string, rollout_order> m_orders; ///< By service, like the maps below.
    std::map<std::string, known_record> m_records;
    /// Versions that have been rolled back, by service, oldest first.
    std::map<std::string, std::vector<std::string>> m_rejectedVersions;
    bool m_isReconciling = false;
    std::set<std::string>
        m_unseenOrders; ///< Services whose order the restored store has not shown.
    std::map<std::string, rollout_order> m_copiedOrders; ///< Other orders that the copy has.
    std::map<std::string, local_state> m_localStates;
    std::map<host_key, remote_tally> m_tallies;
    std::map<host_key, session_list> m_sessionLists;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROLLOUT_MEMBER_H_
