// An instance whose slots are divided has nothing to reject as long as all hosts agree on the list
// of hosts. Rejections that happen all the same, when lists differ or an instance has fewer free
// slots than it registered, close the instance to a host for so long that all hosts together stay
// below the bound.

#include "goldcrestdeck/brittle_services.h"

#include <algorithm>
#include <functional>

#include "goldcrestdeck/placement.h"

namespace goldcrestdeck {

namespace {

/// Time after which a service that has not been heard of is tried as usual again.
constexpr std::chrono::seconds brittleMemory{10};
/// Bounds of the time for which an instance is closed after a rejection.
constexpr std::chrono::milliseconds minClosedTime{500};
constexpr std::chrono::milliseconds maxClosedTime{10'000};
/// Lower bound of the rejections a second that an instance is taken to bear.
constexpr double minRejectionsPerSecond = 0.1;
/// Ranks kept before the least recent are computed anew.
constexpr std::size_t maxRanks = 10'000;

} // namespace

std::size_t placesFor(std::size_t rank, std::size_t hosts, std::size_t slots)
{
    return slots / hosts + (rank < slots % hosts ? 1 : 0);
}

brittle_services::brittle_services(std::string host)
    : m_host(std::move(host))
    , m_hosts(std::make_shared<const std::set<std::string>>())
{ }

void brittle_services::setHosts(std::shared_ptr<const std::set<std::string>> hosts)
{
    if (hosts == m_hosts)
        return;
    m_hosts = std::move(hosts);
    m_ranks.clear();
}

bool brittle_services::recordResponse(const std::string &service,
                                      std::optional<double> rejectionsPerSecond, time_point sentAt,
                                      time_point now)
{
    const auto known = m_services.find(service);
    if (!rejectionsPerSecond) {
        if (known == m_services.end() || sentAt < known->second.namedAt)
            return false;
        m_services.erase(known);
        return true;
    }
    named_bound &bound = m_services[service];
    bound.rejectionsPerSecond = std::max(*rejectionsPerSecond, minRejectionsPerSecond);
    bound.namedAt = now;
    return known == m_services.end();
}

void brittle_services::recordRejection(const std::string &service, const std::string &incarnation,
                                       unsigned slots, time_point now)
{
    const auto known = m_services.find(service);
    if (known == m_services.end())
        return;
    const double hosts
        = static_cast<double>(std::clamp<std::size_t>(m_hosts->size(), 1, std::max(slots, 1U)));
    const auto closed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(hosts / known->second.rejectionsPerSecond));
    known->second.closedUntil[incarnation] = now + std::clamp(closed, minClosedTime, maxClosedTime);
}

bool brittle_services::isBrittle(const std::string &service, time_point now) const
{
    const auto known = m_services.find(service);
    return known != m_services.end() && now - known->second.namedAt < brittleMemory;
}

bool brittle_services::maySend(const instance &target, double inFlight, time_point now) const
{
    if (!isBrittle(target.service, now))
        return true;
    const std::string incarnation = target.incarnation();
    const named_bound &bound = m_services.at(target.service);
    const auto closed = bound.closedUntil.find(incarnation);
    if (closed != bound.closedUntil.end() && now < closed->second)
        return false;
    auto rank = m_ranks.find(incarnation);
    if (rank == m_ranks.end()) {
        if (m_ranks.size() >= maxRanks)
            m_ranks.clear();
        rank = m_ranks.emplace(incarnation, rankOf(m_host, incarnation)).first;
    }
    const std::size_t hosts = std::max<std::size_t>(m_hosts->size(), 1);
    return inFlight + 1 <= static_cast<double>(placesFor(rank->second, hosts, target.slots));
}

std::set<std::string>
brittle_services::hostsWithPlaces(const std::vector<instance> &instances) const
{
    std::set<std::string> result;
    for (const instance &entry : instances) {
        const std::uint64_t key = rendezvousRank(0, entry.incarnation());
        std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
        ranked.reserve(m_hosts->size());
        for (const std::string &host : *m_hosts)
            ranked.emplace_back(rendezvousRank(key, host), &host);
        const std::size_t count = std::min<std::size_t>(ranked.size(), entry.slots);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                          ranked.end(), std::greater<>());
        for (std::size_t i = 0; i < count; ++i)
            result.insert(*ranked[i].second);
    }
    return result;
}

std::size_t brittle_services::rankOf(const std::string &host, const std::string &incarnation) const
{
    const std::uint64_t key = rendezvousRank(0, incarnation);
    const std::uint64_t own = rendezvousRank(key, host);
    return std::count_if(m_hosts->begin(), m_hosts->end(), [&](const std::string &other) {
        return rendezvousRank(key, other) > own;
    });
}

} // namespace goldcrestdeck
