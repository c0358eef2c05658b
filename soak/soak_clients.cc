#include "soak/soak_clients.h"

#include <memory>
#include <random>

#include "goldcrestdeck/testing/router_harness.h"

namespace soak {

using goldcrestdeck::byte_client;
using goldcrestdeck::http1_response;
using goldcrestdeck::requestText;
using standins::platform_runner;

namespace {

/// Pause of a caller after a connection that could not be had or that ended.
constexpr std::chrono::milliseconds reconnectPause{20};
constexpr std::chrono::milliseconds probePause{15};
/// One in so many requests goes to a new connection, perhaps of another host.
constexpr unsigned moveEvery = 20;

/// Statuses that promise that the request has not run and never will.
bool promisesNotRun(unsigned status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string wholeStream()
{
    std::string text;
    for (int i = 1; i <= streamEvents; ++i)
        text += platform_runner::eventText(i);
    return text;
}

std::string textOf(const std::string &kind, const std::string &id)
{
    const std::string patience = "X-Deadline-Ms: 1500\r\n";
    if (kind == "safe")
        return requestText("GET", "/safe/x", id, patience);
    if (kind == "once")
        return requestText("POST", "/once/x", id, patience, "{}");
    return requestText("POST", "/stream/x", id, patience + "X-Model: m\r\n", "{}");
}

} // namespace

soak_clients::soak_clients(soak_world &world, std::size_t callers)
    : m_world(world)
{
    for (std::size_t i = 0; i < callers; ++i)
        m_threads.emplace_back([this, i] { call(i); });
    for (std::size_t i = 0; i < world.hostCount(); ++i)
        m_threads.emplace_back([this, i] { probe(i); });
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

void soak_clients::call(std::size_t caller)
{
    std::mt19937_64 random(caller);
    const std::array<const char *, 4> kinds = {"safe", "once", "stream", "once"};
    std::unique_ptr<byte_client> connection;
    for (unsigned number = 0; !m_stop; ++number) {
        const std::string kind = kinds.at(random() % kinds.size());
        const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        try {
            if (!connection || random() % moveEvery == 0)
                connection = std::make_unique<byte_client>(
                    m_world.clients(random() % m_world.hostCount()));
            connection->send(textOf(kind, id));
            const http1_response answer = connection->read();
            check(kind, id, answer);
            if (!answer.keep_alive())
                connection.reset();
        } catch (const boost::system::system_error &) {
            // A host that was killed or frozen; what the runners did is compared later.
            note(kind, id, 0);
            connection.reset();
            std::this_thread::sleep_for(reconnectPause);
        }
    }
}

void soak_clients::check(const std::string &kind, const std::string &id,
                         const http1_response &answer)
{
    const unsigned status = answer.result_int();
    note(kind, id, status);
    const std::string name = kind + " " + id + " got " + std::to_string(status);
    if (status == 401 || status == 404 || status == 400)
        violate(name + ", though its route and key were always allowed");
    if (answer["X-Request-Id"] != id && status / 100 == 2)
        violate(name + " with the answer of another request");
    const std::string expected = kind == "stream" ? wholeStream() : platform_runner::bodyFor(id);
    if (status == 200 && answer.body() != expected)
        violate(name + " with a body that is not the runner's: " + answer.body().substr(0, 200));
}

void soak_clients::probe(std::size_t host)
{
    int lifetime = 0;
    int newest = 0;
    unsigned number = 0;
    std::unique_ptr<byte_client> connection;
    const auto isServed = [&](int generation) {
        if (!connection)
            connection = std::make_unique<byte_client>(m_world.clients(host));
        const std::string id = "p" + std::to_string(host) + "-" + std::to_string(number++);
        connection->send(requestText("GET", "/gen-" + std::to_string(generation) + "/x", id));
        const http1_response answer = connection->read();
        if (!answer.keep_alive())
            connection.reset();
        return answer.result_int() == 200;
    };
    while (!m_stop) {
        try {
            const int before = m_world.lifetime(host);
            if (lifetime != before)
                newest = 0;
            lifetime = before;
            const int current = m_generation;
            const bool isOld = newest > 1 && isServed(newest - 1);
            if (isOld && m_world.lifetime(host) == lifetime)
                violate("host " + std::to_string(host) + " went back behind configuration "
                        + std::to_string(newest));
            if (isServed(current) && m_world.lifetime(host) == lifetime)
                newest = std::max(newest, current);
        } catch (const boost::system::system_error &) {
            connection.reset(); // Killed, frozen or stopping.
        }
        std::this_thread::sleep_for(probePause);
    }
}

void soak_clients::note(const std::string &kind, const std::string &id, unsigned status)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_told[id] = {kind, status};
}

void soak_clients::violate(const std::string &what)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_violations.push_back(what);
}

std::vector<std::string> soak_clients::violations()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_violations;
}

answer_counts soak_clients::answers()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    answer_counts counts;
    for (const auto &entry : m_told)
        ++counts[{entry.second.kind, entry.second.status}];
    return counts;
}

void soak_clients::judge()
{
    const std::map<std::string, int> runs = m_world.runs();
    const auto told = [this] {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_told;
    }();
    for (const auto &entry : told) {
        const auto found = runs.find(entry.first);
        const int count = found == runs.end() ? 0 : found->second;
        const std::string name = entry.second.kind + " " + entry.first + " got "
            + std::to_string(entry.second.status) + " and ran " + std::to_string(count) + " times";
        if (entry.second.kind == "once" && count > 1)
            violate(name);
        if (promisesNotRun(entry.second.status) && entry.second.kind == "once" && count > 0)
            violate(name);
        if (entry.second.status == 200 && count == 0)
            violate(name);
    }
}

} // namespace soak
