#include "goldcrestdeck/limits.h"

#include <array>
#include <iterator>

namespace goldcrestdeck {

namespace {

constexpr double maxRetryTokens = 10; ///< Retries available after an idle period.
constexpr int failuresToOpen = 5;
constexpr std::chrono::seconds openTime{5};
/// Load at which each priority, starting from 0, is shed.
constexpr std::array<double, 4> shedThresholds = {1.0, 0.95, 0.85, 0.75};

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

token_bucket::token_bucket(double burstSeconds)
    : m_burstSeconds(burstSeconds)
{ }

void token_bucket::refill(time_point now)
{
    if (!m_started) {
        m_started = true;
        m_updated = now;
        m_tokens = burst();
    }
    if (now > m_updated)
        m_tokens += seconds(now - m_updated) * m_perSecond;
    m_tokens = std::min(m_tokens, burst());
    m_updated = std::max(m_updated, now);
}

void token_bucket::setRate(double perSecond, time_point now)
{
    refill(now);
    m_perSecond = perSecond;
    m_tokens = std::min(m_tokens, burst());
}

bool token_bucket::take(time_point now)
{
    refill(now);
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

duration token_bucket::waitTime(time_point now) const
{
    const double elapsed = now > m_updated ? seconds(now - m_updated) : 0;
    const double missing = 1 - (m_tokens + elapsed * m_perSecond);
    if (missing <= 0 || m_perSecond <= 0)
        return m_perSecond > 0 ? duration(0) : std::chrono::seconds(60);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(missing / m_perSecond));
}

double reservedRate(double limit, std::size_t voters, const limit_parameters &parameters)
{
    return voters == 0 ? 0 : limit * parameters.reservedFraction / static_cast<double>(voters);
}

double initialRate(double limit, std::size_t voters, const limit_parameters &parameters)
{
    return voters == 0 ? 0
                       : limit * (1 - parameters.reservedFraction) / static_cast<double>(voters);
}

limit_allocator::limit_allocator(double limit, limit_parameters parameters, time_point startedAt)
    : m_limit(limit)
    , m_parameters(parameters)
    , m_grantsFrom(startedAt + parameters.leaseTime)
{ }

limit_allocator limit_allocator::forNewWorkspace(double limit, limit_parameters parameters,
                                                 const std::vector<std::string> &hosts,
                                                 time_point now)
{
    limit_allocator allocator(limit, parameters, now);
    allocator.m_grantsFrom = now;
    const double rate = initialRate(limit, hosts.size(), parameters);
    for (const std::string &host : hosts)
        allocator.m_shares[host]
            = {0, rate, now + parameters.maxTableSkew + parameters.initialShareTime};
    return allocator;
}

void limit_allocator::removeExpired(time_point now)
{
    for (auto it = m_shares.begin(); it != m_shares.end();)
        it = it->second.expires < now ? m_shares.erase(it) : std::next(it);
}

double limit_allocator::grant(const limit_request &request, time_point now)
{
    removeExpired(now);
    share &own = m_shares[request.host];
    own.demand = std::max(0.0, request.demand);
    own.expires = now + m_parameters.leaseTime;
    if (now < m_grantsFrom) {
        own.granted = request.leasedRate;
        return own.granted;
    }
    double leasedToOthers = 0;
    double totalDemand = 0;
    for (const auto &[host, share] : m_shares) {
        leasedToOthers += host == request.host ? 0 : share.granted;
        totalDemand += share.demand;
    }
    const double leasable = m_limit * (1 - m_parameters.reservedFraction);
    const double proportionalShare = totalDemand > 0 ? leasable * own.demand / totalDemand : 0;
    own.granted = std::max(0.0, std::min(proportionalShare, leasable - leasedToOthers));
    return own.granted;
}

std::uint8_t highestAdmittedPriority(double load)
{
    for (std::size_t level = shedThresholds.size(); level > 0; --level)
        if (load < shedThresholds[level - 1])
            return static_cast<std::uint8_t>(level - 1);
    return 0;
}

retry_budget::retry_budget(double fraction)
    : m_fraction(fraction)
    , m_tokens(maxRetryTokens)
{ }

void retry_budget::recordRequest()
{
    m_tokens = std::min(maxRetryTokens, m_tokens + m_fraction);
}

bool retry_budget::tryRetry()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool circuit_breaker::allows(time_point now) const
{
    return m_consecutiveFailures < failuresToOpen || now >= m_openUntil;
}

void circuit_breaker::recordSend(time_point now)
{
    if (m_consecutiveFailures >= failuresToOpen)
        m_openUntil = now + openTime;
}

void circuit_breaker::recordSuccess()
{
    m_consecutiveFailures = 0;
}

void circuit_breaker::recordFailure(time_point now)
{
    ++m_consecutiveFailures;
    m_openUntil = now + openTime;
}

} // namespace goldcrestdeck
