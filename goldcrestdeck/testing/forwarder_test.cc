#include "goldcrestdeck/testing/router_harness.h"

namespace goldcrestdeck {
namespace {

using standins::instance_faults;
using standins::platform_instance;
using std::chrono::milliseconds;

/// A router with two instances of each of two services.
class forwarder_fixture : public router_fixture
{
protected:
    forwarder_fixture()
    {
        for (const char *id : {"plain-1", "plain-2"})
            addInstance("plain", id);
        for (const char *id : {"engine-1", "engine-2"})
            addInstance("engine", id);
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
            text += platform_instance::eventText(i);
        return text;
    }

    http1_request lastRequest()
    {
        return onLoop([&] {
            http1_request last;
            for (const auto &standin : m_standins) {
                if (!standin->requests().empty())
                    last = standin->requests().back();
            }
            return last;
        });
    }
};

TEST_F(forwarder_fixture, buffered_response_is_returned_unchanged)
{
    const http1_response response = sendRequest(requestText("GET", "/safe/x?y=1", "r1"));
    EXPECT_EQ(200, response.result_int());
    EXPECT_EQ(platform_instance::bodyFor("r1"), response.body());
    EXPECT_EQ("r1", response["X-Request-Id"]);
    EXPECT_FALSE(response["X-Response-Seal"].empty());
    EXPECT_EQ("/safe/x?y=1", lastRequest().target());
}

TEST_F(forwarder_fixture, client_headers_reserved_for_router_are_dropped)
{
    sendRequest(
        requestText("GET", "/safe/x", "r1",
                    "X-Tenant: other\r\nX-Hold: 1\r\nX-Pin-Ms: 9\r\nKv-From: 1.1.1.1:1/2\r\n"
                    "X-Kv-Backup: 1.1.1.1:1\r\nX-Request-Priority: 0\r\nX-Extra: kept\r\n"));
    const http1_request forwarded = lastRequest();
    EXPECT_EQ("w1", forwarded["X-Tenant"]);
    EXPECT_EQ("kept", forwarded["X-Extra"]);
    EXPECT_EQ("5", forwarded["X-Request-Priority"]);
    for (const char *name : {"X-Credential", "X-Hold", "X-Pin-Ms", "Kv-From", "X-Kv-Backup"})
        EXPECT_TRUE(forwarded.find(name) == forwarded.end()) << name;
}

TEST_F(forwarder_fixture, at_most_once_request_with_broken_response_is_not_retried)
{
    for (int kind = 0; kind < 4; ++kind) {
        instance_faults faults;
        faults.resetBeforeResponse = kind == 0;
        faults.garbage = kind == 1;
        faults.truncateBody = kind == 2;
        faults.omitSeal = kind == 3;
        setFaults(faults);
        const std::string id = "once-" + std::to_string(kind);
        const http1_response response = sendRequest(requestText("POST", "/once/x", id, "", "{}"));
        EXPECT_EQ(502, response.result_int()) << kind;
        EXPECT_EQ(1, executionsOf(id)) << kind;
    }
}

TEST_F(forwarder_fixture, at_most_once_request_that_has_not_run_is_retried)
{
    onLoop([&] {
        instance_faults rejecting;
        rejecting.rejectUnexecuted = true;
        m_standins[0]->setFaults(rejecting);
    });
    for (int i = 0; i < 10; ++i) {
        const std::string id = "once-" + std::to_string(i);
        EXPECT_EQ(200, sendRequest(requestText("POST", "/once/x", id, "", "{}")).result_int());
        EXPECT_EQ(1, executionsOf(id));
    }
}

TEST_F(forwarder_fixture, request_rejected_by_all_instances_is_refused_as_not_run)
{
    instance_faults rejecting;
    rejecting.rejectUnexecuted = true;
    setFaults(rejecting);
    const http1_response response = sendRequest(requestText("POST", "/once/x", "r1", "", "{}"));
    EXPECT_EQ(503, response.result_int());
    EXPECT_FALSE(response[boost::beast::http::field::retry_after].empty());
    EXPECT_EQ(0, executionsOf("r1"));
}

TEST_F(forwarder_fixture, request_to_reassigned_address_is_not_run)
{
    instance_faults reassigned;
    reassigned.wrongInstance = true;
    setFaults(reassigned);
    EXPECT_EQ(503, sendRequest(requestText("POST", "/once/x", "r1", "", "{}")).result_int());
    EXPECT_EQ(0, executionsOf("r1"));
}

TEST_F(forwarder_fixture, repeatable_request_after_failure_is_retried_on_another_instance)
{
    for (int kind = 0; kind < 5; ++kind) {
        instance_faults faults;
        faults.resetBeforeResponse = kind == 0;
        faults.garbage = kind == 1;
        faults.truncateBody = kind == 2;
        faults.omitSeal = kind == 3;
        faults.status = kind == 4 ? 500 : 200;
        onLoop([&] {
            m_standins[0]->setFaults(faults);
            m_standins[1]->setFaults(instance_faults());
        });
        for (int i = 0; i < 4; ++i) {
            const std::string id = std::to_string(kind) + '-' + std::to_string(i);
            const http1_response response = sendRequest(requestText("GET", "/safe/x", id));
            EXPECT_EQ(200, response.result_int()) << id;
            EXPECT_EQ(platform_instance::bodyFor(id), response.body());
        }
    }
}

TEST_F(forwarder_fixture, repeatable_request_on_unresponsive_instance_is_retried)
{
    instance_faults silent;
    silent.silent = true;
    onLoop([&] { m_standins[0]->setFaults(silent); });
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(200, sendRequest(requestText("GET", "/safe/x", std::to_string(i))).result_int());
}

TEST_F(forwarder_fixture, stream_on_unresponsive_instance_is_served_by_another)
{
    instance_faults silent;
    silent.silent = true;
    instance_faults healthy;
    healthy.events = 10;
    onLoop([&] {
        m_standins[2]->setFaults(silent);
        m_standins[3]->setFaults(healthy);
    });
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(events(1, 10), sendRequest(streamRequest("r" + std::to_string(i))).body());
}

TEST_F(forwarder_fixture, stalled_stream_is_resumed_on_another_instance)
{
    instance_faults stalling;
    stalling.events = 10;
    stalling.stallAfterEvents = 4;
    setFaults(stalling);
    std::thread recovery([&] {
        std::this_thread::sleep_for(milliseconds(300));
        instance_faults healthy;
        healthy.events = 10;
        setFaults(healthy);
    });
    const http1_response response = sendRequest(streamRequest("r1"));
    recovery.join();
    EXPECT_EQ(events(1, 10), response.body());
}

TEST_F(forwarder_fixture, error_from_every_instance_is_returned_unchanged)
{
    instance_faults failing;
    failing.status = 500;
    setFaults(failing);
    const http1_response response = sendRequest(requestText("GET", "/safe/x", "r1"));
    EXPECT_EQ(500, response.result_int());
    EXPECT_FALSE(response["X-Response-Seal"].empty());
    EXPECT_EQ(3, executionsOf("r1"));
}

TEST_F(forwarder_fixture, response_to_earlier_request_is_skipped)
{
    instance_faults faults;
    faults.staleResponseFirst = true;
    setFaults(faults);
    const http1_response response = sendRequest(requestText("POST", "/once/x", "r1", "", "{}"));
    EXPECT_EQ(200, response.result_int());
    EXPECT_EQ(platform_instance::bodyFor("r1"), response.body());
}

/// Both instances of the service "plain" reject their first request, and write that response once
/// more before they respond to later requests on the same connection.
class repeated_refusal_fixture : public forwarder_fixture
{
protected:
    void expectEachRequestExecutedOnce(bool refusalHasId)
    {
        instance_faults faults;
        faults.repeatRefusal = true;
        faults.refusalWithoutId = !refusalHasId;
        setFaults(faults);
        raw_http_client client(onLoop([&] { return m_server->address(); }));
        for (int i = 0; i < 10; ++i) {
            const std::string id = "r" + std::to_string(i);
            client.send(requestText("POST", "/once/x", id, "", "{}"));
            EXPECT_EQ(200U, client.read().result_int()) << id;
            EXPECT_EQ(1, executionsOf(id)) << id;
        }
    }
};

TEST_F(repeated_refusal_fixture, refusal_of_the_same_request_is_not_taken_for_that_of_a_later_send)
{
    expectEachRequestExecutedOnce(true);
}

TEST_F(repeated_refusal_fixture, refusal_without_an_id_is_not_taken_for_that_of_a_later_request)
{
    expectEachRequestExecutedOnce(false);
}

TEST_F(forwarder_fixture, bytes_after_response_are_discarded)
{
    instance_faults faults;
    faults.duplicateResponse = true;
    setFaults(faults);
    raw_http_client client(onLoop([&] { return m_server->address(); }));
    for (int i = 0; i < 20; ++i) {
        const std::string id = "r" + std::to_string(i);
        client.send(requestText("POST", "/once/x", id, "", "{}"));
        const http1_response response = client.read();
        EXPECT_EQ(200, response.result_int());
        EXPECT_EQ(platform_instance::bodyFor(id), response.body());
        EXPECT_EQ(1, executionsOf(id));
    }
}

TEST_F(forwarder_fixture, response_without_length_is_complete_only_at_orderly_close)
{
    instance_faults faults;
    faults.omitContentLength = true;
    setFaults(faults);
    EXPECT_EQ(platform_instance::bodyFor("r1"),
              sendRequest(requestText("POST", "/once/x", "r1", "", "{}")).body());
    faults.resetAtEnd = true;
    setFaults(faults);
    EXPECT_EQ(502, sendRequest(requestText("POST", "/once/x", "r2", "", "{}")).result_int());
}

TEST_F(forwarder_fixture, stream_is_forwarded_unchanged)
{
    instance_faults faults;
    faults.events = 20;
    faults.confidence = 90;
    setFaults(faults);
    const http1_response response = sendRequest(streamRequest("r1"));
    EXPECT_EQ(200, response.result_int());
    EXPECT_EQ(events(1, 20), response.body());
    EXPECT_EQ("small", lastRequest()["X-Model"]);
}

TEST_F(forwarder_fixture, broken_stream_is_resumed_without_gap_or_duplicate)
{
    instance_faults breaking;
    breaking.events = 20;
    breaking.resetAfterEvents = 7;
    instance_faults healthy;
    healthy.events = 20;
    setFaults(breaking);
    std::thread recovery([&] {
        std::this_thread::sleep_for(milliseconds(5));
        setFaults(healthy);
    });
    const http1_response response = sendRequest(streamRequest("r1"));
    recovery.join();
    EXPECT_EQ(events(1, 20), response.body());
}

TEST_F(forwarder_fixture, stream_without_framing_is_forwarded_unchanged)
{
    instance_faults faults;
    faults.events = 20;
    faults.omitContentLength = true;
    setFaults(faults);
    EXPECT_EQ(events(1, 20), sendRequest(streamRequest("r1")).body());
}

TEST_F(forwarder_fixture, stream_that_ends_inside_an_event_is_resumed_on_another_instance)
{
    for (const bool isUnframed : {true, false}) {
        instance_faults healthy;
        healthy.events = 20;
        instance_faults ending = healthy;
        ending.omitContentLength = isUnframed;
        ending.endInsideEventAfter = 7;
        onLoop([&] {
            m_standins[2]->setFaults(ending);
            m_standins[3]->setFaults(healthy);
        });
        for (int i = 0; i < 4; ++i) {
            const std::string id = std::to_string(isUnframed) + '-' + std::to_string(i);
            EXPECT_EQ(events(1, 20), sendRequest(streamRequest(id)).body()) << id;
        }
    }
}

TEST_F(forwarder_fixture, stream_that_ends_inside_an_event_is_not_framed_as_complete)
{
    for (const bool isUnframed : {true, false}) {
        instance_faults ending;
        ending.events = 20;
        ending.omitContentLength = isUnframed;
        ending.endInsideEventAfter = 7;
        setFaults(ending);
        const std::string id = "r" + std::to_string(isUnframed);
        EXPECT_THROW(sendRequest(requestText("POST", "/closed/x", id, "X-Model: m\r\n", "{}")),
                     boost::system::system_error);
        EXPECT_EQ(1, executionsOf(id));
    }
}

TEST_F(forwarder_fixture, response_that_ends_in_its_head_is_never_delivered_as_a_success)
{
    const std::string stream = "X-Model: m\r\n";
    for (const bool isUnframed : {false, true}) {
        for (int bytes = 0; bytes < 110; bytes += 11) {
            instance_faults ending;
            ending.closeAfterHeadBytes = bytes;
            ending.omitContentLength = isUnframed;
            setFaults(ending);
            const std::string id = std::to_string(bytes) + (isUnframed ? "u" : "f");
            EXPECT_EQ(502U,
                      sendRequest(requestText("POST", "/once/x", "o" + id, "", "{}")).result_int())
                << id;
            EXPECT_EQ(1, executionsOf("o" + id)) << id;
            EXPECT_NE(200U, sendRequest(requestText("GET", "/safe/x", "s" + id)).result_int())
                << id;
            ending.events = 5;
            setFaults(ending);
            EXPECT_EQ(
                502U,
                sendRequest(requestText("POST", "/closed/x", "c" + id, stream, "{}")).result_int())
                << id;
        }
    }
}

TEST_F(forwarder_fixture, unframed_stream_that_ends_after_its_head_is_not_delivered_as_a_success)
{
    instance_faults ending;
    ending.closeAfterHeadBytes = 10'000;
    ending.omitContentLength = true;
    ending.events = 5;
    setFaults(ending);
    const std::string fields = "X-Model: m\r\n";
    EXPECT_EQ(502U, sendRequest(requestText("POST", "/closed/x", "c", fields, "{}")).result_int());
    EXPECT_NE(200U, sendRequest(requestText("POST", "/stream/x", "r", fields, "{}")).result_int());
    EXPECT_GE(executionsOf("r"), 2);
}

TEST_F(forwarder_fixture, broken_stream_to_http_1_0_client_does_not_look_complete)
{
    instance_faults ending;
    ending.events = 20;
    ending.endInsideEventAfter = 7;
    setFaults(ending);
    std::string request = requestText("POST", "/closed/x", "r1", "X-Model: m\r\n", "{}");
    request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    EXPECT_THROW(sendRequest(request), boost::system::system_error);
}

TEST_F(forwarder_fixture, stream_that_ends_inside_its_first_event_is_refused_as_may_have_run)
{
    instance_faults ending;
    ending.events = 20;
    ending.omitContentLength = true;
    ending.endInsideEventAfter = 0;
    setFaults(ending);
    EXPECT_EQ(
        502,
        sendRequest(requestText("POST", "/closed/x", "r1", "X-Model: m\r\n", "{}")).result_int());
    EXPECT_EQ(1, executionsOf("r1"));
}

TEST_F(forwarder_fixture,
       stream_whose_resumption_gets_an_error_does_not_look_complete_or_contain_it)
{
    for (const unsigned status : {500U, 404U, 200U}) {
        instance_faults breaking;
        breaking.events = 20;
        breaking.resetAfterEvents = 7;
        instance_faults failing; // A response that is no stream.
        failing.status = status;
        onLoop([&] {
            m_standins[2]->setFaults(breaking);
            m_standins[3]->setFaults(failing);
        });
        int streams = 0;
        for (int i = 0; i < 100 && streams < 3; ++i) {
            const std::string id = std::to_string(status) + '-' + std::to_string(i);
            raw_http_client client(onLoop([&] { return m_server->address(); }));
            client.send(
                requestText("POST", "/stream/x", id, "X-Model: m\r\nConnection: close\r\n", "{}"));
            const std::string received = client.readAll();
            if (received.find("data: event 7\n") == std::string::npos)
                continue; // The instance that fails was asked first.
            ++streams;
            EXPECT_EQ(std::string::npos, received.find("data: event 8"));
            EXPECT_EQ(std::string::npos, received.find(platform_instance::bodyFor(id)));
            EXPECT_EQ(received.find("HTTP/1.1"), received.rfind("HTTP/1.1"));
            EXPECT_NE(std::string::npos, received.find("Transfer-Encoding: chunked"));
            EXPECT_EQ(std::string::npos, received.find("\r\n0\r\n")) << "framed as complete";
        }
        EXPECT_EQ(3, streams) << status;
    }
}

TEST_F(forwarder_fixture, broken_stream_that_is_not_resumable_is_aborted)
{
    instance_faults breaking;
    breaking.events = 20;
    breaking.resetAfterEvents = 7;
    setFaults(breaking);
    EXPECT_THROW(sendRequest(requestText("POST", "/closed/x", "r1", "X-Model: m\r\n", "{}")),
                 boost::system::system_error);
    EXPECT_EQ(1, executionsOf("r1"));
}

/// All traffic of the service "engine" goes to the only instance of the candidate version, after
/// its normal latencies are known.
class slow_candidate_fixture : public forwarder_fixture
{
protected:
    /// Sends one request to a candidate with \a faults.
    /// \returns whether it was reported as slow within 2 s, long before its response ended.
    bool isReportedWhileInProgress(const instance_faults &faults)
    {
        instance_faults normal;
        normal.events = 20;
        normal.eventInterval = milliseconds(4);
        setFaults(normal);
        for (int i = 0; i < 10; ++i)
            sendRequest(closedRequest("normal-" + std::to_string(i)));
        platform_instance &candidate = addInstance("engine", "engine-new", "v2");
        onLoop([&] { candidate.setFaults(faults); });
        service_rollout rollout;
        rollout.order = {"engine", "v2", std::chrono::seconds(60), 1};
        rollout.record = {1, "v2", rollout_stage::full, milliseconds(40'000)};
        rollout.seenAt = m_clock.now();
        rollout.baselineSessions = std::make_shared<const std::set<std::uint64_t>>();
        m_rollouts["engine"] = rollout;
        publish();
        raw_http_client client(onLoop([&] { return m_server->address(); }));
        client.send(closedRequest("slow"));
        for (int i = 0; i < 20; ++i) {
            std::this_thread::sleep_for(milliseconds(100));
            const bool isReported = onLoop([&] {
                return m_outcomes.size() == 1 && m_outcomes[0].slow
                    && m_outcomes[0].side == version_side::candidate
                    && m_forwarder->requestsInProgress() == 1;
            });
            if (isReported)
                return true;
        }
        return false;
    }

    static std::string closedRequest(const std::string &id)
    {
        return requestText("POST", "/closed/x", id, "X-Model: m\r\n", "{}");
    }
};

TEST_F(slow_candidate_fixture, response_that_does_not_begin_is_reported_before_it_ends)
{
    instance_faults late;
    late.events = 5;
    late.delay = milliseconds(2700);
    EXPECT_TRUE(isReportedWhileInProgress(late));
}

TEST_F(slow_candidate_fixture, stream_with_slow_events_is_reported_before_it_ends)
{
    instance_faults slow;
    slow.events = 100;
    slow.eventInterval = milliseconds(100);
    EXPECT_TRUE(isReportedWhileInProgress(slow));
}

TEST_F(slow_candidate_fixture, normal_stream_is_not_reported_as_slow)
{
    instance_faults normal;
    normal.events = 200;
    normal.eventInterval = milliseconds(6);
    EXPECT_FALSE(isReportedWhileInProgress(normal));
    EXPECT_TRUE(onLoop([&] { return m_outcomes.size() == 1 && !m_outcomes[0].slow; }));
}

/// Ten instances of each service that crash on any request with the text "deadly", before a byte of
/// the response.
class crashing_request_fixture : public forwarder_fixture
{
protected:
    crashing_request_fixture()
    {
        for (int i = 3; i <= 10; ++i) {
            addInstance("plain", "plain-" + std::to_string(i));
            addInstance("engine", "engine-" + std::to_string(i));
        }
        publish();
        instance_faults faults;
        faults.delay = milliseconds(30);
        faults.crashText = "deadly";
        setFaults(faults);
    }

    int crashedInstances()
    {
        return onLoop([&] {
            int count = 0;
            for (const auto &standin : m_standins)
                count += standin->hasCrashed() ? 1 : 0;
            return count;
        });
    }

    /// Sends the request made by \a makeRequest from its id eight times, a sound one after each,
    /// and expects that it is refused before the fifth crash.
    void
    expectRefusedWhenRepeated(const std::function<std::string(const std::string &)> &makeRequest)
    {
        for (int i = 0; i < 8; ++i) {
            sendRequest(makeRequest("d" + std::to_string(i)));
            const std::string sound = requestText("GET", "/safe/x", "s" + std::to_string(i));
            EXPECT_EQ(200U, sendRequest(sound).result_int());
            std::this_thread::sleep_for(milliseconds(120));
        }
        EXPECT_LE(crashedInstances(), 4);
        EXPECT_EQ(503U, sendRequest(makeRequest("last")).result_int());
        EXPECT_EQ(0, executionsOf("last"));
    }
};

TEST_F(crashing_request_fixture, idempotent_request_without_a_prompt_is_refused_when_it_comes_again)
{
    expectRefusedWhenRepeated(
        [](const std::string &id) { return requestText("GET", "/safe/deadly", id); });
}

TEST_F(crashing_request_fixture, at_most_once_request_is_refused_when_it_comes_again)
{
    expectRefusedWhenRepeated([](const std::string &id) {
        return requestText("POST", "/once/x", id, "", R"({"text": "deadly"})");
    });
    EXPECT_EQ(200U, sendRequest(requestText("POST", "/once/x", "other", "", "{}")).result_int());
}

TEST_F(crashing_request_fixture, stream_whose_instances_crash_before_the_head_is_refused)
{
    expectRefusedWhenRepeated([](const std::string &id) {
        return requestText("POST", "/stream/x", id,
                           "X-Model: m\r\nX-Prompt-Prefix: common:40,own:10\r\n", "deadly");
    });
}

TEST_F(crashing_request_fixture,
       responses_reset_by_instances_that_go_on_are_not_reported_as_crashes)
{
    instance_faults faults;
    faults.resetBeforeResponse = true;
    setFaults(faults);
    for (int i = 0; i < 6; ++i) {
        sendRequest(requestText("GET", "/safe/same", "r" + std::to_string(i)));
        sendRequest(requestText("POST", "/stream/x", "p" + std::to_string(i),
                                "X-Model: m\r\nX-Prompt-Prefix: common:40,own:10\r\n", "text"));
        std::this_thread::sleep_for(milliseconds(150));
    }
    setFaults({});
    EXPECT_EQ(200U, sendRequest(requestText("GET", "/safe/same", "last")).result_int());
    std::this_thread::sleep_for(milliseconds(700));
    EXPECT_EQ(0U, onLoop([&] { return m_crashReports.size(); }));
}

/// Ten instances of the service "engine" that crash on any prompt with the segment "deadly".
class crashing_segment_fixture : public forwarder_fixture
{
protected:
    static constexpr int instances = 10;

    crashing_segment_fixture()
    {
        for (int i = 3; i <= instances; ++i)
            addInstance("engine", "engine-" + std::to_string(i));
        publish();
        instance_faults faults;
        faults.events = 5;
        faults.crashSegment = "deadly";
        setFaults(faults);
    }

    static std::string promptRequest(const std::string &id, const std::string &shared)
    {
        return streamRequest(id, "X-Prompt-Prefix: " + shared + ",own-" + id + ":10\r\n");
    }

    /// \returns the status of the response; 0 if the connection broke.
    unsigned statusOf(const std::string &request)
    {
        try {
            return sendRequest(request).result_int();
        } catch (const boost::system::system_error &) {
            return 0;
        }
    }

    int crashedInstances()
    {
        return onLoop([&] {
            int count = 0;
            for (const auto &standin : m_standins)
                count += standin->hasCrashed() ? 1 : 0;
            return count;
        });
    }
};

TEST_F(crashing_segment_fixture, requests_with_that_segment_are_refused_before_the_sixth_crash)
{
    for (int i = 0; i < 8; ++i) {
        statusOf(promptRequest("d" + std::to_string(i), "common:40,topic:20,deadly:30"));
        statusOf(promptRequest("s" + std::to_string(i), "common:40,topic:20"));
        std::this_thread::sleep_for(milliseconds(120));
    }
    EXPECT_LE(crashedInstances(), 5);
    EXPECT_EQ(503U, statusOf(promptRequest("d", "other:40,deadly:30")));
    EXPECT_EQ(0, executionsOf("d"));
}

TEST_F(forwarder_fixture, answered_stream_is_resumed_though_its_segment_is_quarantined_since)
{
    instance_faults breaking;
    breaking.events = 20;
    breaking.eventInterval = milliseconds(20);
    breaking.resetAfterEvents = 10;
    setFaults(breaking);
    std::thread suspicion([&] {
        std::this_thread::sleep_for(milliseconds(100));
        instance_faults healthy;
        healthy.events = 20;
        setFaults(healthy);
        crash_report report;
        for (const char *name : {"1", "2", "3"})
            report.suspects.push_back({name, name, {"topic"}, {}});
        onLoop([&] {
            m_state.quarantine().merge(report, report_origin::otherHost, m_clock.now());
            EXPECT_TRUE(m_state.quarantine().find({"topic"}, "", m_clock.now()));
        });
    });
    const http1_response response
        = sendRequest(streamRequest("r1", "X-Prompt-Prefix: topic:40,own:10\r\n"));
    suspicion.join();
    EXPECT_EQ(events(1, 20), response.body());
}

/// What the instances do after the first one has broken off a stream.
struct later_behavior {
    const char *name;
    void (*set)(instance_faults &);
    bool mustContinue = false;
    bool isKnown = true; ///< The host knows instances to go on with.
};

/// A client, of HTTP/1.1 or 1.0, of a stream that its instance breaks off.
class broken_stream_fixture
    : public forwarder_fixture,
      public ::testing::WithParamInterface<std::tuple<later_behavior, const char *>>
{
protected:
    static constexpr int sentEvents = 3; ///< Before the break.
    static constexpr int eventCount = 5;

    static std::string requestLines()
    {
        std::string request
            = requestText("POST", "/stream/x", "r1", "X-Model: m\r\nConnection: close\r\n", "{}");
        return request.replace(request.find("HTTP/1.1"), 8, std::get<1>(GetParam()));
    }
};

// Guards against a complete response inside the body of a stream (review/12).
TEST_P(broken_stream_fixture, stream_is_continued_or_visibly_cut)
{
    const later_behavior &later = std::get<0>(GetParam());
    instance_faults faults;
    faults.events = eventCount;
    faults.eventInterval = milliseconds(40);
    faults.resetAfterEvents = sentEvents;
    setFaults(faults);
    raw_http_client client(m_server->address());
    client.send(requestLines());
    ASSERT_TRUE(eventually(
        [&] { return m_standins[2]->requests().size() + m_standins[3]->requests().size() == 1; }));
    faults = instance_faults();
    faults.events = eventCount;
    later.set(faults);
    setFaults(faults);
    if (!later.isKnown) {
        m_instances.clear();
        publish();
    }
    const received_stream received = receiveStream(client);
    EXPECT_EQ("", received.malformed);
    EXPECT_EQ(0U, events(1, eventCount).rfind(received.body, 0)) << received.body;
    EXPECT_EQ(0U, received.body.rfind(events(1, sentEvents), 0)) << received.body;
    EXPECT_EQ(received.isComplete, received.body == events(1, eventCount)) << received.body;
    EXPECT_TRUE(received.isComplete || !later.mustContinue);
}

const later_behavior laterBehaviors[] = {
    {"resumed", [](auto &) {}, true},
    {"no_instance", [](auto &) {}, false, false},
    {"rejection", [](auto &faults) { faults.rejectUnexecuted = true; }},
    {"failure", [](auto &faults) { faults.status = 500; }},
    {"unconfirmed_refusal", [](auto &faults) { faults.status = 503; }},
    {"no_stream", [](auto &faults) { faults.events = 0; }},
    {"no_seal", [](auto &faults) { faults.omitSeal = true; }},
    {"break_before_the_head", [](auto &faults) { faults.resetBeforeResponse = true; }},
    {"garbage", [](auto &faults) { faults.garbage = true; }},
    {"silence", [](auto &faults) { faults.silent = true; }},
    {"pause_before_the_last_event", [](auto &faults) { faults.stallAfterEvents = 4; }},
};

INSTANTIATE_TEST_SUITE_P(behaviors, broken_stream_fixture,
                         ::testing::Combine(::testing::ValuesIn(laterBehaviors),
                                            ::testing::Values("HTTP/1.1", "HTTP/1.0")),
                         nameWithVersion<later_behavior>);

TEST_F(crashing_segment_fixture, sound_requests_with_its_other_segments_are_served)
{
    for (int i = 0; i < 8; ++i)
        statusOf(promptRequest("d" + std::to_string(i), "common:40,topic:20,deadly:30"));
    EXPECT_EQ(200U, statusOf(promptRequest("s1", "common:40,topic:20")));
    EXPECT_EQ(200U, statusOf(promptRequest("s2", "common:40")));
}

/// Sends at-most-once requests and streams to instances whose responses never end.
class endless_response_fixture : public forwarder_fixture
{
protected:
    /// The largest response that is buffered, and what may be on its way in addition.
    static constexpr std::size_t maxBytes = 20'000'000;

    void expectCutOff(const instance_faults &faults, const std::string &request)
    {
        setFaults(faults);
        const auto started = std::chrono::steady_clock::now();
        EXPECT_EQ(502U, sendRequest(request).result_int());
        EXPECT_LT(std::chrono::steady_clock::now() - started, milliseconds(2500));
        EXPECT_LT(endlessBytes(), maxBytes);
    }

    std::size_t endlessBytes()
    {
        return onLoop([&] {
            std::size_t bytes = 0;
            for (const auto &standin : m_standins)
                bytes += standin->endlessBytes();
            return bytes;
        });
    }

    static std::string onceRequest() { return requestText("POST", "/once/x", "r1", "", "{}"); }
    static std::string closedRequest()
    {
        return requestText("POST", "/closed/x", "r1", "X-Model: m\r\n", "{}");
    }
};

TEST_F(endless_response_fixture, head_without_end_is_cut_off)
{
    instance_faults faults;
    faults.endlessHead = true;
    expectCutOff(faults, onceRequest());
}

TEST_F(endless_response_fixture, body_without_end_is_cut_off)
{
    instance_faults faults;
    faults.endlessBody = true;
    expectCutOff(faults, onceRequest());
}

TEST_F(endless_response_fixture, many_bodies_without_end_are_bounded_together)
{
    // Half of the memory of a process on the users' hosts.
    constexpr std::size_t maxBufferedBytes = 130'000'000;
    instance_faults faults;
    faults.endlessBody = true;
    setFaults(faults);
    constexpr int requests = 12;
    std::atomic<int> running{requests};
    std::vector<std::thread> clients;
    clients.reserve(requests);
    for (int i = 0; i < requests; ++i)
        clients.emplace_back([this, i, &running] {
            const std::string id = "r" + std::to_string(i);
            EXPECT_EQ(502U, sendRequest(requestText("POST", "/once/x", id, "", "{}")).result_int());
            --running;
        });
    std::size_t peak = 0;
    while (running > 0) {
        peak = std::max(peak, onLoop([&] { return m_memory->total(); }));
        std::this_thread::sleep_for(milliseconds(2));
    }
    for (std::thread &client : clients)
        client.join();
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, maxBufferedBytes);
    EXPECT_EQ(0U, onLoop([&] { return m_memory->total(); }));
}

TEST_F(endless_response_fixture, event_without_end_is_cut_off)
{
    instance_faults faults;
    faults.endlessBody = true;
    expectCutOff(faults, closedRequest());
}

TEST_F(endless_response_fixture, chunk_size_without_end_is_cut_off)
{
    instance_faults faults;
    faults.endlessChunkSize = true;
    expectCutOff(faults, onceRequest());
}

TEST_F(forwarder_fixture, stream_with_last_event_id_starts_after_that_event)
{
    instance_faults faults;
    faults.events = 20;
    setFaults(faults);
    EXPECT_EQ(events(13, 20), sendRequest(streamRequest("r1", "Last-Event-Id: 12\r\n")).body());
}

TEST_F(forwarder_fixture, low_confidence_response_is_replaced_by_larger_model)
{
    instance_faults faults;
    faults.events = 5;
    faults.confidence = 10;
    setFaults(faults);
    // The retry budget is proportional to the requests forwarded, so the first few may not be
    // upgraded.
    bool isUpgraded = false;
    for (int i = 0; i < 5 && !isUpgraded; ++i) {
        const std::string id = "r" + std::to_string(i);
        EXPECT_EQ(events(1, 5), sendRequest(streamRequest(id)).body());
        isUpgraded = onLoop([&] {
            for (const auto &standin : m_standins) {
                for (const http1_request &request : standin->requests()) {
                    if (request["X-Request-Id"] == id && request["X-Model"] == "large")
                        return true;
                }
            }
            return false;
        });
    }
    EXPECT_TRUE(isUpgraded);
}

// The smaller model has begun to respond: a client that is told "not run" would be misled.
TEST_F(forwarder_fixture, request_given_up_for_a_larger_model_that_is_full_is_refused_as_maybe_run)
{
    instance_faults unsure;
    unsure.events = 5;
    unsure.confidence = 10;
    unsure.rejectedModel = "large";
    setFaults(unsure);
    int refused = 0;
    // The retry budget is proportional to the requests forwarded, so the first few may not be
    // upgraded.
    for (int i = 0; i < 20; ++i) {
        const std::string id = "r" + std::to_string(i);
        const http1_response response = sendRequest(streamRequest(id));
        EXPECT_EQ(1, executionsOf(id)) << id;
        if (response.result_int() == 200U)
            continue;
        ++refused;
        EXPECT_EQ(502U, response.result_int()) << id;
        EXPECT_EQ("", response["Retry-After"]) << id;
        EXPECT_NE(std::string::npos, response.body().find(R"("run":"unknown")")) << id;
    }
    EXPECT_LT(0, refused);
}

/// Both instances of "engine" accept so few requests that nothing can be sent a second time.
class limited_instances_fixture : public forwarder_fixture
{
protected:
    limited_instances_fixture()
    {
        m_faults.events = 5;
        setFaults(m_faults);
        // Until the retry budget allows an upgrade.
        for (int i = 0; i < 20; ++i)
            sendRequest(streamRequest("r" + std::to_string(i)));
        m_faults.rateLimit = "0.2";
        setFaults(m_faults);
        while (onLoop([&] { return m_state.rateLimits().limitedCount(); }) < 2)
            sendRequest(streamRequest("told" + std::to_string(m_told++)));
    }

    /// Lets this host send one more request to each instance.
    void allowOneEach()
    {
        m_faults.rateLimit = "";
        onLoop([&] {
            for (const instance &entry : m_instances["engine"])
                m_state.rateLimits().recordReport({entry.incarnation(), std::nullopt},
                                                  m_clock.now());
        });
        m_faults.rateLimit = "0.2";
    }

    instance_faults m_faults;
    int m_told = 0;
};

TEST_F(limited_instances_fixture, request_is_refused_at_once_as_not_run)
{
    const auto begin = std::chrono::steady_clock::now();
    const http1_response response = sendRequest(streamRequest("r"));
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(500));
    EXPECT_EQ(503U, response.result_int());
    EXPECT_NE(std::string::npos, response.body().find("instances_at_limit"));
    EXPECT_NE(std::string::npos, response.body().find(R"("run":"no")"));
    EXPECT_GE(std::stod(std::string(response["Retry-After"])), 0.3);
    EXPECT_EQ(0, executionsOf("r"));
}

TEST_F(limited_instances_fixture, answer_with_low_confidence_is_kept_if_no_other_can_be_had)
{
    allowOneEach();
    m_faults.confidence = 10;
    setFaults(m_faults);
    // One instance is used up by a request that names its model.
    EXPECT_EQ(
        200U,
        sendRequest(requestText("POST", "/closed/x", "c", "X-Model: m\r\n", "{}")).result_int());
    EXPECT_EQ(events(1, 5), sendRequest(streamRequest("kept")).body());
    EXPECT_EQ(1, executionsOf("kept"));
}

TEST_F(limited_instances_fixture, limits_are_reported_to_the_other_hosts_once)
{
    EXPECT_EQ(2U, onLoop([&] { return m_rateLimitReports.size(); }));
}

/// Instances whose usual times are known. The target latency of streams exceeds their timeout of 3
/// s, so that none is sent again for being slow.
class uneven_instances_fixture : public forwarder_fixture
{
protected:
    uneven_instances_fixture()
    {
        for (route &entry : m_config.routes)
            entry.targetLatency = std::chrono::seconds(10);
        publish();
        m_normal.events = 20;
        m_normal.eventInterval = milliseconds(5);
        setFaults(m_normal);
        for (int i = 0; i < 6; ++i)
            sendRequest(streamRequest("normal-" + std::to_string(i)));
    }

    instance_faults m_normal;
};

// Guards against an upgrade to the larger model in the queue of the same slow instance.
TEST_F(uneven_instances_fixture, upgrade_avoids_the_instance_that_was_slow)
{
    instance_faults unsure = m_normal;
    unsure.confidence = 5;
    setFaults(unsure);
    unsure.delay = milliseconds(120);
    onLoop([&] { m_standins[2]->setFaults(unsure); });
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(200, sendRequest(streamRequest("r" + std::to_string(i))).result_int());
        std::this_thread::sleep_for(milliseconds(300));
    }
    std::map<std::string, int> sends;
    onLoop([&] {
        for (const http1_request &request : m_standins[2]->requests())
            ++sends[std::string(request["X-Request-Id"])];
    });
    EXPECT_GT(requestsReceived(), 12U);
    for (const auto &entry : sends)
        EXPECT_EQ(1, entry.second) << entry.first;
}

TEST_F(forwarder_fixture, client_disconnect_cancels_upstream_stream)
{
    instance_faults faults;
    faults.events = 1000;
    faults.eventInterval = milliseconds(5);
    setFaults(faults);
    {
        raw_http_client client(onLoop([&] { return m_server->address(); }));
        client.send(streamRequest("r1"));
        ASSERT_TRUE(eventually([&] { return m_forwarder->requestsInProgress() == 1; }));
        std::this_thread::sleep_for(milliseconds(50));
        client.close();
    }
    EXPECT_TRUE(eventually([&] {
        int abandoned = 0;
        for (const auto &standin : m_standins)
            abandoned += standin->abandonedStreams();
        return abandoned == 1 && m_forwarder->requestsInProgress() == 0;
    }));
}

TEST_F(forwarder_fixture, request_past_deadline_is_answered_with_gateway_timeout)
{
    instance_faults silent;
    silent.silent = true;
    setFaults(silent);
    const auto started = std::chrono::steady_clock::now();
    const http1_response response
        = sendRequest(requestText("POST", "/once/x", "r1", "X-Deadline-Ms: 200\r\n", "{}"));
    EXPECT_EQ(504, response.result_int());
    EXPECT_GE(std::chrono::steady_clock::now() - started, milliseconds(190));
    EXPECT_EQ(1, executionsOf("r1"));
}

TEST_F(forwarder_fixture, unknown_route_or_key_is_refused_only_after_confirmation)
{
    onLoop([&] { m_state.setConfirmedAt(m_clock.now() - std::chrono::seconds(5)); });
    EXPECT_EQ(404, sendRequest(requestText("GET", "/none/x", "r1")).result_int());
    EXPECT_EQ(1, m_confirmCalls);
    const std::string unknownKeyRequest = "GET /safe/x HTTP/1.1\r\nHost: a.example\r\n"
                                          "X-Request-Id: r2\r\nX-Credential: no-key\r\n\r\n";
    EXPECT_EQ(401, sendRequest(unknownKeyRequest).result_int());
    EXPECT_EQ(2, m_confirmCalls);
    EXPECT_EQ(0U, requestsReceived());
}

TEST_F(forwarder_fixture, newly_added_route_is_served_after_confirmation)
{
    onLoop([&] { m_state.setConfirmedAt(m_clock.now() - std::chrono::seconds(5)); });
    m_onConfirm = [this] {
        routing_parts parts = m_config;
        parts.routes.push_back(parts.routes[0]);
        parts.routes.back().prefix = "/added/";
        auto view = std::make_shared<routing_view>(*m_state.view());
        view->config = std::make_shared<routing_config>(parts);
        m_state.setView(view);
    };
    EXPECT_EQ(200, sendRequest(requestText("GET", "/added/x", "r1")).result_int());
}

TEST_F(forwarder_fixture, unknown_route_without_confirmation_is_refused_as_unavailable)
{
    onLoop([&] {
        m_confirmSucceeds = false;
        m_state.setConfirmedAt(m_clock.now() - std::chrono::seconds(5));
    });
    const http1_response response = sendRequest(requestText("GET", "/none/x", "r1"));
    EXPECT_EQ(503, response.result_int());
    EXPECT_FALSE(response[boost::beast::http::field::retry_after].empty());
}

TEST_F(forwarder_fixture, unknown_route_is_refused_when_its_confirmation_takes_too_long)
{
    onLoop([&] {
        m_confirmEnds = false;
        m_state.setConfirmedAt(m_clock.now() - std::chrono::seconds(5));
    });
    EXPECT_EQ(503, sendRequest(requestText("GET", "/none/x", "r1")).result_int());
}

/// The head of a request whose body of \a length bytes follows.
std::string headText(const std::string &path, const std::string &key, std::size_t length,
                     const std::string &fields = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Credential: "
        + key + "\r\n" + fields + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

// Guards against memory and time that is spent on bodies of requests that are refused anyway, and
// against a response that differs from that to the complete request.
TEST_F(forwarder_fixture, request_without_route_or_key_is_refused_before_its_body_arrives)
{
    for (const auto &[path, key] : {std::pair("/none/x", "key-1"), std::pair("/safe/x", "no-key"),
                                    std::pair("/safe/x", "")}) {
        const http1_response complete = sendRequest(headText(path, key, 2) + "{}");
        raw_http_client client(m_server->address());
        client.send(headText(path, key, 2));
        const http1_response early = client.read();
        EXPECT_EQ(complete.result(), early.result()) << path;
        EXPECT_EQ(complete.body(), early.body()) << path;
        EXPECT_EQ("close", early[boost::beast::http::field::connection]);
        EXPECT_TRUE(client.isClosedByServer());
    }
    EXPECT_EQ(0U, requestsReceived());
}

// Guards against a reset that destroys the response: the client reads only once it has sent its
// body, of which most arrives after the response.
TEST_F(forwarder_fixture, early_refusal_reaches_a_client_that_sends_its_whole_body_first)
{
    for (const std::size_t length : {2UL, 100'000UL, 4UL * 1024 * 1024}) {
        raw_http_client client(m_server->address());
        client.send(headText("/none/x", "key-1", length));
        std::this_thread::sleep_for(milliseconds(30));
        client.send(std::string(length, 'x'));
        EXPECT_EQ(404, client.read().result_int()) << length;
    }
}

TEST_F(forwarder_fixture, early_refusal_after_expect_continue_follows_the_interim_response)
{
    raw_http_client client(m_server->address());
    client.send(headText("/none/x", "key-1", 2, "Expect: 100-continue\r\n"));
    EXPECT_EQ(100, client.read().result_int());
    EXPECT_EQ(404, client.read().result_int());
}

// Guards against a request that is forwarded without its body, or refused, because its route was
// not known when its head arrived.
TEST_F(forwarder_fixture, body_of_newly_added_route_is_read_after_confirmation)
{
    onLoop([&] {
        m_state.setConfirmedAt(m_clock.now() - std::chrono::seconds(5));
        m_confirmEnds = false;
    });
    raw_http_client client(m_server->address());
    client.send(headText("/added/x", "key-1", 5) + "12");
    ASSERT_TRUE(eventually([&] { return m_confirmCalls == 1; }));
    client.send("345" + requestText("GET", "/safe/x", "r2"));
    onLoop([&] {
        routing_parts parts = m_config;
        parts.routes.push_back(parts.routes[0]);
        parts.routes.back().prefix = "/added/";
        auto view = std::make_shared<routing_view>(*m_state.view());
        view->config = std::make_shared<routing_config>(parts);
        m_state.setView(view);
        m_lastConfirm(true);
    });
    EXPECT_EQ(200, client.read().result_int());
    EXPECT_EQ(200, client.read().result_int());
    const auto bodies = onLoop([&] {
        std::vector<std::string> result;
        for (const auto &standin : m_standins) {
            for (const auto &request : standin->requests())
                result.push_back(request.body());
        }
        return result;
    });
    EXPECT_EQ(1, std::count(bodies.begin(), bodies.end(), "12345"));
}

TEST_F(forwarder_fixture, draining_host_refuses_only_requests_it_cannot_finish)
{
    onLoop([&] {
        drain_schedule times;
        times.started = m_clock.now() - std::chrono::seconds(4);
        times.exitDelay = std::chrono::seconds(6);
        m_forwarder->beginDraining(times);
    });
    EXPECT_EQ(200,
              sendRequest(requestText("POST", "/once/x", "r1", "X-Deadline-Ms: 600\r\n", "{}"))
                  .result_int());
    EXPECT_EQ(503, sendRequest(streamRequest("r2")).result_int());
    EXPECT_EQ(0, executionsOf("r2"));
}

TEST_F(forwarder_fixture, request_without_id_is_malformed)
{
    EXPECT_EQ(400, sendRequest("GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n").result_int());
    EXPECT_EQ(0U, requestsReceived());
}

TEST_F(forwarder_fixture, request_for_service_without_instances_is_refused)
{
    m_instances.erase("plain");
    publish();
    EXPECT_EQ(503, sendRequest(requestText("GET", "/safe/x", "r1")).result_int());
}

TEST_F(router_fixture, request_before_first_configuration_waits_for_it)
{
    addInstance("plain", "plain-1");
    raw_http_client client(onLoop([&] { return m_server->address(); }));
    client.send(requestText("GET", "/safe/x", "r1"));
    ASSERT_TRUE(eventually([&] { return m_forwarder->requestsInProgress() == 1; }));
    publish();
    EXPECT_EQ(200, client.read().result_int());
}

TEST_F(router_fixture, request_without_any_configuration_is_refused)
{
    EXPECT_EQ(503, sendRequest(requestText("GET", "/safe/x", "r1")).result_int());
}

TEST_F(forwarder_fixture, pipelined_requests_are_answered_in_order)
{
    raw_http_client client(onLoop([&] { return m_server->address(); }));
    std::string text;
    for (int i = 0; i < 5; ++i)
        text += requestText("GET", "/safe/x", "r" + std::to_string(i));
    client.send(text);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(platform_instance::bodyFor("r" + std::to_string(i)), client.read().body());
}

TEST_F(forwarder_fixture, connection_failures_are_not_counted_as_retries)
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
        EXPECT_EQ(200U,
                  sendRequest(requestText("GET", "/safe/x", "r" + std::to_string(i))).result_int());
    EXPECT_GT(m_metrics.sends("not_sent").Value(), 0);
    EXPECT_EQ(m_metrics.retries("unreachable").Value(), 0);
}

TEST_F(forwarder_fixture, idle_connections_are_reused)
{
    for (int i = 0; i < 20; ++i)
        sendRequest(requestText("GET", "/safe/x", "r" + std::to_string(i)));
    const std::size_t connections
        = onLoop([&] { return m_standins[0]->connections() + m_standins[1]->connections(); });
    EXPECT_LE(connections, 2U);
}

/// A service "leaver" at /leaver/ with two instances, the first of which says that it leaves.
class leaving_instance_fixture : public router_fixture
{
protected:
    static constexpr int requestCount = 40;

    leaving_instance_fixture()
    {
        route leaverRoute = m_config.routes[0];
        leaverRoute.name = "/leaver/";
        leaverRoute.prefix = "/leaver/";
        leaverRoute.services = {{"leaver", 1}};
        m_config.routes.push_back(leaverRoute);
        m_leaver = &addInstance("leaver", "leaver-1");
        addInstance("leaver", "leaver-2");
        publish();
    }

    /// \returns the number of requests that the leaving instance gets, of requestCount.
    std::size_t requestsToLeaver(const instance_faults &faults)
    {
        onLoop([&] { m_leaver->setFaults(faults); });
        for (int i = 0; i < requestCount; ++i)
            sendRequest(requestText("GET", "/leaver/x", "r" + std::to_string(i)));
        return onLoop([&] { return m_leaver->requests().size(); });
    }

    platform_instance *m_leaver = nullptr;
};

TEST_F(leaving_instance_fixture, instance_whose_response_says_that_it_leaves_gets_no_more_requests)
{
    instance_faults faults;
    faults.leaving = true;
    EXPECT_EQ(1U, requestsToLeaver(faults));
}

TEST_F(leaving_instance_fixture, instance_whose_refusal_says_that_it_leaves_gets_no_more_requests)
{
    instance_faults faults;
    faults.leaving = true;
    faults.rejectUnexecuted = true;
    EXPECT_EQ(1U, requestsToLeaver(faults));
}

TEST_F(leaving_instance_fixture,
       instance_that_has_said_that_it_leaves_stays_unused_when_the_view_is_renewed)
{
    instance_faults faults;
    faults.leaving = true;
    requestsToLeaver(faults);
    publish();
    EXPECT_EQ(1U, requestsToLeaver(instance_faults()));
}

TEST_F(leaving_instance_fixture, request_is_refused_as_not_run_when_all_instances_leave)
{
    instance_faults faults;
    faults.leaving = true;
    setFaults(faults);
    for (int i = 0; i < requestCount; ++i)
        sendRequest(requestText("GET", "/leaver/x", "first-" + std::to_string(i)));
    const http1_response response = sendRequest(requestText("GET", "/leaver/x", "last"));
    EXPECT_EQ(503, response.result_int());
    EXPECT_FALSE(response["Retry-After"].empty());
    EXPECT_EQ(0, executionsOf("last"));
}

TEST_F(leaving_instance_fixture, successor_of_an_instance_that_left_is_used)
{
    instance_faults faults;
    faults.leaving = true;
    requestsToLeaver(faults);
    const std::size_t before = requestsReceived();
    onLoop([&] { m_leaver->setFaults(instance_faults()); });
    // Another process with the same id at the same address.
    for (instance &entry : m_instances["leaver"])
        entry.startedMs += 1;
    publish();
    EXPECT_LT(1U, requestsToLeaver(instance_faults()));
    EXPECT_LT(before, requestsReceived());
}

/// A service "crowded" at /crowded/ with one instance, whose two slots bear few rejections.
class brittle_service_fixture : public router_fixture
{
protected:
    static constexpr int requestCount = 12;

    brittle_service_fixture()
    {
        route crowdedRoute = m_config.routes[0];
        crowdedRoute.name = "/crowded/";
        crowdedRoute.prefix = "/crowded/";
        crowdedRoute.services = {{"crowded", 1}};
        m_config.routes.push_back(crowdedRoute);
        m_crowded = &addInstance("crowded", "crowded-1");
        m_instances["crowded"][0].slots = 2;
        publish();
    }

    void setBrittle(const std::string &rejections)
    {
        instance_faults faults;
        faults.brittle = rejections;
        faults.delay = milliseconds(200);
        onLoop([&] { m_crowded->setFaults(faults); });
    }

    /// Sends requests at once. \returns how many are refused, each as not run.
    int refusedOf(const std::string &prefix)
    {
        std::vector<std::future<http1_response>> responses;
        responses.reserve(requestCount);
        for (int i = 0; i < requestCount; ++i)
            responses.push_back(std::async(std::launch::async, [=] {
                return sendRequest(requestText("GET", "/crowded/x", prefix + std::to_string(i)));
            }));
        int refused = 0;
        for (int i = 0; i < requestCount; ++i) {
            const http1_response response = responses[i].get();
            if (response.result_int() == 200)
                continue;
            ++refused;
            EXPECT_EQ(503, response.result_int());
            EXPECT_FALSE(response["Retry-After"].empty());
            EXPECT_EQ(0, executionsOf(prefix + std::to_string(i)));
        }
        return refused;
    }

    platform_instance *m_crowded = nullptr;
};

TEST_F(brittle_service_fixture, instance_that_bears_few_rejections_gets_no_more_than_its_slots)
{
    setBrittle("3");
    sendRequest(requestText("GET", "/crowded/x", "first"));
    EXPECT_EQ(requestCount - 2, refusedOf("brittle-"));
    setBrittle("");
    sendRequest(requestText("GET", "/crowded/x", "second"));
    EXPECT_EQ(0, refusedOf("usual-"));
}

} // namespace
} // namespace goldcrestdeck
