// Case: the operator raises grace-s in the settings and sends SIGHUP. A later SIGTERM still ends
// the process after the old time, and cuts requests that a runner is working on.

#include "raw_runner.hpp"

namespace {

using namespace rig;

constexpr int graceBefore = 8;
constexpr int graceAfter = 20;
constexpr int workMs = 9000;
constexpr int channels = 4;

void setGrace(cluster &system, router &host, int seconds)
{
    host.graceSeconds = seconds;
    system.writeSettings(host);
}

int run(record &log)
{
    cluster system(log);
    run_log runs;
    const auto body = [](const std::string &) { return std::string(800, 'x'); };
    raw_runner first(
        "i-a", runs, [](const std::string &) { return workMs; }, body);
    raw_runner second(
        "i-b", runs, [](const std::string &) { return workMs; }, body);
    system.put("op/config", manifest(1));
    system.registerRunner("i-a", "app", "v1", "za", first.port(), "ready");
    system.registerRunner("i-b", "app", "v1", "za", second.port(), "ready");
    // A second machine, so that the signals meet half of them.
    router &host = system.addRouter("za");
    router &other = system.addRouter("zb");
    setGrace(system, host, isTrouble() ? graceBefore : graceAfter);
    setGrace(system, other, isTrouble() ? graceBefore : graceAfter);
    system.start(host);
    system.start(other);
    if (!system.awaitReady(host) || !system.awaitReady(other))
        return notRun;
    if (isTrouble()) {
        setGrace(system, host, graceAfter);
        log("settings: grace-s %d instead of %d", graceAfter, graceBefore);
        system.signal(host, SIGHUP);
    }
    pause(6000); // Longer than config-apply-ms and contact-ms together.

    system.signal(host, SIGTERM);
    const long stoppedAt = log.ms();
    std::atomic<int> whole{0};
    std::atomic<int> refused{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    for (int channel = 0; channel < channels; ++channel) {
        threads.emplace_back([&, channel] {
            pause(500);
            const std::string id = "once-" + std::to_string(channel);
            client own(host.ip, host.front);
            if (!own.isOpen() || !own.send(request("POST", "/once/a", id, "", "body"))) {
                log("%s: no channel", id.c_str());
                return;
            }
            const long sentAt = log.ms();
            log("%s: sent %ld ms after SIGTERM", id.c_str(), sentAt - stoppedAt);
            const response got = own.read(25000);
            log("%s: status %d, %s, %ld ms after SIGTERM; begun %d times, ended %d times",
                id.c_str(), got.status,
                got.whole ? "whole" : "the channel ended without a complete answer",
                log.ms() - stoppedAt, runs.begunOf(id), runs.endedOf(id));
            if (got.whole)
                ++(got.status == 200 ? whole : refused);
            else if (runs.begunOf(id) > 0)
                ++lost;
        });
    }
    const int exitCode
        = system.awaitExit(host, graceAfter * 1000 - static_cast<int>(log.ms() - stoppedAt));
    if (exitCode == -1000) {
        log("grace-s is over: SIGKILL");
        system.kill(host, SIGKILL);
    }
    log("the process ended %ld ms after SIGTERM; grace-s %d", log.ms() - stoppedAt, graceAfter);
    for (std::thread &each : threads)
        each.join();
    log("%d served, %d answered otherwise, %d passed on to a sound runner and cut", whole.load(),
        refused.load(), lost.load());
    if (whole + refused + lost < channels)
        return notRun;
    return lost > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return rig::notRun;
    try {
        rig::record log(argv[1]);
        log("longer grace, TROUBLE=%d", rig::isTrouble() ? 1 : 0);
        const int result = run(log);
        log("result %d", result);
        return result;
    } catch (const std::exception &error) {
        fprintf(stderr, "%s\n", error.what());
        return rig::notRun;
    }
}
