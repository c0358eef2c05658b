// Case: the memory of a process grows with the number of parts of the prompts of the last 20 s.
// Requesters send prompts of very many short parts, within max-header-bytes. The script acts as the
// platform: it kills a process that exceeds memory-mb. Ordinary requesters on kept channels lose
// the answers to requests that have been passed on.

#include <random>

#include "raw_runner.hpp"

namespace {

using namespace rig;

constexpr int memoryMb = 260; // limits.memory-mb of the small sites.
constexpr int heavyPerSecond = 30;
constexpr int heavyChannels = 5;
constexpr int manyParts = 3200; // Some 16,000 of the max-header-bytes 16,384.
constexpr int fewParts = 3;
constexpr int ordinaryChannels = 8;
constexpr int workMs = 150; // Within the work of the sites' requests (60 ms, tail x 5).
constexpr int seconds = 40;

long residentKb(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return atol(line.c_str() + 6);
    }
    return 0;
}

std::string prompt(std::mt19937 &random, int parts)
{
    std::string text;
    for (int i = 0; i < parts; ++i) {
        char part[32];
        snprintf(part, sizeof part, "%s%02x:1", i > 0 ? "," : "",
                 static_cast<unsigned>(random() & 0xff));
        text += part;
    }
    return text;
}

int run(record &log)
{
    cluster system(log);
    run_log runs;
    raw_runner first(
        "i-a", runs, [](const std::string &) { return workMs; },
        [](const std::string &) { return std::string(800, 'x'); });
    raw_runner second(
        "i-b", runs, [](const std::string &) { return workMs; },
        [](const std::string &) { return std::string(800, 'x'); });
    raw_runner model(
        "i-m", runs, [](const std::string &) { return 20; },
        [](const std::string &) { return std::string(800, 'x'); });
    system.put("op/config",
               manifest(1,
                        R"(,{"name":"r-text","host":"a.example","prefix":"/text/",)"
                        R"("kind":"safe","timeout-ms":25000,"target-latency-ms":3000,)"
                        R"("priority":2,"service":"llm","max-attempts":3,"public":false,)"
                        R"("sticky":true})"));
    system.registerRunner("i-a", "app", "v1", "za", first.port(), "ready");
    system.registerRunner("i-b", "app", "v1", "za", second.port(), "ready");
    system.registerRunner("i-m", "llm", "v1", "za", model.port(), "ready");
    router &host = system.addRouter("za");
    system.start(host);
    if (!system.awaitReady(host))
        return notRun;

    const int parts = isTrouble() ? manyParts : fewParts;
    std::atomic<bool> stopped{false};
    std::atomic<int> heavyServed{0};
    std::atomic<int> heavyOther{0};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::atomic<int> otherwise{0};
    std::vector<std::thread> threads;
    for (int channel = 0; channel < heavyChannels; ++channel) {
        threads.emplace_back([&, channel] {
            std::mt19937 random(static_cast<unsigned>(channel));
            client kept(host.ip, host.front);
            auto next = std::chrono::steady_clock::now();
            for (int n = 0; !stopped; ++n) {
                const std::string id = "text-" + std::to_string(channel) + '-' + std::to_string(n);
                const std::string fields = "X-Model: m0\r\nX-Token-Count: " + std::to_string(parts)
                    + ",10\r\nX-Prompt-Prefix: " + prompt(random, parts) + "\r\n";
                if (!kept.send(request("GET", "/text/a", id, fields)))
                    return;
                const response got = kept.read(25000);
                ++(got.status == 200 ? heavyServed : heavyOther);
                if (!got.whole)
                    return;
                next += milliseconds(1000 * heavyChannels / heavyPerSecond);
                std::this_thread::sleep_until(next);
            }
        });
    }
    for (int channel = 0; channel < ordinaryChannels; ++channel) {
        threads.emplace_back([&, channel] {
            client kept(host.ip, host.front);
            for (int n = 0; !stopped; ++n) {
                const std::string id = "once-" + std::to_string(channel) + '-' + std::to_string(n);
                if (!kept.send(request("POST", "/once/a", id, "", "body")))
                    return;
                const response got = kept.read(25000);
                if (got.whole) {
                    ++(got.status == 200 ? served : otherwise);
                    continue;
                }
                const bool passedOn = runs.begunOf(id) > 0;
                log("%s: channel ended without an answer; request %d on its channel, passed on: %s",
                    id.c_str(), n + 1, passedOn ? "yes" : "no");
                if (passedOn && n > 0)
                    ++lost;
                return;
            }
        });
    }
    long most = 0;
    bool killed = false;
    for (int i = 0; i < 10 * seconds && !killed; ++i) {
        pause(100);
        const long kb = residentKb(host.pid);
        most = std::max(most, kb);
        if (i % 20 == 0)
            log("memory of %s: %ld kB; prompts of %d parts served %d", host.name.c_str(), kb, parts,
                heavyServed.load());
        if (kb > memoryMb * 1024L) {
            log("%s has %ld kB, over memory-mb %d: killed, as the platform does", host.name.c_str(),
                kb, memoryMb);
            system.kill(host, SIGKILL);
            killed = true;
        }
    }
    const bool ended = !killed && !system.isAlive(host);
    if (ended)
        log("%s has ended by itself", host.name.c_str());
    stopped = true;
    for (std::thread &each : threads)
        each.join();
    log("most memory %ld kB; long prompts: %d served, %d otherwise; ordinary requests: %d served, "
        "%d otherwise, %d passed on from a kept channel that ended without an answer",
        most, heavyServed.load(), heavyOther.load(), served.load(), otherwise.load(), lost.load());
    if (served == 0 || heavyServed == 0)
        return notRun;
    return lost > 3 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return rig::notRun;
    try {
        rig::record log(argv[1]);
        log("long prompts, TROUBLE=%d", rig::isTrouble() ? 1 : 0);
        const int result = run(log);
        log("result %d", result);
        return result;
    } catch (const std::exception &error) {
        fprintf(stderr, "%s\n", error.what());
        return rig::notRun;
    }
}
