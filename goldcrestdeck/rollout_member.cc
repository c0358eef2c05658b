#include "goldcrestdeck/rollout_member.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestdeck {

namespace {

/// Half-life of an outcome's weight in a tally.
constexpr std::chrono::milliseconds tallyHalfLife{5000};
/// Minimum time between two reports of this host's tally.
constexpr std::chrono::milliseconds tallyReportInterval{500};
/// Older tallies of other hosts are ignored.
constexpr std::chrono::milliseconds tallyLifetime{6000};

/// Time over which the hosts spread the writes that restore a lost record.
constexpr std::chrono::milliseconds restoreSpread{1500};
/// After a conflict, leaves time for the other host's record to be read.
constexpr std::chrono::milliseconds conflictBackoff{1200};

void decay(version_tally &tally, double factor)
{
    for (auto &entry : tally.byRoute) {
        entry.second.outcomes *= factor;
        entry.second.failures *= factor;
        entry.second.slow *= factor;
    }
}

bool isTerminal(const rollout_record &record)
{
    return record.stage == rollout_stage::completed || record.stage == rollout_stage::rolledBack;
}

} // namespace

rollout_member::rollout_member(std::string host, rollout_parameters parameters)
    : m_host(std::move(host))
    , m_parameters(parameters)
{ }

bool rollout_member::updateOrder(const rollout_order &order)
{
    const auto found = m_orders.find(order.service);
    if (found == m_orders.end()) {
        m_orders[order.service] = order;
        return true;
    }
    rollout_order &known = found->second;
    const bool hasSameContent = known.target == order.target && known.duration == order.duration;
    if (m_isReconciling && !hasSameContent && m_unseenOrders.count(order.service) > 0) {
        m_copiedOrders[order.service] = order;
        return false;
    }
    m_unseenOrders.erase(order.service);
    if (known == order)
        return false;
    const std::uint64_t previous = known.revision;
    known = order;
    if (m_isReconciling && hasSameContent) {
        known.previousRevision = previous;
        renumberOrder(known);
    }
    return true;
}

void rollout_member::renumberOrder(const rollout_order &order)
{
    const auto renumber = [&](std::uint64_t &revision) {
        if (revision == order.previousRevision)
            revision = order.revision;
    };
    const auto record = m_records.find(order.service);
    if (record != m_records.end()
        && record->second.record.orderRevision == order.previousRevision) {
        record->second.record.orderRevision = order.revision;
        record->second.isLost = true;
    }
    const auto local = m_localStates.find(order.service);
    if (local != m_localStates.end())
        renumber(local->second.orderRevision);
    for (auto &tally : m_tallies) {
        if (tally.first.first == order.service)
            renumber(tally.second.orderRevision);
    }
    for (auto &list : m_sessionLists) {
        if (list.first.first == order.service)
            renumber(list.second.orderRevision);
    }
}

void rollout_member::handleRestoredStore(time_point now)
{
    m_isReconciling = true;
    m_copiedOrders.clear();
    m_unseenOrders.clear();
    for (const auto &entry : m_orders)
        m_unseenOrders.insert(entry.first);
    for (auto &entry : m_records) {
        entry.second.revision = 0;
        entry.second.isLost = true;
    }
    for (auto &entry : m_localStates) {
        local_state &local = entry.second;
        local.sessionListsPublished = 0;
        const outcome_tally total = local.candidate.total();
        if (total.failures + total.slow > 0)
            local.unreportedBadOutcomes += 1;
        // Usually one host restores a record, and the others read it. A verdict does not wait.
        const auto record = m_records.find(entry.first);
        const bool isDecided = record != m_records.end() && isTerminal(record->second.record);
        const double jitter = isDecided ? 0 : sessionPosition(entry.first, "", m_host);
        local.earliestWrite = now
            + std::chrono::duration_cast<duration>(jitter
                                                   * std::chrono::duration<double>(restoreSpread));
    }
}

bool rollout_member::finishReconciliation()
{
    m_isReconciling = false;
    bool changed = false;
    for (const std::string &service : std::exchange(m_unseenOrders, {})) {
        changed = true;
        const auto copied = m_copiedOrders.find(service);
        if (copied == m_copiedOrders.end())
            m_orders.erase(service);
        else
            m_orders[service] = copied->second;
    }
    m_copiedOrders.clear();
    return changed;
}

bool rollout_member::dropOrder(const std::string &service)
{
    return m_orders.erase(service) > 0;
}

bool rollout_member::keepOrders(const std::set<std::string> &services)
{
    bool dropped = false;
    if (m_isReconciling)
        return false;
    for (auto i = m_orders.begin(); i != m_orders.end();) {
        const bool kept = services.count(i->first) > 0;
        dropped = dropped || !kept;
        i = kept ? std::next(i) : m_orders.erase(i);
    }
    return dropped;
}

bool rollout_member::updateRecord(const std::string &service, const rollout_record &record,
                                  std::uint64_t revision, time_point now)
{
    known_record &known = m_records[service];
    if (known.revision >= revision)
        return false;
    recordVerdicts(service, record);
    const auto order = m_orders.find(service);
    if (known.isLost && order != m_orders.end()
        && known.record.orderRevision == order->second.revision
        && (record.orderRevision != order->second.revision || isFurther(known.record, record))) {
        known.revision = revision; // Stays lost: restoringWrite() replaces the record in the store.
        return false;
    }
    // The record is read some time after it was written, so its elapsed time is too low by then. A
    // host that already followed the order keeps its own, more accurate value if that is higher.
    time_point seenAt = now;
    if (known.record.orderRevision == record.orderRevision) {
        const duration ownElapsed = known.record.elapsed + (now - known.seenAt);
        seenAt -= std::max<duration>(ownElapsed - record.elapsed, duration(0));
    }
    known = {record, revision, seenAt, false};
    return true;
}

void rollout_member::recordVerdicts(const std::string &service, const rollout_record &record)
{
    // Each writer has read the record before its own, so its list is complete.
    if (record.rejectedVersions)
        m_rejectedVersions[service] = *record.rejectedVersions;
    const auto known = m_rejectedVersions.find(service);
    if (known == m_rejectedVersions.end() && record.stage != rollout_stage::rolledBack)
        return;
    if (!isTerminal(record))
        return;
    std::vector<std::string> &rejected = m_rejectedVersions[service];
    rejected.erase(std::remove(rejected.begin(), rejected.end(), record.target), rejected.end());
    if (record.stage == rollout_stage::rolledBack)
        rejected.push_back(record.target);
    if (rejected.size() > maxRejectedVersions)
        rejected.erase(rejected.begin());
}

std::optional<std::vector<std::string>>
rollout_member::rejectedVersions(const std::string &service) const
{
    const auto found = m_rejectedVersions.find(service);
    if (found == m_rejectedVersions.end())
        return std::nullopt;
    return found->second;
}

void rollout_member::updateTally(const std::string &service, const std::string &host,
                                 std::uint64_t orderRevision, const version_tally &tally,
                                 time_point now)
{
    if (host != m_host)
        m_tallies[{service, host}] = {orderRevision, tally, now};
}

bool rollout_member::updateSessions(const std::string &service, const std::string &host,
                                    std::uint64_t orderRevision,
                                    const std::vector<std::uint64_t> &digests)
{
    m_sessionLists[{service, host}] = {orderRevision, digests};
    return true;
}

bool rollout_member::recordOutcome(const request_outcome &outcome, time_point now)
{
    const auto order = m_orders.find(outcome.service);
    if (order == m_orders.end()
        || (outcome.orderRevision != order->second.revision
            && outcome.orderRevision != order->second.previousRevision))
        return false;
    local_state &local = localState(order->second);
    applyDecay(local, now);
    const bool candidate = outcome.side == version_side::candidate;
    const bool slow = outcome.slow && !outcome.failed;
    outcome_tally &tally = (candidate ? local.candidate : local.baseline).byRoute[outcome.route];
    tally = tally + outcome_tally{1, outcome.failed ? 1.0 : 0.0, slow ? 1.0 : 0.0};
    if (candidate) {
        local.candidateOutcomes += 1;
        local.unreportedBadOutcomes += outcome.failed || slow ? 1 : 0;
    }
    return true;
}

void rollout_member::finishWrite(const std::string &service, bool conflict, time_point now)
{
    local_state &local = m_localStates[service];
    local.writing = false;
    if (conflict)
        local.earliestWrite = now + conflictBackoff;
}

rollout_actions
rollout_member::advance(time_point now,
                        const std::function<std::size_t(const rollout_order &)> &instancesOf)
{
    rollout_actions actions;
    for (const auto &item : m_orders)
        advanceOrder(item.second, instancesOf(item.second), now, actions);
    return actions;
}

void rollout_member::advanceOrder(const rollout_order &order, std::size_t instances, time_point now,
                                  rollout_actions &actions)
{
    local_state &local = localState(order);
    applyDecay(local, now);
    const auto known = m_records.find(order.service);
    const bool hasRecord
        = known != m_records.end() && known->second.record.orderRevision == order.revision;
    if (!hasRecord) {
        if (local.writing || now < local.earliestWrite)
            return;
        local.writing = true;
        const std::uint64_t expectedRevision
            = known == m_records.end() ? 0 : known->second.revision;
        actions.recordWrites.push_back({order,
                                        expectedRevision,
                                        {order.revision,
                                         order.target,
                                         rollout_stage::canary,
                                         {},
                                         {},
                                         rejectedVersions(order.service)},
                                        "ordered"});
        return;
    }
    const known_record &current = known->second;
    if (current.isLost && !local.writing && now >= local.earliestWrite) {
        local.writing = true;
        actions.recordWrites.push_back(restoringWrite(order, current, now));
        return;
    }
    if (isTerminal(current.record))
        return;
    const version_tally candidate = fleetTally(order, local, now);
    if (!local.judgedBad && isBadVersion(candidate, local.baseline)) {
        local.judgedBad = true;
        actions.badVerdicts.push_back({order, candidate.total(), local.baseline.total()});
    }
    const duration recordAge = now - current.seenAt;
    if (current.record.stage == rollout_stage::canary
        && isSessionListDue(local, current.record.elapsed + recordAge)) {
        ++local.sessionListsPublished;
        actions.sessionListsDue.push_back(order);
    }
    rollout_observation observation;
    observation.recordAge = std::chrono::duration_cast<std::chrono::milliseconds>(recordAge);
    observation.judgedBad = local.judgedBad;
    observation.suspect = isSuspectVersion(candidate, local.baseline, m_parameters.suspectFraction);
    observation.stronglySuspect
        = isSuspectVersion(candidate, local.baseline, m_parameters.lateSuspectFraction);
    observation.outcomes = local.candidateOutcomes;
    observation.instances = instances;
    observation.writeJitter = sessionPosition(order.service, order.target, m_host);
    auto next = nextRecord(current.record, order, observation, m_parameters);
    if (next)
        next->rejectedVersions = rejectedVersions(order.service);
    if (next && !local.writing && now >= local.earliestWrite) {
        local.writing = true;
        actions.recordWrites.push_back({order, current.revision, *next,
                                        local.judgedBad                           ? "judged_bad"
                                            : next->stage == current.record.stage ? "progress"
                                                                                  : "due",
                                        candidate.total(), observation.suspect});
    } else if (!next && local.unreportedBadOutcomes > 0
               && now - local.tallyReportedAt > tallyReportInterval) {
        local.unreportedBadOutcomes = 0;
        local.tallyReportedAt = now;
        actions.tallies.emplace_back(order, local.candidate);
    }
}

record_write rollout_member::restoringWrite(const rollout_order &order, const known_record &current,
                                            time_point now) const
{
    record_write write{order, current.revision, current.record, "restored"};
    write.record.rejectedVersions = rejectedVersions(order.service);
    write.record.elapsed
        += std::chrono::duration_cast<std::chrono::milliseconds>(now - current.seenAt);
    return write;
}

bool rollout_member::isSessionListDue(const local_state &local, duration elapsed) const
{
    return (local.sessionListsPublished == 0 && elapsed >= m_parameters.sessionReportDelay)
        || (local.sessionListsPublished == 1 && elapsed >= m_parameters.canaryDelay);
}

void rollout_member::applyDecay(local_state &local, time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - local.decayedAt).count();
    const double factor
        = std::exp2(-seconds / std::chrono::duration<double>(tallyHalfLife).count());
    local.decayedAt = now;
    decay(local.candidate, factor);
    decay(local.baseline, factor);
}

std::map<std::string, service_rollout> rollout_member::view(time_point now) const
{
    std::map<std::string, service_rollout> result;
    for (const auto &item : m_orders) {
        const rollout_order &order = item.second;
        service_rollout rollout;
        rollout.order = order;
        const auto known = m_records.find(order.service);
        if (known != m_records.end() && known->second.record.orderRevision == order.revision) {
            rollout.record = known->second.record;
            rollout.seenAt = known->second.seenAt;
        } else {
            // No traffic goes to the candidate before the record exists.
            rollout.record = {order.revision, order.target, rollout_stage::rolledBack, {}};
            rollout.seenAt = now;
        }
        if (const auto rejected = rejectedVersions(order.service))
            rollout.rejectedVersions.insert(rejected->begin(), rejected->end());
        rollout.rejectedVersions.erase(order.target);
        const auto local = m_localStates.find(order.service);
        rollout.judgedBad = local != m_localStates.end()
            && local->second.orderRevision == order.revision && local->second.judgedBad;
        auto digests = std::make_shared<std::set<std::uint64_t>>();
        for (const auto &list : m_sessionLists) {
            if (list.first.first == order.service && list.second.orderRevision == order.revision)
                digests->insert(list.second.digests.begin(), list.second.digests.end());
        }
        rollout.baselineSessions = digests;
        result[order.service] = rollout;
    }
    return result;
}

rollout_member::local_state &rollout_member::localState(const rollout_order &order)
{
    local_state &local = m_localStates[order.service];
    if (local.orderRevision != order.revision) {
        const bool writing = local.writing;
        local = local_state();
        local.orderRevision = order.revision;
        local.writing = writing;
    }
    return local;
}

version_tally rollout_member::fleetTally(const rollout_order &order, const local_state &local,
                                         time_point now) const
{
    std::vector<version_tally> tallies = {local.candidate};
    std::set<std::string> nonReporting;
    for (const auto &item : m_sessionLists) {
        if (item.first.first == order.service && item.second.orderRevision == order.revision)
            nonReporting.insert(item.first.second);
    }
    nonReporting.erase(m_host);
    for (const auto &item : m_tallies) {
        if (item.first.first == order.service && item.second.orderRevision == order.revision
            && now - item.second.seenAt < tallyLifetime) {
            tallies.push_back(item.second.tally);
            nonReporting.erase(item.first.second);
        }
    }
    return sumWithNonReportingHosts(tallies, nonReporting.size());
}

} // namespace goldcrestdeck
