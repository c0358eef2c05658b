#include "goldcrestdeck/testing/router_harness.h"

namespace goldcrestdeck {
namespace {

using standins::platform_runner;
using standins::runner_behaviour;
using std::chrono::milliseconds;

/// Two instances of each service.
class forwarder_fixture : public router_fixture
{
protected:
    forwarder_fixture()
    {
        for (const char *id : {"plain-1", "plain-2"})
            addRunner("plain", id);
        for (const char *id : {"engine-1", "engine-2"})
            addRunner("engine", id);
        publish();
    }

    static std::string streamRequest(const std::string &id, const std::string &fields = "")
    {
        return requestText("POST", "/stream/x", id, "X-Model: *\r\n" + fields, "{}");
    }

    static std::string events(int from, int to)
    {
        std::string text;
        for (int i = from; i <= to; ++i)
            text += platform_runner::eventText(i);
        return text;
    }

    http1_request lastRequest()
    {
        return onLoop([&] {
            http1_request last;
            for (const auto &runner : m_runners) {
                if (!runner->requests().empty())
                    last = runner->requests().back();
            }
            return last;
        });
    }
};

TEST_F(forwarder_fixture, whole_answer_is_returned_byte_for_byte)
{
    const http1_response answer = ask(requestText("GET", "/safe/x?y=1", "r1"));
    EXPECT_EQ(200, answer.result_int());
    EXPECT_EQ(platform_runner::bodyFor("r1"), answer.body());
    EXPECT_EQ("r1", answer["X-Request-Id"]);
    EXPECT_FALSE(answer["X-Response-Seal"].empty());
    EXPECT_EQ("/safe/x?y=1", lastRequest().target());
}

TEST_F(forwarder_fixture, fields_that_only_the_router_may_set_are_dropped)
{
    ask(requestText("GET", "/safe/x", "r1",
                    "X-Tenant: other\r\nX-Hold: 1\r\nX-Pin-Ms: 9\r\nKv-From: 1.1.1.1:1/2\r\n"
                    "X-Kv-Backup: 1.1.1.1:1\r\nX-Request-Priority: 0\r\nX-Extra: kept\r\n"));
    const http1_request seen = lastRequest();
    EXPECT_EQ("w1", seen["X-Tenant"]);
    EXPECT_EQ("kept", seen["X-Extra"]);
    EXPECT_EQ("5", seen["X-Request-Priority"]);
    for (const char *name : {"X-Credential", "X-Hold", "X-Pin-Ms", "Kv-From", "X-Kv-Backup"})
        EXPECT_TRUE(seen.find(name) == seen.end()) << name;
}

TEST_F(forwarder_fixture, work_that_may_run_once_is_not_repeated_after_a_broken_answer)
{
    for (int kind = 0; kind < 4; ++kind) {
        runner_behaviour behaviour;
        behaviour.resetUnanswered = kind == 0;
        behaviour.garbage = kind == 1;
        behaviour.cutBody = kind == 2;
        behaviour.unsealed = kind == 3;
        setBehaviour(behaviour);
        const std::string id = "once-" + std::to_string(kind);
        const http1_response answer = ask(requestText("POST", "/once/x", id, "", "{}"));
        EXPECT_EQ(502, answer.result_int()) << kind;
        EXPECT_EQ(1, runsOf(id)) << kind;
    }
}

TEST_F(forwarder_fixture, work_that_may_run_once_is_sent_elsewhere_if_it_was_not_run)
{
    onLoop([&] {
        runner_behaviour full;
        full.notRun = true;
        m_runners[0]->setBehaviour(full);
    });
    for (int i = 0; i < 10; ++i) {
        const std::string id = "once-" + std::to_string(i);
        EXPECT_EQ(200, ask(requestText("POST", "/once/x", id, "", "{}")).result_int());
        EXPECT_EQ(1, runsOf(id));
    }
}

TEST_F(forwarder_fixture, request_that_all_instances_turn_away_is_refused_as_not_run)
{
    runner_behaviour full;
    full.notRun = true;
    setBehaviour(full);
    const http1_response answer = ask(requestText("POST", "/once/x", "r1", "", "{}"));
    EXPECT_EQ(503, answer.result_int());
    EXPECT_FALSE(answer[boost::beast::http::field::retry_after].empty());
    EXPECT_EQ(0, runsOf("r1"));
}

TEST_F(forwarder_fixture, request_to_an_address_of_another_process_is_not_run)
{
    runner_behaviour moved;
    moved.wrongInstance = true;
    setBehaviour(moved);
    EXPECT_EQ(503, ask(requestText("POST", "/once/x", "r1", "", "{}")).result_int());
    EXPECT_EQ(0, runsOf("r1"));
}

TEST_F(forwarder_fixture, repeatable_request_is_answered_by_another_instance_after_a_failure)
{
    for (int kind = 0; kind < 5; ++kind) {
        runner_behaviour behaviour;
        behaviour.resetUnanswered = kind == 0;
        behaviour.garbage = kind == 1;
        behaviour.cutBody = kind == 2;
        behaviour.unsealed = kind == 3;
        behaviour.status = kind == 4 ? 500 : 200;
        onLoop([&] {
            m_runners[0]->setBehaviour(behaviour);
            m_runners[1]->setBehaviour(runner_behaviour());
        });
        for (int i = 0; i < 4; ++i) {
            const std::string id = std::to_string(kind) + '-' + std::to_string(i);
            const http1_response answer = ask(requestText("GET", "/safe/x", id));
            EXPECT_EQ(200, answer.result_int()) << id;
            EXPECT_EQ(platform_runner::bodyFor(id), answer.body());
        }
    }
}

TEST_F(forwarder_fixture, silent_instance_does_not_hold_a_repeatable_request)
{
    runner_behaviour silent;
    silent.silent = true;
    onLoop([&] { m_runners[0]->setBehaviour(silent); });
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(200, ask(requestText("GET", "/safe/x", std::to_string(i))).result_int());
}

TEST_F(forwarder_fixture, stream_of_a_silent_instance_is_served_by_another)
{
    runner_behaviour silent;
    silent.silent = true;
    runner_behaviour whole;
    whole.events = 10;
    onLoop([&] {
        m_runners[2]->setBehaviour(silent);
        m_runners[3]->setBehaviour(whole);
    });
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(events(1, 10), ask(streamRequest("r" + std::to_string(i))).body());
}

TEST_F(forwarder_fixture, stream_that_falls_silent_is_continued_by_another)
{
    runner_behaviour stalling;
    stalling.events = 10;
    stalling.stallAfter = 4;
    setBehaviour(stalling);
    std::thread mend([&] {
        std::this_thread::sleep_for(milliseconds(300));
        runner_behaviour whole;
        whole.events = 10;
        setBehaviour(whole);
    });
    const http1_response answer = ask(streamRequest("r1"));
    mend.join();
    EXPECT_EQ(events(1, 10), answer.body());
}

TEST_F(forwarder_fixture, failure_of_every_instance_is_returned_as_it_was_given)
{
    runner_behaviour failing;
    failing.status = 500;
    setBehaviour(failing);
    const http1_response answer = ask(requestText("GET", "/safe/x", "r1"));
    EXPECT_EQ(500, answer.result_int());
    EXPECT_FALSE(answer["X-Response-Seal"].empty());
    EXPECT_EQ(3, runsOf("r1"));
}

TEST_F(forwarder_fixture, answer_to_an_earlier_request_is_never_taken_for_the_own_one)
{
    runner_behaviour behaviour;
    behaviour.strayAnswerFirst = true;
    setBehaviour(behaviour);
    const http1_response answer = ask(requestText("POST", "/once/x", "r1", "", "{}"));
    EXPECT_EQ(200, answer.result_int());
    EXPECT_EQ(platform_runner::bodyFor("r1"), answer.body());
}

TEST_F(forwarder_fixture, bytes_behind_an_answer_belong_to_no_request)
{
    runner_behaviour behaviour;
    behaviour.extraAnswer = true;
    setBehaviour(behaviour);
    byte_client client(onLoop([&] { return m_server->address(); }));
    for (int i = 0; i < 20; ++i) {
        const std::string id = "r" + std::to_string(i);
        client.send(requestText("POST", "/once/x", id, "", "{}"));
        const http1_response answer = client.read();
        EXPECT_EQ(200, answer.result_int());
        EXPECT_EQ(platform_runner::bodyFor(id), answer.body());
        EXPECT_EQ(1, runsOf(id));
    }
}

TEST_F(forwarder_fixture, answer_without_length_is_whole_only_at_an_orderly_end)
{
    runner_behaviour behaviour;
    behaviour.noLength = true;
    setBehaviour(behaviour);
    EXPECT_EQ(platform_runner::bodyFor("r1"),
              ask(requestText("POST", "/once/x", "r1", "", "{}")).body());
    behaviour.resetEnd = true;
    setBehaviour(behaviour);
    EXPECT_EQ(502, ask(requestText("POST", "/once/x", "r2", "", "{}")).result_int());
}

TEST_F(forwarder_fixture, stream_is_passed_on_whole)
{
    runner_behaviour behaviour;
    behaviour.events = 20;
    behaviour.confidence = 90;
    setBehaviour(behaviour);
    const http1_response answer = ask(streamRequest("r1"));
    EXPECT_EQ(200, answer.result_int());
    EXPECT_EQ(events(1, 20), answer.body());
    EXPECT_EQ("small", lastRequest()["X-Model"]);
}

TEST_F(forwarder_fixture, stream_that_breaks_off_is_continued_elsewhere_without_gap_or_repeat)
{
    runner_behaviour breaking;
    breaking.events = 20;
    breaking.breakAfter = 7;
    runner_behaviour whole;
    whole.events = 20;
    setBehaviour(breaking);
    std::thread mend([&] {
        std::this_thread::sleep_for(milliseconds(5));
        setBehaviour(whole);
    });
    const http1_response answer = ask(streamRequest("r1"));
    mend.join();
    EXPECT_EQ(events(1, 20), answer.body());
}

TEST_F(forwarder_fixture, stream_that_may_not_be_continued_ends_cut)
{
    runner_behaviour breaking;
    breaking.events = 20;
    breaking.breakAfter = 7;
    setBehaviour(breaking);
    EXPECT_THROW(ask(requestText("POST", "/closed/x", "r1", "X-Model: m\r\n", "{}")),
                 boost::system::system_error);
    EXPECT_EQ(1, runsOf("r1"));
}

TEST_F(forwarder_fixture, stream_that_the_client_continues_starts_behind_its_last_event)
{
    runner_behaviour behaviour;
    behaviour.events = 20;
    setBehaviour(behaviour);
    EXPECT_EQ(events(13, 20), ask(streamRequest("r1", "Last-Event-Id: 12\r\n")).body());
}

TEST_F(forwarder_fixture, unsure_answer_is_dropped_for_the_larger_models)
{
    runner_behaviour behaviour;
    behaviour.events = 5;
    behaviour.confidence = 10;
    setBehaviour(behaviour);
    // The budget for repeated sends follows the requests: some come before it allows any.
    std::string model;
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(events(1, 5), ask(streamRequest("r" + std::to_string(i))).body());
        model = std::string(lastRequest()["X-Model"]);
        if (model == "large")
            break;
    }
    EXPECT_EQ("large", model);
}

TEST_F(forwarder_fixture, client_that_leaves_ends_its_stream_upstream)
{
    runner_behaviour behaviour;
    behaviour.events = 1000;
    behaviour.gap = milliseconds(5);
    setBehaviour(behaviour);
    {
        byte_client client(onLoop([&] { return m_server->address(); }));
        client.send(streamRequest("r1"));
        ASSERT_TRUE(eventually([&] { return m_forwarder->inProgress() == 1; }));
        std::this_thread::sleep_for(milliseconds(50));
        client.close();
    }
    EXPECT_TRUE(eventually([&] {
        int abandoned = 0;
        for (const auto &runner : m_runners)
            abandoned += runner->abandoned();
        return abandoned == 1 && m_forwarder->inProgress() == 0;
    }));
}

TEST_F(forwarder_fixture, request_past_its_deadline_gets_its_final_answer_at_once)
{
    runner_behaviour silent;
    silent.silent = true;
    setBehaviour(silent);
    const auto started = std::chrono::steady_clock::now();
    const http1_response answer
        = ask(requestText("POST", "/once/x", "r1", "X-Deadline-Ms: 200\r\n", "{}"));
    EXPECT_EQ(504, answer.result_int());
    EXPECT_GE(std::chrono::steady_clock::now() - started, milliseconds(190));
    EXPECT_EQ(1, runsOf("r1"));
}

TEST_F(forwarder_fixture, unknown_route_and_key_are_confirmed_before_they_are_refused)
{
    onLoop([&] { m_state.setConfirmed(m_clock.now() - std::chrono::seconds(5)); });
    EXPECT_EQ(404, ask(requestText("GET", "/none/x", "r1")).result_int());
    EXPECT_EQ(1, m_confirmCalls);
    const std::string stranger = "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n"
                                 "X-Request-Id: r2\r\nX-Credential: no-key\r\n\r\n";
    EXPECT_EQ(401, ask(stranger).result_int());
    EXPECT_EQ(2, m_confirmCalls);
    EXPECT_EQ(0U, requestsSeen());
}

TEST_F(forwarder_fixture, route_that_was_just_added_is_served_after_confirmation)
{
    onLoop([&] { m_state.setConfirmed(m_clock.now() - std::chrono::seconds(5)); });
    m_onConfirm = [this] {
        routing_parts parts = m_config;
        parts.routes.push_back(parts.routes[0]);
        parts.routes.back().prefix = "/added/";
        auto view = std::make_shared<routing_view>(*m_state.view());
        view->config = std::make_shared<routing_config>(parts);
        m_state.setView(view);
    };
    EXPECT_EQ(200, ask(requestText("GET", "/added/x", "r1")).result_int());
}

TEST_F(forwarder_fixture, unknown_route_is_refused_as_not_run_if_nothing_confirms_it)
{
    onLoop([&] {
        m_confirms = false;
        m_state.setConfirmed(m_clock.now() - std::chrono::seconds(5));
    });
    const http1_response answer = ask(requestText("GET", "/none/x", "r1"));
    EXPECT_EQ(503, answer.result_int());
    EXPECT_FALSE(answer[boost::beast::http::field::retry_after].empty());
}

TEST_F(forwarder_fixture, stopping_host_refuses_only_what_it_cannot_finish)
{
    onLoop([&] {
        drain_times times;
        times.started = m_clock.now() - std::chrono::seconds(4);
        times.stopTime = std::chrono::seconds(6);
        m_forwarder->beginDrain(times);
    });
    EXPECT_EQ(
        200,
        ask(requestText("POST", "/once/x", "r1", "X-Deadline-Ms: 600\r\n", "{}")).result_int());
    EXPECT_EQ(503, ask(streamRequest("r2")).result_int());
    EXPECT_EQ(0, runsOf("r2"));
}

TEST_F(forwarder_fixture, request_without_id_is_malformed)
{
    EXPECT_EQ(400, ask("GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n").result_int());
    EXPECT_EQ(0U, requestsSeen());
}

TEST_F(forwarder_fixture, service_without_instances_is_refused_at_once)
{
    m_instances.erase("plain");
    publish();
    EXPECT_EQ(503, ask(requestText("GET", "/safe/x", "r1")).result_int());
}

TEST_F(router_fixture, request_before_the_first_configuration_waits_for_it)
{
    addRunner("plain", "plain-1");
    byte_client client(onLoop([&] { return m_server->address(); }));
    client.send(requestText("GET", "/safe/x", "r1"));
    ASSERT_TRUE(eventually([&] { return m_forwarder->inProgress() == 1; }));
    publish();
    EXPECT_EQ(200, client.read().result_int());
}

TEST_F(router_fixture, request_is_refused_if_no_configuration_comes)
{
    EXPECT_EQ(503, ask(requestText("GET", "/safe/x", "r1")).result_int());
}

TEST_F(forwarder_fixture, pipelined_requests_are_answered_in_order)
{
    byte_client client(onLoop([&] { return m_server->address(); }));
    std::string text;
    for (int i = 0; i < 5; ++i)
        text += requestText("GET", "/safe/x", "r" + std::to_string(i));
    client.send(text);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(platform_runner::bodyFor("r" + std::to_string(i)), client.read().body());
}

TEST_F(forwarder_fixture, connections_that_fail_are_no_repeats)
{
    onLoop([this] {
        for (int i = 0; i < 6; ++i) {
            instance dead = m_instances["plain"].front();
            dead.id = "dead-" + std::to_string(i);
            dead.address = "127.0.0.1:1";
            m_instances["plain"].push_back(dead);
        }
    });
    publish();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(200U, ask(requestText("GET", "/safe/x", "r" + std::to_string(i))).result_int());
    EXPECT_GT(m_counters.sends("not_sent").Value(), 0);
    EXPECT_EQ(m_counters.repeats("unreachable").Value(), 0);
}

TEST_F(forwarder_fixture, kept_connections_are_used_again)
{
    for (int i = 0; i < 20; ++i)
        ask(requestText("GET", "/safe/x", "r" + std::to_string(i)));
    const std::size_t connections
        = onLoop([&] { return m_runners[0]->connections() + m_runners[1]->connections(); });
    EXPECT_LE(connections, 2U);
}

} // namespace
} // namespace goldcrestdeck
