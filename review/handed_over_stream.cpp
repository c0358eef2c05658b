// A stream that another machine serves for the one that took it breaks off, while the machine that
// took it has found that requests with the same shared part of the prompt crash runners.

#include "rig3.hpp"

#include <condition_variable>
#include <set>

namespace {

constexpr int eventCount = 120;
constexpr double eventInterval = 0.1;
constexpr double cutSeconds = 5.5; ///< Without the start of machine 2.
constexpr int poolRunners = 12;
constexpr int crashes = 3; ///< A quarter of the runners of the pool.
constexpr int appRunners = 2;
constexpr const char *sharedPart = "5c1e07a2";

/// How many runners crash next, each when it has begun to answer a request and runs no other.
std::atomic<int> crashesLeft{0};

/// A runner that can be out of reach, or crash.
class unsteady_runner
{
public:
    unsteady_runner(rig::record &record, rig::store &store, int port, std::string id,
                    std::string service)
        : m_record(record)
        , m_store(store)
        , m_port(port)
        , m_id(std::move(id))
        , m_service(std::move(service))
    {
        open();
        std::thread([this] {
            for (int sequence = 1;; ++sequence) {
                if (!m_crashed)
                    registerAt(sequence);
                rig::pause(1.2);
            }
        }).detach();
    }

    void open()
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = rig::loopback(m_port);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || listen(m_listener, 512) != 0)
            throw std::runtime_error("cannot listen");
        std::thread([this, listener = m_listener] {
            for (;;) {
                const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([this, accepted] { serve(accepted); }).detach();
            }
        }).detach();
    }

    /// Refuses new connections and ends the open ones.
    void shut()
    {
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int fd : m_connections)
            shutdown(fd, SHUT_RDWR);
    }

private:
    void registerAt(int sequence)
    {
        m_store.put("servers/" + m_id,
                    "{\"service\":\"" + m_service
                        + "\",\"address\":\"127.0.0.1:" + std::to_string(m_port)
                        + R"(","zone":"oban-a","version":"v1","slots":64,"state":"ready",)"
                        + R"("cold-left-ms":0,"born":1796680000000,"seq":)"
                        + std::to_string(sequence) + "}");
    }

    void serve(int fd)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_connections.insert(fd);
        }
        {
            rig::channel peer(dup(fd));
            while (const auto request = peer.receive(3600)) {
                if (!answer(peer, *request))
                    break;
            }
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.erase(fd);
        close(fd);
    }

    bool answer(rig::channel &peer, const rig::message &request)
    {
        const std::string id = request.field("x-request-id");
        const std::string own = "X-Request-Id: " + id + "\r\n";
        if (request.field("x-expect-instance") != m_id)
            return peer.send(rig::response(421, own, ""));
        const std::string sealed = own + "X-Response-Seal: 3e1b.07.5a2\r\n";
        if (m_service == "waiver-app")
            return peer.send(rig::response(200, sealed, "done"));
        m_record.line(m_id + " runs " + id + " after event " + request.field("last-event-id"));
        if (!peer.send("HTTP/1.1 200 OK\r\n" + sealed
                       + "X-Confidence: 100\r\nContent-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"))
            return false;
        if (m_streams == 0 && crashesLeft > 0) {
            --crashesLeft;
            rig::pause(0.02);
            m_record.line(m_id + " crashes");
            m_crashed = true;
            shut();
            return false;
        }
        ++m_streams;
        int number = std::atoi(request.field("last-event-id").c_str()) + 1;
        bool isOpen = true;
        for (; isOpen && number <= eventCount; ++number) {
            const std::string event = "id: " + std::to_string(number) + "\ndata: event "
                + std::to_string(number) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            isOpen = peer.send(size + event + "\r\n");
            rig::pause(eventInterval);
        }
        --m_streams;
        return isOpen && peer.send("0\r\n\r\n");
    }

    rig::record &m_record;
    rig::store &m_store;
    int m_port;
    std::string m_id;
    std::string m_service;
    std::atomic<bool> m_crashed{false};
    std::atomic<int> m_streams{0};
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

/// Reads all bytes that arrive on a channel, as they are.
class raw_stream
{
public:
    bool begin(int port, const std::string &request)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = rig::loopback(port);
        if (connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || send(m_fd, request.data(), request.size(), MSG_NOSIGNAL)
                != static_cast<ssize_t>(request.size()))
            return false;
        m_reader = std::thread([this] {
            char bytes[4096];
            for (ssize_t count = 0; (count = recv(m_fd, bytes, sizeof bytes, 0)) > 0;) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_bytes.append(bytes, static_cast<std::size_t>(count));
            }
            m_ended = true;
        });
        return true;
    }

    std::string bytes()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_bytes;
    }

    bool hasEnded() const { return m_ended; }

    void end()
    {
        shutdown(m_fd, SHUT_RDWR);
        m_reader.join();
        close(m_fd);
    }

private:
    int m_fd = -1;
    std::thread m_reader;
    std::mutex m_mutex;
    std::string m_bytes;
    std::atomic<bool> m_ended{false};
};

enum class framing { complete, brokenOff, malformed };

/// Checks the chunks of a response. \a rest gets what stands where a chunk should begin.
framing check(const std::string &bytes, std::string &rest)
{
    std::size_t at = bytes.find("\r\n\r\n");
    if (at == std::string::npos)
        return framing::brokenOff;
    for (at += 4;;) {
        const std::size_t end = bytes.find("\r\n", at);
        const std::string line = bytes.substr(at, end == std::string::npos ? end : end - at);
        if (line.find_first_not_of("0123456789abcdef") != std::string::npos) {
            rest = bytes.substr(at);
            return framing::malformed;
        }
        if (end == std::string::npos)
            return framing::brokenOff;
        const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
        if (bytes.size() < end + 2 + size + 2)
            return framing::brokenOff;
        if (size == 0)
            return framing::complete;
        at = end + 2 + size + 2;
    }
}

std::string streamRequest(const std::string &id, const std::string &ownPart)
{
    return rig::requestHead("POST", "/lohu930/2f", id, 25000)
        + "X-Model: *\r\nX-Token-Count: 812,300\r\nX-Prompt-Prefix: " + sharedPart + ":512,"
        + ownPart + ":300\r\nContent-Length: 0\r\n\r\n";
}

std::string ask(int port, const std::string &request)
{
    const auto peer = rig::channel::open(port);
    if (!peer || !peer->send(request))
        return "no channel";
    const auto answer = peer->receive(8);
    return answer ? answer->first.substr(0, 12) + ' ' + answer->body.substr(0, 60) : "no answer";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    rig::record record(argv[1]);
    const int ports = rig::freePorts(80);
    rig::store store(ports);
    std::vector<std::unique_ptr<unsteady_runner>> runners;
    for (int i = 0; i < poolRunners + appRunners; ++i)
        runners.push_back(std::make_unique<unsteady_runner>(
            record, store, ports + 1 + i, "i-10d774269" + std::to_string(i),
            i < poolRunners ? "goldcrest-pool" : "waiver-app"));
    store.put(
        "op/config",
        rig::manifest(
            R"({"name":"r-brief","host":"ficu95.example","prefix":"/lohu930/",)"
            R"("kind":"streaming","timeout-ms":25000,"target-latency-ms":3000,"priority":1,)"
            R"("sizes":["m0"],"service":"goldcrest-pool","max-attempts":3,"public":false,)"
            R"("sticky":true,"resumable":true,"target-gap-ms":1000},)"
            R"({"name":"r-lookup","host":"ficu95.example","prefix":"/yezi584/","kind":"safe",)"
            R"("timeout-ms":2000,"target-latency-ms":300,"priority":2,)"
            R"("service":"waiver-app","max-attempts":2,"public":false})",
            R"({"name":"goldcrest-pool","health-path":"/health","max-conns":370,)"
            R"("engine":{"slots":64,"models":[{"name":"m0","cost":0.016}]}},)"
            R"({"name":"waiver-app","health-path":"/health","max-conns":110})"));
    rig::machine first("front-oban-a-1", ports + 20, ports, 260);
    rig::machine second("front-oban-a-2", ports + 40, ports, 260);
    rig::machine third("front-oban-a-3", ports + 60, ports, 260);
    if (!first.awaitReady(15) || !second.awaitReady(15) || !third.awaitReady(15)) {
        record.summary("could not run: a machine is not ready");
        rig::leave(2, {&first, &second, &third});
    }
    rig::pause(1.5);
    for (int i = 0; i < 6; ++i) // Ordinary requests, which add to the budget of repeats.
        ask(first.frontPort(),
            rig::requestHead("GET", "/yezi584/1", "a0" + std::to_string(i), 2000) + "\r\n");
    if (rig::troubled()) {
        second.stop(SIGKILL);
        record.line("machine 2 is killed");
        for (const auto &runner : runners)
            runner->shut();
        record.line("machine 1 is cut off from the runners");
        for (int i = 0; i < 4; ++i) {
            record.line("b0" + std::to_string(i) + " gets "
                        + ask(first.frontPort(),
                              rig::requestHead("GET", "/yezi584/1", "b0" + std::to_string(i), 2000)
                                  + "\r\n"));
            record.line("b1" + std::to_string(i) + " gets "
                        + ask(first.frontPort(),
                              streamRequest("b1" + std::to_string(i), "77" + std::to_string(i))));
        }
        second.start();
        if (!second.awaitReady(10)) {
            record.summary("could not run: machine 2 is not ready again");
            rig::leave(2, {&first, &second, &third});
        }
        // A machine that could not be reached is not asked for 5 s.
        rig::pause(cutSeconds);
        for (const auto &runner : runners)
            runner->open();
        record.line("the cut has ended");
    }
    raw_stream stream;
    if (!stream.begin(first.frontPort(), streamRequest("9c41d07be2a35f68", "e4402b7d"))) {
        record.summary("could not run: no channel");
        rig::leave(2, {&first, &second, &third});
    }
    record.line("9c41d07be2a35f68 sent to machine 1");
    rig::pause(1.5);
    if (rig::troubled()) {
        crashesLeft = crashes;
        for (int i = 0; i < 8 && crashesLeft > 0; ++i) {
            const std::string number = std::to_string(i);
            record.line(
                "c0" + number + " gets "
                + ask(first.frontPort(),
                      streamRequest("c0" + number, "91bd3f0" + number + ":400,88" + number)));
            rig::pause(0.4);
        }
        if (crashesLeft > 0) {
            record.summary("could not run: the runners have not crashed");
            rig::leave(2, {&first, &second, &third});
        }
        rig::pause(0.5);
        second.stop(SIGKILL);
        record.line("machine 2 is killed");
    }
    std::string rest;
    framing result = framing::brokenOff;
    for (const double end = rig::now() + 16; rig::now() < end; rig::pause(0.1)) {
        result = check(stream.bytes(), rest);
        if (result != framing::brokenOff || stream.hasEnded())
            break;
    }
    rig::pause(0.3);
    result = check(stream.bytes(), rest);
    stream.end();
    const std::string bytes = stream.bytes();
    if (bytes.find("chunked") > bytes.find("\r\n\r\n")) {
        record.summary("could not run: no stream has begun: "
                       + bytes.substr(0, bytes.find("\r\n")));
        rig::leave(2, {&first, &second, &third});
    }
    record.line("the requester has got " + std::to_string(bytes.size())
                + " bytes: " + bytes.substr(0, bytes.find("\r\n")));
    record.line("its last bytes: "
                + bytes.substr(bytes.size() - std::min<std::size_t>(400, bytes.size())));
    if (result == framing::malformed)
        record.line("where a chunk should begin it has got: " + rest);
    record.summary(result == framing::malformed      ? "MIXED: broken, bytes that are no answer"
                       : result == framing::complete ? "MIXED: held, the stream is complete"
                                                     : "MIXED: held, the stream was broken off");
    rig::leave(result == framing::malformed ? 1 : 0, {&first, &second, &third});
}
