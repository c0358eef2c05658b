#include "goldcrestdeck/limits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/exchange.h"
#include "goldcrestdeck/membership.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;

RC_GTEST_PROP(token_bucket_model, any_window_admits_at_most_rate_and_burst, ())
{
    // Reference model: record every admission and count those in each window.
    const int rate = *rc::gen::inRange(1, 200);
    const auto pauses = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    manual_clock time;
    token_bucket bucket(0.02);
    bucket.setRate(rate, time.now());
    std::vector<time_point> admitted;
    for (int pause : pauses) {
        time.advance(milliseconds(pause));
        if (bucket.take(time.now()))
            admitted.push_back(time.now());
    }
    const double burst = std::max(minimumBurst, rate * 0.02);
    for (std::size_t i = 0; i < admitted.size(); ++i) {
        for (std::size_t k = i; k < admitted.size(); ++k) {
            const double window = std::chrono::duration<double>(admitted[k] - admitted[i]).count();
            RC_ASSERT(static_cast<double>(k - i + 1) <= rate * window + burst + 1e-6);
        }
    }
}

TEST(token_bucket, wait_time_of_empty_bucket_is_time_to_the_next_token)
{
    manual_clock time;
    token_bucket bucket(0.02);
    bucket.setRate(10, time.now());
    while (bucket.take(time.now())) { }
    const duration wait = bucket.waitTime(time.now());
    time.advance(wait - milliseconds(1));
    EXPECT_FALSE(bucket.take(time.now()));
    time.advance(milliseconds(2));
    EXPECT_TRUE(bucket.take(time.now()));
}

TEST(limit_exchange, restarted_host_before_its_first_tick_admits_at_the_reserved_rate)
{
    constexpr double limit = 100'000;
    manual_clock time;
    traffic_view view;
    limit_exchange leases(time, "h0", view);
    config value;
    table_row row;
    row.workspace = "mill";
    row.requestsPerSecond = static_cast<std::uint32_t>(limit);
    value.rows = {row};
    value.voters = {{"h0", "10.0.0.1:1", "d"}, {"h1", "10.0.0.2:1", "d"}};
    leases.applyConfig(value);
    int admitted = 0;
    for (int ms = 0; ms < 100; ++ms) {
        time.advance(milliseconds(1));
        duration wait{};
        admitted += view.limits().take("mill", time.now(), wait) ? 1 : 0;
    }
    EXPECT_EQ(admitted, 100);
}

/// Hosts request leases or let them expire while the allocator is replaced at random. The oracle
/// adds up the leases that are valid from the hosts' point of view.
RC_GTEST_PROP(limit_allocator_model, leases_never_add_up_to_more_than_the_limit, ())
{
    constexpr double limit = 100;
    const limit_parameters parameters;
    manual_clock time;
    struct lease {
        double rate = 0;
        time_point expires;
    };
    std::map<std::string, lease> held;
    limit_allocator allocator(limit, parameters, time.now());
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, 6), rc::gen::inRange(0, 200),
                       rc::gen::inRange(0, 700)));
    for (const auto &[action, host, demand, pause] : steps) {
        if (action == 0) {
            // Fail over: the new allocator has no state, and its predecessor grants no more leases.
            allocator = limit_allocator(limit, parameters, time.now());
            continue;
        }
        const std::string name = "h" + std::to_string(host);
        const time_point requestedAt = time.now();
        time.advance(milliseconds(pause % 50));
        lease &own = held[name];
        const double unexpiredRate = own.expires > requestedAt ? own.rate : 0;
        const double rate
            = allocator.grant({name, static_cast<double>(demand), unexpiredRate}, time.now());
        own = {rate, requestedAt + parameters.leaseTime};
        double sum = 6 * reservedRate(limit, 6, parameters);
        for (const auto &[other, granted] : held)
            sum += granted.expires > time.now() ? granted.rate : 0;
        RC_ASSERT(sum <= limit * (1 + 1e-9));
        time.advance(milliseconds(pause));
    }
}

TEST(limit_allocator, new_workspace_is_shared_equally_from_the_start)
{
    manual_clock time;
    auto allocator = limit_allocator::forNewWorkspace(100, {}, {"a", "b"}, time.now());
    const double first = allocator.grant({"a", 1000, 47.5}, time.now());
    EXPECT_NEAR(first, 47.5, 1e-9);
    EXPECT_NEAR(allocator.grant({"b", 0.1, 47.5}, time.now()), 95 * 0.1 / 1000.1, 1e-6);
    EXPECT_GT(allocator.grant({"a", 1000, 47.5}, time.now()), 94);
}

TEST(highest_admitted_priority, less_urgent_priorities_are_shed_first)
{
    EXPECT_EQ(highestAdmittedPriority(0.0), 3);
    EXPECT_EQ(highestAdmittedPriority(0.8), 2);
    EXPECT_EQ(highestAdmittedPriority(0.9), 1);
    EXPECT_EQ(highestAdmittedPriority(0.97), 0);
}

RC_GTEST_PROP(retry_budget_model, retries_stay_within_the_fraction_of_requests,
              (const std::vector<bool> &events))
{
    retry_budget budget(0.1);
    int requests = 0;
    int retries = 0;
    for (bool isRequest : events) {
        if (isRequest) {
            budget.recordRequest();
            ++requests;
        } else if (budget.tryRetry()) {
            ++retries;
        }
        RC_ASSERT(retries <= 10 + requests / 10 + 1);
    }
}

TEST(circuit_breaker, failing_upstream_is_blocked_and_probed_with_one_request)
{
    manual_clock time;
    circuit_breaker breaker;
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(breaker.allows(time.now()));
        breaker.recordSend(time.now());
        breaker.recordFailure(time.now());
    }
    EXPECT_FALSE(breaker.allows(time.now()));
    time.advance(std::chrono::seconds(5));
    EXPECT_TRUE(breaker.allows(time.now()));
    breaker.recordSend(time.now());
    EXPECT_FALSE(breaker.allows(time.now()));
    breaker.recordSuccess();
    EXPECT_TRUE(breaker.allows(time.now()));
}

class membership_fixture : public testing::Test
{
protected:
    membership_fixture()
    {
        members.setTrackedHosts({"self", "a"});
        members.advanceHeartbeat(time.now());
    }

    const host_id a = stableHash("a");
    manual_clock time;
    membership members{"self", 1, {}};
};

TEST_F(membership_fixture, host_whose_heartbeat_does_not_advance_is_not_live)
{
    members.merge({{a, 1, 1, false}}, time.now());
    EXPECT_TRUE(members.isLive("a", time.now()));
    time.advance(std::chrono::seconds(4));
    members.merge({{a, 1, 1, false}}, time.now());
    EXPECT_FALSE(members.isLive("a", time.now()));
    EXPECT_TRUE(members.isLive("self", time.now()));
    members.merge({{a, 1, 2, false}}, time.now());
    EXPECT_TRUE(members.isLive("a", time.now()));
}

TEST_F(membership_fixture, restarted_host_with_lower_heartbeat_counter_is_live)
{
    members.merge({{a, 1, 100, true}}, time.now());
    EXPECT_FALSE(members.isLive("a", time.now()));
    members.merge({{a, 2, 1, false}}, time.now());
    EXPECT_TRUE(members.isLive("a", time.now()));
    members.merge({{a, 1, 101, true}}, time.now());
    EXPECT_TRUE(members.isLive("a", time.now()));
}

TEST_F(membership_fixture, host_that_is_no_longer_tracked_stays_removed)
{
    members.merge({{a, 1, 1, false}}, time.now());
    members.setTrackedHosts({"self"});
    members.merge({{a, 1, 2, false}}, time.now());
    EXPECT_FALSE(members.isLive("a", time.now()));
    std::mt19937_64 random(1);
    EXPECT_EQ(members.sample(random).size(), 1U);
}

TEST_F(membership_fixture, host_without_any_heartbeat_is_dead_only_after_the_full_time)
{
    const time_point since = time.now();
    time.advance(std::chrono::seconds(59));
    EXPECT_FALSE(members.isDead("a", since, time.now()));
    time.advance(std::chrono::seconds(2));
    EXPECT_TRUE(members.isDead("a", since, time.now()));
    EXPECT_FALSE(members.isDead("self", since, time.now()));
}

TEST_F(membership_fixture, draining_mark_expires_and_is_not_prolonged_by_gossip)
{
    members.markDraining({"u", std::chrono::seconds(60)}, time.now());
    time.advance(std::chrono::seconds(30));
    const auto marks = members.drainingMarks(time.now());
    ASSERT_EQ(marks.size(), 1U);
    members.markDraining(marks.front(), time.now());
    EXPECT_TRUE(members.isDraining("u", time.now()));
    time.advance(std::chrono::seconds(31));
    EXPECT_FALSE(members.isDraining("u", time.now()));
    EXPECT_TRUE(members.drainingMarks(time.now()).empty());
}

TEST_F(membership_fixture, sample_is_bounded_and_includes_own_heartbeat)
{
    std::vector<heartbeat> many;
    std::vector<std::string> names;
    for (int i = 0; i < 100; ++i) {
        names.push_back("h" + std::to_string(i));
        many.push_back({stableHash(names.back()), 1, 1, false});
    }
    members.setTrackedHosts(names);
    members.merge(many, time.now());
    std::mt19937_64 random(1);
    const auto sample = members.sample(random);
    EXPECT_EQ(sample.size(), membership_limits().sampleSize);
    EXPECT_EQ(sample.back().host, stableHash("self"));
}

} // namespace
} // namespace goldcrestdeck
