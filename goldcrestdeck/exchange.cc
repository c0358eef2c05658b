#include "goldcrestdeck/exchange.h"

#include <algorithm>
#include <utility>

#include "goldcrestdeck/digest.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxCountersPerPong = 64;
constexpr std::size_t maxDemands = 256;
/// Factor on the measured demand, so that the lease leaves room for rising demand.
constexpr double demandHeadroom = 1.2;
constexpr double minDemandPerSecond = 0.1;

} // namespace

rating_exchange::rating_exchange(const clock &time, std::string source, traffic_view &view)
    : m_time(time)
    , m_source(std::move(source))
    , m_view(view)
{ }

void rating_exchange::add(const rating_subject &subject, double rating)
{
    const rating_sums sums = sumsOf(rating);
    m_replica.add(m_source, subject, sums);
    addIncrement(subject, sums);
}

void rating_exchange::addIncrement(const rating_subject &subject, const rating_sums &increment)
{
    if (increment.count == 0)
        return;
    rating_sums &total = m_totals[subject];
    total = total + increment;
    for (auto &[key, estimator] : m_estimators)
        if (key.subject == subject)
            estimator.add(increment, m_time.now());
}

void rating_exchange::fillPing(const std::string &address, ping_message &ping) const
{
    const auto position = m_peerPositions.find(address);
    if (position == m_peerPositions.end())
        return;
    ping.ratingsSource = position->second.source;
    ping.ratingsAfter = position->second.upTo;
}

void rating_exchange::fillPong(const ping_message &ping, pong_message &pong) const
{
    const std::uint64_t after = ping.ratingsSource == m_source ? ping.ratingsAfter : 0;
    rating_replica::changes changes = m_replica.changedAfter(after, maxCountersPerPong);
    pong.ratingsSource = m_source;
    pong.counters = std::move(changes.counters);
    pong.ratingsUpTo = changes.upTo;
}

void rating_exchange::onPong(const std::string &address, const pong_message &pong)
{
    for (const rating_counter &counter : pong.counters)
        if (counter.source != m_source)
            addIncrement(counter.subject, m_replica.merge(counter));
    m_peerPositions[address] = {pong.ratingsSource, pong.ratingsUpTo};
}

void rating_exchange::publishEstimates(const config &current)
{
    const time_point now = m_time.now();
    for (const table_row &row : current.rows) {
        for (const auto &[subject, total] : m_totals) {
            if (subject.version != row.version)
                continue;
            const quality_view::key key{subject, row.qualityTarget};
            const auto [entry, added] = m_estimators.try_emplace(
                key, quality_estimator(row.qualityTarget, quality_parameters()));
            if (added)
                entry->second.add(total, now);
        }
    }
    const auto view = std::make_shared<quality_view>(quality_parameters());
    for (const auto &[key, estimator] : m_estimators)
        view->put(key, estimator.estimate(now));
    m_view.setQuality(view);
}

limit_exchange::limit_exchange(const clock &time, std::string self, traffic_view &view)
    : m_time(time)
    , m_self(std::move(self))
    , m_view(view)
{ }

void limit_exchange::applyConfig(const config &current)
{
    const time_point now = m_time.now();
    m_voters = current.voters.size();
    const std::map<std::string, double> before = std::exchange(m_limits, {});
    for (const table_row &row : current.rows)
        m_limits[row.workspace] = row.requestsPerSecond;
    for (const auto &[workspace, limit] : m_limits) {
        if (m_started && before.count(workspace) == 0) {
            m_newWorkspaces.insert(workspace);
            m_leases[workspace]
                = {initialRate(limit, m_voters, m_parameters), now + m_parameters.initialShareTime};
        }
        applyRate(workspace);
    }
    m_started = true;
}

void limit_exchange::tick(const config &current, const std::vector<host_entry> &live)
{
    m_seesMajority = live.size() * 2 > m_voters;
    for (const workspace_rate &demand : m_view.limits().takeDemand(m_time.now()))
        m_demand[demand.workspace] = demand.perSecond * demandHeadroom;
    chooseAllocators(live);
    for (const auto &[workspace, limit] : m_limits) {
        updateAllocator(workspace, namesOf(current.voters));
        applyRate(workspace);
    }
    m_newWorkspaces.clear();
}

void limit_exchange::chooseAllocators(const std::vector<host_entry> &live)
{
    std::vector<std::string> names;
    names.reserve(live.size());
    for (const host_entry &host : live)
        names.push_back(host.name);
    m_allocatorOf.clear();
    for (const auto &[workspace, limit] : m_limits)
        for (const std::string &name : rendezvousTop(workspace, names, 1))
            m_allocatorOf[workspace] = *findHost(live, name);
}

void limit_exchange::updateAllocator(const std::string &workspace, const host_names &voters)
{
    const time_point now = m_time.now();
    const double limit = m_limits[workspace];
    const auto allocator = m_allocatorOf.find(workspace);
    const bool isOwn = allocator != m_allocatorOf.end() && allocator->second.name == m_self;
    if (!isOwn || !m_seesMajority) {
        m_allocators.erase(workspace);
        return;
    }
    const std::vector<std::string> hosts(voters.begin(), voters.end());
    const auto [entry, added] = m_allocators.try_emplace(workspace, limit, m_parameters, now);
    if (added && m_newWorkspaces.count(workspace) > 0)
        entry->second = limit_allocator::forNewWorkspace(limit, m_parameters, hosts, now);
    entry->second.setLimit(limit);
    const double granted = grant(workspace, m_self, demandOf(workspace));
    m_leases[workspace] = {granted, now + m_parameters.leaseTime};
}

double limit_exchange::leasedRate(const std::string &workspace) const
{
    const auto lease = m_leases.find(workspace);
    const bool isValid = lease != m_leases.end() && lease->second.expires > m_time.now();
    return isValid ? lease->second.perSecond : 0;
}

workspace_rate limit_exchange::demandOf(const std::string &workspace) const
{
    const auto demand = m_demand.find(workspace);
    const double wanted = demand == m_demand.end() ? 0 : demand->second;
    return {workspace, std::max(minDemandPerSecond, wanted), leasedRate(workspace)};
}

void limit_exchange::applyRate(const std::string &workspace)
{
    const double reserved = reservedRate(m_limits[workspace], m_voters, m_parameters);
    m_view.limits().setRate(workspace, leasedRate(workspace) + reserved, m_time.now());
}

double limit_exchange::grant(const std::string &workspace, const std::string &host,
                             const workspace_rate &demand)
{
    const auto allocator = m_allocators.find(workspace);
    if (allocator == m_allocators.end())
        return 0;
    return allocator->second.grant({host, demand.perSecond, demand.leasedPerSecond}, m_time.now());
}

std::vector<std::string> limit_exchange::pingTargets() const
{
    std::vector<std::string> targets;
    for (const auto &[workspace, host] : m_allocatorOf)
        if (host.name != m_self)
            targets.push_back(host.peerAddress);
    return targets;
}

void limit_exchange::fillPing(const std::string &address, ping_message &ping) const
{
    for (const auto &[workspace, host] : m_allocatorOf) {
        if (host.peerAddress == address && ping.demands.size() < maxDemands)
            ping.demands.push_back(demandOf(workspace));
    }
}

void limit_exchange::fillPong(const ping_message &ping, pong_message &pong)
{
    for (std::size_t i = 0; i < ping.demands.size() && i < maxDemands; ++i) {
        const workspace_rate &demand = ping.demands[i];
        if (m_allocators.count(demand.workspace) > 0)
            pong.grants.push_back(
                {demand.workspace, grant(demand.workspace, ping.host, demand), 0});
    }
}

void limit_exchange::onPong(time_point sentAt, const pong_message &pong)
{
    for (const workspace_rate &granted : pong.grants) {
        m_leases[granted.workspace] = {granted.perSecond, sentAt + m_parameters.leaseTime};
        applyRate(granted.workspace);
    }
}

} // namespace goldcrestdeck
