// Case: a requester that stops reading for some seconds, well within idle-timeout-ms, loses the
// rest of its answer: the router's socket gives up when the requester's window has been closed for
// 3 s (TCP_USER_TIMEOUT).

#include "raw_runner.hpp"

namespace {

using namespace rig;

constexpr int channels = 8;
constexpr int pauseMs = 6000; // idle-timeout-ms of the manifest is 15,000.
constexpr std::size_t answerBytes = 200000;
constexpr int receiveBuffer = 16384;
constexpr int workMs = 60;

int run(record &log)
{
    cluster system(log);
    run_log runs;
    const auto body = [](const std::string &path) {
        return std::string(path == "/once/large" ? answerBytes : 800, 'x');
    };
    raw_runner first(
        "i-a", runs, [](const std::string &) { return workMs; }, body);
    raw_runner second(
        "i-b", runs, [](const std::string &) { return workMs; }, body);
    system.put("op/config", manifest(1));
    system.registerRunner("i-a", "app", "v1", "za", first.port(), "ready");
    system.registerRunner("i-b", "app", "v1", "za", second.port(), "ready");
    // A second machine, so that the SIGHUP meets half of them.
    router &host = system.addRouter("za");
    router &other = system.addRouter("zb");
    system.start(host);
    system.start(other);
    if (!system.awaitReady(host) || !system.awaitReady(other))
        return notRun;
    pause(3500); // Until the machine is in touch.
    // Planned work: the settings file is unchanged.
    system.signal(host, SIGHUP);
    pause(300);

    const int firstPause = isTrouble() ? pauseMs : 0;
    std::atomic<int> whole{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    for (int channel = 0; channel < channels; ++channel) {
        threads.emplace_back([&, channel] {
            client kept(host.ip, host.front, receiveBuffer);
            const std::string name = "c" + std::to_string(channel);
            if (!kept.send(request("POST", "/once/small", name + "-small", "", "body"))
                || kept.read(5000).status != 200) {
                log("%s: the first request of the channel was not served", name.c_str());
                return;
            }
            const std::string id = name + "-large";
            const long sentAt = log.ms();
            if (!kept.send(request("POST", "/once/large", id, "", "body")))
                return;
            log("%s: sent, reads after %d ms", id.c_str(), firstPause);
            pause(firstPause);
            const response got = kept.read(20000);
            log("%s: status %d, %zu of %zu bytes, %s, after %ld ms; begun %d times, ended %d times",
                id.c_str(), got.status, got.body.size(), answerBytes,
                got.whole ? "whole" : "channel ended before the end", log.ms() - sentAt,
                runs.begunOf(id), runs.endedOf(id));
            if (got.whole)
                ++whole;
            else if (runs.endedOf(id) > 0)
                ++lost;
        });
    }
    for (std::thread &each : threads)
        each.join();
    log("%d answers whole, %d lost on kept channels although a runner had run the request",
        whole.load(), lost.load());
    if (whole + lost < channels)
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
        log("slow reader, TROUBLE=%d", rig::isTrouble() ? 1 : 0);
        const int result = run(log);
        log("result %d", result);
        return result;
    } catch (const std::exception &error) {
        fprintf(stderr, "%s\n", error.what());
        return rig::notRun;
    }
}
