// Case: a runner fails part of its requests after it has run them, with 503 and without
// X-Not-Executed. The router passes the 503 on, which promises the requester that the request has
// not run. Requesters repeat after a promise, so that the work is done twice.

#include "raw_runner.hpp"

namespace {

using namespace rig;

constexpr int runners = 8; // One of them is grey: a share of 0.125.
constexpr int failedPercent = 45;
constexpr int greySeconds = 6;
constexpr int workMs = 15;
constexpr int requests = 300;

int run(record &log)
{
    cluster system(log);
    run_log runs;
    std::atomic<int> count{0};
    std::atomic<long> greyUntil{0};
    const auto greyStatus = [&] {
        if (log.ms() >= greyUntil)
            return 200;
        const int number = count++;
        return number * failedPercent / 100 != (number + 1) * failedPercent / 100 ? 503 : 200;
    };
    system.put("op/config", manifest(1));
    std::vector<std::unique_ptr<raw_runner>> all;
    for (int i = 0; i < runners; ++i) {
        const std::string id = "i-" + std::to_string(i);
        all.push_back(std::make_unique<raw_runner>(
            id, runs, [](const std::string &) { return workMs; },
            [](const std::string &) { return std::string(800, 'x'); },
            i == 0 ? std::function<int()>(greyStatus) : [] { return 200; }));
        system.registerRunner(id, "app", "v1", "za", all.back()->port(), "ready");
    }
    router &host = system.addRouter("za");
    system.start(host);
    if (!system.awaitReady(host))
        return notRun;
    greyUntil = isTrouble() ? log.ms() + 1000 * greySeconds : 0;
    int served = 0;
    int refusedAndRun = 0;
    int refusedOnly = 0;
    int other = 0;
    int ordersRunTwice = 0;
    for (int order = 0; order < requests; ++order) {
        int runsOfOrder = 0;
        // A requester repeats an unsafe request once, after a promise, on a new channel.
        for (int attempt = 0; attempt < 2; ++attempt) {
            const std::string id = "order-" + std::to_string(order) + '-' + std::to_string(attempt);
            client own(host.ip, host.front);
            own.send(request("POST", "/once/dispatch", id, "X-Deadline-Ms: 4000\r\n", "body"));
            const response got = own.read(5000);
            const int begun = runs.begunOf(id);
            runsOfOrder += begun;
            const bool promised
                = got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421;
            if (got.status == 200)
                ++served;
            else if (promised && begun > 0)
                ++refusedAndRun;
            else if (promised)
                ++refusedOnly;
            else
                ++other;
            if (got.status != 200)
                log("%s: status %d, seal '%s'; begun %d times, ended %d times", id.c_str(),
                    got.status, got.field("X-Response-Seal").c_str(), begun, runs.endedOf(id));
            if (!promised)
                break;
            pause(20);
        }
        if (runsOfOrder > 1) {
            ++ordersRunTwice;
            log("order-%d has been run %d times in two attempts", order, runsOfOrder);
        }
    }
    log("%d served, %d refused with a promise although they had run, %d refused and not run, %d "
        "answered otherwise; %d orders were run twice",
        served, refusedAndRun, refusedOnly, other, ordersRunTwice);
    if (served == 0)
        return notRun;
    return refusedAndRun > 0 ? broken : held;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return rig::notRun;
    try {
        rig::record log(argv[1]);
        log("failed runs, TROUBLE=%d", rig::isTrouble() ? 1 : 0);
        const int result = run(log);
        log("result %d", result);
        return result;
    } catch (const std::exception &error) {
        fprintf(stderr, "%s\n", error.what());
        return rig::notRun;
    }
}
