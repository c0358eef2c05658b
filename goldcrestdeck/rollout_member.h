#ifndef GOLDCRESTDECK_ROLLOUT_MEMBER_H_
#define GOLDCRESTDECK_ROLLOUT_MEMBER_H_

/// \file
/// One host's part in the roll-outs of all services: what it knows of orders, records, other hosts'
/// tallies and sessions, and what it should write next.
///
/// Feed it what is read from the key-value service and what the host's own answers were, then call
/// advance() and carry out what it returns. No input or output.

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/routing_view.h"
#include "goldcrestdeck/version_rollout.h"

namespace goldcrestdeck {

/// One answer of a service that is being rolled out.
struct rollout_answer {
    std::string service;
    std::string route;
    version_side side = version_side::established;
    bool failed = false;
    bool slow = false;
};

/// A record to write if the one before it is still at \a expected; noteWriteEnded() when it is
/// over.
struct record_write {
    rollout_order order;
    std::uint64_t expected = 0; ///< Revision; 0: there is none.
    rollout_record record;
    std::string reason;
};

/// An order whose version was judged bad just now, and the answers that decided it.
struct bad_verdict {
    rollout_order order;
    answer_tally candidate;   ///< Of all hosts, as far as known here.
    answer_tally established; ///< Of this host.
};

/// What a host should do now.
struct rollout_actions {
    std::vector<record_write> records;
    std::vector<std::pair<rollout_order, version_tally>> tallies; ///< To tell the other hosts.
    std::vector<rollout_order> sessions; ///< Whose sessions to tell the other hosts.
    std::vector<bad_verdict> judgedBad;

    bool changesView() const { return !judgedBad.empty(); }
};

class rollout_member
{
public:
    rollout_member(std::string host, rollout_parameters parameters);

    void setParameters(const rollout_parameters &parameters) { m_parameters = parameters; }

    /// What was read. Each returns whether the view has changed.
    bool noteOrder(const rollout_order &order);
    bool dropOrder(const std::string &service);
    /// Drops the orders of all services but these.
    bool keepOrders(const std::set<std::string> &services);
    bool noteRecord(const std::string &service, const rollout_record &record,
                    std::uint64_t revision, time_point now);
    void noteTally(const std::string &service, const std::string &host, std::uint64_t orderRevision,
                   const version_tally &tally, time_point now);
    bool noteSessions(const std::string &service, const std::string &host,
                      std::uint64_t orderRevision, const std::vector<std::uint64_t> &digests);

    void noteAnswer(const rollout_answer &answer, time_point now);
    /// \a conflict: another host was first; its record will be read at the next poll.
    void noteWriteEnded(const std::string &service, bool conflict, time_point now);

    /// \a instancesOf gives the number of usable instances of an order's target.
    rollout_actions advance(time_point now,
                            const std::function<std::size_t(const rollout_order &)> &instancesOf);

    /// The roll-outs as the traffic thread needs them, by service.
    std::map<std::string, service_rollout> view(time_point now) const;

private:
    struct known_record {
        rollout_record record;
        std::uint64_t revision = 0;
        time_point seenAt;
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
    /// What this host has seen of one order itself.
    struct own_part {
        std::uint64_t orderRevision = 0;
        version_tally candidate;
        version_tally established;
        double candidateAnswers = 0; ///< All of them, without decay.
        double untoldBad = 0;
        time_point decayedAt;
        time_point toldAt;
        bool judgedBad = false;
        bool writing = false;
        time_point writesFrom; ///< Nothing is written before, after a conflict.
        int sessionLists = 0;  ///< How often this host has told its sessions.
    };
    using host_key = std::pair<std::string, std::string>; ///< Service and host.

    void advanceOrder(const rollout_order &order, std::size_t instances, time_point now,
                      rollout_actions &actions);
    bool isListDue(const own_part &own, duration elapsed) const;
    void age(own_part &own, time_point now) const;
    own_part &partOf(const rollout_order &order);
    version_tally knownTally(const rollout_order &order, const own_part &own, time_point now) const;

    std::string m_host;
    rollout_parameters m_parameters;
    std::map<std::string, rollout_order> m_orders; ///< By service, as all below.
    std::map<std::string, known_record> m_records;
    std::map<std::string, own_part> m_own;
    std::map<host_key, remote_tally> m_tallies;
    std::map<host_key, session_list> m_sessionLists;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROLLOUT_MEMBER_H_
