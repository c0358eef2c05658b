#include "goldcrestdeck/policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "goldcrestdeck/balance.h"

namespace goldcrestdeck {
namespace {

version_option versionOf(const std::string &name, std::uint64_t cost, std::uint32_t weight,
                         double lower, double upper = 1)
{
    version_option version{name, cost, weight, {}};
    version.quality.lowerBound = lower;
    version.quality.upperBound = upper;
    version.quality.mean = (lower + upper) / 2;
    return version;
}

double costOf(const std::vector<plan_share> &shares)
{
    double cost = 0;
    for (const plan_share &entry : shares)
        cost += entry.share * entry.candidatePlan.expectedCostMicros;
    return cost;
}

double shareOf(const std::vector<plan_share> &shares, const std::string &version)
{
    double share = 0;
    for (const plan_share &entry : shares)
        share += entry.candidatePlan.first == version ? entry.share : 0;
    return share;
}

TEST(plan_shares, cheapest_version_that_meets_the_target_gets_all_requests)
{
    const auto shares = planShares({versionOf("a", 10, 100, 0.7, 0.75),
                                    versionOf("b", 20, 100, 0.85), versionOf("c", 90, 100, 0.95)},
                                   0.8, false, {});
    EXPECT_DOUBLE_EQ(shareOf(shares, "b"), 1);
}

TEST(plan_shares, share_above_the_weight_goes_to_the_next_version)
{
    const auto shares
        = planShares({versionOf("b", 20, 30, 0.85), versionOf("c", 90, 100, 0.95)}, 0.8, false, {});
    EXPECT_NEAR(shareOf(shares, "b"), 0.3, 1e-9);
    EXPECT_NEAR(shareOf(shares, "c"), 0.7, 1e-9);
}

TEST(plan_shares, cheaper_version_with_inconclusive_estimate_gets_only_a_canary_share)
{
    const auto shares = planShares(
        {versionOf("new", 10, 100, 0.2, 0.9), versionOf("old", 20, 100, 0.85)}, 0.8, false, {});
    EXPECT_GT(shareOf(shares, "new"), 0);
    EXPECT_LE(shareOf(shares, "new"), policy_parameters().maxCanaryShare);
}

TEST(plan_shares, suspended_version_gets_no_share_and_if_all_are_suspended_there_is_no_plan)
{
    version_option bad = versionOf("bad", 10, 100, 0.9);
    bad.quality.suspended = true;
    EXPECT_DOUBLE_EQ(
        shareOf(planShares({bad, versionOf("ok", 20, 100, 0.9)}, 0.8, false, {}), "bad"), 0);
    EXPECT_TRUE(planShares({bad}, 0.8, false, {}).empty());
    EXPECT_EQ(choosePlan({}, 0.5).reason, plan_reason::none);
}

TEST(plan_shares, canary_share_without_ratings_does_not_grow)
{
    version_option fresh = versionOf("new", 10, 100, 0.0, 1.0);
    const auto shares = planShares({fresh, versionOf("old", 20, 100, 0.85)}, 0.8, false, {});
    EXPECT_NEAR(shareOf(shares, "new"), policy_parameters().canaryShare, 1e-9);
}

TEST(plan_shares, cascade_is_chosen_if_cheaper_and_allowed)
{
    version_option cheap = versionOf("cheap", 10, 100, 0.6, 0.7);
    cheap.quality.passRate = 0.6;
    cheap.quality.passMean = 0.85;
    const version_option dear = versionOf("dear", 100, 100, 0.9);
    const auto allowed = planShares({cheap, dear}, 0.8, true, {});
    ASSERT_FALSE(allowed.empty());
    EXPECT_EQ(allowed.front().candidatePlan.second, "dear");
    EXPECT_NEAR(allowed.front().candidatePlan.expectedCostMicros, 10 + 0.4 * 100, 1e-9);
    EXPECT_EQ(planShares({cheap, dear}, 0.8, false, {}).front().candidatePlan.first, "dear");
}

/// Reference model: \returns the lowest cost over all assignments of shares, in steps of a tenth
/// and within the ceilings, to versions that meet the target.
double exhaustiveCost(const std::vector<version_option> &versions, std::size_t index, int remaining,
                      int ceilingScale)
{
    if (index == versions.size())
        return remaining == 0 ? 0 : 1e18;
    double best = 1e18;
    const version_option &version = versions[index];
    const int maxSteps
        = std::min(remaining, static_cast<int>(version.weightPercent) * ceilingScale / 10);
    for (int assigned = 0; assigned <= maxSteps; ++assigned) {
        const double rest = exhaustiveCost(versions, index + 1, remaining - assigned, ceilingScale);
        best = std::min(best, rest + assigned / 10.0 * static_cast<double>(version.costMicros));
    }
    return best;
}

RC_GTEST_PROP(plan_shares_model, cost_equals_that_of_an_exhaustive_search, ())
{
    const auto parts = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
        4,
        rc::gen::tuple(rc::gen::inRange(1, 50), rc::gen::inRange(0, 11),
                       rc::gen::arbitrary<bool>()));
    // One version with a ceiling of 100 %, so that an assignment within the ceilings exists.
    std::vector<version_option> all = {versionOf("last", 60, 100, 0.9)};
    std::vector<version_option> eligible = all;
    for (const auto &[cost, weight, good] : parts) {
        // Conclusive estimates only: the search would not choose canary shares.
        const version_option version
            = versionOf("v" + std::to_string(all.size()), static_cast<std::uint64_t>(cost),
                        static_cast<std::uint32_t>(weight * 10), good ? 0.9 : 0.1, good ? 1 : 0.2);
        all.push_back(version);
        if (good && weight > 0)
            eligible.push_back(version);
    }
    const auto shares = planShares(all, 0.8, false, {});
    RC_ASSERT(std::abs(costOf(shares) - exhaustiveCost(eligible, 0, 10, 1)) < 1e-6);
}

RC_GTEST_PROP(plan_shares_model, shares_add_up_to_one_and_exclude_unusable_versions, ())
{
    const auto parts = *rc::gen::container<std::vector<std::tuple<int, int, int, bool>>>(
        rc::gen::tuple(rc::gen::inRange(1, 50), rc::gen::inRange(0, 101), rc::gen::inRange(0, 100),
                       rc::gen::arbitrary<bool>()));
    std::vector<version_option> versions;
    for (const auto &[cost, weight, lower, suspended] : parts) {
        version_option version
            = versionOf("v" + std::to_string(versions.size()), static_cast<std::uint64_t>(cost),
                        static_cast<std::uint32_t>(weight), lower / 100.0);
        version.quality.suspended = suspended;
        version.quality.passRate = 0.5;
        version.quality.passMean = 0.8;
        versions.push_back(version);
    }
    const auto shares = planShares(versions, 0.7, true, {});
    double total = 0;
    for (const plan_share &entry : shares) {
        total += entry.share;
        RC_ASSERT(entry.share >= 0);
        for (const version_option &version : versions) {
            const bool isUsed = version.version == entry.candidatePlan.first
                || version.version == entry.candidatePlan.second;
            RC_ASSERT(!isUsed || (!version.quality.suspended && version.weightPercent > 0));
        }
    }
    RC_ASSERT(shares.empty() || std::abs(total - 1) < 1e-6);
    const bool anyUsable
        = std::any_of(versions.begin(), versions.end(), [](const version_option &c) {
              return !c.quality.suspended && c.weightPercent > 0;
          });
    RC_ASSERT(shares.empty() != anyUsable);
}

RC_GTEST_PROP(rating_replica_model, totals_merged_in_any_order_are_equal, ())
{
    const auto ratings = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 101)));
    std::vector<rating_replica> sources(3);
    std::vector<rating_counter> sent;
    std::map<std::string, std::uint64_t> expected;
    for (const auto &[host, version, rating] : ratings) {
        const std::string name = "v" + std::to_string(version);
        rating_replica &replica = sources[static_cast<std::size_t>(host)];
        replica.add("s" + std::to_string(host), {"c", name}, sumsOf(rating / 100.0));
        ++expected[name];
        for (const rating_counter &counter : replica.changedAfter(0, 100).counters)
            sent.push_back(counter);
    }
    std::shuffle(sent.begin(), sent.end(), std::mt19937(static_cast<unsigned>(sent.size())));
    rating_replica receiver;
    std::map<std::string, std::uint64_t> found;
    for (const rating_counter &counter : sent)
        found[counter.subject.version] += receiver.merge(counter).count;
    RC_ASSERT(found == expected);
}

TEST(rating_replica, changes_are_listed_once_each_in_bounded_batches)
{
    rating_replica replica;
    for (int i = 0; i < 10; ++i)
        replica.add("s", {"c", "v" + std::to_string(i)}, sumsOf(1));
    const auto first = replica.changedAfter(0, 6);
    const auto second = replica.changedAfter(first.upTo, 6);
    EXPECT_EQ(first.counters.size(), 6U);
    EXPECT_EQ(second.counters.size(), 4U);
    EXPECT_TRUE(replica.changedAfter(second.upTo, 6).counters.empty());
}

class quality_fixture : public testing::Test
{
protected:
    void rate(double rating, int count)
    {
        for (int i = 0; i < count; ++i) {
            time.advance(std::chrono::seconds(1));
            estimator.add(sumsOf(rating), time.now());
        }
    }

    manual_clock time;
    quality_estimator estimator{0.8, {}};
};

TEST_F(quality_fixture, version_that_turns_bad_is_suspended_within_a_few_ratings)
{
    rate(0.9, 500);
    EXPECT_FALSE(estimator.estimate(time.now()).suspended);
    rate(0.4, 12);
    EXPECT_TRUE(estimator.estimate(time.now()).suspended);
}

TEST_F(quality_fixture, suspended_version_is_usable_again_after_the_suspension_time)
{
    rate(0.2, 12);
    EXPECT_TRUE(estimator.estimate(time.now()).suspended);
    time.advance(quality_parameters().suspensionTime);
    EXPECT_FALSE(estimator.estimate(time.now()).suspended);
}

TEST_F(quality_fixture, evidence_decays_towards_the_prior)
{
    rate(0.9, 100);
    const double before = estimator.estimate(time.now()).lowerBound;
    time.advance(std::chrono::hours(24));
    EXPECT_LT(estimator.estimate(time.now()).lowerBound, before);
}

TEST_F(quality_fixture, without_ratings_bounds_are_zero_and_one)
{
    EXPECT_EQ(estimator.estimate(time.now()).lowerBound, 0);
    EXPECT_EQ(estimator.estimate(time.now()).upperBound, 1);
}

TEST(expected_wait, requests_in_flight_since_the_report_add_to_the_wait)
{
    upstream_load idle;
    idle.secondsPerRequest = 0.1;
    upstream_load busy = idle;
    busy.sentSinceReport = 5;
    EXPECT_LT(expectedWait(idle, {}), expectedWait(busy, {}));
    busy.finishedSinceReport = 5;
    EXPECT_DOUBLE_EQ(expectedWait(idle, {}), expectedWait(busy, {}));
}

TEST(expected_wait, bonuses_do_not_outweigh_one_reported_request)
{
    upstream_load local;
    local.secondsPerRequest = 0.1;
    local.sameDomain = true;
    local.prefixCached = true;
    upstream_load remote = local;
    remote.sameDomain = false;
    remote.prefixCached = false;
    local.reported = 1;
    EXPECT_LT(expectedWait(remote, {}), expectedWait(local, {}));
}

} // namespace
} // namespace goldcrestdeck
