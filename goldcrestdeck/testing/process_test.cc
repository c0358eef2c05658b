// End-to-end tests of the system's guarantees under failures, with real processes. The tests check
// the request logs of the upstreams and the responses that clients received.

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "goldcrestdeck/testing/process_cluster.h"

namespace goldcrestdeck {
namespace {

const std::vector<upstream_config> defaultUpstreams = {
    {"engine-a", "north-a", {"husk@1"}, 0.9, false},
    {"engine-b", "north-b", {"husk@1", "husk@2"}, 0.9, false},
    {"engine-c", "north-c", {"husk@2"}, 0.9, false},
    {"service", "north-a", {"status@1", "dispatch@1"}, 0.9, true},
};
const std::vector<std::string> defaultRows
    = {"mill,husk@1,100,completion", "mill,status@1,100,idempotent",
       "mill,dispatch@1,100,at_most_once", "kayak,husk@2,100,completion"};

/// \returns the generated text of a streamed or complete response.
std::string responseContent(const std::string &body)
{
    std::string content;
    const std::string prefix = "\"content\":\"";
    for (std::size_t at = body.find(prefix); at != std::string::npos; at = body.find(prefix, at)) {
        at += prefix.size();
        content += body.substr(at, body.find('"', at) - at);
    }
    return content;
}

std::size_t countRows(const json_value &log, const std::string &column, const std::string &value)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < log.size(); ++i)
        count += log.at(i).string(column.c_str()) == value ? 1 : 0;
    return count;
}

class process_fixture : public testing::Test
{
protected:
    process_fixture() { start(); }

    void start()
    {
        ASSERT_TRUE(cluster.waitAllReady());
        ASSERT_EQ(cluster.applyTable(0, defaultRows).status, "accepted");
        // Hosts poll the host list: wait until each of them has discovered the upstreams.
        for (std::size_t i = 0; i < cluster.hostCount(); ++i)
            ASSERT_TRUE(eventually(
                [&] { return cluster.service(i, "mill", "status/get", "").status == 200; }));
    }

    std::vector<std::string> readColumn(const std::string &path,
                                        const std::vector<std::string> &columns,
                                        const std::string &column)
    {
        return columnValues(cluster.operatorClient(0).readRows(path, columns), column);
    }

    std::vector<std::string> refusalIds()
    {
        return readColumn("/admin/v1/refusals", {"request_id"}, "request_id");
    }

    std::uint64_t billedRequests(const std::string &version)
    {
        std::uint64_t total = 0;
        const row_set bills
            = cluster.operatorClient(0).readRows("/admin/v1/bills", {"version", "requests"});
        for (const auto &row : bills.rows)
            total += row[0] == version ? std::stoull(row[1]) : 0;
        return total;
    }

    /// \returns how often the service ran the operation with this idempotency key.
    std::size_t runCount(const std::string &key)
    {
        return countRows(cluster.requestLog("service"), "key", key);
    }

    process_cluster cluster{3, defaultUpstreams};
};

TEST_F(process_fixture, invalid_request_is_refused_as_not_run_with_its_own_code)
{
    struct invalid_request {
        const char *name;
        const char *apiKey;
        const char *path;
        std::string body;
        const char *session;
        long status;
        const char *code;
    };
    const std::string validBody = R"({"model":"auto","messages":[{"role":"user","content":"x"}]})";
    const char *chatPath = "/v1/chat/completions";
    const std::string deeplyNested(30'000, '[');
    const std::string oversizedBody(70'000, ' ');
    const std::vector<invalid_request> cases = {
        {"no key", "", chatPath, validBody, "", 401, "key_missing"},
        {"wrong key", "key-none", chatPath, validBody, "", 401, "key_unknown"},
        {"oversized", "key-mill", chatPath, oversizedBody, "", 413, "body_too_large"},
        {"not JSON", "key-mill", chatPath, "{\"model\":", "", 400, "body_invalid"},
        {"deep JSON", "key-mill", chatPath, deeplyNested, "", 400, "body_invalid"},
        {"no messages", "key-mill", chatPath, "{\"model\":\"auto\"}", "", 400, "body_invalid"},
        {"empty", "key-mill", chatPath, "", "", 400, "body_invalid"},
        {"model not a string", "key-mill", chatPath, R"({"model":3,"messages":[{}]})", "", 400,
         "body_invalid"},
        {"unknown model", "key-mill", chatPath, R"({"model":"oak","messages":[{}]})", "", 404,
         "model_not_allowed"},
        {"model of another workspace", "key-kayak", chatPath,
         R"({"model":"husk@1","messages":[{}]})", "", 404, "model_not_allowed"},
        {"forged session", "key-mill", chatPath, validBody, "mill:husk@2:00:abcd", 400,
         "session_invalid"},
        {"unknown path", "key-mill", "/v1/nothing", validBody, "", 404, "path_unknown"},
        {"service of another workspace", "key-kayak", "/v1/services/status/get", validBody, "", 404,
         "service_not_allowed"},
        {"no idempotency key", "key-mill", "/v1/services/dispatch/go", validBody, "", 400,
         "idempotency_key_required"},
    };
    for (const invalid_request &input : cases) {
        http_request request;
        request.method = "POST";
        request.url = cluster.url(0) + input.path;
        if (*input.apiKey != '\0')
            request.headers.push_back({"Authorization", std::string("Bearer ") + input.apiKey});
        if (*input.session != '\0')
            request.headers.push_back({"Goldcrest-Session", input.session});
        request.body = input.body;
        const auto response = cluster.send(request);
        EXPECT_EQ(response.status, input.status) << input.name << ": " << response.body;
        EXPECT_EQ(response.code(), input.code) << input.name;
        EXPECT_EQ(response.run(), "no") << input.name;
    }
}

TEST_F(process_fixture, thousand_streams_from_64_clients_are_complete_and_not_mixed_up)
{
    constexpr int clientCount = 64;
    constexpr int requests = 1000;
    std::atomic<int> next{0};
    std::atomic<int> failures{0};
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c)
        threads.emplace_back([&] {
            for (int i = next++; i < requests; i = next++) {
                const std::string content = "ticket " + std::to_string(i) + " of mine";
                const auto response
                    = cluster.chat(static_cast<std::size_t>(i) % 3, "mill", content, true);
                const bool isOwn
                    = responseContent(response.body).rfind(content + " husk@1", 0) == 0;
                const bool isComplete = response.body.find("data: [DONE]\n\n") != std::string::npos;
                if (response.status != 200 || !isOwn || !isComplete)
                    ++failures;
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_EQ(failures.load(), 0);
    const std::size_t completed = countRows(cluster.requestLog("engine-a"), "outcome", "whole")
        + countRows(cluster.requestLog("engine-b"), "outcome", "whole");
    EXPECT_EQ(completed, static_cast<std::size_t>(requests));
    EXPECT_TRUE(eventually([&] { return billedRequests("husk@1") == requests; }))
        << billedRequests("husk@1");
}

TEST_F(process_fixture, response_truncated_by_the_upstream_does_not_look_complete)
{
    for (const char *faults : {R"({"cut_after":2})", R"({"cut_after":2,"silent_end":true})"}) {
        cluster.injectFaults("engine-a", faults);
        cluster.injectFaults("engine-b", faults);
        const auto response = cluster.chat(0, "mill", "a b c d e f", true);
        // The connection is aborted, or the request is refused if the upstream failed before the
        // host forwarded the first byte.
        EXPECT_NE(response.status, 200) << faults << response.body;
    }
    EXPECT_TRUE(eventually([&] { return refusalIds().size() == 2; }));
    EXPECT_EQ(billedRequests("husk@1"), 0U);
}

TEST_F(process_fixture, client_disconnect_cancels_the_upstream_request)
{
    std::string words;
    for (int i = 0; i < 3000; ++i)
        words += "w ";
    http_request request;
    request.method = "POST";
    request.url = cluster.url(0) + "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer key-mill"}};
    request.body = R"({"model":"auto","stream":true,"messages":[{"content":")" + words + "\"}]}";
    {
        http_client client;
        const auto stream = client.open(request);
        std::string bytes;
        ASSERT_TRUE(stream->read(bytes));
    }
    EXPECT_TRUE(eventually([&] {
        return countRows(cluster.requestLog("engine-a"), "outcome", "cancelled")
            + countRows(cluster.requestLog("engine-b"), "outcome", "cancelled")
            == 1;
    }));
    EXPECT_EQ(billedRequests("husk@1"), 0U);
}

TEST_F(process_fixture, client_trace_context_is_propagated_to_every_hop)
{
    http_request request;
    request.method = "POST";
    request.url = cluster.url(0) + "/v1/services/dispatch/go";
    request.headers = {{"Authorization", "Bearer key-mill"},
                       {"Idempotency-Key", "t"},
                       {"traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}};
    request.body = "{}";
    ASSERT_EQ(cluster.send(request).status, 200);
    const row_set spans = cluster.operatorClient(0).readRows(
        "/admin/v1/spans?trace=4bf92f3577b34da6a3ce929d0e0e4736",
        {"name", "parentSpanId", "spanId"});
    ASSERT_EQ(spans.rows.size(), 3U);
    EXPECT_EQ(spans.rows[2][1], "00f067aa0ba902b7");
    EXPECT_EQ(spans.rows[0][1], spans.rows[2][2]);
    EXPECT_EQ(spans.rows[1][1], spans.rows[2][2]);
}

TEST_F(process_fixture, session_keeps_its_version_across_withdrawal_restart_and_store_outage)
{
    ASSERT_EQ(cluster
                  .applyTable(0,
                              {"mill,husk@1,100,completion", "mill,husk@2,100,completion",
                               "kayak,husk@2,100,completion"})
                  .status,
              "accepted");
    const auto first = cluster.chat(0, "mill", "hello");
    ASSERT_EQ(first.status, 200);
    const std::string version = first.header("Goldcrest-Version");
    const std::string token = first.header("Goldcrest-Session");
    ASSERT_EQ(cluster.setRowState(0, "mill", version, "withdrawn").status, "accepted");
    cluster.host(1).signal(SIGKILL);
    cluster.restartHost(1);
    ASSERT_TRUE(cluster.waitAllReady());
    cluster.injectFaults("kv", R"({"down":true})");
    for (int i = 0; i < 12; ++i) {
        const std::size_t host = static_cast<std::size_t>(i) % 3;
        EXPECT_TRUE(eventually([&] {
            return cluster.chat(host, "mill", "more", i % 2 == 0, token).header("Goldcrest-Version")
                == version;
        }));
        const auto fresh = cluster.chat(host, "mill", "new");
        EXPECT_NE(fresh.header("Goldcrest-Version"), version);
        EXPECT_EQ(cluster.chat(host, "mill", "x", false, token + "0").code(), "session_invalid");
        EXPECT_EQ(cluster.chat(host, "kayak", "x", false, token).code(), "session_invalid");
    }
    cluster.injectFaults("kv", "{}");
    ASSERT_TRUE(eventually(
        [&] { return cluster.setRowState(0, "mill", version, "barred").status == "accepted"; }));
    const auto ended = cluster.chat(2, "mill", "more", false, token);
    EXPECT_EQ(ended.code(), "session_ended");
    EXPECT_EQ(ended.run(), "no");
}

TEST_F(process_fixture, withdrawn_version_gets_no_new_requests_from_a_resumed_host)
{
    std::atomic<bool> stop{false};
    std::atomic<bool> accepted{false};
    std::atomic<int> servedAfterWithdrawal{0};
    // Clients keep sending requests to the suspended host, so that requests are queued in it when
    // it resumes.
    std::vector<std::thread> clients;
    clients.reserve(6);
    for (int c = 0; c < 6; ++c)
        clients.emplace_back([&, c] {
            while (!stop) {
                const bool sentAfterWithdrawal = accepted;
                const auto response
                    = cluster.chat(static_cast<std::size_t>(c) % 3, "mill", "draft");
                if (sentAfterWithdrawal && response.status == 200)
                    ++servedAfterWithdrawal;
            }
        });
    cluster.host(2).signal(SIGSTOP);
    const edit_report report = cluster.setRowState(0, "mill", "husk@1", "withdrawn");
    accepted = true;
    EXPECT_EQ(report.status, "accepted");
    const std::size_t before
        = cluster.requestLog("engine-a").size() + cluster.requestLog("engine-b").size();
    cluster.host(2).signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return cluster.chat(2, "mill", "x").code() == "no_upstream"; }));
    stop = true;
    for (std::thread &client : clients)
        client.join();
    EXPECT_EQ(servedAfterWithdrawal.load(), 0);
    const std::size_t after
        = cluster.requestLog("engine-a").size() + cluster.requestLog("engine-b").size();
    EXPECT_EQ(before, after);
}

TEST_F(process_fixture, same_idempotency_key_at_several_hosts_concurrently_runs_once)
{
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        const std::string key = "dispatch-" + std::to_string(round);
        std::vector<std::thread> clients;
        for (std::size_t host = 0; host < 3; ++host)
            for (int twice = 0; twice < 2; ++twice)
                clients.emplace_back(
                    [&, host] { cluster.service(host, "mill", "dispatch/go", key); });
        for (std::thread &client : clients)
            client.join();
        EXPECT_EQ(runCount(key), 1U) << key;
        const auto retried = cluster.service(0, "mill", "dispatch/go", key);
        EXPECT_EQ(retried.status, 200);
        EXPECT_EQ(retried.header("Goldcrest-Replayed"), "yes");
        EXPECT_EQ(cluster.service(1, "mill", "dispatch/go", key, "{\"other\":1}").code(),
                  "idempotency_key_reused");
        EXPECT_EQ(runCount(key), 1U) << key;
    }
}

TEST_F(process_fixture, operation_whose_response_was_lost_is_never_sent_twice)
{
    cluster.injectFaults("service", R"({"lose_replies":1})");
    const auto lost = cluster.service(0, "mill", "dispatch/go", "k");
    EXPECT_EQ(lost.run(), "unknown");
    for (std::size_t host = 0; host < 3; ++host) {
        const auto retried = cluster.service(host, "mill", "dispatch/go", "k");
        EXPECT_EQ(retried.code(), "operation_may_have_run");
        EXPECT_EQ(retried.run(), "unknown");
    }
    EXPECT_EQ(runCount("k"), 1U);
}

TEST_F(process_fixture, operation_in_flight_on_a_killed_host_is_not_run_twice)
{
    cluster.injectFaults("service", R"({"hang_ms":1500})");
    std::thread client([&] { cluster.service(0, "mill", "dispatch/go", "k"); });
    EXPECT_TRUE(eventually([&] { return runCount("k") == 1; }));
    cluster.host(0).signal(SIGKILL);
    cluster.host(0).wait();
    client.join();
    cluster.injectFaults("service", "{}");
    const auto retried = cluster.service(1, "mill", "dispatch/go", "k");
    EXPECT_EQ(retried.code(), "operation_may_have_run");
    EXPECT_EQ(runCount("k"), 1U);
}

TEST_F(process_fixture, operation_rejected_by_the_upstream_is_not_run_and_can_be_retried)
{
    cluster.injectFaults("service", R"({"turn_away":true})");
    const auto refusal = cluster.service(0, "mill", "dispatch/go", "k");
    EXPECT_EQ(refusal.run(), "no") << refusal.status << refusal.body;
    cluster.injectFaults("service", "{}");
    EXPECT_TRUE(
        eventually([&] { return cluster.service(1, "mill", "dispatch/go", "k").status == 200; }));
    EXPECT_EQ(runCount("k"), 1U);
}

// An upstream that answers 503 or 429 after it has run the operation (review/7).
TEST_F(process_fixture, operation_refused_after_it_has_run_is_not_sent_again)
{
    for (const std::string status : {"429", "500", "503"}) {
        const std::string key = "k" + status;
        cluster.injectFaults("service", "{\"fail\":true,\"fail_status\":" + status + "}");
        const auto failure = cluster.service(0, "mill", "dispatch/go", key);
        EXPECT_EQ(failure.status, 502) << status;
        EXPECT_EQ(failure.run(), "unknown") << status;
        cluster.injectFaults("service", "{}");
        for (std::size_t host = 0; host < 3; ++host)
            EXPECT_EQ(cluster.service(host, "mill", "dispatch/go", key).code(),
                      "operation_may_have_run");
        EXPECT_EQ(runCount(key), 1U) << status;
    }
}

TEST_F(process_fixture, idempotent_request_refused_after_it_has_run_is_reported_as_maybe_run)
{
    for (const std::string status : {"400", "429", "500", "503"}) {
        const std::string faults = "{\"fail\":true,\"fail_status\":" + status + "}";
        for (const char *engine : {"engine-a", "engine-b"})
            cluster.injectFaults(engine, faults);
        const auto failure = cluster.chat(0, "mill", "draft");
        EXPECT_EQ(failure.status, status == "400" ? 400 : 502) << status;
        EXPECT_EQ(failure.run(), "unknown") << status;
        EXPECT_EQ(failure.header("Retry-After"), "") << status;
        // The breakers of both engines close again.
        for (const char *engine : {"engine-a", "engine-b"})
            cluster.injectFaults(engine, "{}");
        EXPECT_TRUE(eventually([&] { return cluster.chat(0, "mill", "draft").status == 200; }));
    }
}

TEST_F(process_fixture,
       operation_with_lost_store_replies_runs_at_most_once_and_is_reported_correctly)
{
    for (int i = 0; i < 6; ++i) {
        const std::string key = "k" + std::to_string(i);
        cluster.injectFaults("kv", "{\"lose_replies\":" + std::to_string(i % 3 + 1) + "}");
        const auto response
            = cluster.service(static_cast<std::size_t>(i) % 3, "mill", "dispatch/go", key);
        const bool isConclusive = response.status == 200 || response.run() == "no";
        const std::size_t expected = response.status == 200 ? 1 : 0;
        EXPECT_TRUE(!isConclusive || runCount(key) == expected) << key << ": " << response.body;
        cluster.injectFaults("kv", "{}");
        cluster.service(1, "mill", "dispatch/go", key);
        EXPECT_LE(runCount(key), 1U) << key;
    }
}

TEST_F(process_fixture, store_outage_refuses_only_at_most_once_operations)
{
    cluster.injectFaults("kv", R"({"down":true})");
    // Longer than evidenceLifetime: the hosts' evidence from the store has expired, so that from
    // here on they depend on the voters' quorum alone.
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    for (std::size_t host = 0; host < 3; ++host) {
        EXPECT_EQ(cluster.service(host, "mill", "status/get", "").status, 200);
        EXPECT_EQ(cluster.chat(host, "mill", "draft", true).status, 200);
        const auto refusal = cluster.service(host, "mill", "dispatch/go", "k");
        EXPECT_EQ(refusal.code(), "ledger_unavailable");
        EXPECT_EQ(refusal.run(), "no");
    }
    EXPECT_EQ(runCount("k"), 0U);
    cluster.injectFaults("kv", "{}");
    EXPECT_TRUE(
        eventually([&] { return cluster.service(0, "mill", "dispatch/go", "k").status == 200; }));
    EXPECT_EQ(runCount("k"), 1U);
}

TEST_F(process_fixture, refusals_and_bills_of_a_host_killed_in_a_store_outage_are_recorded_once)
{
    cluster.injectFaults("kv", R"({"down":true})");
    std::set<std::string> refusedRequestIds;
    constexpr int completed = 20;
    for (int i = 0; i < completed; ++i) {
        const auto refusal = cluster.chat(0, "mill", "x", false, "forged");
        refusedRequestIds.insert(refusal.header("X-Request-Id"));
        EXPECT_EQ(cluster.chat(0, "mill", "draft", i % 2 == 0).status, 200);
    }
    cluster.host(0).signal(SIGKILL);
    cluster.host(0).wait();
    cluster.injectFaults("kv", "{}");
    cluster.restartHost(0);
    ASSERT_TRUE(cluster.waitAllReady());
    EXPECT_TRUE(eventually([&] { return billedRequests("husk@1") >= completed; }));
    EXPECT_EQ(billedRequests("husk@1"), static_cast<std::uint64_t>(completed));
    const std::vector<std::string> ids = refusalIds();
    for (const std::string &id : refusedRequestIds)
        EXPECT_EQ(std::count(ids.begin(), ids.end(), id), 1) << id;
}

TEST_F(process_fixture, bills_with_lost_store_replies_match_the_upstream_logs)
{
    constexpr int requests = 60;
    for (int i = 0; i < requests; ++i) {
        if (i % 10 == 0)
            cluster.injectFaults("kv", R"({"lose_replies":2})");
        EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    cluster.injectFaults("kv", "{}");
    EXPECT_TRUE(eventually([&] { return billedRequests("husk@1") >= requests; }));
    // Replicas write the bills they hold after a delay; a duplicate would appear within it.
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    const std::size_t completed = countRows(cluster.requestLog("engine-a"), "outcome", "whole")
        + countRows(cluster.requestLog("engine-b"), "outcome", "whole");
    EXPECT_EQ(billedRequests("husk@1"), completed);
}

TEST_F(process_fixture, upstream_marked_leaving_in_the_host_list_gets_no_new_requests)
{
    // Sends 30 requests. Returns how many of them reached engine-a.
    const auto sendBatch = [&] {
        const std::size_t before = cluster.requestLog("engine-a").size();
        for (int i = 0; i < 30; ++i)
            EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
        return cluster.requestLog("engine-a").size() - before;
    };
    EXPECT_TRUE(eventually([&] { return sendBatch() > 0; }));
    cluster.setUpstreamState("engine-a", "leaving");
    EXPECT_TRUE(eventually([&] { return sendBatch() == 0; }));
    const std::size_t before = cluster.requestLog("engine-a").size();
    for (int i = 0; i < 60; ++i)
        EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
    EXPECT_EQ(cluster.requestLog("engine-a").size(), before);
}

TEST_F(process_fixture, upstream_that_announces_leaving_gets_no_new_requests_from_any_host)
{
    cluster.injectFaults("engine-a", R"({"leaving":true})");
    // Host 0 learns it from the upstream's own responses, the remaining hosts through gossip.
    for (int i = 0; i < 20; ++i) {
        const auto response = cluster.chat(0, "mill", "draft");
        EXPECT_EQ(response.status, 200) << response.body;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    cluster.injectFaults("engine-a", "{}");
    const std::size_t before = cluster.requestLog("engine-a").size();
    for (int i = 0; i < 60; ++i)
        EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
    EXPECT_EQ(cluster.requestLog("engine-a").size(), before);
}

TEST_F(process_fixture, rolling_restart_under_load_drops_no_request_and_exits_0)
{
    std::atomic<bool> stop{false};
    std::atomic<int> failures{0};
    std::atomic<int> served{0};
    std::array<std::atomic<bool>, 3> inRotation{{{true}, {true}, {true}}}; // By host.
    std::mutex detailsMutex;
    std::map<std::string, int> failureDetails; // Count by host, status and start of the body.
    std::vector<std::thread> clients;
    clients.reserve(12);
    for (int c = 0; c < 12; ++c)
        clients.emplace_back([&, c] {
            for (std::size_t i = static_cast<std::size_t>(c); !stop; ++i) {
                if (!inRotation.at(i % 3))
                    continue;
                const std::string content = "t" + std::to_string(i) + " a b c d e f g h i j k l";
                const auto response = cluster.chat(i % 3, "mill", content, true);
                const bool isOwn = responseContent(response.body).rfind(content, 0) == 0;
                if (response.status != 200 || !isOwn) {
                    ++failures;
                    const std::lock_guard<std::mutex> lock(detailsMutex);
                    ++failureDetails[std::to_string(i % 3) + ' ' + std::to_string(response.status)
                                     + ' ' + response.body.substr(0, 120)];
                }
                ++served;
            }
        });
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.host(host).signal(SIGTERM);
        // The load balancer notices with a delay and keeps sending requests until then.
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        cluster.host(host).signal(SIGTERM); // A second signal must have no effect.
        inRotation.at(host) = false;
        EXPECT_EQ(cluster.host(host).wait(), 0);
        cluster.restartHost(host);
        EXPECT_TRUE(eventually([&] { return cluster.isReady(host); }));
        // To serve requests, the host must also have fetched the host list.
        EXPECT_TRUE(eventually(
            [&] { return cluster.service(host, "mill", "status/get", "").status == 200; }));
        inRotation.at(host) = true;
    }
    stop = true;
    for (std::thread &client : clients)
        client.join();
    EXPECT_EQ(failures.load(), 0) << "of " << served.load() << ": "
                                  << ::testing::PrintToString(failureDetails);
    EXPECT_GT(served.load(), 100);
}

TEST_F(process_fixture, concurrent_edits_of_one_row_by_two_operators_give_one_conflict)
{
    for (int round = 0; round < 4; ++round) {
        operator_client first = cluster.operatorClient(0);
        operator_client second = cluster.operatorClient(1);
        const table rows = first.readTable().rows;
        ASSERT_TRUE(eventually([&] { return second.readTable().rows == rows; }));
        const table_row row = *findRow(rows, "mill", "husk@1");
        std::string firstStatus;
        std::string secondStatus;
        std::thread secondOperator([&] {
            secondStatus
                = second.sendEdits({{row.rowVersion, false, withColumn(row, "weight", "50")}})
                      .status;
        });
        firstStatus
            = first.sendEdits({{row.rowVersion, false, withColumn(row, "weight", "60")}}).status;
        secondOperator.join();
        const std::set<std::string> outcomes{firstStatus, secondStatus};
        EXPECT_EQ(outcomes, (std::set<std::string>{"accepted", "rejected"}));
        const std::uint32_t weight = firstStatus == "accepted" ? 60 : 50;
        for (std::size_t host = 0; host < 3; ++host)
            EXPECT_EQ(
                findRow(cluster.operatorClient(host).readTable().rows, "mill", "husk@1")->weight,
                weight);
    }
}

TEST_F(process_fixture, edit_whose_store_reply_was_lost_is_applied_once_and_accepted)
{
    operator_client operators = cluster.operatorClient(0);
    const table_row row = *findRow(operators.readTable().rows, "mill", "husk@1");
    cluster.injectFaults("kv", R"({"lose_replies":1})");
    const edit_report report
        = operators.sendEdits({{row.rowVersion, false, withColumn(row, "weight", "70")}});
    EXPECT_EQ(report.status, "accepted");
    EXPECT_EQ(findRow(operators.readTable().rows, "mill", "husk@1")->weight, 70U);
}

TEST_F(process_fixture, host_restarted_with_the_store_down_keeps_the_accepted_table)
{
    ASSERT_EQ(cluster.setRowState(0, "mill", "husk@1", "withdrawn").status, "accepted");
    cluster.injectFaults("kv", R"({"down":true})");
    cluster.host(1).signal(SIGKILL);
    cluster.restartHost(1);
    EXPECT_TRUE(eventually([&] { return cluster.isReady(1); }));
    EXPECT_EQ(cluster.chat(1, "mill", "draft").code(), "no_upstream");
    EXPECT_TRUE(
        eventually([&] { return cluster.service(1, "mill", "status/get", "").status == 200; }));
}

TEST_F(process_fixture, host_without_quorum_and_store_stops_admitting_and_reports_not_run)
{
    cluster.host(1).signal(SIGSTOP);
    cluster.host(2).signal(SIGSTOP);
    cluster.injectFaults("kv", R"({"down":true})");
    EXPECT_TRUE(eventually([&] { return !cluster.isReady(0); }));
    const auto refusal = cluster.chat(0, "mill", "draft");
    EXPECT_EQ(refusal.code(), "host_not_in_touch");
    EXPECT_EQ(refusal.run(), "no");
    EXPECT_FALSE(refusal.header("Retry-After").empty());
    cluster.host(1).signal(SIGCONT);
    cluster.host(2).signal(SIGCONT);
    EXPECT_TRUE(cluster.waitAllReady());
}

} // namespace
} // namespace goldcrestdeck
