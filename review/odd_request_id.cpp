// One runner crashes while it holds a request whose X-Request-Id has a byte that is no UTF-8. Eight
// requesters send unsafe requests to sound runners of another service on kept channels meanwhile.
// Checks the rule LOST: requests that a sound runner has run and whose channel ended without an
// answer.

#include <atomic>
#include <cstdlib>
#include <iostream>

#include "review/cluster.hpp"

namespace {

using review::channel;
using review::milliseconds;

constexpr int requesters = 8;
/// The rule allows this many requests.
constexpr int allowed = 3;
/// A name in ISO 8859-1, as a requester with that character set would send it.
const std::string oddId = "M\xfcller-7f3a91c2";

const std::string config = R"({"version": 7, "routes": [
 {"name": "chat", "host": "a.example", "prefix": "/chat/", "kind": "streaming", "service": "pool",
  "timeout-ms": 25000, "target-latency-ms": 1500, "target-gap-ms": 1000, "priority": 0,
  "max-attempts": 3, "public": false, "sticky": true, "resumable": true},
 {"name": "sign", "host": "a.example", "prefix": "/sign/", "kind": "unsafe", "service": "app",
  "timeout-ms": 2000, "target-latency-ms": 300, "priority": 2, "max-attempts": 1,
  "public": false}],
 "services": [{"name": "pool", "health-path": "/health", "max-conns": 370, "protocol": "h1",
  "tls": false, "engine": {"slots": 64, "models": [{"name": "m", "cost": 0.1}]}},
  {"name": "app", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false}],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
  "idle-timeout-ms": 15000},
 "tenants": [{"name": "t1", "api-keys": ["key-1"], "priority": 1}]})";

std::string chatText()
{
    return "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + oddId
        + "\r\nX-Model: m\r\nX-Token-Count: 300,60\r\nX-Prompt-Prefix: aa01:300\r\n"
          "X-Deadline-Ms: 25000\r\nX-Credential: key-1\r\nContent-Length: 2\r\n\r\nhi";
}

std::string signText(const std::string &id)
{
    return "POST /sign/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: 4000\r\nX-Credential: key-1\r\nContent-Length: 4\r\n\r\nsign";
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
    cluster.put("op/config", config);
    for (int i = 1; i <= 9; ++i)
        cluster.addInstance("pool", "i-pool" + std::to_string(i), "v1");
    for (int i = 1; i <= 3; ++i)
        cluster.addInstance("app", "i-app" + std::to_string(i), "w1");
    standins::instance_faults sound;
    sound.events = 5;
    sound.eventInterval = milliseconds(20);
    // The time to the first event.
    sound.delay = milliseconds(900);
    standins::instance_faults work;
    work.delay = milliseconds(300);
    cluster.setFaults("w1", work);
    const int port = cluster.startRouter("front-a");
    if (port == 0)
        return 2;

    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<std::string> unanswered;
    std::atomic<int> answered{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < requesters; ++i) {
        clients.emplace_back([&, i] {
            channel kept(port);
            for (int number = 0; !stopping && kept.isOpen(); ++number) {
                const std::string id = "sign" + std::to_string(i) + "n" + std::to_string(number);
                record.add("request " + id + " is sent");
                const int status = kept.request(signText(id)).status;
                record.add("request " + id + " ended: "
                           + (status == 0 ? "channel closed, no answer" : std::to_string(status)));
                if (status != 0) {
                    ++answered;
                    continue;
                }
                const std::lock_guard<std::mutex> lock(mutex);
                // The first request of a channel doesn't come from a kept one.
                if (number > 0)
                    unanswered.push_back(id);
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(1500));

    // The runner that gets the request crashes before its first event; the others are sound.
    standins::instance_faults crash = sound;
    crash.crashText = "hi";
    cluster.setFaults("v1", hasTrouble ? crash : sound);
    int chatStatus = 0;
    std::thread chat([&] {
        channel open(port);
        record.add("the request with the odd id is sent");
        chatStatus = open.request(chatText()).status;
        record.add("the request with the odd id ended: " + std::to_string(chatStatus));
    });
    std::this_thread::sleep_for(milliseconds(400));
    cluster.setFaults("v1", sound);
    std::this_thread::sleep_for(milliseconds(4000));
    stopping = true;
    for (std::thread &client : clients)
        client.join();
    chat.join();

    const auto runs = cluster.runs();
    int lost = 0;
    for (const std::string &id : unanswered) {
        const bool hasRun = runs.count(id) > 0;
        record.add("request " + id + ": no answer; " + (hasRun ? "ran at" : "didn't reach")
                   + " a sound runner");
        lost += hasRun ? 1 : 0;
    }
    for (const std::string &line : cluster.logLines("front-a", "terminate"))
        record.add("the router's output: " + line);
    for (const std::string &line : cluster.logLines("front-a", "what()"))
        record.add("the router's output: " + line);
    record.add(std::string("the router is ")
               + (cluster.hasEnded("front-a") ? "no longer running" : "running"));
    const std::string result = std::to_string(lost)
        + " requests from kept channels ran at a sound runner and got no answer, "
        + std::to_string(allowed) + " are allowed; " + std::to_string(answered)
        + " were answered; the request with the odd id: "
        + (chatStatus == 0 ? "no answer" : std::to_string(chatStatus));
    record.add(result);
    std::cout << result << '\n';
    if (lost > allowed)
        return 1;
    return answered < requesters || runs.count(oddId) == 0 ? 2 : 0;
}
