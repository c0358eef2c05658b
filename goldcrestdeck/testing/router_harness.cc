#include "goldcrestdeck/testing/router_harness.h"

#include <sstream>

#include <poll.h>

#include <array>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

#include "goldcrestdeck/log.h"
#include "platform/headers.h"

namespace goldcrestdeck {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr int receiveTimeoutMs = 10'000;
constexpr int eventuallyMaxPolls = 500;
constexpr std::chrono::milliseconds eventuallyPollInterval{10};

asio::ip::tcp::endpoint ephemeralEndpoint()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

std::string endpointText(const asio::ip::tcp::endpoint &endpoint)
{
    std::ostringstream out;
    out << endpoint;
    return out.str();
}

route makeRoute(const std::string &prefix, request_kind kind, const std::string &service)
{
    route result;
    result.name = prefix;
    result.host = "a.example";
    result.prefix = prefix;
    result.kind = kind;
    result.services = {{service, 1}};
    result.timeout = std::chrono::seconds(3);
    result.targetLatency = std::chrono::milliseconds(300);
    result.maxAttempts = 3;
    return result;
}

router_settings fixtureSettings()
{
    router_settings result;
    result.failureDomain = "a";
    return result;
}

} // namespace

raw_http_client::raw_http_client(const asio::ip::tcp::endpoint &server)
    : m_socket(m_io)
{
    m_socket.connect(server);
}

std::size_t raw_http_client::readSome(const asio::mutable_buffer &buffer,
                                      boost::system::error_code &error)
{
    // A blocking read of Asio ignores SO_RCVTIMEO.
    pollfd readable{m_socket.native_handle(), POLLIN, 0};
    if (poll(&readable, 1, receiveTimeoutMs) == 0) {
        error = asio::error::timed_out;
        return 0;
    }
    return m_socket.read_some(buffer, error);
}

void raw_http_client::send(const std::string &bytes)
{
    asio::write(m_socket, asio::buffer(bytes));
}

http1_response raw_http_client::read()
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(boost::none);
    while (true) {
        boost::system::error_code error;
        const std::size_t used = parser.put(asio::buffer(m_buffer), error);
        m_buffer.erase(0, used);
        if (parser.is_done())
            return parser.release();
        if (error && error != http::error::need_more)
            throw boost::system::system_error(error);
        char chunk[4096];
        const std::size_t count = readSome(asio::buffer(chunk), error);
        if (error == asio::error::eof && parser.is_header_done()) {
            parser.put_eof(error);
            if (!error && parser.is_done())
                return parser.release();
        }
        if (error)
            throw boost::system::system_error(error);
        m_buffer.append(chunk, count);
    }
}

bool raw_http_client::isClosedByServer()
{
    char byte = 0;
    boost::system::error_code error;
    const std::size_t count = readSome(asio::buffer(&byte, 1), error);
    return count == 0 && (error == asio::error::eof || error == asio::error::connection_reset);
}

std::string raw_http_client::readAll()
{
    std::string received;
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    while (!error) {
        const std::size_t count = readSome(asio::buffer(buffer), error);
        received.append(buffer.data(), count);
    }
    m_wasReset = error == asio::error::connection_reset;
    return received;
}

void raw_http_client::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

received_stream receiveStream(raw_http_client &client)
{
    const std::string bytes = client.readAll();
    received_stream result;
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return result;
    std::size_t at = headEnd + 4;
    if (bytes.find("chunked") > headEnd) {
        result.body = bytes.substr(at);
        result.isComplete = !client.wasReset();
        return result;
    }
    while (true) {
        const std::size_t lineEnd = bytes.find("\r\n", at);
        if (lineEnd == std::string::npos)
            return result;
        const std::string line = bytes.substr(at, lineEnd - at);
        if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
            result.malformed = bytes.substr(at);
            return result;
        }
        const std::size_t size = std::stoul(line, nullptr, 16);
        const std::size_t dataEnd = lineEnd + 2 + size;
        if (bytes.size() < dataEnd + 2)
            return result;
        result.body += bytes.substr(lineEnd + 2, size);
        at = dataEnd + 2;
        if (size == 0) {
            result.isComplete = at == bytes.size();
            result.malformed = bytes.substr(at);
            return result;
        }
    }
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const std::string &fields, const std::string &body)
{
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
        + "\r\nX-Credential: key-1\r\n" + fields;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

router_fixture::router_fixture()
    : m_client(m_io, m_clock)
    , m_state(fixtureSettings(), 1)
    , m_workGuard(asio::make_work_guard(m_io))
{
    initLog("test", log_level::error);
    m_config.version = 1;
    m_config.requiresKeys = true;
    m_config.workspaces = {{"w1", {"key-1"}, std::nullopt}};
    m_config.routes = {makeRoute("/safe/", request_kind::idempotent, "plain"),
                       makeRoute("/once/", request_kind::at_most_once, "plain"),
                       makeRoute("/stream/", request_kind::stream, "engine"),
                       makeRoute("/closed/", request_kind::stream, "engine")};
    m_config.routes[2].resumable = true;
    m_config.routes[2].models = {"small", "large"};
    service_spec engine;
    engine.name = "engine";
    engine.models = {{"small", 1}, {"large", 10}};
    m_config.services = {engine};
    forwarder_dependencies dependencies{
        m_io,
        m_clock,
        m_client,
        m_state,
        m_metrics,
        m_memory,
        platform::wireFormat(),
        [this](std::function<void(bool)> done) {
            ++m_confirmCalls;
            if (m_onConfirm)
                m_onConfirm();
            m_lastConfirm = done;
            if (m_confirmEnds)
                asio::post(m_io, [this, done = std::move(done)] { done(m_confirmSucceeds); });
        },
        [this](const request_outcome &outcome) { m_outcomes.push_back(outcome); },
        [this](const crash_report &report) { m_crashReports.push_back(report); },
        [this](const rate_limit_report &report) { m_rateLimitReports.push_back(report); }};
    m_forwarder = std::make_unique<forwarder>(std::move(dependencies));
    m_server = std::make_unique<async_server>(
        m_io, ephemeralEndpoint(), request_limits(),
        [this](http1_request request, std::shared_ptr<response_writer> writer) {
            m_forwarder->handle(std::move(request), std::move(writer));
        },
        std::make_shared<client_memory>(client_memory_limits()),
        [this](const http1_request_head &head) { return m_forwarder->refusesHead(head); });
    m_thread = std::thread([this] { m_io.run(); });
}

router_fixture::~router_fixture()
{
    onLoop([this] {
        m_server->stop();
        m_client.stop();
        for (const auto &standin : m_standins)
            standin->stop();
    });
    m_io.stop();
    m_thread.join();
}

standins::platform_instance &router_fixture::addInstance(const std::string &service,
                                                         const std::string &id,
                                                         const std::string &version)
{
    return onLoop([&]() -> standins::platform_instance & {
        m_standins.push_back(
            std::make_unique<standins::platform_instance>(m_io, ephemeralEndpoint(), id));
        instance entry;
        entry.id = id;
        entry.service = service;
        entry.address = endpointText(m_standins.back()->address());
        entry.failureDomain = "a";
        entry.version = version;
        entry.slots = 8;
        m_instances[service].push_back(entry);
        return *m_standins.back();
    });
}

void router_fixture::publish()
{
    onLoop([this] {
        auto view = std::make_shared<routing_view>();
        view->config = std::make_shared<routing_config>(m_config);
        view->instances = m_instances;
        view->rollouts = m_rollouts;
        m_state.setView(view);
        m_state.setConfirmedAt(m_clock.now());
        m_forwarder->onViewUpdated();
    });
}

void router_fixture::setFaults(const standins::instance_faults &faults)
{
    onLoop([&] {
        for (const auto &standin : m_standins)
            standin->setFaults(faults);
    });
}

http1_response router_fixture::sendRequest(const std::string &text)
{
    raw_http_client client(m_server->address());
    client.send(text);
    return client.read();
}

int router_fixture::executionsOf(const std::string &requestId)
{
    return onLoop([&] {
        int executions = 0;
        for (const auto &standin : m_standins) {
            const auto found = standin->executions().find(requestId);
            executions += found == standin->executions().end() ? 0 : found->second;
        }
        return executions;
    });
}

std::size_t router_fixture::requestsReceived()
{
    return onLoop([&] {
        std::size_t count = 0;
        for (const auto &standin : m_standins)
            count += standin->requests().size();
        return count;
    });
}

bool router_fixture::eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < eventuallyMaxPolls; ++i) {
        if (onLoop(condition))
            return true;
        std::this_thread::sleep_for(eventuallyPollInterval);
    }
    return false;
}

} // namespace goldcrestdeck
