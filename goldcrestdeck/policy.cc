// Shares are assigned greedily, from the cheapest eligible plan upwards and each up to its weight:
// the weight is a ceiling set by the operator, and the cost is as low as the ceilings allow. If the
// ceilings add up to less than 1, the remainder goes to the eligible plans in proportion to their
// shares, rather than refusing requests that a good version could serve. Canary shares are assigned
// first, so that a version without ratings can gain some; without ratings, its share does not grow.

#include "goldcrestdeck/policy.h"

#include <algorithm>
#include <tuple>

namespace goldcrestdeck {

namespace {

constexpr double percent = 100.0;

bool isUsable(const version_option &version)
{
    return !version.quality.suspended && version.weightPercent > 0;
}

bool meetsTarget(const version_option &version, double target)
{
    return isUsable(version) && version.quality.lowerBound >= target;
}

/// Whether the confidence interval contains the target, so that the estimate is inconclusive.
bool isInconclusive(const version_option &version, double target)
{
    return isUsable(version) && version.quality.lowerBound < target
        && version.quality.upperBound >= target;
}

plan singlePlan(const version_option &version)
{
    return {version.version, "", static_cast<double>(version.costMicros),
            version.quality.lowerBound};
}

double canaryShareOf(const version_option &version, const policy_parameters &parameters)
{
    const double share = parameters.canaryShare
        + parameters.canaryShareGrowth * version.quality.weight * version.quality.mean;
    const double ceiling = std::min(parameters.maxCanaryShare, version.weightPercent / percent);
    return std::min(share, ceiling);
}

struct eligible_plan {
    plan candidatePlan;
    double ceiling = 0;
};

std::vector<eligible_plan> eligiblePlans(const std::vector<version_option> &versions, double target,
                                         bool mayCascade, const policy_parameters &parameters)
{
    std::vector<eligible_plan> plans;
    for (const version_option &version : versions)
        if (meetsTarget(version, target))
            plans.push_back({singlePlan(version), version.weightPercent / percent});
    if (mayCascade) {
        for (const version_option &first : versions) {
            for (const version_option &second : versions) {
                if (!isUsable(first) || !meetsTarget(second, target)
                    || first.costMicros >= second.costMicros)
                    continue;
                const plan cascade = cascadeOf(first, second, parameters);
                const bool cheaper
                    = cascade.expectedCostMicros < static_cast<double>(second.costMicros);
                if (cascade.expectedQuality >= target && cheaper)
                    plans.push_back({cascade, first.weightPercent / percent});
            }
        }
    }
    const auto before = [](const eligible_plan &a, const eligible_plan &b) {
        return std::tie(a.candidatePlan.expectedCostMicros, a.candidatePlan.first,
                        a.candidatePlan.second)
            < std::tie(b.candidatePlan.expectedCostMicros, b.candidatePlan.first,
                       b.candidatePlan.second);
    };
    std::sort(plans.begin(), plans.end(), before);
    return plans;
}

/// \returns the best usable version, or nullptr; the fallback if no version is known to meet the
/// target.
const version_option *bestKnown(const std::vector<version_option> &versions)
{
    const version_option *best = nullptr;
    for (const version_option &version : versions) {
        if (!isUsable(version))
            continue;
        const auto rank
            = [](const version_option &c) { return std::make_tuple(c.quality.mean, c.costMicros); };
        if (best == nullptr || rank(version) > rank(*best))
            best = &version;
    }
    return best;
}

/// Assigns each plan a share up to its ceiling, cheapest first, then distributes the remainder in
/// proportion to the shares.
void fillShares(const std::vector<eligible_plan> &plans, double available,
                std::vector<plan_share> &shares)
{
    const std::size_t begin = shares.size();
    double remaining = available;
    double assigned = 0;
    for (const eligible_plan &entry : plans) {
        const double share = std::min(entry.ceiling, remaining);
        if (share <= 0)
            continue;
        shares.push_back({entry.candidatePlan, plan_reason::cheapest_that_meets_target, share});
        remaining -= share;
        assigned += share;
    }
    for (std::size_t i = begin; i < shares.size(); ++i)
        shares[i].share += remaining * shares[i].share / assigned;
}

} // namespace

bool operator==(const plan &a, const plan &b)
{
    return std::tie(a.first, a.second, a.expectedCostMicros, a.expectedQuality)
        == std::tie(b.first, b.second, b.expectedCostMicros, b.expectedQuality);
}

const char *toString(plan_reason reason)
{
    switch (reason) {
    case plan_reason::cheapest_that_meets_target:
        return "cheapest_that_meets_target";
    case plan_reason::canary:
        return "canary";
    case plan_reason::best_known:
        return "best_known";
    case plan_reason::none:
        break;
    }
    return "none";
}

plan cascadeOf(const version_option &first, const version_option &second,
               const policy_parameters &parameters)
{
    const double passRate = first.quality.passRate;
    plan cascade;
    cascade.first = first.version;
    cascade.second = second.version;
    cascade.expectedCostMicros = static_cast<double>(first.costMicros)
        + parameters.cascadeRatingCostMicros
        + (1 - passRate) * static_cast<double>(second.costMicros);
    cascade.expectedQuality
        = passRate * first.quality.passMean + (1 - passRate) * second.quality.lowerBound;
    return cascade;
}

std::vector<plan_share> planShares(const std::vector<version_option> &versions, double target,
                                   bool mayCascade, const policy_parameters &parameters)
{
    const std::vector<eligible_plan> plans
        = eligiblePlans(versions, target, mayCascade, parameters);
    const version_option *fallback = plans.empty() ? bestKnown(versions) : nullptr;
    if (plans.empty() && fallback == nullptr)
        return {};
    const double cheapestKnownCost = plans.empty() ? static_cast<double>(UINT64_MAX)
                                                   : plans.front().candidatePlan.expectedCostMicros;
    std::vector<plan_share> shares;
    double remaining = 1;
    for (const version_option &version : versions) {
        const bool worthTrying = isInconclusive(version, target) && &version != fallback
            && static_cast<double>(version.costMicros) < cheapestKnownCost;
        if (!worthTrying)
            continue;
        const double share = std::min(remaining, canaryShareOf(version, parameters));
        shares.push_back({singlePlan(version), plan_reason::canary, share});
        remaining -= share;
    }
    if (plans.empty())
        shares.push_back({singlePlan(*fallback), plan_reason::best_known, remaining});
    else
        fillShares(plans, remaining, shares);
    return shares;
}

decision choosePlan(const std::vector<plan_share> &shares, double draw)
{
    if (shares.empty())
        return {};
    double cumulative = 0;
    for (const plan_share &entry : shares) {
        cumulative += entry.share;
        if (draw < cumulative)
            return {entry.candidatePlan, entry.reason};
    }
    return {shares.back().candidatePlan, shares.back().reason};
}

std::vector<plan_share> staticShares(const std::vector<version_option> &versions)
{
    double total = 0;
    for (const version_option &version : versions)
        total += version.weightPercent;
    std::vector<plan_share> shares;
    for (const version_option &version : versions)
        if (version.weightPercent > 0)
            shares.push_back(
                {singlePlan(version), plan_reason::best_known, version.weightPercent / total});
    return shares;
}

} // namespace goldcrestdeck
