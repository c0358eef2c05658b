// The entry host's daemon. Reads the settings, runs one node and one HTTP server, and drains on
// SIGTERM or SIGINT.

#include <csignal>
#include <iostream>
#include <memory>
#include <thread>

#include <boost/program_options.hpp>

#include "goldcrestdeck/etcd_store.h"
#include "goldcrestdeck/http_frontend.h"
#include "goldcrestdeck/log.h"
#include "goldcrestdeck/settings.h"

namespace goldcrestdeck {
namespace {

namespace options = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitFailure = 1;
constexpr std::chrono::milliseconds drainPollInterval{20};
constexpr std::chrono::milliseconds idleConnectionTimeout{1000};
constexpr std::chrono::milliseconds accountingTimeout{10'000};

/// Blocks SIGTERM and SIGINT in this thread and all threads started later, so that serve() can wait
/// for them with sigwait; a second signal has no effect. Ignores SIGPIPE.
sigset_t blockTerminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void drain(http_frontend &http, http_server &listener, node &host, const settings &configuration)
{
    logEvent(log_level::info, "stopping");
    http.beginDraining();
    // Until the load balancer has seen the failing readiness check it sends new requests, which are
    // served.
    std::this_thread::sleep_for(configuration.balancerLag);
    host.announceLeaving();
    listener.stopAccepting();
    // An open connection may be idle, or its next request may still be arriving, so connections
    // without a request in progress are waited for only up to idleConnectionTimeout.
    const time_point idleUntil = host.time().now() + idleConnectionTimeout;
    while (http.requestsInProgress() > 0
           || (listener.openConnections() > 0 && host.time().now() < idleUntil))
        std::this_thread::sleep_for(drainPollInterval);
    const bool settled = host.waitForAccounting(accountingTimeout);
    logEvent(settled ? log_level::info : log_level::error,
             settled ? "accounts_settled" : "accounts_not_settled");
}

int serve(const settings &configuration)
{
    sigset_t signals = blockTerminationSignals();
    initLog(configuration.name, log_level::info);
    const system_clock time;
    metrics counters;
    span_recorder spans(configuration.name, configuration.traceFile);
    const auto client = std::make_shared<http_client>();
    node host(configuration, time,
              etcdStore(client, configuration.keyValueUrl, configuration.keyValueTimeout), client,
              counters);
    handler_dependencies parts{configuration, host, client, spans, counters};
    http_frontend http(parts);
    const auto endpoint = parseEndpoint(configuration.httpAddress);
    server_options server;
    server.address = endpoint.address().to_string();
    server.port = endpoint.port();
    server.maxBodyBytes = configuration.maxBodyBytes;
    server.maxConnections = static_cast<unsigned>(2 * configuration.maxRequestsInProgress);
    {
        http_server listener(server,
                             [&](const server_request &request) { return http.handle(request); });
        logEvent(log_level::info, "started", {{"http", configuration.httpAddress}});
        int signal = 0;
        sigwait(&signals, &signal);
        drain(http, listener, host, configuration);
    }
    logEvent(log_level::info, "stopped");
    return 0;
}

int run(int argc, char **argv)
{
    options::options_description visible("goldcrestd [--check] SETTINGS.ini");
    visible.add_options()("help", "show this text")("check", "only check the settings");
    options::options_description all;
    all.add(visible).add_options()("settings", options::value<std::string>());
    options::positional_options_description positions;
    positions.add("settings", 1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positions).run(),
            values);
    } catch (const options::error &error) {
        std::cerr << "goldcrestd: " << error.what() << '\n' << visible;
        return exitUsage;
    }
    if (values.count("help") > 0) {
        std::cout << visible;
        return 0;
    }
    if (values.count("settings") == 0) {
        std::cerr << visible;
        return exitUsage;
    }
    const std::string path = values["settings"].as<std::string>();
    try {
        const settings configuration = loadSettings(path);
        if (values.count("check") > 0) {
            std::cout << path << ": ok\n";
            return 0;
        }
        return serve(configuration);
    } catch (const settings_error &error) {
        std::cerr << "goldcrestd: " << error.what() << '\n';
        return exitSettings;
    } catch (const std::exception &error) {
        std::cerr << "goldcrestd: " << error.what() << '\n';
        return exitFailure;
    }
}

} // namespace
} // namespace goldcrestdeck

int main(int argc, char **argv)
{
    return goldcrestdeck::run(argc, argv);
}
