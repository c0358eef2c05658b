#include "goldcrestdeck/upstream_reachability.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "goldcrestdeck/handover.h"
#include "goldcrestdeck/wire_format.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::map<std::string, std::vector<instance>> makeInstances(int services, int perService)
{
    std::map<std::string, std::vector<instance>> result;
    for (int s = 0; s < services; ++s) {
        const std::string service = "s" + std::to_string(s);
        for (int i = 0; i < perService; ++i) {
            instance entry;
            entry.id = service + "-" + std::to_string(i);
            entry.service = service;
            result[service].push_back(entry);
        }
    }
    return result;
}

/// Two services with four instances each.
class upstream_reachability_fixture : public ::testing::Test
{
protected:
    upstream_reachability_fixture()
        : m_path(reachability_parameters(), 1)
    {
        m_path.setInstances(makeInstances(2, 4));
    }

    void fail(const std::string &id) { m_path.recordConnectFailed(id + "@0", m_time.now()); }
    void connect(const std::string &id) { m_path.recordConnected(id + "@0"); }

    manual_clock m_time;
    upstream_reachability m_path;
};

TEST_F(upstream_reachability_fixture, failures_of_several_services_in_succession_are_a_lost_path)
{
    fail("s0-0");
    EXPECT_EQ(path_state::suspect, m_path.state());
    fail("s0-1");
    fail("s1-0");
    EXPECT_EQ(path_state::lost, m_path.state());
}

TEST_F(upstream_reachability_fixture, failures_of_one_service_alone_are_no_lost_path)
{
    for (const char *id : {"s0-0", "s0-1", "s0-2", "s0-3"})
        fail(id);
    EXPECT_EQ(path_state::suspect, m_path.state());
}

TEST_F(upstream_reachability_fixture, failures_that_are_far_apart_are_no_lost_path)
{
    for (const char *id : {"s0-0", "s1-1", "s0-2", "s1-3"}) {
        fail(id);
        m_time.advance(seconds(3));
    }
    EXPECT_EQ(path_state::suspect, m_path.state());
}

TEST_F(upstream_reachability_fixture, repeated_failures_of_one_instance_are_no_lost_path)
{
    for (int i = 0; i < 10; ++i)
        fail(i % 2 == 0 ? "s0-0" : "s1-0");
    EXPECT_EQ(path_state::suspect, m_path.state());
}

TEST_F(upstream_reachability_fixture, one_connection_does_not_regain_a_lost_path_and_two_do)
{
    for (const char *id : {"s0-0", "s0-1", "s1-0"})
        fail(id);
    connect("s0-2");
    connect("s0-2");
    EXPECT_EQ(path_state::lost, m_path.state());
    connect("s1-2");
    EXPECT_EQ(path_state::intact, m_path.state());
}

TEST_F(upstream_reachability_fixture, failure_between_two_connections_keeps_the_path_lost)
{
    for (const char *id : {"s0-0", "s0-1", "s1-0"})
        fail(id);
    connect("s0-2");
    fail("s1-3");
    connect("s1-2");
    EXPECT_EQ(path_state::lost, m_path.state());
}

TEST_F(upstream_reachability_fixture, draining_and_unknown_instances_are_no_evidence)
{
    auto instances = makeInstances(2, 4);
    for (auto &service : instances)
        service.second[0].draining = true;
    m_path.setInstances(instances);
    for (const char *id : {"s0-0", "s1-0", "s0-9", "s1-9"})
        fail(id);
    EXPECT_EQ(path_state::intact, m_path.state());
}

TEST_F(upstream_reachability_fixture, trial_goes_to_a_service_without_failures)
{
    fail("s0-0");
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ("s1", m_path.trialTarget("")->service);
    fail("s1-1");
    for (int i = 0; i < 20; ++i) {
        const std::string id = m_path.trialTarget("")->id;
        EXPECT_TRUE(id != "s0-0" && id != "s1-1");
    }
}

TEST_F(upstream_reachability_fixture, silence_is_measured_from_the_latest_bytes)
{
    const time_point sent = m_time.now();
    m_time.advance(milliseconds(600));
    EXPECT_TRUE(m_path.isSilent(sent, m_time.now()));
    m_path.recordBytes(m_time.now());
    m_time.advance(milliseconds(400));
    EXPECT_FALSE(m_path.isSilent(sent, m_time.now()));
}

RC_GTEST_PROP(upstream_reachability, success_after_fewer_than_three_failures_never_loses_the_path,
              ())
{
    upstream_reachability path(reachability_parameters(), 1);
    const auto instances = makeInstances(3, 5);
    path.setInstances(instances);
    manual_clock time;
    for (int round = 0; round < 20; ++round) {
        for (int i = 0; i < 2; ++i) {
            const auto &service = instances.at("s" + std::to_string(*rc::gen::inRange(0, 3)));
            path.recordConnectFailed(service[*rc::gen::inRange(0, 5)].incarnation(), time.now());
        }
        RC_ASSERT(path.state() != path_state::lost);
        path.recordConnected("s0-0@0");
        RC_ASSERT(path.state() == path_state::intact);
    }
}

RC_GTEST_PROP(handover_fields, decoding_an_encoding_returns_the_state, ())
{
    handover_request request;
    request.remainingTime = milliseconds(*rc::gen::inRange(0, 100000));
    request.maxAttempts = *rc::gen::inRange(0, 10);
    request.deliveries = *rc::gen::inRange(0, 10);
    request.isCounted = *rc::gen::arbitrary<bool>();
    request.service = "s" + std::to_string(*rc::gen::inRange(0, 9));
    request.modelIndex = *rc::gen::inRange(0, 3);
    request.configVersion = *rc::gen::arbitrary<std::uint64_t>();
    if (*rc::gen::arbitrary<bool>())
        request.lastEventId = *rc::gen::arbitrary<std::uint64_t>();
    http_fields fields;
    fields.set("X-Other", "kept");
    encodeHandover(request, fields);
    RC_ASSERT(takeHandover(fields) == request);
    RC_ASSERT(std::distance(fields.begin(), fields.end()) == 1);
}

TEST(handover_fields, missing_and_malformed_fields_are_rejected)
{
    http_fields complete;
    encodeHandover(handover_request(), complete);
    for (const auto &field : complete) {
        const std::string name(field.name_string());
        if (name == "Goldcrest-Service")
            continue;
        for (const char *text : {"", "-1", "x", "1x", "99999999999999999999"}) {
            http_fields damaged = complete;
            damaged.set(name, text);
            EXPECT_THROW(takeHandover(damaged), request_error) << name << ' ' << text;
        }
    }
}

TEST(handover_fields, refusal_tells_whether_the_request_has_run)
{
    for (const execution_state run : {execution_state::no, execution_state::unknown}) {
        http_fields fields;
        const handover_result result{2, run, "all_busy"};
        encodeHandoverResult(result, fields);
        EXPECT_EQ(result, takeHandoverResult(fields));
        EXPECT_EQ(fields.begin(), fields.end());
    }
    http_fields unmarked;
    EXPECT_FALSE(takeHandoverResult(unmarked));
}

/// Twelve hosts in three failure domains.
class handover_targets_fixture : public ::testing::Test
{
protected:
    handover_targets_fixture()
        : m_targets("h0", 1)
    {
        auto hosts = std::make_shared<std::vector<registered_host>>();
        for (int i = 0; i < 12; ++i)
            hosts->push_back({"h" + std::to_string(i), "10.0.0.1:1", std::to_string(i % 3),
                              i == 11 ? "" : "10.0.0.1:2"});
        m_targets.setHosts(hosts);
    }

    manual_clock m_time;
    handover_targets m_targets;
};

TEST_F(handover_targets_fixture, own_host_tried_hosts_and_hosts_without_address_are_not_chosen)
{
    for (int i = 0; i < 200; ++i) {
        const std::string name = m_targets.choose({"h1", "h2"}, m_time.now())->name;
        EXPECT_TRUE(name != "h0" && name != "h1" && name != "h2" && name != "h11") << name;
    }
}

TEST_F(handover_targets_fixture, failure_domain_that_has_lost_its_path_is_avoided_for_a_while)
{
    m_targets.recordBegin("h1");
    m_targets.recordEnd("h1", handover_end::pathLost, m_time.now());
    for (int i = 0; i < 200; ++i)
        EXPECT_NE("1", m_targets.choose({}, m_time.now())->failureDomain);
    m_time.advance(seconds(2));
    std::set<std::string> domains;
    for (int i = 0; i < 200; ++i)
        domains.insert(m_targets.choose({}, m_time.now())->failureDomain);
    EXPECT_EQ(3U, domains.size());
}

TEST_F(handover_targets_fixture, requests_in_progress_are_spread_over_the_hosts)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < 1000; ++i) {
        const std::string name = m_targets.choose({}, m_time.now())->name;
        m_targets.recordBegin(name);
        ++counts[name];
    }
    ASSERT_EQ(10U, counts.size());
    for (const auto &count : counts)
        EXPECT_NEAR(100, count.second, 10) << count.first;
}

TEST_F(handover_targets_fixture, none_is_chosen_when_all_have_failed_lately)
{
    for (int i = 1; i < 11; ++i)
        m_targets.recordEnd("h" + std::to_string(i), handover_end::unreachable, m_time.now());
    EXPECT_FALSE(m_targets.choose({}, m_time.now()));
    m_time.advance(seconds(6));
    EXPECT_TRUE(m_targets.choose({}, m_time.now()));
}

} // namespace
} // namespace goldcrestdeck
