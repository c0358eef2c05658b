// Runs the real processes on loopback and measures the latency a host adds to a lookup, the memory
// per stream, and the control-plane cost as the number of hosts grows.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

#include "goldcrestdeck/testing/process_cluster.h"
#include "measure/figures.h"

namespace measure {

using namespace goldcrestdeck;

namespace {

constexpr int lookupCount = 3000;
constexpr int warmUpLookups = 200;
constexpr std::size_t streamCount = 550;
constexpr int idleSeconds = 8; ///< Duration of a measurement without load.

using steady = std::chrono::steady_clock;

double secondsSince(steady::time_point begin)
{
    return std::chrono::duration<double>(steady::now() - begin).count();
}

/// CPU time of a process, user and system, in seconds.
double cpuSeconds(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMegabytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double pages = 0;
    file >> pages >> pages;
    return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double metricOf(process_cluster &cluster, std::size_t host, const std::string &name)
{
    http_request request;
    request.url = cluster.url(host) + "/metrics";
    std::istringstream lines(cluster.send(request).body);
    std::string line;
    while (std::getline(lines, line))
        if (line.rfind(name + " ", 0) == 0)
            return std::stod(line.substr(name.size() + 1));
    return 0;
}

const std::vector<upstream_config> upstreams = {{"engine-a", "north-a", {"husk@1"}, 0.9, false},
                                                {"service", "north-a", {"status@1"}, 0.9, true}};
const std::vector<std::string> rows
    = {"mill,husk@1,100,completion", "mill,status@1,100,idempotent"};

/// Applies the table and waits until every host serves requests. \returns false if one does not in
/// time.
bool startServing(process_cluster &cluster)
{
    return cluster.waitAllReady() && cluster.applyTable(0, rows).status == "accepted"
        && eventually([&] {
               for (std::size_t host = 0; host < cluster.hostCount(); ++host)
                   if (cluster.service(host, "mill", "status/get", "").status != 200)
                       return false;
               return true;
           });
}

http_request lookupRequest(const std::string &url)
{
    http_request request;
    request.method = "POST";
    request.url = url;
    request.headers = {{"Authorization", "Bearer key-mill"}};
    request.body = "{\"ticket\":17}";
    return request;
}

/// \returns the time to the complete response in milliseconds.
double sendTimed(http_client &client, const http_request &request)
{
    const auto begin = steady::now();
    client.send(request);
    return secondsSince(begin) * 1000;
}

void measureLookups(process_cluster &cluster, report &out)
{
    http_client client;
    const http_request direct = lookupRequest(cluster.standinUrl("service") + "/v1/call/get");
    const http_request routed = lookupRequest(cluster.url(0) + "/v1/services/status/get");
    std::vector<double> directMs;
    std::vector<double> routedMs;
    for (int i = 0; i < warmUpLookups + lookupCount; ++i) {
        const double directTime = sendTimed(client, direct);
        const double routedTime = sendTimed(client, routed);
        if (i < warmUpLookups)
            continue;
        directMs.push_back(directTime);
        routedMs.push_back(routedTime);
    }
    const double p50 = percentile(routedMs, 0.5) - percentile(directMs, 0.5);
    const double p95 = percentile(routedMs, 0.95) - percentile(directMs, 0.95);
    out.add("lookup_direct_p50", {percentile(directMs, 0.5)}, "ms");
    out.add("lookup_direct_p95", {percentile(directMs, 0.95)}, "ms");
    out.add("lookup_added_p50", {p50}, "ms");
    out.addAtMost("lookup_added_p95", {p95}, "ms", 1.0);
    out.add("lookup_ratio_p95", {percentile(routedMs, 0.95) / percentile(directMs, 0.95)}, "ratio");
}

void measureThroughput(process_cluster &cluster, report &out)
{
    constexpr int clientCount = 16;
    constexpr double seconds = 4;
    std::atomic<int> answered{0};
    std::atomic<bool> stop{false};
    const pid_t pid = cluster.host(0).id();
    const double cpuBefore = cpuSeconds(pid);
    const auto begin = steady::now();
    std::vector<std::thread> threads;
    threads.reserve(clientCount);
    for (int c = 0; c < clientCount; ++c)
        threads.emplace_back([&] {
            http_client client;
            const http_request request = lookupRequest(cluster.url(0) + "/v1/services/status/get");
            while (!stop)
                answered += client.send(request).status == 200 ? 1 : 0;
        });
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    stop = true;
    for (std::thread &thread : threads)
        thread.join();
    const double cpuUsed = cpuSeconds(pid) - cpuBefore;
    out.add("lookups_a_second", {answered / secondsSince(begin)}, "requests/s");
    out.add("lookups_a_core", {answered / cpuUsed}, "requests/s a core");
}

void measureStreams(process_cluster &cluster, report &out)
{
    const pid_t pid = cluster.host(0).id();
    const double before = residentMegabytes(pid);
    std::string words;
    for (int i = 0; i < 4000; ++i)
        words += "w ";
    http_request request;
    request.method = "POST";
    request.url = cluster.url(0) + "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer key-mill"}};
    request.body = R"({"model":"auto","stream":true,"messages":[{"content":")" + words + "\"}]}";
    std::vector<std::unique_ptr<http_client>> clients;
    std::vector<std::unique_ptr<http_stream>> streams;
    std::size_t opened = 0;
    for (std::size_t i = 0; i < streamCount; ++i) {
        clients.push_back(std::make_unique<http_client>());
        streams.push_back(clients.back()->open(request));
        std::string bytes;
        try {
            opened += streams.back()->read(bytes) ? 1 : 0;
        } catch (const http_error &error) {
            std::cerr << "stream " << i << ": " << error.what() << '\n';
        }
    }
    const double grownMegabytes = residentMegabytes(pid) - before;
    out.addAtLeast("streams_open", {static_cast<double>(opened)}, "streams", streamCount);
    out.add("stream_memory", {grownMegabytes * 1e6 / static_cast<double>(streamCount)},
            "bytes a stream");
    out.add("host_memory_with_streams", {residentMegabytes(pid)}, "MB");
}

/// Slope of the least-squares line through the points.
double slopeOf(const std::vector<double> &x, const std::vector<double> &y)
{
    double meanX = 0;
    double meanY = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        meanX += x[i] / static_cast<double>(x.size());
        meanY += y[i] / static_cast<double>(x.size());
    }
    double numerator = 0;
    double denominator = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        numerator += (x[i] - meanX) * (y[i] - meanY);
        denominator += (x[i] - meanX) * (x[i] - meanX);
    }
    return numerator / denominator;
}

struct control_plane_cost {
    double bytesPerSecond = 0;    ///< Mean of the hosts, sent and received.
    double maxBytesPerSecond = 0; ///< Of the host with the most traffic.
    double cpuPercent = 0;        ///< Mean of the hosts, in percent of a core.
    double megabytes = 0;         ///< Mean of the hosts, resident memory.
    double storeCalls = 0;        ///< Per second, over all hosts, without load.
    double storeCallsLoaded = 0;  ///< The same under about ten lookups per second and host.
    double acceptSeconds = 0;     ///< Until an edit is accepted; 0: it was not.
};

/// Key-value service calls per second while each host serves about ten lookups per second.
double measureLoadedStoreCalls(process_cluster &cluster)
{
    const auto callsBefore = static_cast<double>(cluster.storeCalls());
    const auto begin = steady::now();
    std::vector<std::thread> clients;
    clients.reserve(cluster.hostCount());
    for (std::size_t host = 0; host < cluster.hostCount(); ++host)
        clients.emplace_back([&cluster, host] {
            for (int i = 0; i < 50; ++i) {
                cluster.service(host, "mill", "status/get", "");
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            }
        });
    for (std::thread &client : clients)
        client.join();
    return (static_cast<double>(cluster.storeCalls()) - callsBefore) / secondsSince(begin);
}

control_plane_cost measureControlPlaneCost(std::size_t hosts)
{
    process_cluster cluster(hosts, upstreams);
    if (!startServing(cluster))
        std::cerr << hosts << " hosts did not become ready\n";
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const auto meanOver = [&](const auto &value) {
        double sum = 0;
        for (std::size_t host = 0; host < hosts; ++host)
            sum += value(host);
        return sum / static_cast<double>(hosts);
    };
    const auto peerBytes
        = [&](std::size_t host) { return metricOf(cluster, host, "goldcrestdeck_peer_bytes"); };
    const auto cpuTime = [&](std::size_t host) { return cpuSeconds(cluster.host(host).id()); };
    std::vector<double> bytesBefore;
    for (std::size_t host = 0; host < hosts; ++host)
        bytesBefore.push_back(peerBytes(host));
    const double cpuBefore = meanOver(cpuTime);
    const auto callsBefore = static_cast<double>(cluster.storeCalls());
    const auto begin = steady::now();
    std::this_thread::sleep_for(std::chrono::seconds(idleSeconds));
    const double seconds = secondsSince(begin);
    control_plane_cost cost;
    cost.storeCalls = (static_cast<double>(cluster.storeCalls()) - callsBefore) / seconds;
    cost.cpuPercent = (meanOver(cpuTime) - cpuBefore) / seconds * 100;
    cost.bytesPerSecond = meanOver([&](std::size_t host) {
        const double rate = (peerBytes(host) - bytesBefore[host]) / seconds;
        cost.maxBytesPerSecond = std::max(cost.maxBytesPerSecond, rate);
        return rate;
    });
    cost.megabytes
        = meanOver([&](std::size_t host) { return residentMegabytes(cluster.host(host).id()); });
    cost.storeCallsLoaded = measureLoadedStoreCalls(cluster);
    const auto editBegin = steady::now();
    if (cluster.setRowState(0, "mill", "husk@1", "withdrawn").status == "accepted")
        cost.acceptSeconds = secondsSince(editBegin);
    return cost;
}

} // namespace

void measureRequestPath(report &out)
{
    process_cluster cluster(3, upstreams, 100);
    if (!startServing(cluster)) {
        std::cerr << "the hosts did not become ready\n";
        return;
    }
    measureLookups(cluster, out);
    measureThroughput(cluster, out);
    measureStreams(cluster, out);
}

void measureControlPlane(report &out)
{
    std::vector<double> counts;
    std::vector<double> bytes;
    std::vector<double> processor;
    std::vector<double> memory;
    std::vector<double> calls;
    for (std::size_t hosts : {3, 6, 12, 24, 48}) {
        const control_plane_cost cost = measureControlPlaneCost(hosts);
        const std::string suffix = "_" + std::to_string(hosts) + "_hosts";
        out.addAtMost("control_bytes" + suffix, {cost.bytesPerSecond}, "bytes/s a host", 21'000);
        out.addAtMost("control_bytes_most" + suffix, {cost.maxBytesPerSecond}, "bytes/s", 21'000);
        out.addAtMost("control_cpu" + suffix, {cost.cpuPercent}, "percent of a core", 2.9);
        out.addAtMost("control_memory" + suffix, {cost.megabytes}, "MB a host", 256);
        out.add("kv_calls" + suffix, {cost.storeCalls}, "calls/s");
        out.add("kv_calls_loaded" + suffix, {cost.storeCallsLoaded}, "calls/s");
        out.addAtMost("accept_seconds" + suffix, {cost.acceptSeconds}, "s", 5);
        counts.push_back(static_cast<double>(hosts));
        bytes.push_back(cost.bytesPerSecond);
        processor.push_back(cost.cpuPercent);
        memory.push_back(cost.megabytes);
        calls.push_back(cost.storeCalls);
    }
    out.add("control_bytes_slope", {slopeOf(counts, bytes)}, "bytes/s a host, for each host");
    out.add("control_cpu_slope", {slopeOf(counts, processor)}, "percent, for each host");
    out.add("control_memory_slope", {slopeOf(counts, memory)}, "MB, for each host");
    out.add("kv_calls_slope", {slopeOf(counts, calls)}, "calls/s for each host");
}

} // namespace measure
