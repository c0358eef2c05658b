// Requesters that have sent a longer request ahead on their channel, and leave before their time
// budget. The process doesn't notice, and passes that request on.

#include "rig3.hpp"

namespace {

constexpr int channels = 60;
constexpr int leaversOfTen = 3;    ///< A share of 0.3, the largest of `give_up` on the site.
constexpr double firstTakes = 1.5; ///< Seconds that the first request runs.
constexpr double leaveAfter = 0.5; ///< From the sending to the close of the channel.
constexpr double lateAfter = 0.5;  ///< From the close; RULES.md, GONE.
constexpr int fewRequests = 5;     ///< "More than a few" is more than this.
constexpr std::size_t longBodyBytes = 72000; ///< The largest of a `tour-brief` on the sheet's site.
constexpr std::size_t shortBodyBytes = 600;  ///< The mean of a `sign-charge`.

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    rig::record record(argv[1]);
    const int ports = rig::freePorts(30);
    rig::store store(ports);
    std::mutex mutex;
    std::map<std::string, double> arrivedAt;
    std::map<std::string, double> closedAt;
    const auto work = [&](const rig::message &request) {
        const std::string id = request.field("x-request-id");
        {
            const std::lock_guard<std::mutex> lock(mutex);
            arrivedAt[id] = rig::now();
        }
        record.line(id + " reaches a runner and runs");
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
    rig::pause(4); // The machine is in touch: `contact-ms` is 3,000.
    std::vector<std::thread> requesters;
    std::atomic<int> failed{0};
    for (int i = 0; i < channels; ++i) {
        requesters.emplace_back([&, number = std::to_string(100 + i)] {
            const auto peer = rig::channel::open(machine.frontPort());
            const std::string signId = "b000000000000" + number;
            const std::size_t bodyBytes = rig::troubled() ? longBodyBytes : shortBodyBytes;
            if (!peer
                || !peer->send(rig::requestHead("GET", "/yezi584/1", "a000000000000" + number, 3900)
                               + "\r\n" + rig::requestHead("POST", "/puxa403/2f", signId, 3900)
                               + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
                               + std::string(bodyBytes, 's'))) {
                ++failed;
                return;
            }
            record.line("a000000000000" + number + " and " + signId + " sent on one channel");
            if (std::stoi(number) % 10 >= leaversOfTen) {
                const auto lookup = peer->receive(6);
                const auto sign = peer->receive(6);
                record.line(signId + ": its requester stays and gets "
                            + (lookup && sign ? sign->first : "no answer"));
                return;
            }
            rig::pause(leaveAfter);
            peer->shut();
            const std::lock_guard<std::mutex> lock(mutex);
            closedAt[signId] = rig::now();
            record.line("the requester of " + signId + " has closed its channel");
        });
    }
    for (std::thread &requester : requesters)
        requester.join();
    rig::pause(4);
    int late = 0;
    for (const auto &closed : closedAt) {
        const auto arrived = arrivedAt.find(closed.first);
        if (arrived != arrivedAt.end() && arrived->second - closed.second > lateAfter) {
            ++late;
            record.line(closed.first + " reached a runner "
                        + std::to_string(arrived->second - closed.second)
                        + " s after its requester had left");
        }
    }
    record.summary("requesters that left: " + std::to_string(closedAt.size())
                   + ", their unsafe requests that reached a runner over 0.5 s later: "
                   + std::to_string(late));
    const bool couldRun = failed == 0;
    record.summary(!couldRun                ? "could not run"
                       : late > fewRequests ? "GONE: broken"
                                            : "GONE: held");
    machine.stop(SIGTERM);
    rig::leave(!couldRun ? 2 : late > fewRequests ? 1 : 0, {&machine});
}
