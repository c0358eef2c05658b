// The mean decays with a half-life, so that the estimate follows a version that recovers or drifts.
// Decay alone detects a sudden drop too slowly, hence the one-sided CUSUM test: it accumulates the
// shortfall of ratings below a reference value slightly under the target and resets to zero when
// the sum would become negative. It needs only counts and sums, so increments from many hosts can
// be added in any order. The threshold scales with the variance of the ratings, which keeps the
// false alarm rate the same for graded ratings, where few suffice, and binary ratings, where many
// are needed.

#include "goldcrestdeck/quality.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace goldcrestdeck {

bool operator<(const rating_subject &a, const rating_subject &b)
{
    return std::tie(a.workClass, a.version) < std::tie(b.workClass, b.version);
}

bool operator==(const rating_subject &a, const rating_subject &b)
{
    return std::tie(a.workClass, a.version) == std::tie(b.workClass, b.version);
}

rating_sums sumsOf(double rating)
{
    const bool passes = rating >= passThreshold;
    return {1, rating, passes ? 1U : 0U, passes ? rating : 0, rating * rating};
}

rating_sums operator+(const rating_sums &a, const rating_sums &b)
{
    return {a.count + b.count, a.sum + b.sum, a.passCount + b.passCount, a.passSum + b.passSum,
            a.squares + b.squares};
}

rating_sums operator-(const rating_sums &a, const rating_sums &b)
{
    return {a.count - b.count, a.sum - b.sum, a.passCount - b.passCount, a.passSum - b.passSum,
            a.squares - b.squares};
}

bool operator==(const rating_sums &a, const rating_sums &b)
{
    return std::tie(a.count, a.sum, a.passCount, a.passSum, a.squares)
        == std::tie(b.count, b.sum, b.passCount, b.passSum, b.squares);
}

void rating_replica::add(const std::string &source, const rating_subject &subject,
                         const rating_sums &sums)
{
    const entry_key key(source, subject);
    entry &own = m_entries[key];
    own.total = own.total + sums;
    recordChange(key, own);
}

rating_sums rating_replica::merge(const rating_counter &counter)
{
    const entry_key key(counter.source, counter.subject);
    entry &known = m_entries[key];
    // Counters only grow, so the larger count is the later total.
    if (counter.total.count <= known.total.count)
        return {};
    const rating_sums increment = counter.total - known.total;
    known.total = counter.total;
    recordChange(key, known);
    return increment;
}

void rating_replica::recordChange(const entry_key &key, entry &changed)
{
    m_byChange.erase(changed.change);
    changed.change = ++m_lastChange;
    m_byChange.emplace(changed.change, key);
}

rating_replica::changes rating_replica::changedAfter(std::uint64_t since,
                                                     std::size_t maxCount) const
{
    changes result;
    result.upTo = since;
    for (auto it = m_byChange.upper_bound(since); it != m_byChange.end(); ++it) {
        if (result.counters.size() == maxCount)
            return result;
        const auto &[source, subject] = it->second;
        result.counters.push_back({source, subject, m_entries.at(it->second).total});
        result.upTo = it->first;
    }
    return result;
}

quality_estimator::quality_estimator(double target, quality_parameters parameters)
    : m_target(target)
    , m_parameters(parameters)
{ }

void quality_estimator::add(const rating_sums &increment, time_point now)
{
    if (increment.count == 0)
        return;
    const double decay = decayFactor(now);
    m_weight = m_weight * decay + static_cast<double>(increment.count);
    m_sum = m_sum * decay + increment.sum;
    m_passWeight = m_passWeight * decay + static_cast<double>(increment.passCount);
    m_passSum = m_passSum * decay + increment.passSum;
    m_updated = std::max(m_updated, now);
    m_allRatings = m_allRatings + increment;
    updateCusum(increment, now);
}

double quality_estimator::cusumThreshold() const
{
    const double count = static_cast<double>(m_allRatings.count);
    const double mean = count > 0 ? m_allRatings.sum / count : 0;
    const double squaredDeviations = std::max(0.0, m_allRatings.squares - mean * m_allRatings.sum);
    const double variance
        = (squaredDeviations + m_parameters.priorVariance * m_parameters.priorVarianceWeight)
        / (count + m_parameters.priorVarianceWeight);
    // A random walk with a drift of -cusumSlack per step crosses this threshold about once in
    // e^cusumLogRunLength steps.
    return m_parameters.cusumLogRunLength * variance / (2 * m_parameters.cusumSlack);
}

void quality_estimator::updateCusum(const rating_sums &increment, time_point now)
{
    const double reference = m_target - m_parameters.cusumSlack;
    m_cusum += static_cast<double>(increment.count) * reference - increment.sum;
    m_cusum = std::max(0.0, m_cusum);
    const double threshold = cusumThreshold();
    if (m_cusum < threshold)
        return;
    m_everSuspended = true;
    m_suspendedAt = now;
    // Restart at half the threshold: after the suspension, half as many low ratings suspend the
    // version again.
    m_cusum = threshold / 2;
    m_weight = 0;
    m_sum = 0;
    m_passWeight = 0;
    m_passSum = 0;
}

quality_estimate quality_estimator::estimate(time_point now) const
{
    const double decay = decayFactor(now);
    const double weight = m_weight * decay;
    const double total = weight + m_parameters.priorWeight;
    quality_estimate result;
    result.weight = weight;
    result.mean = (m_sum * decay + m_parameters.priorMean * m_parameters.priorWeight) / total;
    // The variance of a value in [0, 1] is at most that of a Bernoulli variable with the same mean.
    const double deviation = std::sqrt(result.mean * (1 - result.mean) / total);
    result.lowerBound = std::max(0.0, result.mean - m_parameters.confidence * deviation);
    result.upperBound = std::min(1.0, result.mean + m_parameters.confidence * deviation);
    result.passRate = m_weight > 0 ? m_passWeight / m_weight : 0;
    result.passMean = m_passWeight > 0 ? m_passSum / m_passWeight : 0;
    result.suspended = m_everSuspended && now - m_suspendedAt < m_parameters.suspensionTime;
    return result;
}

double quality_estimator::decayFactor(time_point now) const
{
    if (now <= m_updated)
        return 1;
    const double halfLives = std::chrono::duration<double>(now - m_updated).count()
        / std::chrono::duration<double>(m_parameters.halfLife).count();
    return std::exp2(-halfLives);
}

} // namespace goldcrestdeck
