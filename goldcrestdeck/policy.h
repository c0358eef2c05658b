#ifndef GOLDCRESTDECK_POLICY_H_
#define GOLDCRESTDECK_POLICY_H_

/// \file
/// Selects the version, or the cascade of two versions, that answers a request.
///
/// planShares() takes the workspace's active rows with their quality estimates and divides requests
/// among the cheapest plans whose lower confidence bound meets the target, up to the configured
/// weights, with a small canary share for versions without a conclusive estimate. choosePlan()
/// picks one of them. All functions are pure; randomness is passed in as a number in [0, 1).

#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/quality.h"
#include "goldcrestdeck/table.h"

namespace goldcrestdeck {

/// A version that can serve the request: an active row and its quality estimate.
struct version_option {
    std::string version;
    std::uint64_t costMicros = 0;
    std::uint32_t weightPercent = 0;
    quality_estimate quality;
};

struct policy_parameters {
    double canaryShare = 0.02;        ///< Share of a version without ratings.
    double canaryShareGrowth = 0.001; ///< Added for each rating, in proportion to its value.
    double maxCanaryShare = 0.10;
    double cascadeRatingCostMicros = 0; ///< For each inline rating, in millionths of a franc.
};

/// A single version, or a cascade: a cheap version whose answer is rated and, if the rating does
/// not pass, a second version.
struct plan {
    std::string first;
    std::string second; ///< Empty for a single version.
    double expectedCostMicros = 0;
    double expectedQuality = 0; ///< Lower bound.
};

bool operator==(const plan &a, const plan &b);

enum class plan_reason {
    cheapest_that_meets_target,
    canary,     ///< Share of a version without a conclusive estimate.
    best_known, ///< No version is known to meet the target; this is the best one not suspended.
    none        ///< Every version is suspended or has zero weight.
};

const char *toString(plan_reason reason);

struct decision {
    plan chosen;
    plan_reason reason = plan_reason::none;
};

/// A plan and its share of the requests.
struct plan_share {
    plan option;
    plan_reason reason = plan_reason::none;
    double share = 0; ///< 0 to 1; the shares of all plans add up to 1.
};

/// \returns the plans for these versions and \a target, with their shares; empty if none is
/// usable. \a mayCascade allows cascades, for requests that can wait and are not streamed.
std::vector<plan_share> planShares(const std::vector<version_option> &versions, double target,
                                   bool mayCascade, const policy_parameters &parameters);

/// \returns the plan selected by \a draw, a uniform random number in [0, 1).
decision choosePlan(const std::vector<plan_share> &shares, double draw);

/// Baseline for comparison with planShares(): versions by their configured weights alone.
std::vector<plan_share> staticShares(const std::vector<version_option> &versions);

/// \returns the cascade from \a first to \a second, with expected cost and quality.
plan cascadeOf(const version_option &first, const version_option &second,
               const policy_parameters &parameters);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_POLICY_H_
