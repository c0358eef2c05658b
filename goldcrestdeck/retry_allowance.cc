// The sliding window is approximated by buckets of a fraction of its length; the unused part of the
// budget covers the error of counting whole buckets.

#include "goldcrestdeck/retry_allowance.h"

#include <algorithm>

namespace goldcrestdeck {

namespace {

constexpr int bucketsPerWindow = 20;

} // namespace

retry_allowance::retry_allowance(retry_parameters parameters)
    : m_parameters(parameters)
{ }

void retry_allowance::recordRequest(time_point now)
{
    currentBucket(now).requests += 1;
}

bool retry_allowance::mayRetry(retry_reason reason, time_point now) const
{
    double requests = 0;
    double retries = 0;
    for (const bucket &counted : m_buckets) {
        if (now - counted.begin > m_parameters.window)
            continue;
        requests += counted.requests;
        retries += counted.retries;
    }
    const double ratio = m_parameters.ratio * m_parameters.usableFraction;
    if (reason == retry_reason::upgrade)
        return retries + 1 <= ratio * m_parameters.upgradeFraction * requests;
    return retries + 1 <= ratio * requests
        + m_parameters.slack * m_parameters.usableFraction
            / static_cast<double>(m_parameters.hosts);
}

void retry_allowance::recordRetry(time_point now)
{
    currentBucket(now).retries += 1;
}

void retry_allowance::refundRetry(time_point countedAt)
{
    const auto counted
        = std::find_if(m_buckets.rbegin(), m_buckets.rend(),
                       [countedAt](const bucket &entry) { return entry.begin <= countedAt; });
    if (counted != m_buckets.rend())
        counted->retries -= 1;
}

retry_allowance::bucket &retry_allowance::currentBucket(time_point now)
{
    const auto length = m_parameters.window / bucketsPerWindow;
    if (m_buckets.empty() || now - m_buckets.back().begin >= length)
        m_buckets.push_back({now});
    while (now - m_buckets.front().begin > m_parameters.window + length)
        m_buckets.pop_front();
    return m_buckets.back();
}

} // namespace goldcrestdeck
