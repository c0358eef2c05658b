#include <future>
#include <map>

#include "goldcrestdeck/testing/instance_relay.h"
#include "goldcrestdeck/testing/router_harness.h"
#include "platform/headers.h"

namespace goldcrestdeck {
namespace {

using standins::instance_faults;
using standins::platform_instance;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string textOf(const boost::asio::ip::tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

/// A host with a relay of its own in front of each instance. Used on the event loop's thread.
class relayed_host
{
public:
    relayed_host(boost::asio::io_context &io, const clock &time, const std::string &name)
        : m_io(io)
        , m_client(io, time)
        , m_state(settingsOf(name), std::hash<std::string>()(name))
        , m_forwarder(forwarder_dependencies{
              io, time, m_client, m_state, m_metrics,
              std::make_shared<response_memory>(response_memory_limits()), platform::wireFormat(),
              [](const std::function<void(bool)> &done) { done(true); },
              [this](const request_outcome &outcome) { m_outcomes.push_back(outcome); },
              [this](const crash_report &report) { m_crashReports.push_back(report); },
              [](const rate_limit_report &) {}})
        , m_clientServer(io, anyPort(), request_limits(), handlerOf(request_origin::client))
        , m_handoverServer(io, anyPort(), request_limits(), handlerOf(request_origin::host))
        , m_self{name, "127.0.0.1:1", "a", textOf(m_handoverServer.address())}
    { }

    void stop()
    {
        m_clientServer.stop();
        m_handoverServer.stop();
        m_client.stop();
        m_relays.clear();
    }

    void setView(const routing_view &view, time_point now)
    {
        auto own = std::make_shared<routing_view>(view);
        for (auto &service : own->instances) {
            for (instance &entry : service.second) {
                auto &relay = m_relays[entry.id];
                if (!relay)
                    relay = std::make_unique<instance_relay>(m_io, parseAddress(entry.address));
                entry.address = textOf(relay->address());
            }
        }
        m_state.setView(own);
        m_state.setConfirmedAt(now);
        m_forwarder.onViewUpdated();
    }

    void cut(relay_cut how)
    {
        for (const auto &relay : m_relays)
            relay.second->setCut(how);
    }

    const registered_host &self() const { return m_self; }
    boost::asio::ip::tcp::endpoint clientAddress() const { return m_clientServer.address(); }
    boost::asio::ip::tcp::endpoint handoverAddress() const { return m_handoverServer.address(); }
    forwarder &requests() { return m_forwarder; }
    traffic_state &state() { return m_state; }
    const std::vector<request_outcome> &outcomes() const { return m_outcomes; }
    const std::vector<crash_report> &crashReports() const { return m_crashReports; }

private:
    static router_settings settingsOf(const std::string &name)
    {
        router_settings result;
        result.name = name;
        result.failureDomain = "a";
        return result;
    }

    static boost::asio::ip::tcp::endpoint anyPort()
    {
        return {boost::asio::ip::make_address("127.0.0.1"), 0};
    }

    static boost::asio::ip::tcp::endpoint parseAddress(const std::string &address)
    {
        const std::size_t colon = address.find(':');
        return {boost::asio::ip::make_address(address.substr(0, colon)),
                static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
    }

    async_server::handler handlerOf(request_origin origin)
    {
        return [this, origin](http1_request request, std::shared_ptr<response_writer> writer) {
            m_forwarder.handle(std::move(request), std::move(writer), origin);
        };
    }

    boost::asio::io_context &m_io;
    std::map<std::string, std::unique_ptr<instance_relay>> m_relays; ///< By instance.
    async_client m_client;
    traffic_state m_state;
    router_metrics m_metrics;
    std::vector<request_outcome> m_outcomes;
    std::vector<crash_report> m_crashReports;
    forwarder m_forwarder;
    async_server m_clientServer;
    async_server m_handoverServer;
    registered_host m_self;
};

/// Hosts h0 to h3 before four instances of each of two services.
class handover_fixture : public router_fixture
{
protected:
    static constexpr int hostCount = 4;
    /// Time from which on a host that is cut off is expected to serve.
    static constexpr seconds contactTime{3};

    handover_fixture()
    {
        for (int i = 1; i <= 4; ++i) {
            addInstance("plain", "plain-" + std::to_string(i));
            addInstance("engine", "engine-" + std::to_string(i));
        }
        instance_faults faults;
        faults.confidence = 100;
        faults.events = 5;
        onLoop([&] {
            for (const auto &standin : m_standins) {
                if (standin->id().rfind("engine", 0) == 0)
                    standin->setFaults(faults);
            }
            for (int i = 0; i < hostCount; ++i)
                m_hosts.push_back(
                    std::make_unique<relayed_host>(m_io, m_clock, "h" + std::to_string(i)));
        });
        publishToHosts();
    }
    ~handover_fixture() override
    {
        onLoop([this] {
            for (const auto &host : m_hosts)
                host->stop();
        });
        // Connections hold references to their host until the loop has seen them close.
        std::this_thread::sleep_for(milliseconds(50));
        onLoop([this] { m_hosts.clear(); });
    }

    void publishToHosts()
    {
        onLoop([this] {
            routing_view view;
            view.config = std::make_shared<routing_config>(m_config);
            view.instances = m_instances;
            view.rollouts = m_rollouts;
            std::set<std::string> names;
            std::vector<registered_host> addresses;
            for (const auto &host : m_hosts) {
                names.insert(host->self().name);
                addresses.push_back(host->self());
            }
            view.hosts = std::make_shared<const std::set<std::string>>(names);
            view.hostAddresses = std::make_shared<const std::vector<registered_host>>(addresses);
            for (const auto &host : m_hosts)
                host->setView(view, m_clock.now());
        });
    }

    void cut(int host, relay_cut how)
    {
        onLoop([&] { m_hosts[host]->cut(how); });
    }

    /// Sends one request of the kind that \a number selects on a new connection to \a host.
    /// \returns its status, 0 if the connection ended without a response.
    unsigned sendTo(int host, int number, const std::string &id)
    {
        const auto address = onLoop([&] { return m_hosts[host]->clientAddress(); });
        try {
            raw_http_client client(address);
            switch (number % 3) {
            case 0:
                client.send(requestText("GET", "/safe/x", id));
                break;
            case 1:
                client.send(requestText("POST", "/once/x", id, "", "{}"));
                break;
            default:
                client.send(requestText("POST", "/stream/x", id, "X-Model: *\r\n", "{}"));
                break;
            }
            const http1_response response = client.read();
            const bool isStream = number % 3 == 2;
            const std::string body = isStream ? fullStream() : platform_instance::bodyFor(id);
            EXPECT_TRUE(response.result_int() != 200 || response.body() == body) << id;
            return response.result_int();
        } catch (const boost::system::system_error &) {
            return 0;
        }
    }

    /// Sends \a count requests to \a host at a steady rate over \a period, each by a client of its
    /// own. \returns how many were served at the first attempt.
    int served(int host, int count, milliseconds period, const std::string &prefix)
    {
        std::vector<std::future<unsigned>> statuses;
        statuses.reserve(count);
        for (int i = 0; i < count; ++i) {
            statuses.push_back(std::async(
                std::launch::async, [=] { return sendTo(host, i, prefix + std::to_string(i)); }));
            std::this_thread::sleep_for(period / count);
        }
        int result = 0;
        for (auto &status : statuses)
            result += status.get() == 200 ? 1 : 0;
        return result;
    }

    /// Puts the segment "topic" in quarantine at \a host, as if others had reported crashes. Call
    /// on the event loop's thread.
    void quarantine(int host)
    {
        crash_report report;
        for (const char *name : {"1", "2", "3"})
            report.suspects.push_back({name, name, {"topic"}, {}});
        segment_quarantine &target = m_hosts[host]->state().quarantine();
        target.merge(report, report_origin::otherHost, m_clock.now());
        EXPECT_TRUE(target.find({"topic"}, "", m_clock.now()));
    }

    static std::string fullStream()
    {
        std::string text;
        for (int i = 1; i <= 5; ++i)
            text += platform_instance::eventText(i);
        return text;
    }

    std::vector<std::unique_ptr<relayed_host>> m_hosts;
};

class partitioned_host_fixture : public handover_fixture,
                                 public ::testing::WithParamInterface<relay_cut>
{ };

TEST_P(partitioned_host_fixture, host_that_reaches_no_instance_serves_as_often_as_the_others)
{
    constexpr int requests = 60;
    served(0, 12, milliseconds(200), "before-");
    cut(0, GetParam());
    served(0, 30, contactTime, "early-");
    const int cutOff = served(0, requests, seconds(2), "cut-");
    const int others = served(1, requests, seconds(2), "other-");
    EXPECT_EQ(requests, others);
    // At least two thirds as often as the others, and at most 10 and 1 in 50 not served.
    EXPECT_LE(2 * others, 3 * cutOff);
    EXPECT_GE(10 + requests / 50, requests - cutOff);
    for (const std::string prefix : {"early-", "cut-"}) {
        for (int i = 1; i < requests; i += 3)
            EXPECT_GE(1, executionsOf(prefix + std::to_string(i))) << prefix << i;
    }
}

TEST_P(partitioned_host_fixture, cut_of_one_host_is_no_evidence_of_crashes)
{
    served(0, 12, milliseconds(200), "before-");
    cut(0, GetParam());
    served(0, 40, seconds(2), "cut-");
    onLoop([&] {
        EXPECT_EQ(0U, m_hosts[0]->crashReports().size());
        EXPECT_EQ(0U, m_hosts[0]->state().quarantine().quarantinedCount());
    });
}

TEST_P(partitioned_host_fixture, sends_that_a_cut_breaks_are_no_evidence_of_crashes_or_bad_versions)
{
    constexpr int requests = 12;
    instance_faults faults;
    faults.confidence = 100;
    faults.events = 5;
    faults.delay = milliseconds(150);
    onLoop([&] {
        for (const auto &standin : m_standins)
            standin->setFaults(standin->id().rfind("engine", 0) == 0 ? faults : instance_faults());
    });
    for (instance &entry : m_instances["engine"])
        entry.version = "v2";
    service_rollout rollout;
    rollout.order = {"engine", "v2", seconds(24), 7};
    rollout.record = {7, "v2", rollout_stage::ramp, milliseconds(20'000)};
    rollout.seenAt = m_clock.now();
    m_rollouts["engine"] = rollout;
    publishToHosts();
    std::vector<std::future<unsigned>> statuses;
    statuses.reserve(requests);
    for (int i = 0; i < requests; ++i)
        statuses.push_back(std::async(std::launch::async,
                                      [=] { return sendTo(0, i, "cut-" + std::to_string(i)); }));
    std::this_thread::sleep_for(milliseconds(75));
    cut(0, GetParam());
    for (auto &status : statuses)
        status.get();
    std::this_thread::sleep_for(seconds(1));
    cut(0, relay_cut::none);
    std::this_thread::sleep_for(seconds(2));
    served(0, 30, seconds(1), "after-");
    onLoop([&] {
        EXPECT_EQ(0U, m_hosts[0]->crashReports().size());
        EXPECT_EQ(0U, m_hosts[0]->state().quarantine().quarantinedCount());
        for (const request_outcome &outcome : m_hosts[0]->outcomes())
            EXPECT_FALSE(outcome.failed || outcome.slow);
    });
    for (int i = 1; i < requests; i += 3)
        EXPECT_GE(1, executionsOf("cut-" + std::to_string(i))) << i;
}

INSTANTIATE_TEST_SUITE_P(cuts, partitioned_host_fixture,
                         ::testing::Values(relay_cut::hang, relay_cut::reset,
                                           relay_cut::refuseNew));

TEST_F(handover_fixture, whole_domain_without_a_path_is_served_by_the_only_host_that_has_one)
{
    constexpr int requests = 30;
    for (int host = 0; host < 3; ++host)
        cut(host, relay_cut::hang);
    for (int host = 0; host < 3; ++host)
        served(host, 20, seconds(1), "early-" + std::to_string(host) + "-");
    for (int host = 0; host < 3; ++host) {
        const std::string prefix = "cut-" + std::to_string(host) + "-";
        EXPECT_EQ(requests, served(host, requests, seconds(1), prefix));
        for (int i = 0; i < requests; ++i)
            EXPECT_EQ(1, executionsOf(prefix + std::to_string(i)));
    }
}

TEST_F(handover_fixture, requests_are_refused_at_once_as_not_run_when_no_host_has_a_path)
{
    for (int host = 0; host < hostCount; ++host)
        cut(host, relay_cut::reset);
    for (int host = 0; host < hostCount; ++host)
        served(host, 20, seconds(1), "early-" + std::to_string(host) + "-");
    const auto address = onLoop([&] { return m_hosts[0]->clientAddress(); });
    for (const std::string id : {"late-1", "late-2", "late-3"}) {
        const auto before = m_clock.now();
        raw_http_client client(address);
        client.send(requestText("POST", "/once/x", id, "", "{}"));
        const http1_response response = client.read();
        EXPECT_EQ(503, response.result_int());
        EXPECT_FALSE(response["Retry-After"].empty());
        EXPECT_GT(milliseconds(500), m_clock.now() - before);
        EXPECT_EQ(0, executionsOf(id));
    }
}

TEST_F(handover_fixture, host_serves_by_itself_again_when_its_path_is_back)
{
    cut(0, relay_cut::hang);
    served(0, 20, seconds(2), "cut-");
    EXPECT_TRUE(onLoop([&] { return m_hosts[0]->requests().reachesNoInstance(); }));
    cut(0, relay_cut::none);
    EXPECT_TRUE(eventually([&] { return !m_hosts[0]->requests().reachesNoInstance(); }));
    EXPECT_EQ(20, served(0, 20, seconds(1), "after-"));
}

TEST_F(handover_fixture, handed_over_request_is_not_handed_on)
{
    cut(0, relay_cut::reset);
    cut(1, relay_cut::reset);
    served(0, 20, seconds(1), "early-0-");
    served(1, 20, seconds(1), "early-1-");
    http1_request request(boost::beast::http::verb::get, "/safe/x", 11);
    handover_request handover;
    handover.remainingTime = seconds(2);
    handover.maxAttempts = 2;
    handover.configVersion = 1;
    encodeHandover(handover, request);
    request.set("Host", "a.example");
    request.set("X-Request-Id", "r1");
    request.set("X-Credential", "key-1");
    const auto address = onLoop([&] { return m_hosts[1]->handoverAddress(); });
    raw_http_client client(address);
    client.send(serializeRequest(request));
    const http1_response response = client.read();
    EXPECT_EQ(503, response.result_int());
    EXPECT_EQ("no", response["Goldcrest-Run"]);
    EXPECT_EQ(pathLostCode, response["Goldcrest-Code"]);
    EXPECT_EQ(0, executionsOf("r1"));
}

TEST_F(handover_fixture, handed_over_stream_goes_on_after_its_last_event_with_the_same_model)
{
    instance_faults unsure;
    unsure.confidence = 0;
    unsure.events = 5;
    setFaults(unsure);
    http1_request request(boost::beast::http::verb::post, "/stream/x", 11);
    handover_request handover;
    handover.remainingTime = seconds(2);
    handover.maxAttempts = 2;
    handover.deliveries = 1;
    handover.lastEventId = 2;
    handover.service = "engine";
    encodeHandover(handover, request);
    request.set("Host", "a.example");
    request.set("X-Request-Id", "r1");
    request.set("X-Credential", "key-1");
    request.set("X-Model", "*");
    request.body() = "{}";
    request.content_length(2);
    const auto address = onLoop([&] { return m_hosts[1]->handoverAddress(); });
    raw_http_client client(address);
    client.send(serializeRequest(request));
    const http1_response response = client.read();
    std::string rest;
    for (int i = 3; i <= 5; ++i)
        rest += platform_instance::eventText(i);
    EXPECT_EQ(rest, response.body());
    EXPECT_EQ(1, executionsOf("r1"));
}

/// Twelve instances that crash on a stream, before hosts of which the first one reaches none.
class crashing_stream_fixture : public handover_fixture
{
protected:
    static constexpr int maxAttempts = 3; ///< Of the route.

    crashing_stream_fixture()
    {
        for (int i = 5; i <= 12; ++i)
            addInstance("engine", "engine-" + std::to_string(i));
        instance_faults sound;
        sound.events = 5;
        setEngineFaults(sound);
        publishToHosts();
        cut(0, relay_cut::reset);
        served(0, 20, seconds(1), "early-");
    }

    void setEngineFaults(const instance_faults &faults)
    {
        onLoop([&] {
            for (const auto &standin : m_standins) {
                if (standin->id().rfind("engine", 0) == 0)
                    standin->setFaults(faults);
            }
        });
    }

    /// Sends a request for a stream to \a host and waits until an instance has received it.
    std::future<received_stream> beginStream(int host, const std::string &id)
    {
        const auto address = onLoop([&] { return m_hosts[host]->clientAddress(); });
        auto stream = std::async(std::launch::async, [=] {
            raw_http_client client(address);
            client.send(streamRequest(id));
            return receiveStream(client);
        });
        EXPECT_TRUE(eventually([&] {
            return std::any_of(m_standins.begin(), m_standins.end(), [&](const auto &standin) {
                return standin->executions().count(id) > 0;
            });
        }));
        return stream;
    }

    static std::string streamRequest(const std::string &id)
    {
        return requestText("POST", "/stream/x", id,
                           "X-Model: m\r\nConnection: close\r\n"
                           "X-Prompt-Prefix: topic:40,own:10\r\n",
                           "{}");
    }

    /// An instance that crashes after each event.
    static instance_faults crashingFaults()
    {
        instance_faults faults;
        faults.events = 50;
        faults.eventInterval = milliseconds(30);
        faults.crashAfterEvents = 1;
        return faults;
    }

    void expectBounded(const received_stream &received, const std::string &id)
    {
        EXPECT_EQ("", received.malformed);
        EXPECT_FALSE(received.isComplete);
        EXPECT_LE(1, crashedInstances());
        EXPECT_GE(maxAttempts, crashedInstances());
        EXPECT_GE(maxAttempts, executionsOf(id));
        RecordProperty("crashed", crashedInstances());
    }

    int crashedInstances()
    {
        return onLoop([&] {
            return static_cast<int>(
                std::count_if(m_standins.begin(), m_standins.end(),
                              [](const auto &standin) { return standin->hasCrashed(); }));
        });
    }
};

// Streams that an instance has begun are resumed whatever the quarantine says. The attempts bound
// the instances that such a stream crashes.
TEST_F(crashing_stream_fixture, stream_that_crashes_after_each_event_is_bounded_by_its_attempts)
{
    setEngineFaults(crashingFaults());
    expectBounded(beginStream(0, "r").get(), "r");
}

TEST_F(crashing_stream_fixture, stream_that_crashes_when_it_is_resumed_is_bounded_by_its_attempts)
{
    setEngineFaults(crashingFaults());
    auto stream = beginStream(0, "r");
    instance_faults crashing = crashingFaults();
    crashing.crashSegment = "topic";
    setEngineFaults(crashing);
    expectBounded(stream.get(), "r");
}

TEST_F(crashing_stream_fixture, stream_that_crashes_in_quarantine_is_bounded_and_others_are_refused)
{
    setEngineFaults(crashingFaults());
    auto stream = beginStream(0, "r");
    // An answer to the resumed stream would release the segment.
    instance_faults crashing = crashingFaults();
    crashing.crashSegment = "topic";
    setEngineFaults(crashing);
    onLoop([&] {
        for (int host = 0; host < hostCount; ++host)
            quarantine(host);
    });
    expectBounded(stream.get(), "r");
    for (int host = 0; host < hostCount; ++host) {
        const std::string id = "new" + std::to_string(host);
        raw_http_client client(onLoop([&] { return m_hosts[host]->clientAddress(); }));
        client.send(streamRequest(id));
        EXPECT_EQ(503U, client.read().result_int());
        EXPECT_EQ(0, executionsOf(id));
    }
}

/// A request as another host hands it over. Its prompt shares the segment "topic" with others.
std::string handedOverStream(const std::optional<std::uint64_t> &lastEventId)
{
    http1_request request(boost::beast::http::verb::post, "/stream/x", 11);
    handover_request handover;
    handover.remainingTime = seconds(2);
    handover.maxAttempts = 2;
    handover.deliveries = lastEventId ? 1 : 0;
    handover.lastEventId = lastEventId;
    handover.service = "engine";
    encodeHandover(handover, request);
    request.set("Host", "a.example");
    request.set("X-Request-Id", "r1");
    request.set("X-Credential", "key-1");
    request.set("X-Model", "m");
    request.set("X-Prompt-Prefix", "topic:40,own:10");
    request.body() = "{}";
    request.content_length(2);
    return serializeRequest(request);
}

// Guards against a stream that is cut because the host asked to continue it has its segment in
// quarantine, although an instance has answered it (review/12).
TEST_F(handover_fixture, handed_over_stream_goes_on_though_its_segment_is_quarantined)
{
    onLoop([&] { quarantine(1); });
    raw_http_client client(onLoop([&] { return m_hosts[1]->handoverAddress(); }));
    client.send(handedOverStream(2));
    const http1_response response = client.read();
    EXPECT_EQ(200U, response.result_int());
    std::string rest;
    for (int i = 3; i <= 5; ++i)
        rest += platform_instance::eventText(i);
    EXPECT_EQ(rest, response.body());
}

TEST_F(handover_fixture, handed_over_request_that_no_instance_has_answered_is_refused_in_quarantine)
{
    onLoop([&] { quarantine(1); });
    raw_http_client client(onLoop([&] { return m_hosts[1]->handoverAddress(); }));
    client.send(handedOverStream(std::nullopt));
    const http1_response response = client.read();
    EXPECT_EQ(503U, response.result_int());
    EXPECT_EQ("no", response["Goldcrest-Run"]);
    EXPECT_EQ("segment_quarantined", response["Goldcrest-Code"]);
    EXPECT_EQ(0, executionsOf("r1"));
}

TEST_F(handover_fixture, host_with_an_older_configuration_does_not_serve_for_another)
{
    http1_request request(boost::beast::http::verb::get, "/safe/x", 11);
    handover_request handover;
    handover.remainingTime = seconds(2);
    handover.configVersion = 2;
    encodeHandover(handover, request);
    request.set("Host", "a.example");
    request.set("X-Request-Id", "r1");
    request.set("X-Credential", "key-1");
    const auto address = onLoop([&] { return m_hosts[1]->handoverAddress(); });
    raw_http_client client(address);
    client.send(serializeRequest(request));
    EXPECT_EQ(olderConfigCode, client.read()["Goldcrest-Code"]);
    EXPECT_EQ(0, executionsOf("r1"));
}

// An instance that answers with a promise after it has run the request (review/7).
TEST_F(handover_fixture, handed_over_request_with_an_unconfirmed_refusal_is_maybe_run)
{
    for (const unsigned status : {408U, 429U, 503U}) {
        instance_faults refusing;
        refusing.status = status;
        setFaults(refusing);
        const std::string id = "r" + std::to_string(status);
        http1_request request(boost::beast::http::verb::post, "/once/x", 11);
        handover_request handover;
        handover.remainingTime = seconds(2);
        handover.maxAttempts = 2;
        encodeHandover(handover, request);
        request.set("Host", "a.example");
        request.set("X-Request-Id", id);
        request.set("X-Credential", "key-1");
        request.body() = "{}";
        request.content_length(2);
        raw_http_client client(onLoop([&] { return m_hosts[1]->handoverAddress(); }));
        client.send(serializeRequest(request));
        const http1_response response = client.read();
        EXPECT_EQ(502U, response.result_int());
        EXPECT_EQ("", response["X-Response-Seal"]);
        EXPECT_EQ("1", response["Goldcrest-Attempts"]);
        EXPECT_EQ("unknown", response["Goldcrest-Run"]);
        EXPECT_EQ(1, executionsOf(id));
    }
}

TEST_F(handover_fixture, at_most_once_request_runs_once_when_the_host_that_serves_it_breaks_off)
{
    constexpr int requests = 12;
    for (int host = 1; host < hostCount; ++host)
        served(host, 3, milliseconds(100), "warm-" + std::to_string(host) + "-");
    cut(0, relay_cut::reset);
    served(0, 20, seconds(1), "early-");
    instance_faults slow;
    slow.delay = milliseconds(400);
    setFaults(slow);
    std::vector<std::future<unsigned>> statuses;
    statuses.reserve(requests);
    for (int i = 0; i < requests; ++i)
        statuses.push_back(std::async(std::launch::async,
                                      [=] { return sendTo(0, 1, "once-" + std::to_string(i)); }));
    std::this_thread::sleep_for(milliseconds(150));
    onLoop([&] { m_hosts[1]->stop(); });
    for (int i = 0; i < requests; ++i) {
        const unsigned status = statuses[i].get();
        EXPECT_TRUE(status == 200 || status == 502) << status;
        EXPECT_EQ(1, executionsOf("once-" + std::to_string(i)));
    }
}

TEST_F(handover_fixture, response_of_another_host_carries_none_of_its_fields_to_the_client)
{
    cut(0, relay_cut::reset);
    served(0, 20, seconds(1), "early-");
    const auto address = onLoop([&] { return m_hosts[0]->clientAddress(); });
    raw_http_client client(address);
    client.send(requestText("GET", "/safe/x", "r1"));
    const http1_response response = client.read();
    EXPECT_EQ(200, response.result_int());
    for (const auto &field : response)
        EXPECT_NE(0U, std::string(field.name_string()).rfind("Goldcrest-", 0));
}

/// A host that reaches no instance and many others, which all send the bytes that the test sets: a
/// host that has sent a broken response is not chosen again at once.
class broken_host_fixture : public handover_fixture
{
protected:
    static constexpr int otherHosts = 40;

    broken_host_fixture()
    {
        onLoop([this] {
            std::set<std::string> names{"h0"};
            std::vector<registered_host> addresses{m_hosts[0]->self()};
            for (int i = 0; i < otherHosts; ++i) {
                m_others.push_back(std::make_unique<standins::raw_server>(
                    m_io,
                    boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
                    [this](const http1_request &request,
                           const std::shared_ptr<standins::raw_connection> &connection) {
                        respond(request, connection);
                    },
                    [this](const http1_request_head &request,
                           const std::shared_ptr<standins::raw_connection> &connection) {
                        if (!m_endsEarly)
                            return false;
                        ++m_received[std::string(request["X-Request-Id"])];
                        connection->write(m_response);
                        connection->closeForSending();
                        connection->runAfter(milliseconds(200),
                                             [connection] { connection->reset(); });
                        return true;
                    }));
                const std::string name = "other-" + std::to_string(i);
                names.insert(name);
                addresses.push_back({name, "127.0.0.1:1", "a", textOf(m_others.back()->address())});
            }
            routing_view view;
            view.config = std::make_shared<routing_config>(m_config);
            view.instances = m_instances;
            view.hosts = std::make_shared<const std::set<std::string>>(names);
            view.hostAddresses = std::make_shared<const std::vector<registered_host>>(addresses);
            m_hosts[0]->setView(view, m_clock.now());
        });
        respondWith("200 OK", "", "");
        cut(0, relay_cut::reset);
        for (int i = 0; i < 20; ++i)
            send("POST", "/safe/x", "early " + std::to_string(i));
    }
    ~broken_host_fixture() override
    {
        onLoop([this] {
            for (const auto &other : m_others)
                other->stop();
        });
    }

    /// Called on the event loop's thread.
    void respond(const http1_request &request,
                 const std::shared_ptr<standins::raw_connection> &connection)
    {
        const bool isFirst = ++m_received[std::string(request["X-Request-Id"])] == 1;
        if (isFirst && m_onFirstResponse)
            m_onFirstResponse();
        if (!isFirst && m_isSilentLater)
            return;
        connection->write(isFirst && !m_firstResponse.empty() ? m_firstResponse : m_response);
        connection->close();
    }

    /// Lets the other hosts respond with \a status, \a lines and \a body, as if they had served
    /// the request.
    void respondWith(const std::string &status, const std::string &lines, const std::string &body,
                     bool hasLength = true)
    {
        http1_response_head result;
        encodeHandoverResult({1, std::nullopt, ""}, result);
        const std::string fields = serializeHead(result);
        onLoop([&] {
            m_response = "HTTP/1.1 " + status + "\r\nX-Response-Seal: s\r\n" + lines;
            if (hasLength)
                m_response += "Content-Length: " + std::to_string(body.size()) + "\r\n";
            m_response += fields.substr(fields.find("\r\n") + 2) + body;
        });
    }

    /// Lets the other hosts respond with \a status and \a result, as if they had refused the
    /// request.
    void refuseWith(const std::string &status, const handover_result &result)
    {
        http1_response_head head;
        encodeHandoverResult(result, head);
        const std::string fields = serializeHead(head);
        onLoop([&] {
            m_response = "HTTP/1.1 " + status + "\r\nRetry-After: 0.500\r\nContent-Length: 2\r\n"
                + fields.substr(fields.find("\r\n") + 2) + "{}";
        });
    }

    /// Expects that the response is not delivered and that an at-most-once request is sent once.
    void expectNotDelivered(const std::string &name)
    {
        EXPECT_EQ(502U, send("POST", "/once/x", "once " + name).result_int()) << name;
        EXPECT_EQ(1, onLoop([&] { return m_received["once " + name]; })) << name;
        EXPECT_EQ(502U, send("POST", "/safe/x", "safe " + name).result_int()) << name;
        EXPECT_EQ(502U, send("POST", "/closed/x", "closed " + name).result_int()) << name;
    }

    http1_response send(const std::string &method, const std::string &path, const std::string &id)
    {
        raw_http_client client(onLoop([&] { return m_hosts[0]->clientAddress(); }));
        client.send(requestText(method, path, id, "X-Model: m\r\n", m_requestBody));
        return client.read();
    }

    std::vector<std::unique_ptr<standins::raw_server>> m_others;
    std::string m_response;
    std::string m_firstResponse; ///< To the first send of a request, if not empty.
    std::function<void()> m_onFirstResponse;
    bool m_isSilentLater = false; ///< Only the first send of a request gets a response.
    bool m_endsEarly = false;     ///< The response ends before the request has been read.
    std::string m_requestBody = "{}";
    std::map<std::string, int> m_received; ///< Requests, by id.
};

TEST_F(broken_host_fixture, valid_response_is_delivered)
{
    respondWith("200 OK", "", "body");
    EXPECT_EQ("body", send("POST", "/once/x", "once").body());
}

TEST_F(broken_host_fixture, response_with_an_invalid_status_is_not_delivered)
{
    for (const std::string status : {"000", "099", "600", "999"}) {
        respondWith(status + " Trouble", "", "body");
        expectNotDelivered(status);
    }
}

TEST_F(broken_host_fixture, response_with_a_malformed_field_name_is_not_delivered)
{
    int forms = 0;
    for (const std::string name : {"X Bad", "X-Bad ", " X-Bad", "\tX-Bad", "X\x01-Bad"}) {
        respondWith("200 OK", "X-First: 1\r\n" + name + ": 1\r\n", "body");
        expectNotDelivered("form " + std::to_string(forms++));
    }
}

// Builds up to 0b1732d pass an instance's status on with its seal, and no reason of their own.
TEST_F(broken_host_fixture, unconfirmed_refusal_passed_on_by_an_older_build_is_not_delivered)
{
    for (const std::string status : {"408", "429", "503"}) {
        respondWith(status + " Status", "Retry-After: 1\r\n", "body");
        expectNotDelivered(status);
        const http1_response response = send("POST", "/once/x", "fields " + status);
        EXPECT_EQ("", response["X-Response-Seal"]);
        EXPECT_EQ("", response["Retry-After"]);
    }
}

// Builds up to 0b1732d refuse a request as not run after it was given up for a larger model.
TEST_F(broken_host_fixture, promise_of_an_older_build_after_an_attempt_is_not_delivered)
{
    refuseWith("503 Status", {1, execution_state::no, "all_busy"});
    expectNotDelivered("attempted");
}

TEST_F(broken_host_fixture, promise_of_a_host_that_made_no_attempt_is_delivered)
{
    refuseWith("503 Status", {0, execution_state::no, "all_busy"});
    for (const std::string path : {"/once/x", "/safe/x", "/closed/x"}) {
        const http1_response response = send("POST", path, path);
        EXPECT_EQ(503U, response.result_int());
        EXPECT_EQ("0.500", response["Retry-After"]);
    }
}

TEST_F(broken_host_fixture, errors_that_promise_nothing_are_delivered)
{
    for (const std::string status : {"500", "502", "504"}) {
        respondWith(status + " Status", "", "body");
        const http1_response response = send("POST", "/once/x", "once " + status);
        EXPECT_EQ(status, std::to_string(response.result_int()));
        EXPECT_EQ("s", response["X-Response-Seal"]);
    }
}

TEST_F(broken_host_fixture, response_that_ends_before_the_request_has_been_sent_is_not_delivered)
{
    respondWith("200 OK", "", "part", false);
    EXPECT_EQ("part", send("POST", "/once/x", "short").body());
    m_requestBody = std::string(2'000'000, 'u');
    onLoop([&] { m_endsEarly = true; });
    expectNotDelivered("long");
}

/// Streams of which another host sends the beginning before it breaks off. The response to the next
/// send is the test's.
class interrupted_stream_fixture : public broken_host_fixture
{
public:
    static constexpr int sentEvents = 3; ///< Before the other host breaks off.
    static constexpr int eventCount = 5;

    interrupted_stream_fixture()
    {
        respondWithEvents(sentEvents + 1);
        onLoop([&] { m_firstResponse = streamHead() + chunksOf(1, sentEvents); });
    }

    /// Lets the other hosts respond with the events from \a first to the last one.
    void respondWithEvents(int first)
    {
        onLoop([&] { m_response = streamHead() + chunksOf(first, eventCount) + lastChunk; });
    }

    static std::string streamHead()
    {
        http1_response_head head;
        head.set("X-Response-Seal", "s");
        head.set("Content-Type", "text/event-stream");
        head.set("Transfer-Encoding", "chunked");
        encodeHandoverResult({1, std::nullopt, ""}, head);
        return serializeHead(head);
    }

    static std::string chunksOf(int first, int last)
    {
        std::string text;
        for (int i = first; i <= last; ++i)
            text += encodeChunk(platform_instance::eventText(i));
        return text;
    }

    /// Puts the segment "topic" in quarantine at host 0 once the first event is on its way.
    void quarantineMeanwhile()
    {
        m_onFirstResponse = [this] { quarantine(0); };
    }

    /// Lets host 0 know no other host once the first event is on its way.
    void loseHostsMeanwhile()
    {
        m_onFirstResponse = [this] {
            auto view = *m_hosts[0]->state().view();
            view.hostAddresses = std::make_shared<const std::vector<registered_host>>();
            m_hosts[0]->setView(view, m_clock.now());
        };
    }

    received_stream receive(const std::string &version)
    {
        raw_http_client client(onLoop([&] { return m_hosts[0]->clientAddress(); }));
        std::string request = requestText("POST", "/stream/x", "r1",
                                          "X-Model: m\r\nConnection: close\r\n"
                                          "X-Prompt-Prefix: topic:40,own:10\r\n",
                                          "{}");
        request.replace(request.find("HTTP/1.1"), 8, version);
        client.send(request);
        return receiveStream(client);
    }

    using broken_host_fixture::m_isSilentLater;
    using broken_host_fixture::refuseWith;
    using broken_host_fixture::respondWith;
};

// Guards against a quarantine that ends a stream because another host has served its beginning: one
// that an instance of this host has begun goes on (review/12).
TEST_F(interrupted_stream_fixture, stream_goes_on_though_its_segment_is_quarantined_since)
{
    quarantineMeanwhile();
    const received_stream received = receive("HTTP/1.1");
    EXPECT_TRUE(received.isComplete);
    EXPECT_EQ(fullStream(), received.body);
}

TEST_F(interrupted_stream_fixture, request_refused_by_the_other_host_is_not_taken_for_answered)
{
    refuseWith("503 Status", {0, execution_state::no, stoppingCode});
    onLoop([&] { m_firstResponse = m_response; });
    quarantineMeanwhile();
    raw_http_client client(onLoop([&] { return m_hosts[0]->clientAddress(); }));
    client.send(requestText("POST", "/stream/x", "r1",
                            "X-Model: m\r\nX-Prompt-Prefix: topic:40,own:10\r\n", "{}"));
    const http1_response response = client.read();
    EXPECT_EQ(503U, response.result_int());
    EXPECT_NE(std::string::npos, response.body().find("segment_quarantined"));
    EXPECT_EQ(1, onLoop([&] { return m_received["r1"]; }));
}

struct interruption {
    const char *name;
    void (*prepare)(interrupted_stream_fixture &); ///< Called before the request is sent.
    bool mustContinue = false;
};

/// With a client of HTTP/1.1 or 1.0.
class interruption_fixture
    : public interrupted_stream_fixture,
      public ::testing::WithParamInterface<std::tuple<interruption, const char *>>
{ };

// Guards against a refusal that is written where the next chunk of a stream should begin
// (review/12).
TEST_P(interruption_fixture, stream_is_continued_or_visibly_cut)
{
    std::get<0>(GetParam()).prepare(*this);
    const received_stream received = receive(std::get<1>(GetParam()));
    EXPECT_EQ("", received.malformed);
    EXPECT_EQ(0U, fullStream().rfind(received.body, 0)) << received.body;
    std::string beginning;
    for (int i = 1; i <= sentEvents; ++i)
        beginning += platform_instance::eventText(i);
    EXPECT_EQ(0U, received.body.rfind(beginning, 0)) << received.body;
    EXPECT_EQ(received.isComplete, received.body == fullStream()) << received.body;
    EXPECT_TRUE(received.isComplete || !std::get<0>(GetParam()).mustContinue);
}

const interruption allInterruptions[] = {
    {"resumed", [](auto &) {}, true},
    {"quarantined_here", [](auto &fixture) { fixture.quarantineMeanwhile(); }, true},
    {"quarantined_there",
     [](auto &fixture) {
         fixture.refuseWith("502 Status", {0, execution_state::unknown, "segment_quarantined"});
     }},
    {"not_run_there",
     [](auto &fixture) {
         fixture.refuseWith("503 Status", {0, execution_state::no, "all_busy"});
     }},
    {"path_lost_there",
     [](auto &fixture) {
         fixture.refuseWith("503 Status", {0, execution_state::no, pathLostCode});
     }},
    {"stopping_there",
     [](auto &fixture) {
         fixture.refuseWith("503 Status", {0, execution_state::no, stoppingCode});
     }},
    {"status_of_an_older_build",
     [](auto &fixture) { fixture.respondWith("503 Status", "Retry-After: 1\r\n", "body"); }},
    {"no_stream",
     [](auto &fixture) { fixture.respondWith("200 OK", "Content-Type: text/plain\r\n", "body"); }},
    {"failure", [](auto &fixture) { fixture.respondWith("500 Status", "", "body"); }},
    {"events_again", [](auto &fixture) { fixture.respondWithEvents(1); }},
    {"silence", [](auto &fixture) { fixture.m_isSilentLater = true; }},
    {"no_host", [](auto &fixture) { fixture.loseHostsMeanwhile(); }},
};

INSTANTIATE_TEST_SUITE_P(interruptions, interruption_fixture,
                         ::testing::Combine(::testing::ValuesIn(allInterruptions),
                                            ::testing::Values("HTTP/1.1", "HTTP/1.0")),
                         nameWithVersion<interruption>);

} // namespace
} // namespace goldcrestdeck
