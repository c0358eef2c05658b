#ifndef GOLDCRESTDECK_LIMITS_H_
#define GOLDCRESTDECK_LIMITS_H_

/// \file
/// Workspace rate limits shared among hosts, load shedding by priority, retry budget and circuit
/// breaker.
///
/// One host at a time, the allocator, divides a workspace's limit into leased shares that never add
/// up to more than the limit. A host without a lease uses its reserved rate, which the allocator
/// never leases out, so the limit holds during network partitions as well.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

/// Minimum capacity of a token bucket; with a capacity of one, requests at random intervals either
/// find the bucket empty or arrive after tokens have overflowed.
constexpr double minimumBurst = 2;

/// Token bucket rate limiter with a burst of \a burstSeconds at the current rate.
class token_bucket
{
public:
    explicit token_bucket(double burstSeconds);

    /// Changes the rate; tokens beyond the new burst size are discarded.
    void setRate(double perSecond, time_point now);
    /// Takes a token. \returns whether one was available.
    bool take(time_point now);
    /// Time until a token is available.
    duration waitTime(time_point now) const;

private:
    void refill(time_point now);
    double burst() const { return std::max(minimumBurst, m_perSecond * m_burstSeconds); }

    double m_burstSeconds;
    double m_perSecond = 0;
    double m_tokens = 0;
    time_point m_updated;
    bool m_started = false;
};

/// A leased share of a workspace's limit.
struct limit_lease {
    double perSecond = 0;
    time_point expires;
};

struct limit_parameters {
    duration leaseTime = std::chrono::seconds(2);
    /// Maximum time for which hosts use the initial shares of a new workspace.
    duration initialShareTime = std::chrono::seconds(4);
    /// Maximum difference between the times at which hosts receive a table; hosts that receive it
    /// later do not admit requests.
    duration maxTableSkew = std::chrono::seconds(4);
    /// Fraction of the limit that is divided equally among the voters and never leased out.
    double reservedFraction = 0.05;
};

/// Rate of a host that has no lease.
double reservedRate(double limit, std::size_t voters, const limit_parameters &parameters);

/// A host's lease request to the allocator.
struct limit_request {
    std::string host;
    double demand = 0;     ///< Requests per second.
    double leasedRate = 0; ///< Rate of its unexpired lease, or 0.
};

/// Divides one workspace's limit among hosts in proportion to demand.
///
/// A new allocator does not know the leases granted by its predecessor. Until those have expired it
/// only renews existing leases, which cannot increase their sum.
class limit_allocator
{
public:
    limit_allocator(double limit, limit_parameters parameters, time_point startedAt);

    /// Creates an allocator for a workspace that is new in the table. Each of \a hosts starts with
    /// an equal share, which it assumes by itself on receiving the table. No earlier leases exist,
    /// so the allocator grants new ones at once.
    static limit_allocator forNewWorkspace(double limit, limit_parameters parameters,
                                           const std::vector<std::string> &hosts, time_point now);

    void setLimit(double limit) { m_limit = limit; }

    /// \returns the rate that the host may use for leaseTime, counted from when it sent the
    /// request.
    double grant(const limit_request &request, time_point now);

private:
    struct share {
        double demand = 0;
        double granted = 0;
        time_point expires;
    };

    void removeExpired(time_point now);

    double m_limit;
    limit_parameters m_parameters;
    time_point m_grantsFrom;
    std::map<std::string, share> m_shares;
};

/// Rate of each host for a workspace that is new in the table, until its first lease.
double initialRate(double limit, std::size_t voters, const limit_parameters &parameters);

/// \returns the highest priority value admitted at \a load, from 0 (idle) to 1 (full). Higher
/// values are less urgent and are shed first.
std::uint8_t highestAdmittedPriority(double load);

/// Limits retries to a fraction of the requests.
class retry_budget
{
public:
    explicit retry_budget(double fraction);
    void recordRequest();
    bool tryRetry();

private:
    double m_fraction;
    double m_tokens;
};

/// Stops sending to a failing upstream and probes it with a single request after a pause.
class circuit_breaker
{
public:
    bool allows(time_point now) const;
    /// Records a send. In the half-open state, it blocks further requests until it succeeds or
    /// another pause has passed.
    void recordSend(time_point now);
    void recordSuccess();
    void recordFailure(time_point now);

private:
    int m_consecutiveFailures = 0;
    time_point m_openUntil;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_LIMITS_H_
