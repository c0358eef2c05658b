// Group commit: a record opens a batch, which is sent at once if few are in progress. An idle host
// thus adds one round trip, and a busy one shares it among the requests that arrive meanwhile. The
// first replica writes the batch soon, the second only if the first has not; the account discards
// duplicates.

#include "goldcrestdeck/accounting.h"

#include <algorithm>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t replicaCount = 2;
constexpr std::size_t maxReplicationsInProgress = 4;
constexpr std::chrono::milliseconds holdTimeout{400};
constexpr std::chrono::milliseconds firstReplicaDelay{500};
constexpr std::chrono::milliseconds secondReplicaDelay{3000};
/// The host that created a batch writes it itself if no replica has done so by then.
constexpr std::chrono::milliseconds ownWriteDelay{6000};
constexpr std::chrono::milliseconds writeInterval{1000};
/// A batch that no host holds by then is sent again; all live hosts are candidates again.
constexpr std::chrono::milliseconds retryDelay{1000};
/// A batch of this size is closed however many replications are in progress, so that it fits into
/// one write.
constexpr std::size_t maxBatchRecords = 1000;

} // namespace

accounting::accounting(control_context &control, config_sync &hosts, traffic_view &view,
                       std::string self, const std::string &source, accounting_limits limits)
    : m_control(control)
    , m_hosts(hosts)
    , m_view(view)
    , m_self(std::move(self))
    , m_source(source)
    , m_journal(source, {limits.maxUnwrittenRecords})
    , m_held(limits.maxHeldRecords)
    , m_store(std::make_shared<account_store>(control.store, accountPrefix))
{ }

void accounting::addBill(const bill_key &key, std::uint64_t costMicros,
                         replicated_handler onReplicated)
{
    m_journal.addBill(key, costMicros);
    onRecordAdded(std::move(onReplicated));
}

void accounting::addRefusal(const refusal_record &record, replicated_handler onReplicated)
{
    m_journal.addRefusal(record);
    onRecordAdded(std::move(onReplicated));
}

void accounting::onRecordAdded(replicated_handler onReplicated)
{
    m_waiters.push_back(std::move(onReplicated));
    m_view.setHasAccountCapacity(m_journal.hasRoom());
    replicateOpenBatch();
}

void accounting::replicateOpenBatch()
{
    const bool isBusy = m_replications.size() >= maxReplicationsInProgress
        && m_journal.openRecordCount() < maxBatchRecords;
    if (!m_journal.hasOpenRecords() || isBusy)
        return;
    const std::uint64_t sequence = m_journal.openSequence();
    replication entry;
    entry.batch = m_journal.closeBatch();
    entry.waiters.swap(m_waiters);
    entry.startedAt = m_control.time.now();
    m_closedAt[sequence] = entry.startedAt;
    m_replications.emplace(sequence, std::move(entry));
    replicate(sequence);
}

std::vector<host_entry> accounting::replicaOrder() const
{
    const std::vector<host_entry> live = m_hosts.liveVoters();
    // Watchers first: hosts that hold batches write them to the account, and the number of calls to
    // the key-value service grows more slowly than the fleet only while just the watchers make
    // them.
    std::set<std::string> allDomains;
    for (const host_entry &host : live)
        allDomains.insert(host.failureDomain);
    host_names watchers;
    for (const std::string &domain : allDomains)
        for (const host_entry &watcher : m_hosts.watchersOf(domain))
            watchers.insert(watcher.name);
    std::vector<std::string> preferred;
    std::vector<std::string> others;
    for (const host_entry &host : live)
        if (host.name != m_self)
            (watchers.count(host.name) > 0 ? preferred : others).push_back(host.name);
    std::vector<std::string> names = rendezvousTop(m_source, preferred, preferred.size());
    for (const std::string &name : rendezvousTop(m_source, others, others.size()))
        names.push_back(name);
    const host_entry *self = findHost(live, m_self);
    const std::string ownDomain = self == nullptr ? std::string() : self->failureDomain;
    // Hosts of unused domains first, so that the two copies are in two other domains.
    std::vector<host_entry> order;
    std::vector<host_entry> later;
    std::set<std::string> domains{ownDomain};
    for (const std::string &name : names) {
        const host_entry host = *findHost(live, name);
        const bool isNewDomain = domains.insert(host.failureDomain).second;
        (isNewDomain ? order : later).push_back(host);
    }
    order.insert(order.end(), later.begin(), later.end());
    return order;
}

void accounting::replicate(std::uint64_t sequence)
{
    replication &entry = m_replications.at(sequence);
    const std::vector<host_entry> order = replicaOrder();
    entry.required = std::min(replicaCount, order.size());
    for (const host_entry &host : order) {
        if (entry.acknowledged + entry.outstanding >= entry.required)
            break;
        if (entry.contacted.insert(host.name).second)
            sendToReplica(entry, host);
    }
    if (entry.outstanding > 0)
        return;
    // No further host is left to ask: accepts fewer acknowledgements than required, or, without
    // any, writes the batch to the account.
    if (entry.acknowledged > 0)
        return finish(sequence);
    m_writeAgain = true;
    writeAccount();
}

void accounting::sendToReplica(replication &entry, const host_entry &host)
{
    hold_batch_message message;
    message.batch = encodeBatch(entry.batch);
    message.delay = entry.contacted.size() == 1 ? firstReplicaDelay : secondReplicaDelay;
    ++entry.outstanding;
    const std::uint64_t sequence = entry.batch.id.sequence;
    m_control.peers.request(host.peerAddress, message, holdTimeout,
                            [this, sequence](const std::optional<peer_body> &reply) {
                                const auto *result
                                    = reply ? std::get_if<hold_result_message>(&*reply) : nullptr;
                                onHoldReply(sequence, result != nullptr && result->held);
                            });
}

void accounting::onHoldReply(std::uint64_t sequence, bool held)
{
    const auto found = m_replications.find(sequence);
    if (found == m_replications.end())
        return;
    replication &entry = found->second;
    --entry.outstanding;
    entry.acknowledged += held ? 1 : 0;
    if (entry.acknowledged >= entry.required)
        finish(sequence);
    else if (entry.outstanding == 0)
        replicate(sequence);
}

void accounting::finish(std::uint64_t sequence)
{
    const auto found = m_replications.find(sequence);
    if (found == m_replications.end())
        return;
    const std::vector<replicated_handler> waiters = std::move(found->second.waiters);
    m_replications.erase(found);
    for (const replicated_handler &waiter : waiters)
        waiter();
    replicateOpenBatch();
}

hold_result_message accounting::onHold(const hold_batch_message &message)
{
    try {
        const account_batch batch = decodeBatch(message.batch);
        if (appliedOf(batch.id.source).contains(batch.id.sequence))
            return {true};
        return {m_held.hold(batch, m_control.time.now() + message.delay)};
    } catch (const json_error &) {
        return {false};
    }
}

void accounting::onBatchesWritten(const applied_set &applied)
{
    m_journal.removeWritten(applied);
    m_view.setHasAccountCapacity(m_journal.hasRoom());
    for (auto it = m_closedAt.begin(); it != m_closedAt.end();)
        it = m_journal.unwritten().count(it->first) > 0 ? std::next(it) : m_closedAt.erase(it);
    std::vector<std::uint64_t> finished;
    for (const auto &[sequence, entry] : m_replications)
        if (applied.contains(sequence))
            finished.push_back(sequence);
    for (std::uint64_t sequence : finished)
        finish(sequence);
}

applied_set accounting::appliedOf(const std::string &source) const
{
    const auto found = m_applied.find(source);
    return found == m_applied.end() ? applied_set() : found->second;
}

void accounting::tick()
{
    retryOverdue();
    replicateOpenBatch();
    if (m_control.time.now() - m_lastWrite >= writeInterval)
        writeAccount();
    m_control.counters.batchesHeld.Set(static_cast<double>(m_held.size()));
    m_control.counters.batchesUnwritten.Set(static_cast<double>(unwrittenBatches()));
}

void accounting::retryOverdue()
{
    const time_point now = m_control.time.now();
    std::vector<std::uint64_t> overdue;
    for (const auto &[sequence, entry] : m_replications)
        if (entry.outstanding == 0 && now - entry.startedAt > retryDelay)
            overdue.push_back(sequence);
    for (std::uint64_t sequence : overdue) {
        replication &entry = m_replications.at(sequence);
        entry.startedAt = now;
        entry.contacted.clear();
        replicate(sequence);
    }
}

std::vector<account_batch> accounting::dueBatches() const
{
    const time_point now = m_control.time.now();
    std::vector<account_batch> due = m_held.due(now);
    for (const auto &[sequence, batch] : m_journal.unwritten()) {
        const auto inProgress = m_replications.find(sequence);
        const bool isUnreplicated
            = inProgress != m_replications.end() && inProgress->second.outstanding == 0;
        const auto closedAt = m_closedAt.find(sequence);
        if (isUnreplicated || now - closedAt->second > ownWriteDelay)
            due.push_back(batch);
    }
    return due;
}

void accounting::writeAccount()
{
    if (m_writing)
        return;
    const std::vector<account_batch> due = dueBatches();
    if (due.empty())
        return;
    m_writing = true;
    m_writeAgain = false;
    m_lastWrite = m_control.time.now();
    runBlocking(
        m_control, [store = m_store, due] { return store->write(due); },
        [this](const std::optional<std::map<std::string, applied_set>> &applied) {
            m_writing = false;
            if (applied) {
                m_applied = *applied;
                m_held.removeWritten(m_applied);
                onBatchesWritten(appliedOf(m_source));
            }
            if (m_writeAgain)
                writeAccount();
        });
}

} // namespace goldcrestdeck
