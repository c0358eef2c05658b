#ifndef GOLDCRESTDECK_MEMBERSHIP_H_
#define GOLDCRESTDECK_MEMBERSHIP_H_

/// \file
/// Which hosts are alive, by gossiped heartbeats, and which upstreams are draining.
///
/// Each exchange between two hosts carries a bounded sample of what either knows, so the cost of
/// membership does not grow with the fleet. The view is only a hint: which hosts may admit requests
/// is decided by revision_guard, which does not depend on it.

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

/// Hash of a host's name: takes eight bytes in each heartbeat instead of the name.
using host_id = std::uint64_t;

/// The state of a host, as reported by itself or passed on by another one.
struct heartbeat {
    host_id host = 0;
    std::uint64_t incarnation = 0; ///< Process start time in milliseconds; the highest counts.
    std::uint64_t beat = 0;
    bool leaving = false;
};

bool operator==(const heartbeat &a, const heartbeat &b);

/// An upstream that must get no new requests until the mark expires.
struct draining_mark {
    std::string upstream;
    std::chrono::milliseconds remaining{};
};

struct membership_limits {
    /// A host without a new heartbeat for this long is not counted as live. suspectAfterPerHost is
    /// added for each tracked host, since a sample contains only some of them.
    duration suspectAfter = std::chrono::seconds(3);
    duration suspectAfterPerHost = std::chrono::milliseconds(50);
    /// A host without a new heartbeat for this long may be removed from the voters.
    duration deadAfter = std::chrono::seconds(60);
    std::size_t sampleSize = 8;
};

class membership
{
public:
    membership(const std::string &self, std::uint64_t incarnation, membership_limits limits);

    /// Sets the hosts to track. Heartbeats of other hosts are dropped, so that removed hosts are
    /// not gossiped for ever.
    void setTrackedHosts(const std::vector<std::string> &hosts);
    /// Increments this host's heartbeat counter.
    void advanceHeartbeat(time_point now);
    void announceLeaving() { m_members.at(m_self).newest.leaving = true; }
    void merge(const std::vector<heartbeat> &received, time_point now);

    /// Returns this host's own heartbeat and a random sample of the others'.
    template<typename Random>
    std::vector<heartbeat> sample(Random &random) const;

    /// Whether \a host is this one, or has sent a recent heartbeat and is not leaving.
    bool isLive(const std::string &host, time_point now) const;
    /// Whether no new heartbeat of \a host has arrived for deadAfter, counted from \a since at the
    /// earliest.
    bool isDead(const std::string &host, time_point since, time_point now) const;

    /// Marks an upstream as draining. Of several marks of one upstream, the one that expires last
    /// applies.
    void markDraining(const draining_mark &mark, time_point now);
    bool isDraining(const std::string &upstream, time_point now) const;
    std::vector<draining_mark> drainingMarks(time_point now) const;

private:
    struct member {
        heartbeat newest;
        time_point lastSeenAt;
    };

    host_id m_self;
    membership_limits m_limits;
    std::set<host_id> m_trackedHosts;
    std::map<host_id, member> m_members;
    std::map<std::string, time_point> m_drainingUntil;
};

template<typename Random>
std::vector<heartbeat> membership::sample(Random &random) const
{
    std::vector<heartbeat> all;
    for (const auto &[name, member] : m_members)
        if (name != m_self)
            all.push_back(member.newest);
    std::shuffle(all.begin(), all.end(), random);
    if (all.size() >= m_limits.sampleSize)
        all.resize(m_limits.sampleSize - 1);
    all.push_back(m_members.at(m_self).newest);
    return all;
}

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_MEMBERSHIP_H_
