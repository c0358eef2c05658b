#ifndef GOLDCRESTDECK_ACCOUNTING_H_
#define GOLDCRESTDECK_ACCOUNTING_H_

/// \file
/// Replicates this host's account records to other hosts, and writes the batches that it holds for
/// others to the account. Runs on the control thread.
///
/// A record counts as held once two other hosts have it, in other failure domains where there are
/// any; one is enough if only one other host is live. If no other host replies, the record is
/// written to the account at once. If that fails as well, the record exists only in this process
/// until either succeeds; replication is retried until then.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/accounts.h"
#include "goldcrestdeck/config_sync.h"
#include "goldcrestdeck/control.h"
#include "goldcrestdeck/ledger_store.h"
#include "goldcrestdeck/traffic_view.h"

namespace goldcrestdeck {

constexpr const char *accountPrefix = "goldcrestdeck/account/";

struct accounting_limits {
    std::size_t maxUnwrittenRecords = 200'000;
    std::size_t maxHeldRecords = 400'000;
};

class accounting
{
public:
    using replicated_handler = std::function<void()>;

    accounting(control_context &control, config_sync &hosts, traffic_view &view, std::string self,
               const std::string &source, accounting_limits limits);

    /// \a onReplicated is called once the record is held by other hosts or is in the account.
    void addBill(const bill_key &key, std::uint64_t costMicros, replicated_handler onReplicated);
    void addRefusal(const refusal_record &record, replicated_handler onReplicated);

    /// Handles another host's request to hold a batch.
    hold_result_message onHold(const hold_batch_message &message);

    /// Another host has reported which of this host's batches the account contains.
    void onBatchesWritten(const applied_set &applied);
    /// Returns the batches of \a source that are known here to be in the account.
    applied_set appliedOf(const std::string &source) const;

    /// To be called a few times a second.
    void tick();

    /// Whether each of this host's records is in the account or held by other hosts.
    bool isSettled() const { return m_replications.empty() && !m_journal.hasOpenRecords(); }
    std::size_t unwrittenBatches() const { return m_journal.unwritten().size(); }
    std::size_t heldBatches() const { return m_held.size(); }

private:
    /// The replication of one batch.
    struct replication {
        account_batch batch;
        std::vector<replicated_handler> waiters;
        std::set<std::string> contacted;
        std::size_t required = 0;
        std::size_t acknowledged = 0;
        std::size_t outstanding = 0;
        time_point startedAt;
    };

    void onRecordAdded(replicated_handler onReplicated);
    /// Closes the open batch and starts its replication, unless too many are in progress.
    void replicateOpenBatch();
    void replicate(std::uint64_t sequence);
    void sendToReplica(replication &entry, const host_entry &host);
    void onHoldReply(std::uint64_t sequence, bool held);
    void finish(std::uint64_t sequence);
    void retryOverdue();
    std::vector<host_entry> replicaOrder() const;
    void writeAccount();
    std::vector<account_batch> dueBatches() const;

    control_context &m_control;
    config_sync &m_hosts;
    traffic_view &m_view;
    std::string m_self;
    std::string m_source;
    journal m_journal;
    batch_store m_held;
    std::vector<replicated_handler> m_waiters; ///< Of the open batch.
    std::map<std::uint64_t, replication> m_replications;
    std::map<std::uint64_t, time_point> m_closedAt; ///< Of unwritten batches.
    std::shared_ptr<account_store> m_store;
    std::map<std::string, applied_set> m_applied;
    bool m_writing = false;
    bool m_writeAgain = false;
    time_point m_lastWrite;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ACCOUNTING_H_
