#ifndef GOLDCRESTDECK_QUALITY_H_
#define GOLDCRESTDECK_QUALITY_H_

/// \file
/// Estimates the quality of each version, by work class, from ratings of answers.
///
/// Hosts exchange ratings as grow-only counters, so counters may be delayed, duplicated or
/// reordered. An estimator turns the increments into an exponentially decayed mean with confidence
/// bounds, and runs a CUSUM test that suspends a version as soon as it is probably below target.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

/// Identifies the ratings of one version for one work class.
struct rating_subject {
    std::string workClass;
    std::string version;
};

bool operator<(const rating_subject &a, const rating_subject &b);
bool operator==(const rating_subject &a, const rating_subject &b);

/// Sums over ratings from 0 to 1. A rating of at least passThreshold passes.
struct rating_sums {
    std::uint64_t count = 0;
    double sum = 0;
    std::uint64_t passCount = 0;
    double passSum = 0;
    double squares = 0; ///< Sum of squared ratings, for the variance.
};

constexpr double passThreshold = 0.7;

rating_sums sumsOf(double rating);
rating_sums operator+(const rating_sums &a, const rating_sums &b);
rating_sums operator-(const rating_sums &a, const rating_sums &b);
bool operator==(const rating_sums &a, const rating_sums &b);

/// One source's running total, as exchanged between hosts. A source is a host and its incarnation.
struct rating_counter {
    std::string source;
    rating_subject subject;
    rating_sums total;
};

/// This host's replica of the rating counters of all sources. Merging is idempotent and
/// commutative.
class rating_replica
{
public:
    /// Adds ratings by this host.
    void add(const std::string &source, const rating_subject &subject, const rating_sums &sums);

    /// Merges another host's total. \returns the increment over the previously known total.
    rating_sums merge(const rating_counter &counter);

    /// Counters changed after change number \a since, at most \a maxCount, oldest change first.
    struct changes {
        std::uint64_t upTo = 0; ///< Number of the last change listed.
        std::vector<rating_counter> counters;
    };
    changes changedAfter(std::uint64_t since, std::size_t maxCount) const;

private:
    struct entry {
        rating_sums total;
        std::uint64_t change = 0; ///< Number of the latest change.
    };
    using entry_key = std::pair<std::string, rating_subject>;

    void recordChange(const entry_key &key, entry &changed);

    std::map<entry_key, entry> m_entries;
    std::map<std::uint64_t, entry_key> m_byChange;
    std::uint64_t m_lastChange = 0;
};

struct quality_parameters {
    duration halfLife = std::chrono::hours(2);
    double confidence = 1.64; ///< Standard errors between the mean and either bound.
    double priorMean = 0.5;
    double priorWeight = 2;   ///< Of priorMean, in ratings.
    double cusumSlack = 0.05; ///< Distance of the CUSUM reference value below the target.
    double cusumLogRunLength
        = 14;                   ///< Log of the approximate number of ratings between false alarms.
    double priorVariance = 0.1; ///< Of a single rating, until enough have been seen.
    double priorVarianceWeight = 10;                    ///< Of priorVariance, in ratings.
    duration suspensionTime = std::chrono::minutes(30); ///< After which a version is usable again.
};

/// The estimate for one subject at one time.
struct quality_estimate {
    double mean = 0;
    double lowerBound = 0;
    double upperBound = 1;
    double weight = 0; ///< Decayed number of ratings.
    double passRate = 0;
    double passMean = 0;
    bool suspended = false;
};

/// Estimates the quality of one subject and tests it against a target.
class quality_estimator
{
public:
    quality_estimator(double target, quality_parameters parameters);

    void add(const rating_sums &increment, time_point now);
    quality_estimate estimate(time_point now) const;

private:
    double decayFactor(time_point now) const;
    void updateCusum(const rating_sums &increment, time_point now);
    double cusumThreshold() const;

    double m_target;
    quality_parameters m_parameters;
    time_point m_updated;
    double m_weight = 0;
    double m_sum = 0;
    double m_passWeight = 0;
    double m_passSum = 0;
    double m_cusum = 0;
    rating_sums m_allRatings; ///< Not decayed; used only for the variance.
    bool m_everSuspended = false;
    time_point m_suspendedAt;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_QUALITY_H_
