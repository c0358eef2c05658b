#include "soak/soak_clients.h"

#include <memory>
#include <random>

#include "goldcrestdeck/testing/router_harness.h"

namespace soak {

using goldcrestdeck::http1_response;
using goldcrestdeck::raw_http_client;
using goldcrestdeck::requestText;
using standins::platform_instance;

namespace {

/// Delay of a client after its connection failed or could not be opened.
constexpr std::chrono::milliseconds reconnectDelay{20};
/// Delay of a client after a refusal. Without it, an evacuation of all domains costs a whole core.
constexpr std::chrono::milliseconds refusalDelay{5};
constexpr std::chrono::milliseconds probeInterval{15};
/// On average one request in this many opens a new connection, to a host chosen at random.
constexpr unsigned meanRequestsPerConnection = 20;

/// Whether \a status guarantees that the request was not executed and will not be.
bool guaranteesNotExecuted(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string completeStreamBody()
{
    std::string text;
    for (int i = 1; i <= streamEvents; ++i)
        text += platform_instance::eventText(i);
    return text;
}

std::string requestOfKind(const std::string &kind, const std::string &id)
{
    const std::string deadlineField = "X-Deadline-Ms: 1500\r\n";
    if (kind == "safe")
        return requestText("GET", "/safe/x", id, deadlineField);
    if (kind == "once")
        return requestText("POST", "/once/x", id, deadlineField, "{}");
    return requestText("POST", "/stream/x", id, deadlineField + "X-Model: m\r\n", "{}");
}

} // namespace

soak_clients::soak_clients(soak_cluster &cluster, std::size_t clientCount)
    : m_cluster(cluster)
{
    for (std::size_t i = 0; i < clientCount; ++i)
        m_threads.emplace_back([this, i] { sendRequests(i); });
    for (std::size_t i = 0; i < cluster.hostCount(); ++i)
        m_threads.emplace_back([this, i] { probeConfiguration(i); });
}

soak_clients::~soak_clients()
{
    stop();
}

void soak_clients::stop()
{
    m_stop = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

void soak_clients::sendRequests(std::size_t clientIndex)
{
    std::mt19937_64 random(clientIndex);
    const std::array<const char *, 4> kinds = {"safe", "once", "stream", "once"};
    std::unique_ptr<raw_http_client> connection;
    for (unsigned number = 0; !m_stop; ++number) {
        const std::string kind = kinds.at(random() % kinds.size());
        const std::string id = "c" + std::to_string(clientIndex) + "-" + std::to_string(number);
        try {
            if (!connection || random() % meanRequestsPerConnection == 0)
                connection = std::make_unique<raw_http_client>(
                    m_cluster.clientEndpoint(random() % m_cluster.hostCount()));
            connection->send(requestOfKind(kind, id));
            const http1_response response = connection->read();
            checkResponse(kind, id, response);
            if (!response.keep_alive())
                connection.reset();
            if (response.result_int() == 503)
                std::this_thread::sleep_for(refusalDelay);
        } catch (const boost::system::system_error &) {
            // The host was killed or frozen; checkExecutions() compares execution counts later.
            recordOutcome(kind, id, 0);
            connection.reset();
            std::this_thread::sleep_for(reconnectDelay);
        }
    }
}

void soak_clients::checkResponse(const std::string &kind, const std::string &id,
                                 const http1_response &response)
{
    const unsigned status = response.result_int();
    recordOutcome(kind, id, status);
    const std::string description = kind + " " + id + " got " + std::to_string(status);
    if (status == 401 || status == 404 || status == 400)
        addViolation(description + ", although its route and key were valid throughout");
    if (response["X-Request-Id"] != id && status / 100 == 2)
        addViolation(description + " with the response to another request");
    const std::string expected
        = kind == "stream" ? completeStreamBody() : platform_instance::bodyFor(id);
    if (status == 200 && response.body() != expected)
        addViolation(description + " with a body that differs from the runner's: "
                     + response.body().substr(0, 200));
}

void soak_clients::probeConfiguration(std::size_t host)
{
    int probedIncarnation = 0;
    int newestServed = 0; // By the probed incarnation.
    unsigned number = 0;
    std::unique_ptr<raw_http_client> connection;
    const auto isServed = [&](int generation) {
        if (!connection)
            connection = std::make_unique<raw_http_client>(m_cluster.clientEndpoint(host));
        const std::string id = "p" + std::to_string(host) + "-" + std::to_string(number++);
        connection->send(requestText("GET", "/gen-" + std::to_string(generation) + "/x", id));
        const http1_response response = connection->read();
        if (!response.keep_alive())
            connection.reset();
        return response.result_int() == 200;
    };
    while (!m_stop) {
        try {
            const int currentIncarnation = m_cluster.incarnation(host);
            if (probedIncarnation != currentIncarnation)
                newestServed = 0;
            probedIncarnation = currentIncarnation;
            const int currentGeneration = m_generation;
            // Results of a probe during which the host was restarted are discarded.
            const bool servesOlder = newestServed > 1 && isServed(newestServed - 1);
            if (servesOlder && m_cluster.incarnation(host) == probedIncarnation)
                addViolation("host " + std::to_string(host)
                             + " reverted to a configuration older than "
                             + std::to_string(newestServed));
            if (isServed(currentGeneration) && m_cluster.incarnation(host) == probedIncarnation)
                newestServed = std::max(newestServed, currentGeneration);
        } catch (const boost::system::system_error &) {
            connection.reset(); // The host was killed, frozen or is stopping.
        }
        std::this_thread::sleep_for(probeInterval);
    }
}

void soak_clients::recordOutcome(const std::string &kind, const std::string &id, unsigned status)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_outcomes[id] = {kind, status};
}

void soak_clients::addViolation(const std::string &description)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_violations.push_back(description);
}

std::vector<std::string> soak_clients::violations()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_violations;
}

response_counts soak_clients::responseCounts()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    response_counts counts;
    for (const auto &entry : m_outcomes)
        ++counts[{entry.second.kind, entry.second.status}];
    return counts;
}

void soak_clients::checkExecutions()
{
    const std::map<std::string, int> executions = m_cluster.executions();
    const auto outcomes = [this] {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_outcomes;
    }();
    for (const auto &entry : outcomes) {
        const auto found = executions.find(entry.first);
        const int count = found == executions.end() ? 0 : found->second;
        const std::string description = entry.second.kind + " " + entry.first + " got "
            + std::to_string(entry.second.status) + " and was executed " + std::to_string(count)
            + " times";
        if (entry.second.kind == "once" && count > 1)
            addViolation(description);
        if (guaranteesNotExecuted(entry.second.status) && entry.second.kind == "once" && count > 0)
            addViolation(description);
        if (entry.second.status == 200 && count == 0)
            addViolation(description);
    }
}

} // namespace soak
