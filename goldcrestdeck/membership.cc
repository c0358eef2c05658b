// Heartbeats carry a counter instead of a time stamp, since the clocks of the hosts need not agree:
// a host is judged by the local time at which its counter last rose.

#include "goldcrestdeck/membership.h"

#include <iterator>
#include <tuple>

#include "goldcrestdeck/digest.h"

namespace goldcrestdeck {

namespace {

/// Limits the memory that malicious or faulty peers can take up.
constexpr std::size_t maxMarks = 4096;
constexpr std::chrono::minutes maxMarkDuration{10};

bool isNewer(const heartbeat &a, const heartbeat &b)
{
    return std::tie(a.incarnation, a.beat) > std::tie(b.incarnation, b.beat);
}

} // namespace

bool operator==(const heartbeat &a, const heartbeat &b)
{
    return std::tie(a.host, a.incarnation, a.beat, a.leaving)
        == std::tie(b.host, b.incarnation, b.beat, b.leaving);
}

membership::membership(const std::string &self, std::uint64_t incarnation, membership_limits limits)
    : m_self(stableHash(self))
    , m_limits(limits)
{
    m_members[m_self] = {{m_self, incarnation, 0, false}, time_point()};
}

void membership::setTrackedHosts(const std::vector<std::string> &hosts)
{
    m_trackedHosts.clear();
    for (const std::string &host : hosts)
        m_trackedHosts.insert(stableHash(host));
    for (auto it = m_members.begin(); it != m_members.end();) {
        const bool kept = it->first == m_self || m_trackedHosts.count(it->first) > 0;
        it = kept ? std::next(it) : m_members.erase(it);
    }
}

void membership::advanceHeartbeat(time_point now)
{
    member &own = m_members.at(m_self);
    ++own.newest.beat;
    own.lastSeenAt = now;
}

void membership::merge(const std::vector<heartbeat> &received, time_point now)
{
    for (const heartbeat &beat : received) {
        if (beat.host == m_self || m_trackedHosts.count(beat.host) == 0)
            continue;
        const auto known = m_members.find(beat.host);
        if (known == m_members.end())
            m_members[beat.host] = {beat, now};
        else if (isNewer(beat, known->second.newest))
            known->second = {beat, now};
    }
}

bool membership::isLive(const std::string &host, time_point now) const
{
    const host_id id = stableHash(host);
    const auto known = m_members.find(id);
    if (known == m_members.end())
        return false;
    const duration timeout = m_limits.suspectAfter
        + m_limits.suspectAfterPerHost * static_cast<std::int64_t>(m_trackedHosts.size());
    const bool isRecent = now - known->second.lastSeenAt < timeout;
    return id == m_self || (isRecent && !known->second.newest.leaving);
}

bool membership::isDead(const std::string &host, time_point since, time_point now) const
{
    const host_id id = stableHash(host);
    const auto known = m_members.find(id);
    const time_point lastSeenAt = known == m_members.end() ? since : known->second.lastSeenAt;
    return id != m_self && now - std::max(lastSeenAt, since) > m_limits.deadAfter;
}

void membership::markDraining(const draining_mark &mark, time_point now)
{
    const bool known = m_drainingUntil.count(mark.upstream) > 0;
    if (!known && m_drainingUntil.size() >= maxMarks)
        return;
    const auto remaining = std::min<std::chrono::milliseconds>(mark.remaining, maxMarkDuration);
    time_point &until = m_drainingUntil[mark.upstream];
    until = std::max(until, now + remaining);
}

bool membership::isDraining(const std::string &upstream, time_point now) const
{
    const auto mark = m_drainingUntil.find(upstream);
    return mark != m_drainingUntil.end() && mark->second > now;
}

std::vector<draining_mark> membership::drainingMarks(time_point now) const
{
    std::vector<draining_mark> active;
    for (const auto &[upstream, until] : m_drainingUntil)
        if (until > now)
            active.push_back(
                {upstream, std::chrono::duration_cast<std::chrono::milliseconds>(until - now)});
    return active;
}

} // namespace goldcrestdeck
