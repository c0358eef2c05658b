// Requests whose X-Prompt-Prefix has many short parts, each request inside the limits. The platform
// ends a process that exceeds its memory.

#include "rig3.hpp"

namespace {

constexpr int memoryMb = 260;
constexpr double requestsPerSecond = 30; ///< At each machine.
constexpr int channels = 4;              ///< To each machine.
constexpr double lengthSeconds = 70;
constexpr double restartDelay = 1;
constexpr int endsThatBreak = 3; ///< Of each of two machines, RULES.md, Fault.
constexpr std::size_t promptBytes = 15000;

/// The fields of a request that describe its prompt, of the same number of tokens in both cases.
std::string promptFields(const std::string &id)
{
    std::string parts = id + ":1";
    int tokens = 1;
    for (; parts.size() + 4 < promptBytes; ++tokens)
        parts += ",7:1";
    if (!rig::troubled())
        parts = "5c1e07a2:512,91bd3f06:" + std::to_string(tokens - 812) + ',' + id + ":300";
    return "X-Model: *\r\nX-Token-Count: " + std::to_string(tokens)
        + ",10\r\nX-Prompt-Prefix: " + parts + "\r\n";
}

std::string hex(unsigned number)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", number);
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    rig::record record(argv[1]);
    const int ports = rig::freePorts(50);
    rig::store store(ports);
    std::atomic<int> runs{0};
    std::vector<std::unique_ptr<rig::runner>> runners;
    for (int i = 0; i < 3; ++i) {
        runners.push_back(std::make_unique<rig::runner>(
            store, ports + 1 + i, "i-10d774269" + std::to_string(i), "goldcrest-pool",
            [&runs](const rig::message &request) {
                ++runs;
                const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
                return rig::response(200,
                                     "X-Request-Id: " + request.field("x-request-id")
                                         + "\r\nX-Response-Seal: 3e1b.07\r\nX-Confidence: 100\r\n"
                                           "Content-Type: text/event-stream\r\n",
                                     events);
            }));
    }
    store.put(
        "op/config",
        rig::manifest(
            R"({"name":"r-1","host":"ficu95.example","prefix":"/lohu930/","kind":"streaming",)"
            R"("timeout-ms":25000,"target-latency-ms":3000,"priority":1,"sizes":["m0","m1"],)"
            R"("service":"goldcrest-pool","max-attempts":3,"public":false,"sticky":true,)"
            R"("resumable":true,"target-gap-ms":1000})",
            R"({"name":"goldcrest-pool","health-path":"/health","max-conns":370,)"
            R"("engine":{"slots":64,"models":[{"name":"m0","cost":0.016},)"
            R"({"name":"m1","cost":0.24}]}})"));
    std::vector<std::unique_ptr<rig::machine>> machines;
    for (int i = 0; i < 2; ++i)
        machines.push_back(std::make_unique<rig::machine>("front-oban-a-" + std::to_string(i + 1),
                                                          ports + 5 + 20 * i, ports, memoryMb));
    for (const auto &machine : machines) {
        if (!machine->awaitReady(15)) {
            record.summary("could not run: a machine is not ready");
            return 2;
        }
    }
    std::atomic<bool> stopping{false};
    std::atomic<unsigned> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> requesters;
    for (const auto &machine : machines) {
        for (int i = 0; i < channels; ++i) {
            requesters.emplace_back([&, port = machine->frontPort()] {
                std::unique_ptr<rig::channel> peer;
                while (!stopping) {
                    rig::pause(channels / requestsPerSecond);
                    if (!peer && !(peer = rig::channel::open(port)))
                        continue;
                    const std::string id = hex(++sent);
                    const bool isSent
                        = peer->send(rig::requestHead("POST", "/lohu930/2f", "9c41d07b" + id, 25000)
                                     + promptFields(id) + "Content-Length: 0\r\n\r\n");
                    const auto answer = isSent ? peer->receive(5) : std::nullopt;
                    if (answer && answer->status() == 200) {
                        ++served;
                    } else {
                        ++lost;
                        record.line("9c41d07b" + id + " sent, "
                                    + (answer ? "answered " + answer->first : "no answer"));
                        peer.reset();
                    }
                }
            });
        }
    }
    std::vector<int> ends(machines.size(), 0);
    std::vector<double> restartAt(machines.size(), 0);
    std::vector<double> highest(machines.size(), 0);
    double reportedAt = 0;
    const double end = rig::now() + lengthSeconds;
    while (rig::now() < end && *std::min_element(ends.begin(), ends.end()) < endsThatBreak) {
        rig::pause(0.05);
        for (std::size_t i = 0; i < machines.size(); ++i) {
            const std::string name = "machine " + std::to_string(i + 1);
            if (restartAt[i] > 0) {
                if (rig::now() < restartAt[i])
                    continue;
                restartAt[i] = 0;
                machines[i]->start();
                continue;
            }
            const double held = machines[i]->memoryMb();
            highest[i] = std::max(highest[i], held);
            if (held <= memoryMb)
                continue;
            machines[i]->stop(SIGKILL); // As the platform does.
            ++ends[i];
            restartAt[i] = rig::now() + restartDelay;
            record.line(name + " exceeds its memory with " + std::to_string(held) + " MB of "
                        + std::to_string(memoryMb) + ", ended by the platform");
        }
        if (rig::now() - reportedAt > 1) {
            reportedAt = rig::now();
            record.line("sent " + std::to_string(sent) + ", run " + std::to_string(runs)
                        + ", served " + std::to_string(served) + "; machines hold "
                        + std::to_string(machines[0]->memoryMb()) + " and "
                        + std::to_string(machines[1]->memoryMb()) + " MB");
        }
    }
    stopping = true;
    for (std::thread &requester : requesters)
        requester.join();
    const bool isBroken = *std::min_element(ends.begin(), ends.end()) >= endsThatBreak;
    record.summary("sent " + std::to_string(sent) + ", served " + std::to_string(served)
                   + ", not served " + std::to_string(lost) + "; highest memory "
                   + std::to_string(*std::max_element(highest.begin(), highest.end())) + " of "
                   + std::to_string(memoryMb) + " MB; ends for memory " + std::to_string(ends[0])
                   + " and " + std::to_string(ends[1]));
    record.summary(isBroken ? "Fault: broken" : "Fault: held");
    machines.clear();
    std::_Exit(isBroken ? 1 : 0);
}
