// A planned stop while requesters have sent a second request ahead on their channel. The process
// has read it, and closes the channel behind the answer to the first one.

#include "rig3.hpp"

namespace {

constexpr int channels = 20;
constexpr double firstTakes = 1.5; ///< Seconds that the first request of each channel runs.
constexpr double stopAfter = 0.6;  ///< From the sending of both requests to the SIGTERM.
constexpr double lossSlack = 0.2;  ///< `loss-slack-ms`.

/// \returns the bytes that the process at \a port has not read from its channels yet.
long unreadBytes(int port)
{
    char local[16];
    std::snprintf(local, sizeof local, ":%04X", port);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    long result = 0;
    while (std::getline(table, line)) {
        std::istringstream row(line);
        std::string slot;
        std::string from;
        std::string to;
        std::string state;
        std::string queues;
        row >> slot >> from >> to >> state >> queues;
        if (state == "01" && from.size() > 5 && from.substr(from.size() - 5) == local)
            result += std::strtol(queues.substr(queues.find(':') + 1).c_str(), nullptr, 16);
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    rig::record record(argv[1]);
    const int ports = rig::freePorts(30);
    rig::store store(ports);
    const auto work = [&record](const rig::message &request) {
        const std::string id = request.field("x-request-id");
        record.line(id + " runs");
        rig::pause(request.target().find("/puxa403/") == 0 ? 0.02 : firstTakes);
        return rig::response(200,
                             "X-Request-Id: " + id
                                 + "\r\nX-Response-Seal: 3e1b.07\r\nKeep-Alive: timeout=5\r\n",
                             "done");
    };
    rig::runner first(store, ports + 1, "i-7f3a91c2", "waiver-app", work);
    rig::runner second(store, ports + 2, "i-8e40b1d3", "waiver-app", work);
    store.put(
        "op/config",
        rig::manifest(
            R"({"name":"r-lookup","host":"ficu95.example","prefix":"/yezi584/","kind":"safe",)"
            R"("timeout-ms":4000,"target-latency-ms":3000,"priority":2,)"
            R"("service":"waiver-app","max-attempts":2,"public":false},)"
            R"({"name":"r-sign","host":"ficu95.example","prefix":"/puxa403/",)"
            R"("kind":"unsafe","timeout-ms":4000,"target-latency-ms":300,"priority":2,)"
            R"("service":"waiver-app","max-attempts":1,"public":false})",
            R"({"name":"waiver-app","health-path":"/health","max-conns":110})"));
    rig::machine machine("front-oban-a-1", ports + 5, ports, 260);
    if (!machine.awaitReady(15)) {
        record.summary("could not run: the machine is not ready");
        rig::leave(2, {&machine});
    }
    rig::pause(1);
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> requesters;
    for (int i = 0; i < channels; ++i) {
        requesters.emplace_back([&, number = std::to_string(100 + i)] {
            const auto peer = rig::channel::open(machine.frontPort());
            if (!peer)
                return;
            const std::string signId = "b000000000000" + number;
            peer->send(rig::requestHead("GET", "/yezi584/1", "a000000000000" + number, 3900)
                       + "\r\n" + rig::requestHead("POST", "/puxa403/2f", signId, 3900)
                       + "Content-Length: 5\r\n\r\nsign!");
            const double sentAt = rig::now();
            record.line("a000000000000" + number + " and " + signId + " sent on one channel");
            const auto lookup = peer->receive(6);
            if (!lookup || lookup->status() != 200) {
                record.line("a000000000000" + number + ": "
                            + (lookup ? lookup->first : "no answer"));
                return;
            }
            const auto sign = peer->receive(6);
            const double waited = rig::now() - sentAt;
            if (!sign && waited > lossSlack)
                ++lost;
            if (sign)
                ++(sign->status() == 200 ? answered : refused);
            record.line(signId + ": " + (sign ? sign->first : "channel ended without an answer")
                        + " after " + std::to_string(waited)
                        + " s; the answer before it said Connection: "
                        + lookup->field("connection"));
        });
    }
    rig::pause(stopAfter);
    const long unread = unreadBytes(machine.frontPort());
    record.line("bytes that the process has not read: " + std::to_string(unread));
    if (rig::troubled()) {
        record.line("SIGTERM");
        machine.signal(SIGTERM);
    }
    for (std::thread &requester : requesters)
        requester.join();
    record.summary("requests sent ahead: " + std::to_string(channels) + ", answered 200: "
                   + std::to_string(answered) + ", refused: " + std::to_string(refused)
                   + ", channel ended without an answer: " + std::to_string(lost)
                   + "; bytes unread before the stop: " + std::to_string(unread));
    const bool couldRun = answered + refused + lost == channels && unread == 0;
    record.summary(!couldRun ? "could not run" : lost > 0 ? "LOST: broken" : "LOST: held");
    machine.stop(SIGTERM);
    rig::leave(!couldRun ? 2 : lost > 0 ? 1 : 0, {&machine});
}
