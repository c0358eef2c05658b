// Two good rollouts of one service, one well after the other. Sessions have a stream in progress on
// the current version when the second order is written; when the stream ends, each sends its next
// request. Checks the rule PINNED from what the runners have received.

#include <atomic>
#include <cstdlib>
#include <iostream>

#include "review/cluster.hpp"

namespace {

using review::channel;
using review::milliseconds;

constexpr int sessions = 24;
constexpr int longEvents = 14;
constexpr milliseconds longGap{450};
/// The rule allows this many requests.
constexpr int allowed = 3;
constexpr double secondOrderSeconds = 24;

const std::string config = R"({"version": 7, "routes": [
 {"name": "r", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "service": "pool",
  "timeout-ms": 25000, "target-latency-ms": 1500, "target-gap-ms": 1000, "priority": 0,
  "max-attempts": 3, "public": false, "sticky": true, "resumable": true}],
 "services": [{"name": "pool", "health-path": "/health", "max-conns": 370, "protocol": "h1",
  "tls": false, "engine": {"slots": 64, "models": [{"name": "m", "cost": 0.1}]}}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
  "idle-timeout-ms": 15000},
 "tenants": [{"name": "t1", "api-keys": ["key-1"], "priority": 1}]})";

std::string requestText(const std::string &id, const std::string &session)
{
    return "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
        + "\r\nX-Model: m\r\nX-Token-Count: 300,60\r\nX-Prompt-Prefix: aa" + session
        + ":300\r\nX-Deadline-Ms: 25000\r\nX-Credential: key-1\r\nSession: " + session
        + "\r\nContent-Length: 2\r\n\r\nhi";
}

standins::instance_faults stream(int events, milliseconds gap)
{
    standins::instance_faults shape;
    shape.events = events;
    shape.eventInterval = gap;
    return shape;
}

std::string order(const std::string &target, double seconds)
{
    return R"({"service": "pool", "target": ")" + target + R"(", "duration-s": )"
        + std::to_string(static_cast<int>(seconds)) + "}";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    review::recorder record(argv[1]);
    review::cluster cluster(record);
    for (const char *version : {"v1", "v2"}) {
        for (const char *number : {"-a", "-b"})
            cluster.addInstance("pool", "i-" + std::string(version) + number, version);
        cluster.setFaults(version, stream(3, milliseconds(20)));
        if (std::string(version) == "v1")
            cluster.put("op/config", config);
    }
    const int portA = cluster.startRouter("front-a");
    const int portB = cluster.startRouter("front-b");
    if (portA == 0 || portB == 0)
        return 2;

    // Requests of many short sessions, all the time, as canary and ramp need them.
    std::atomic<bool> stopping{false};
    std::atomic<bool> paused{false};
    std::atomic<int> failed{0};
    std::vector<std::thread> background;
    for (int worker = 0; worker < 4; ++worker) {
        background.emplace_back([&, worker] {
            auto open = std::make_unique<channel>(worker % 2 == 0 ? portA : portB);
            for (int i = 0; !stopping; ++i) {
                std::this_thread::sleep_for(milliseconds(60));
                if (paused)
                    continue;
                if (!open->isOpen())
                    open = std::make_unique<channel>(worker % 2 == 0 ? portA : portB);
                const std::string id = "b" + std::to_string(worker) + "n" + std::to_string(i);
                failed += open->request(requestText(id, "s" + id)).status == 200 ? 0 : 1;
            }
        });
    }
    const auto finish = [&](int code) {
        stopping = true;
        for (std::thread &worker : background)
            worker.join();
        return code;
    };

    std::this_thread::sleep_for(milliseconds(1500));
    cluster.put("op/rollout/pool", order("v2", 16));
    bool completed = false;
    for (int i = 0; i < 450 && !completed; ++i) {
        std::this_thread::sleep_for(milliseconds(100));
        completed = cluster.value("status/rollout/pool").find("completed") != std::string::npos;
    }
    record.add("status/rollout/pool: " + cluster.value("status/rollout/pool"));
    if (!completed)
        return finish(2);
    cluster.stopInstance("i-v1-a");
    cluster.stopInstance("i-v1-b");
    // Longer than session-s: nobody's last request was on v1.
    std::this_thread::sleep_for(milliseconds(8000));

    paused = true;
    std::this_thread::sleep_for(milliseconds(200));
    cluster.setFaults("v2", stream(longEvents, longGap));
    std::vector<int> firstStatus(sessions);
    std::vector<int> secondStatus(sessions);
    std::vector<double> secondSent(sessions);
    std::vector<std::thread> clients;
    for (int i = 0; i < sessions; ++i) {
        clients.emplace_back([&, i] {
            const std::string session = "session" + std::to_string(i);
            channel open(portA);
            record.add("request 1-" + session + " is sent");
            firstStatus[i] = open.request(requestText("1-" + session, session)).status;
            record.add("request 1-" + session + " ended: " + std::to_string(firstStatus[i]));
            secondSent[i] = record.seconds();
            record.add("request 2-" + session + " is sent");
            secondStatus[i] = open.request(requestText("2-" + session, session)).status;
            record.add("request 2-" + session + " ended: " + std::to_string(secondStatus[i]));
        });
    }
    std::this_thread::sleep_for(milliseconds(500));
    cluster.setFaults("v2", stream(3, milliseconds(20)));
    paused = false;
    const double orderedAt = record.seconds();
    if (hasTrouble) {
        cluster.put("op/rollout/pool", order("v3", secondOrderSeconds));
        for (const char *number : {"-a", "-b"})
            cluster.addInstance("pool", "i-v3" + std::string(number), "v3");
        cluster.setFaults("v3", stream(3, milliseconds(20)));
    }
    for (std::thread &client : clients)
        client.join();
    finish(0);
    record.add("status/rollout/pool: " + cluster.value("status/rollout/pool"));

    const auto runs = cluster.runs();
    int moved = 0;
    int unusable = 0;
    for (int i = 0; i < sessions; ++i) {
        const std::string session = "session" + std::to_string(i);
        const auto versions = [&](const std::string &id) {
            std::string text;
            const auto range = runs.equal_range(id);
            for (auto run = range.first; run != range.second; ++run)
                text += (text.empty() ? "" : ",") + run->second;
            return text;
        };
        const std::string before = versions("1-" + session);
        const std::string after = versions("2-" + session);
        const bool isFirstHalf = secondSent[i] < orderedAt + secondOrderSeconds / 2;
        record.add(session + ": ran on " + before + ", then on " + after
                   + (isFirstHalf ? " in the first half of the rollout" : " later"));
        if (before != "v2" || firstStatus[i] != 200 || secondStatus[i] != 200 || !isFirstHalf)
            ++unusable;
        else if (after != "v2")
            ++moved;
    }
    const std::string result = std::to_string(moved) + " of " + std::to_string(sessions)
        + " sessions ran on another version than before, " + std::to_string(allowed)
        + " are allowed; " + std::to_string(unusable) + " could not be judged; "
        + std::to_string(failed) + " other requests failed";
    record.add(result);
    std::cout << result << '\n';
    if (moved > allowed)
        return 1;
    return unusable > sessions / 2 ? 2 : 0;
}
