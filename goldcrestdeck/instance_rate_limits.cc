// Sends are spaced rather than counted per window: with k shares of a limit L, a host waits k / L
// between two sends, so that any t seconds hold at most t * L / k + 1 of them.
//
// A response without a limit lifts it only if its request was sent after the limit was last named:
// responses on different connections can overtake each other.

#include "goldcrestdeck/instance_rate_limits.h"

#include <algorithm>
#include <cmath>

#include "goldcrestdeck/host_registration.h"
#include "goldcrestdeck/placement.h"

namespace goldcrestdeck {

namespace {

/// Bounds of a limit in requests per second. The lower one keeps some requests going to the
/// instance, whose responses show when the limit ends.
constexpr double minPerSecond = 0.1;
constexpr double maxPerSecond = 1e6;
/// Smaller relative changes are not worth reporting.
constexpr double reportedChange = 0.1;
/// Shares of a limit of less than one request per second; one more for each request per second.
/// With fewer, a limit would often go unused, as each host gets only some of the requests.
constexpr std::size_t minShares = 3;

/// Time after the last contact with the store for which this host's registration surely holds.
constexpr std::chrono::milliseconds listLifetime
    = hostRegistrationLifetime - hostRegistrationRenewal;

duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::size_t shareCount(double perSecond, std::size_t hosts)
{
    return std::min(hosts, minShares + static_cast<std::size_t>(perSecond));
}

} // namespace

instance_rate_limits::instance_rate_limits(std::string host, std::uint64_t seed)
    : m_host(std::move(host))
    , m_random(seed)
    , m_hosts(std::make_shared<const std::set<std::string>>())
{ }

void instance_rate_limits::setHosts(std::shared_ptr<const std::set<std::string>> hosts,
                                    std::size_t fleetSize)
{
    m_fleetSize = std::max<std::size_t>(fleetSize, 1);
    if (hosts == m_hosts)
        return;
    m_hosts = std::move(hosts);
    for (auto &entry : m_limits)
        entry.second.rank = rankFor(entry.first);
}

bool instance_rate_limits::recordResponse(const std::string &incarnation,
                                          std::optional<double> perSecond, time_point sentAt,
                                          time_point now)
{
    const auto known = m_limits.find(incarnation);
    if (!perSecond) {
        if (known == m_limits.end() || sentAt < known->second.namedAt)
            return false;
        m_limits.erase(known);
        return true;
    }
    const bool isNew = known == m_limits.end();
    const double previous = isNew ? 0 : known->second.perSecond;
    named_limit &limit = set(incarnation, *perSecond, now);
    if (isNew)
        limit.lastSendAt = sentAt;
    return isNew || std::abs(limit.perSecond - previous) > reportedChange * previous;
}

void instance_rate_limits::recordReport(const rate_limit_report &report, time_point receivedAt)
{
    const auto known = m_limits.find(report.incarnation);
    if (known != m_limits.end() && known->second.namedAt > receivedAt)
        return; // This host has heard from the instance since.
    if (report.perSecond)
        set(report.incarnation, *report.perSecond, receivedAt);
    else
        m_limits.erase(report.incarnation);
}

std::optional<time_point> instance_rate_limits::nextSendAt(const std::string &incarnation,
                                                           time_point now) const
{
    const auto known = m_limits.find(incarnation);
    if (known == m_limits.end())
        return now;
    const named_limit &limit = known->second;
    const time_point listedUntil = m_confirmedAt + listLifetime;
    const bool isListed = m_hosts->count(m_host) > 0 && now < listedUntil;
    const std::size_t shares
        = isListed ? shareCount(limit.perSecond, m_hosts->size()) : m_fleetSize;
    if (isListed && limit.rank >= shares)
        return std::nullopt;
    const double interval = static_cast<double>(shares) / limit.perSecond;
    time_point next = now;
    if (limit.lastSendAt)
        next = std::max(next, *limit.lastSendAt + secondsOf(interval));
    if (!isListed) {
        // Hosts that lose their places at the same time must not all send at that time.
        const time_point unlistedSince
            = listedUntil <= now ? std::max(limit.firstKnownAt, listedUntil) : limit.firstKnownAt;
        next = std::max(next, unlistedSince + secondsOf(limit.initialDelay * interval));
    }
    return next;
}

void instance_rate_limits::recordSend(const std::string &incarnation, time_point now)
{
    const auto known = m_limits.find(incarnation);
    if (known != m_limits.end())
        known->second.lastSendAt = now;
}

std::optional<double> instance_rate_limits::limitOf(const std::string &incarnation) const
{
    const auto known = m_limits.find(incarnation);
    if (known == m_limits.end())
        return std::nullopt;
    return known->second.perSecond;
}

void instance_rate_limits::retain(const std::set<std::string> &incarnations)
{
    for (auto i = m_limits.begin(); i != m_limits.end();)
        i = incarnations.count(i->first) == 0 ? m_limits.erase(i) : std::next(i);
}

instance_rate_limits::named_limit &instance_rate_limits::set(const std::string &incarnation,
                                                             double perSecond, time_point now)
{
    const auto inserted = m_limits.emplace(incarnation, named_limit());
    named_limit &limit = inserted.first->second;
    if (inserted.second) {
        limit.firstKnownAt = now;
        limit.initialDelay = std::uniform_real_distribution<double>(0, 1)(m_random);
        limit.rank = rankFor(incarnation);
    }
    limit.perSecond = std::clamp(perSecond, minPerSecond, maxPerSecond);
    limit.namedAt = now;
    return limit;
}

std::size_t instance_rate_limits::rankFor(const std::string &incarnation) const
{
    const std::uint64_t key = rendezvousRank(0, incarnation);
    const std::uint64_t own = rendezvousRank(key, m_host);
    return std::count_if(m_hosts->begin(), m_hosts->end(),
                         [&](const std::string &host) { return rendezvousRank(key, host) > own; });
}

} // namespace goldcrestdeck
