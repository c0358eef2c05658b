// Instances that run a request and then answer with a status by which a router promises its client
// that the request has not run (review/7). Clients repeat at-most-once requests after such a
// status, so that the work is done twice.

#include <set>

#include "goldcrestdeck/testing/router_harness.h"

namespace goldcrestdeck {
namespace {

using standins::instance_faults;
using standins::platform_instance;

std::string events(int count)
{
    std::string text;
    for (int i = 1; i <= count; ++i)
        text += platform_instance::eventText(i);
    return text;
}

/// A router with two instances of each of two services.
class two_instances_fixture : public router_fixture
{
protected:
    two_instances_fixture()
    {
        for (const char *id : {"plain-1", "plain-2"})
            addInstance("plain", id);
        for (const char *id : {"engine-1", "engine-2"})
            addInstance("engine", id);
        publish();
    }

    http1_response post(const std::string &path, const std::string &id)
    {
        return sendRequest(requestText("POST", path, id, "X-Model: m\r\n", "{}"));
    }

    static void expectPromisesNothing(const http1_response &response, const std::string &name)
    {
        EXPECT_EQ(502U, response.result_int()) << name;
        EXPECT_EQ("", response["X-Response-Seal"]) << name;
        EXPECT_EQ("", response["Retry-After"]) << name;
        EXPECT_NE(std::string::npos, response.body().find(R"("run":"unknown")")) << name;
    }
};

/// Instances whose responses have the status of the parameter, without X-Not-Executed.
class unconfirmed_refusal_fixture : public two_instances_fixture,
                                    public ::testing::WithParamInterface<unsigned>
{
protected:
    static constexpr int eventCount = 5;

    static instance_faults refusing()
    {
        instance_faults faults;
        faults.status = GetParam();
        faults.headLine = "Retry-After: 1\r\n";
        faults.events = eventCount;
        return faults;
    }
};

TEST_P(unconfirmed_refusal_fixture, at_most_once_request_fails_as_maybe_run)
{
    setFaults(refusing());
    for (const std::string path : {"/once/x", "/closed/x"}) {
        expectPromisesNothing(post(path, path), path);
        EXPECT_EQ(1, executionsOf(path)) << path;
    }
}

TEST_P(unconfirmed_refusal_fixture, repeatable_request_that_gets_no_other_response_is_maybe_run)
{
    setFaults(refusing());
    for (const std::string path : {"/safe/x", "/stream/x"}) {
        expectPromisesNothing(post(path, path), path);
        EXPECT_LT(1, executionsOf(path)) << path;
    }
}

TEST_P(unconfirmed_refusal_fixture, repeatable_request_is_served_by_another_instance)
{
    instance_faults streaming;
    streaming.events = eventCount;
    onLoop([&] {
        m_standins[0]->setFaults(refusing());
        m_standins[2]->setFaults(refusing());
        m_standins[3]->setFaults(streaming);
    });
    for (const std::string id : {"r0", "r1", "r2", "r3"}) {
        const http1_response response = post("/safe/x", id);
        EXPECT_EQ(200U, response.result_int()) << id;
        EXPECT_EQ(platform_instance::bodyFor(id), response.body());
        const http1_response stream = post("/stream/x", "stream-" + id);
        EXPECT_EQ(200U, stream.result_int()) << id;
        EXPECT_EQ(events(eventCount), stream.body());
    }
}

TEST_P(unconfirmed_refusal_fixture, request_that_others_reject_is_refused_as_not_run_only_if_true)
{
    instance_faults rejecting;
    rejecting.rejectUnexecuted = true;
    onLoop([&] {
        m_standins[0]->setFaults(refusing());
        m_standins[1]->setFaults(rejecting);
        m_standins[2]->setFaults(refusing());
        m_standins[3]->setFaults(rejecting);
    });
    std::set<std::string> executedPaths;
    for (int i = 0; i < 4; ++i) {
        for (const std::string path : {"/once/x", "/safe/x", "/closed/x", "/stream/x"}) {
            const std::string id = path + std::to_string(i);
            const http1_response response = post(path, id);
            if (executionsOf(id) == 0) {
                // The instance that refuses has been ejected after its failures.
                EXPECT_EQ(503U, response.result_int()) << id;
                EXPECT_NE("", response["Retry-After"]) << id;
                continue;
            }
            executedPaths.insert(path);
            expectPromisesNothing(response, id);
        }
    }
    EXPECT_EQ(4U, executedPaths.size());
}

TEST_P(unconfirmed_refusal_fixture, error_of_an_earlier_send_is_returned_unchanged)
{
    instance_faults failing;
    failing.status = 500;
    onLoop([&] {
        m_standins[0]->setFaults(refusing());
        m_standins[1]->setFaults(failing);
    });
    const http1_response response = post("/safe/x", "r1");
    EXPECT_EQ(500U, response.result_int());
    EXPECT_EQ("seal-plain-2-r1", response["X-Response-Seal"]);
}

TEST_P(unconfirmed_refusal_fixture, stream_whose_resumption_it_ends_does_not_look_complete)
{
    instance_faults breaking;
    breaking.events = eventCount;
    breaking.resetAfterEvents = 2;
    onLoop([&] {
        m_standins[2]->setFaults(breaking);
        m_standins[3]->setFaults(refusing());
    });
    int streams = 0;
    for (int i = 0; i < 100 && streams == 0; ++i) {
        raw_http_client client(m_server->address());
        client.send(requestText("POST", "/stream/x", "r" + std::to_string(i),
                                "X-Model: m\r\nConnection: close\r\n", "{}"));
        const std::string received = client.readAll();
        if (received.find(platform_instance::eventText(2)) == std::string::npos)
            continue; // Each send went to the other instance.
        ++streams;
        EXPECT_EQ(std::string::npos, received.find("\r\n0\r\n")) << "framed as complete";
        EXPECT_EQ(received.find("HTTP/1.1"), received.rfind("HTTP/1.1"));
    }
    EXPECT_EQ(1, streams);
}

INSTANTIATE_TEST_SUITE_P(statuses, unconfirmed_refusal_fixture,
                         ::testing::Values(408U, 429U, 503U));

TEST_F(two_instances_fixture, statuses_that_promise_nothing_are_returned_unchanged)
{
    instance_faults failing;
    for (const unsigned status : {400U, 404U, 409U, 425U, 500U, 501U, 502U, 504U, 507U}) {
        failing.status = status;
        setFaults(failing);
        const std::string id = "once-" + std::to_string(status);
        const http1_response response = post("/once/x", id);
        EXPECT_EQ(status, response.result_int());
        EXPECT_NE("", response["X-Response-Seal"]) << status;
        EXPECT_EQ(platform_instance::bodyFor(id), response.body());
        EXPECT_EQ(1, executionsOf(id));
    }
}

} // namespace
} // namespace goldcrestdeck
