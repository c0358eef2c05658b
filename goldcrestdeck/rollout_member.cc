#include "goldcrestdeck/rollout_member.h"

#include <cmath>

namespace goldcrestdeck {

namespace {

/// Half-life of an answer's weight in the verdict on a version.
constexpr std::chrono::milliseconds tallyHalfLife{5000};
/// Between two tellings of one host's tally.
constexpr std::chrono::milliseconds tallyPause{500};
/// After which another host's tally counts no more.
constexpr std::chrono::milliseconds tallyLifetime{6000};

/// After a conflict, for the other host's record to be read.
constexpr std::chrono::milliseconds conflictPause{1200};

void decay(version_tally &tally, double factor)
{
    for (auto &entry : tally.byRoute) {
        entry.second.answers *= factor;
        entry.second.failures *= factor;
        entry.second.slow *= factor;
    }
}

bool isDecided(const rollout_record &record)
{
    return record.stage == rollout_stage::completed || record.stage == rollout_stage::rolledBack;
}

} // namespace

rollout_member::rollout_member(std::string host, rollout_parameters parameters)
    : m_host(std::move(host))
    , m_parameters(parameters)
{ }

bool rollout_member::noteOrder(const rollout_order &order)
{
    rollout_order &known = m_orders[order.service];
    if (known == order)
        return false;
    known = order;
    return true;
}

bool rollout_member::dropOrder(const std::string &service)
{
    return m_orders.erase(service) > 0;
}

bool rollout_member::keepOrders(const std::set<std::string> &services)
{
    bool dropped = false;
    for (auto i = m_orders.begin(); i != m_orders.end();) {
        const bool kept = services.count(i->first) > 0;
        dropped = dropped || !kept;
        i = kept ? std::next(i) : m_orders.erase(i);
    }
    return dropped;
}

bool rollout_member::noteRecord(const std::string &service, const rollout_record &record,
                                std::uint64_t revision, time_point now)
{
    known_record &known = m_records[service];
    if (known.revision >= revision)
        return false;
    // A host that has followed the order knows better than the record, which it reads some time
    // after it was written, how much time has passed.
    time_point seenAt = now;
    if (known.record.orderRevision == record.orderRevision) {
        const duration ownElapsed = known.record.elapsed + (now - known.seenAt);
        seenAt -= std::max<duration>(ownElapsed - record.elapsed, duration(0));
    }
    known = {record, revision, seenAt};
    return true;
}

void rollout_member::noteTally(const std::string &service, const std::string &host,
                               std::uint64_t orderRevision, const version_tally &tally,
                               time_point now)
{
    if (host != m_host)
        m_tallies[{service, host}] = {orderRevision, tally, now};
}

bool rollout_member::noteSessions(const std::string &service, const std::string &host,
                                  std::uint64_t orderRevision,
                                  const std::vector<std::uint64_t> &digests)
{
    m_sessionLists[{service, host}] = {orderRevision, digests};
    return true;
}

void rollout_member::noteAnswer(const rollout_answer &answer, time_point now)
{
    const auto order = m_orders.find(answer.service);
    if (order == m_orders.end())
        return;
    own_part &own = partOf(order->second);
    age(own, now);
    const bool candidate = answer.side == version_side::candidate;
    const bool slow = answer.slow && !answer.failed;
    answer_tally &row = (candidate ? own.candidate : own.established).byRoute[answer.route];
    row = row + answer_tally{1, answer.failed ? 1.0 : 0.0, slow ? 1.0 : 0.0};
    if (candidate) {
        own.candidateAnswers += 1;
        own.untoldBad += answer.failed || slow ? 1 : 0;
    }
}

void rollout_member::noteWriteEnded(const std::string &service, bool conflict, time_point now)
{
    own_part &own = m_own[service];
    own.writing = false;
    if (conflict)
        own.writesFrom = now + conflictPause;
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
    own_part &own = partOf(order);
    age(own, now);
    const auto known = m_records.find(order.service);
    const bool hasRecord
        = known != m_records.end() && known->second.record.orderRevision == order.revision;
    if (!hasRecord) {
        if (own.writing || now < own.writesFrom)
            return;
        own.writing = true;
        const std::uint64_t expected = known == m_records.end() ? 0 : known->second.revision;
        actions.records.push_back({order,
                                   expected,
                                   {order.revision, order.target, rollout_stage::canary, {}},
                                   "ordered"});
        return;
    }
    const known_record &current = known->second;
    if (isDecided(current.record))
        return;
    const version_tally candidate = knownTally(order, own, now);
    if (!own.judgedBad && isBadVersion(candidate, own.established)) {
        own.judgedBad = true;
        actions.judgedBad.push_back({order, candidate.total(), own.established.total()});
    }
    const duration seenFor = now - current.seenAt;
    if (current.record.stage == rollout_stage::canary
        && isListDue(own, current.record.elapsed + seenFor)) {
        ++own.sessionLists;
        actions.sessions.push_back(order);
    }
    rollout_belief belief;
    belief.seenFor = std::chrono::duration_cast<std::chrono::milliseconds>(seenFor);
    belief.bad = own.judgedBad;
    belief.answers = own.candidateAnswers;
    belief.instances = instances;
    belief.patience = sessionPosition(order.service, order.target, m_host);
    const auto next = nextRecord(current.record, order, belief, m_parameters);
    if (next && !own.writing && now >= own.writesFrom) {
        own.writing = true;
        actions.records.push_back({order, current.revision, *next,
                                   own.judgedBad                             ? "judged_bad"
                                       : next->stage == current.record.stage ? "progress"
                                                                             : "due"});
    } else if (!next && own.untoldBad > 0 && now - own.toldAt > tallyPause) {
        own.untoldBad = 0;
        own.toldAt = now;
        actions.tallies.emplace_back(order, own.candidate);
    }
}

bool rollout_member::isListDue(const own_part &own, duration elapsed) const
{
    return (own.sessionLists == 0 && elapsed >= m_parameters.sessionsAfter)
        || (own.sessionLists == 1 && elapsed >= m_parameters.canaryDelay);
}

void rollout_member::age(own_part &own, time_point now) const
{
    const double seconds = std::chrono::duration<double>(now - own.decayedAt).count();
    const double factor
        = std::exp2(-seconds / std::chrono::duration<double>(tallyHalfLife).count());
    own.decayedAt = now;
    decay(own.candidate, factor);
    decay(own.established, factor);
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
            // Nothing goes to the new version before the record exists.
            rollout.record = {order.revision, order.target, rollout_stage::rolledBack, {}};
            rollout.seenAt = now;
        }
        const auto own = m_own.find(order.service);
        rollout.judgedBad = own != m_own.end() && own->second.orderRevision == order.revision
            && own->second.judgedBad;
        auto digests = std::make_shared<std::set<std::uint64_t>>();
        for (const auto &list : m_sessionLists) {
            if (list.first.first == order.service && list.second.orderRevision == order.revision)
                digests->insert(list.second.digests.begin(), list.second.digests.end());
        }
        rollout.establishedSessions = digests;
        result[order.service] = rollout;
    }
    return result;
}

rollout_member::own_part &rollout_member::partOf(const rollout_order &order)
{
    own_part &own = m_own[order.service];
    if (own.orderRevision != order.revision) {
        const bool writing = own.writing;
        own = own_part();
        own.orderRevision = order.revision;
        own.writing = writing;
    }
    return own;
}

version_tally rollout_member::knownTally(const rollout_order &order, const own_part &own,
                                         time_point now) const
{
    std::vector<version_tally> tallies = {own.candidate};
    std::set<std::string> silent;
    for (const auto &item : m_sessionLists) {
        if (item.first.first == order.service && item.second.orderRevision == order.revision)
            silent.insert(item.first.second);
    }
    silent.erase(m_host);
    for (const auto &item : m_tallies) {
        if (item.first.first == order.service && item.second.orderRevision == order.revision
            && now - item.second.seenAt < tallyLifetime) {
            tallies.push_back(item.second.tally);
            silent.erase(item.first.second);
        }
    }
    return sumWithSilentHosts(tallies, silent.size());
}

} // namespace goldcrestdeck
