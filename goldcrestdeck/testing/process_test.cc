// The promises, held against real processes under failure. The oracles are the upstreams' own logs
// and the callers' own records.

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "goldcrestdeck/testing/process_cluster.h"

namespace goldcrestdeck {
namespace {

const std::vector<engine_plan> usualUpstreams = {
    {"engine-a", "north-a", {"husk@1"}, 0.9, false},
    {"engine-b", "north-b", {"husk@1", "husk@2"}, 0.9, false},
    {"engine-c", "north-c", {"husk@2"}, 0.9, false},
    {"service", "north-a", {"status@1", "dispatch@1"}, 0.9, true},
};
const std::vector<std::string> usualRows
    = {"mill,husk@1,100,completion", "mill,status@1,100,idempotent",
       "mill,dispatch@1,100,at_most_once", "kayak,husk@2,100,completion"};

/// The words of a streamed or whole answer.
std::string contentOf(const std::string &body)
{
    std::string content;
    const std::string mark = "\"content\":\"";
    for (std::size_t at = body.find(mark); at != std::string::npos; at = body.find(mark, at)) {
        at += mark.size();
        content += body.substr(at, body.find('"', at) - at);
    }
    return content;
}

std::size_t countWhere(const json_value &log, const std::string &column, const std::string &value)
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
        ASSERT_EQ(cluster.apply(0, usualRows).status, "accepted");
        // The host list is polled: wait until every host knows the upstreams.
        for (std::size_t i = 0; i < cluster.hostCount(); ++i)
            ASSERT_TRUE(eventually(
                [&] { return cluster.service(i, "mill", "status/get", "").status == 200; }));
    }

    std::vector<std::string> readColumn(const std::string &path,
                                        const std::vector<std::string> &columns,
                                        const std::string &column)
    {
        return columnOf(cluster.operators(0).readRows(path, columns), column);
    }

    std::vector<std::string> refusedIds()
    {
        return readColumn("/admin/v1/refusals", {"request_id"}, "request_id");
    }

    std::uint64_t billed(const std::string &version)
    {
        std::uint64_t total = 0;
        const row_set bills
            = cluster.operators(0).readRows("/admin/v1/bills", {"version", "requests"});
        for (const auto &row : bills.rows)
            total += row[0] == version ? std::stoull(row[1]) : 0;
        return total;
    }

    std::size_t runsOf(const std::string &key)
    {
        return countWhere(cluster.logOf("service"), "key", key);
    }

    process_cluster cluster{3, usualUpstreams};
};

TEST_F(process_fixture, bad_input_gets_its_own_refusal_that_says_not_run)
{
    struct bad_input {
        const char *name;
        const char *key;
        const char *path;
        std::string body;
        const char *session;
        long status;
        const char *code;
    };
    const std::string good = R"({"model":"auto","messages":[{"role":"user","content":"x"}]})";
    const char *chat = "/v1/chat/completions";
    const std::string deep(30'000, '[');
    const std::string longBody(70'000, ' ');
    const std::vector<bad_input> cases = {
        {"no key", "", chat, good, "", 401, "key_missing"},
        {"wrong key", "key-none", chat, good, "", 401, "key_unknown"},
        {"oversized", "key-mill", chat, longBody, "", 413, "body_too_large"},
        {"not JSON", "key-mill", chat, "{\"model\":", "", 400, "body_invalid"},
        {"deep JSON", "key-mill", chat, deep, "", 400, "body_invalid"},
        {"no messages", "key-mill", chat, "{\"model\":\"auto\"}", "", 400, "body_invalid"},
        {"empty", "key-mill", chat, "", "", 400, "body_invalid"},
        {"model not a string", "key-mill", chat, R"({"model":3,"messages":[{}]})", "", 400,
         "body_invalid"},
        {"unknown model", "key-mill", chat, R"({"model":"oak","messages":[{}]})", "", 404,
         "model_not_allowed"},
        {"model of another workspace", "key-kayak", chat, R"({"model":"husk@1","messages":[{}]})",
         "", 404, "model_not_allowed"},
        {"forged session", "key-mill", chat, good, "mill:husk@2:00:abcd", 400, "session_invalid"},
        {"unknown path", "key-mill", "/v1/nothing", good, "", 404, "path_unknown"},
        {"service of another workspace", "key-kayak", "/v1/services/status/get", good, "", 404,
         "service_not_allowed"},
        {"no idempotency key", "key-mill", "/v1/services/dispatch/go", good, "", 400,
         "idempotency_key_required"},
    };
    for (const bad_input &input : cases) {
        http_request request;
        request.method = "POST";
        request.url = cluster.url(0) + input.path;
        if (*input.key != '\0')
            request.headers.push_back({"Authorization", std::string("Bearer ") + input.key});
        if (*input.session != '\0')
            request.headers.push_back({"Goldcrest-Session", input.session});
        request.body = input.body;
        const auto answer = cluster.send(request);
        EXPECT_EQ(answer.status, input.status) << input.name << ": " << answer.body;
        EXPECT_EQ(answer.code(), input.code) << input.name;
        EXPECT_EQ(answer.run(), "no") << input.name;
    }
}

TEST_F(process_fixture, thousand_streams_from_64_callers_are_whole_and_their_own)
{
    constexpr int callers = 64;
    constexpr int requests = 1000;
    std::atomic<int> next{0};
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int c = 0; c < callers; ++c)
        threads.emplace_back([&] {
            for (int i = next++; i < requests; i = next++) {
                const std::string content = "ticket " + std::to_string(i) + " of mine";
                const auto answer
                    = cluster.chat(static_cast<std::size_t>(i) % 3, "mill", content, true);
                const bool own = contentOf(answer.body).rfind(content + " husk@1", 0) == 0;
                const bool closed = answer.body.find("data: [DONE]\n\n") != std::string::npos;
                if (answer.status != 200 || !own || !closed)
                    ++wrong;
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_EQ(wrong.load(), 0);
    const std::size_t whole = countWhere(cluster.logOf("engine-a"), "outcome", "whole")
        + countWhere(cluster.logOf("engine-b"), "outcome", "whole");
    EXPECT_EQ(whole, static_cast<std::size_t>(requests));
    EXPECT_TRUE(eventually([&] { return billed("husk@1") == requests; })) << billed("husk@1");
}

TEST_F(process_fixture, answer_that_breaks_off_upstream_does_not_look_finished)
{
    for (const char *order : {R"({"cut_after":2})", R"({"cut_after":2,"silent_end":true})"}) {
        cluster.fault("engine-a", order);
        cluster.fault("engine-b", order);
        const auto answer = cluster.chat(0, "mill", "a b c d e f", true);
        // Broken off, or refused where the break came before the first byte was passed on.
        EXPECT_NE(answer.status, 200) << order << answer.body;
    }
    EXPECT_TRUE(eventually([&] { return refusedIds().size() == 2; }));
    EXPECT_EQ(billed("husk@1"), 0U);
}

TEST_F(process_fixture, caller_that_goes_away_cancels_the_upstream)
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
        return countWhere(cluster.logOf("engine-a"), "outcome", "cancelled")
            + countWhere(cluster.logOf("engine-b"), "outcome", "cancelled")
            == 1;
    }));
    EXPECT_EQ(billed("husk@1"), 0U);
}

TEST_F(process_fixture, trace_of_the_caller_goes_through_every_hop)
{
    http_request request;
    request.method = "POST";
    request.url = cluster.url(0) + "/v1/services/dispatch/go";
    request.headers = {{"Authorization", "Bearer key-mill"},
                       {"Idempotency-Key", "t"},
                       {"traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}};
    request.body = "{}";
    ASSERT_EQ(cluster.send(request).status, 200);
    const row_set spans
        = cluster.operators(0).readRows("/admin/v1/spans?trace=4bf92f3577b34da6a3ce929d0e0e4736",
                                        {"name", "parentSpanId", "spanId"});
    ASSERT_EQ(spans.rows.size(), 3U);
    EXPECT_EQ(spans.rows[2][1], "00f067aa0ba902b7");
    EXPECT_EQ(spans.rows[0][1], spans.rows[2][2]);
    EXPECT_EQ(spans.rows[1][1], spans.rows[2][2]);
}

TEST_F(process_fixture, session_keeps_its_version_over_withdrawal_restart_and_outage)
{
    ASSERT_EQ(cluster
                  .apply(0,
                         {"mill,husk@1,100,completion", "mill,husk@2,100,completion",
                          "kayak,husk@2,100,completion"})
                  .status,
              "accepted");
    const auto first = cluster.chat(0, "mill", "hello");
    ASSERT_EQ(first.status, 200);
    const std::string version = first.header("Goldcrest-Version");
    const std::string token = first.header("Goldcrest-Session");
    ASSERT_EQ(cluster.setState(0, "mill", version, "withdrawn").status, "accepted");
    cluster.host(1).signal(SIGKILL);
    cluster.restartHost(1);
    ASSERT_TRUE(cluster.waitAllReady());
    cluster.fault("kv", R"({"down":true})");
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
    cluster.fault("kv", "{}");
    ASSERT_TRUE(eventually(
        [&] { return cluster.setState(0, "mill", version, "barred").status == "accepted"; }));
    const auto ended = cluster.chat(2, "mill", "more", false, token);
    EXPECT_EQ(ended.code(), "session_ended");
    EXPECT_EQ(ended.run(), "no");
}

TEST_F(process_fixture, withdrawn_version_gets_nothing_new_even_from_a_host_that_was_frozen)
{
    std::atomic<bool> stop{false};
    std::atomic<bool> accepted{false};
    std::atomic<int> after{0};
    // Callers of the frozen host keep asking all the while, so requests wait in it when it wakes
    // up.
    std::vector<std::thread> callers;
    callers.reserve(6);
    for (int c = 0; c < 6; ++c)
        callers.emplace_back([&, c] {
            while (!stop) {
                const bool late = accepted;
                const auto answer = cluster.chat(static_cast<std::size_t>(c) % 3, "mill", "draft");
                if (late && answer.status == 200)
                    ++after;
            }
        });
    cluster.host(2).signal(SIGSTOP);
    const edit_report report = cluster.setState(0, "mill", "husk@1", "withdrawn");
    accepted = true;
    EXPECT_EQ(report.status, "accepted");
    const std::size_t before = cluster.logOf("engine-a").size() + cluster.logOf("engine-b").size();
    cluster.host(2).signal(SIGCONT);
    EXPECT_TRUE(eventually([&] { return cluster.chat(2, "mill", "x").code() == "no_upstream"; }));
    stop = true;
    for (std::thread &caller : callers)
        caller.join();
    EXPECT_EQ(after.load(), 0);
    const std::size_t later = cluster.logOf("engine-a").size() + cluster.logOf("engine-b").size();
    EXPECT_EQ(before, later);
}

TEST_F(process_fixture, same_key_at_several_hosts_at_once_runs_once)
{
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        const std::string key = "dispatch-" + std::to_string(round);
        std::vector<std::thread> callers;
        for (std::size_t host = 0; host < 3; ++host)
            for (int twice = 0; twice < 2; ++twice)
                callers.emplace_back(
                    [&, host] { cluster.service(host, "mill", "dispatch/go", key); });
        for (std::thread &caller : callers)
            caller.join();
        EXPECT_EQ(runsOf(key), 1U) << key;
        const auto again = cluster.service(0, "mill", "dispatch/go", key);
        EXPECT_EQ(again.status, 200);
        EXPECT_EQ(again.header("Goldcrest-Replayed"), "yes");
        EXPECT_EQ(cluster.service(1, "mill", "dispatch/go", key, "{\"other\":1}").code(),
                  "idempotency_key_reused");
        EXPECT_EQ(runsOf(key), 1U) << key;
    }
}

TEST_F(process_fixture, operation_whose_answer_was_lost_is_never_sent_again)
{
    cluster.fault("service", R"({"lose_replies":1})");
    const auto lost = cluster.service(0, "mill", "dispatch/go", "k");
    EXPECT_EQ(lost.run(), "unknown");
    for (std::size_t host = 0; host < 3; ++host) {
        const auto again = cluster.service(host, "mill", "dispatch/go", "k");
        EXPECT_EQ(again.code(), "operation_may_have_run");
        EXPECT_EQ(again.run(), "unknown");
    }
    EXPECT_EQ(runsOf("k"), 1U);
}

TEST_F(process_fixture, operation_of_a_host_killed_while_it_runs_is_not_run_again)
{
    cluster.fault("service", R"({"hang_ms":1500})");
    std::thread caller([&] { cluster.service(0, "mill", "dispatch/go", "k"); });
    EXPECT_TRUE(eventually([&] { return runsOf("k") == 1; }));
    cluster.host(0).signal(SIGKILL);
    cluster.host(0).wait();
    caller.join();
    cluster.fault("service", "{}");
    const auto again = cluster.service(1, "mill", "dispatch/go", "k");
    EXPECT_EQ(again.code(), "operation_may_have_run");
    EXPECT_EQ(runsOf("k"), 1U);
}

TEST_F(process_fixture, operation_the_upstream_turns_away_is_not_run_and_may_be_tried_again)
{
    cluster.fault("service", R"({"turn_away":true})");
    const auto refused = cluster.service(0, "mill", "dispatch/go", "k");
    EXPECT_EQ(refused.run(), "no") << refused.status << refused.body;
    cluster.fault("service", "{}");
    EXPECT_TRUE(
        eventually([&] { return cluster.service(1, "mill", "dispatch/go", "k").status == 200; }));
    EXPECT_EQ(runsOf("k"), 1U);
}

TEST_F(process_fixture, operation_with_lost_store_replies_runs_at_most_once_and_is_truly_reported)
{
    for (int i = 0; i < 6; ++i) {
        const std::string key = "k" + std::to_string(i);
        cluster.fault("kv", "{\"lose_replies\":" + std::to_string(i % 3 + 1) + "}");
        const auto answer
            = cluster.service(static_cast<std::size_t>(i) % 3, "mill", "dispatch/go", key);
        const bool isTold = answer.status == 200 || answer.run() == "no";
        const std::size_t expected = answer.status == 200 ? 1 : 0;
        EXPECT_TRUE(!isTold || runsOf(key) == expected) << key << ": " << answer.body;
        cluster.fault("kv", "{}");
        cluster.service(1, "mill", "dispatch/go", key);
        EXPECT_LE(runsOf(key), 1U) << key;
    }
}

TEST_F(process_fixture, outage_of_the_store_stops_only_work_that_may_not_be_repeated)
{
    cluster.fault("kv", R"({"down":true})");
    // Longer than any evidence of the store lives: from here on only the voters' quorum carries.
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    for (std::size_t host = 0; host < 3; ++host) {
        EXPECT_EQ(cluster.service(host, "mill", "status/get", "").status, 200);
        EXPECT_EQ(cluster.chat(host, "mill", "draft", true).status, 200);
        const auto refused = cluster.service(host, "mill", "dispatch/go", "k");
        EXPECT_EQ(refused.code(), "ledger_unavailable");
        EXPECT_EQ(refused.run(), "no");
    }
    EXPECT_EQ(runsOf("k"), 0U);
    cluster.fault("kv", "{}");
    EXPECT_TRUE(
        eventually([&] { return cluster.service(0, "mill", "dispatch/go", "k").status == 200; }));
    EXPECT_EQ(runsOf("k"), 1U);
}

TEST_F(process_fixture, refusals_and_bills_of_a_host_killed_in_an_outage_are_accounted_once)
{
    cluster.fault("kv", R"({"down":true})");
    std::set<std::string> refused;
    constexpr int answered = 20;
    for (int i = 0; i < answered; ++i) {
        const auto bad = cluster.chat(0, "mill", "x", false, "forged");
        refused.insert(bad.header("X-Request-Id"));
        EXPECT_EQ(cluster.chat(0, "mill", "draft", i % 2 == 0).status, 200);
    }
    cluster.host(0).signal(SIGKILL);
    cluster.host(0).wait();
    cluster.fault("kv", "{}");
    cluster.restartHost(0);
    ASSERT_TRUE(cluster.waitAllReady());
    EXPECT_TRUE(eventually([&] { return billed("husk@1") >= answered; }));
    EXPECT_EQ(billed("husk@1"), static_cast<std::uint64_t>(answered));
    const std::vector<std::string> ids = refusedIds();
    for (const std::string &id : refused)
        EXPECT_EQ(std::count(ids.begin(), ids.end(), id), 1) << id;
}

TEST_F(process_fixture, bills_with_lost_store_replies_equal_the_upstreams_logs)
{
    constexpr int requests = 60;
    for (int i = 0; i < requests; ++i) {
        if (i % 10 == 0)
            cluster.fault("kv", R"({"lose_replies":2})");
        EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    cluster.fault("kv", "{}");
    EXPECT_TRUE(eventually([&] { return billed("husk@1") >= requests; }));
    // Whatever is written a second time would come within the replicas' delay.
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    const std::size_t whole = countWhere(cluster.logOf("engine-a"), "outcome", "whole")
        + countWhere(cluster.logOf("engine-b"), "outcome", "whole");
    EXPECT_EQ(billed("husk@1"), whole);
}

TEST_F(process_fixture, upstream_leaving_by_the_host_list_gets_nothing_new)
{
    const auto sendSome = [&] {
        const std::size_t before = cluster.logOf("engine-a").size();
        for (int i = 0; i < 30; ++i)
            EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
        return cluster.logOf("engine-a").size() - before;
    };
    EXPECT_TRUE(eventually([&] { return sendSome() > 0; }));
    cluster.setUpstreamState("engine-a", "leaving");
    EXPECT_TRUE(eventually([&] { return sendSome() == 0; }));
    const std::size_t before = cluster.logOf("engine-a").size();
    for (int i = 0; i < 60; ++i)
        EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
    EXPECT_EQ(cluster.logOf("engine-a").size(), before);
}

TEST_F(process_fixture, upstream_that_says_it_leaves_gets_nothing_new_from_any_host)
{
    cluster.fault("engine-a", R"({"leaving":true})");
    // One host hears it from the upstream itself; the others by gossip.
    for (int i = 0; i < 20; ++i) {
        const auto answer = cluster.chat(0, "mill", "draft");
        EXPECT_EQ(answer.status, 200) << answer.body;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2000));
    cluster.fault("engine-a", "{}");
    const std::size_t before = cluster.logOf("engine-a").size();
    for (int i = 0; i < 60; ++i)
        EXPECT_EQ(cluster.chat(static_cast<std::size_t>(i) % 3, "mill", "draft").status, 200);
    EXPECT_EQ(cluster.logOf("engine-a").size(), before);
}

TEST_F(process_fixture, rolling_restart_under_load_cuts_no_request_and_exits_0)
{
    std::atomic<bool> stop{false};
    std::atomic<int> wrong{0};
    std::atomic<int> served{0};
    std::array<std::atomic<bool>, 3> inBalancer{{{true}, {true}, {true}}};
    std::mutex seenMutex;
    std::map<std::string, int> seenWrong; // Host, status and body of answers that are wrong.
    std::vector<std::thread> callers;
    callers.reserve(12);
    for (int c = 0; c < 12; ++c)
        callers.emplace_back([&, c] {
            for (std::size_t i = static_cast<std::size_t>(c); !stop; ++i) {
                if (!inBalancer.at(i % 3))
                    continue;
                const std::string content = "t" + std::to_string(i) + " a b c d e f g h i j k l";
                const auto answer = cluster.chat(i % 3, "mill", content, true);
                const bool own = contentOf(answer.body).rfind(content, 0) == 0;
                if (answer.status != 200 || !own) {
                    ++wrong;
                    const std::lock_guard<std::mutex> lock(seenMutex);
                    ++seenWrong[std::to_string(i % 3) + ' ' + std::to_string(answer.status) + ' '
                                + answer.body.substr(0, 120)];
                }
                ++served;
            }
        });
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.host(host).signal(SIGTERM);
        // The balancer notices only after a while and goes on sending until then.
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
        cluster.host(host).signal(SIGTERM);
        inBalancer.at(host) = false;
        EXPECT_EQ(cluster.host(host).wait(), 0);
        cluster.restartHost(host);
        EXPECT_TRUE(eventually([&] { return cluster.isReady(host); }));
        // Ready also means that the host list has come.
        EXPECT_TRUE(eventually(
            [&] { return cluster.service(host, "mill", "status/get", "").status == 200; }));
        inBalancer.at(host) = true;
    }
    stop = true;
    for (std::thread &caller : callers)
        caller.join();
    EXPECT_EQ(wrong.load(), 0) << "of " << served.load() << ": "
                               << ::testing::PrintToString(seenWrong);
    EXPECT_GT(served.load(), 100);
}

TEST_F(process_fixture, edits_of_the_same_row_by_two_operators_at_once_give_one_clear_conflict)
{
    for (int round = 0; round < 4; ++round) {
        operator_client first = cluster.operators(0);
        operator_client second = cluster.operators(1);
        const table rows = first.readTable().rows;
        ASSERT_TRUE(eventually([&] { return second.readTable().rows == rows; }));
        const table_row row = *findRow(rows, "mill", "husk@1");
        std::string one;
        std::string two;
        std::thread other([&] {
            two = second.sendEdits({{row.rowVersion, false, withColumn(row, "weight", "50")}})
                      .status;
        });
        one = first.sendEdits({{row.rowVersion, false, withColumn(row, "weight", "60")}}).status;
        other.join();
        const std::set<std::string> outcomes{one, two};
        EXPECT_EQ(outcomes, (std::set<std::string>{"accepted", "rejected"}));
        const std::uint32_t weight = one == "accepted" ? 60 : 50;
        for (std::size_t host = 0; host < 3; ++host)
            EXPECT_EQ(findRow(cluster.operators(host).readTable().rows, "mill", "husk@1")->weight,
                      weight);
    }
}

TEST_F(process_fixture, edit_whose_store_reply_was_lost_is_applied_once_and_accepted)
{
    operator_client operators = cluster.operators(0);
    const table_row row = *findRow(operators.readTable().rows, "mill", "husk@1");
    cluster.fault("kv", R"({"lose_replies":1})");
    const edit_report report
        = operators.sendEdits({{row.rowVersion, false, withColumn(row, "weight", "70")}});
    EXPECT_EQ(report.status, "accepted");
    EXPECT_EQ(findRow(operators.readTable().rows, "mill", "husk@1")->weight, 70U);
}

TEST_F(process_fixture, host_restarted_with_the_store_down_keeps_the_accepted_table)
{
    ASSERT_EQ(cluster.setState(0, "mill", "husk@1", "withdrawn").status, "accepted");
    cluster.fault("kv", R"({"down":true})");
    cluster.host(1).signal(SIGKILL);
    cluster.restartHost(1);
    EXPECT_TRUE(eventually([&] { return cluster.isReady(1); }));
    EXPECT_EQ(cluster.chat(1, "mill", "draft").code(), "no_upstream");
    EXPECT_TRUE(
        eventually([&] { return cluster.service(1, "mill", "status/get", "").status == 200; }));
}

TEST_F(process_fixture, host_alone_with_the_store_down_stops_admitting_and_says_not_run)
{
    cluster.host(1).signal(SIGSTOP);
    cluster.host(2).signal(SIGSTOP);
    cluster.fault("kv", R"({"down":true})");
    EXPECT_TRUE(eventually([&] { return !cluster.isReady(0); }));
    const auto refused = cluster.chat(0, "mill", "draft");
    EXPECT_EQ(refused.code(), "host_not_in_touch");
    EXPECT_EQ(refused.run(), "no");
    EXPECT_FALSE(refused.header("Retry-After").empty());
    cluster.host(1).signal(SIGCONT);
    cluster.host(2).signal(SIGCONT);
    EXPECT_TRUE(cluster.waitAllReady());
}

} // namespace
} // namespace goldcrestdeck
