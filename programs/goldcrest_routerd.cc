// The router daemon. Reads the platform's settings, runs one event loop for control and one for
// traffic, each on its own thread, reloads the settings on SIGHUP and drains on SIGTERM or SIGINT.

#include <csignal>
#include <iostream>
#include <thread>

#ifdef __GLIBC__
#include <malloc.h>
#endif
#include <sys/stat.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/event_loop.h"
#include "goldcrestdeck/forwarder.h"
#include "goldcrestdeck/log.h"
#include "goldcrestdeck/store_follower.h"
#include "platform/headers.h"
#include "platform/kv_binding.h"
#include "platform/records.h"
#include "platform/settings.h"

namespace goldcrestdeck {
namespace {

namespace options = boost::program_options;
namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr const char *version = "goldcrest_routerd 0.2";
/// Path on the metrics address that serves this host's view of the configuration, instances,
/// roll-outs and hosts, as JSON for goldcrestctl.
constexpr const char *statePath = "/belief";

/// Interval at which the settings file is checked for changes made without a SIGHUP.
constexpr std::chrono::milliseconds settingsPollInterval{2000};
constexpr std::chrono::milliseconds drainPollInterval{100};
/// Margin between the end of draining and the SIGKILL at the end of the stop timeout.
constexpr std::chrono::milliseconds stopMargin{400};
constexpr std::chrono::milliseconds gaugeUpdateInterval{2000};
/// Slowness from which an instance counts as slow in the metrics.
constexpr double slowInstanceRatio = 2;
/// Size of the header fields that a host adds to a request that it hands over, with room to spare.
constexpr std::size_t maxHandoverFieldBytes = 2048;

/// Allocations from this size on are returned to the system when they are freed. Without a fixed
/// value the C library raises it to the largest size freed so far, and bodies fragment the heap.
constexpr int mapThresholdBytes = 128 * 1024;
/// Readiness and metrics requests have no body; some probes send a short one.
constexpr request_limits controlRequestLimits{8 * 1024, 4 * 1024};

std::int64_t modificationTime(const std::string &path)
{
    struct stat status = {};
    if (stat(path.c_str(), &status) != 0)
        return 0;
    return status.st_mtim.tv_sec * 1'000'000'000LL + status.st_mtim.tv_nsec;
}

http1_response textResponse(http::status status, const std::string &body)
{
    http1_response response(status, 11);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = body;
    return response;
}

/// Owns the daemon's components. The control thread and the traffic thread communicate only by
/// functions posted to each other's event loop.
class router
{
public:
    router(router_settings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_settingsModified(modificationTime(m_settingsPath))
        , m_storeClient(m_controlLoop, m_clock)
        , m_upstreamClient(m_trafficLoop, m_clock)
        , m_clientLimits(clientLimitsFor(m_settings.memoryBytes, m_settings.maxDescriptors))
        , m_trafficClients(clientMemory(m_clientLimits.traffic))
        , m_controlClients(clientMemory(m_clientLimits.control))
        , m_responseMemory(
              std::make_shared<response_memory>(responseLimitsFor(m_settings.memoryBytes)))
        , m_trafficState(m_settings, std::random_device()())
        , m_forwarder(forwarderDependencies())
        , m_clientServer(
              m_trafficLoop, parseEndpoint(m_settings.clientAddress), request_limits(),
              [this](http1_request request, std::shared_ptr<response_writer> writer) {
                  m_forwarder.handle(std::move(request), std::move(writer));
              },
              m_trafficClients,
              [this](const http1_request_head &head) { return m_forwarder.refusesHead(head); })
        , m_readinessServer(
              m_controlLoop, parseEndpoint(m_settings.readyAddress), controlRequestLimits,
              [this](const http1_request &, const std::shared_ptr<response_writer> &writer) {
                  sendReadiness(*writer);
              },
              m_controlClients)
        , m_metricsServer(
              m_controlLoop, parseEndpoint(m_settings.metricsAddress), controlRequestLimits,
              [this](const http1_request &request, const std::shared_ptr<response_writer> &writer) {
                  const bool stateRequested = request.target() == statePath;
                  writer->send(textResponse(http::status::ok,
                                            stateRequested ? m_storeFollower.stateJson().dump()
                                                           : m_routerMetrics.serialize()));
              },
              m_controlClients)
        , m_handoverServer(openHandoverServer())
        , m_storeFollower(
              m_controlLoop, m_clock,
              platform::bindStore(m_storeClient, m_clock, parseEndpoint(m_settings.storeAddress),
                                  m_storeEpoch),
              m_storeEpoch, platform::storeLayout(), registeredSettings(),
              [this](std::shared_ptr<const routing_view> view) { onView(std::move(view)); },
              [this](time_point sentAt) { onConfirmed(sentAt); },
              [this](const rollout_order &order, auto done) {
                  collectSessions(order, std::move(done));
              })
        , m_signals(m_controlLoop, SIGTERM, SIGINT, SIGHUP)
        , m_settingsTimer(m_controlLoop)
        , m_drainTimer(m_trafficLoop)
        , m_gaugeTimer(m_trafficLoop)
    { }

    void run()
    {
        logEvent(log_level::info, "started",
                 {{"clients", m_settings.clientAddress}, {"store", m_settings.storeAddress}});
        awaitSignal();
        watchSettings();
        updateGauges();
        m_storeFollower.setCopyListener(
            [this](const std::string &event) { m_routerMetrics.entryCopies(event).Increment(); });
        m_storeFollower.start();
        std::thread traffic([this] { runLoop(m_trafficLoop, "traffic"); });
        runLoop(m_controlLoop, "control");
        traffic.join();
        logEvent(log_level::info, "stopped", {});
    }

private:
    void runLoop(asio::io_context &loop, const char *name)
    {
        runEventLoop(loop, [this, name](const std::exception &error) {
            m_routerMetrics.failedCallbacks.Increment();
            logEvent(log_level::error, "callback_failed",
                     {{"loop", name}, {"error", error.what()}});
        });
    }

    /// Counts and logs the connections that are closed beyond the limits.
    std::shared_ptr<client_memory> clientMemory(const client_memory_limits &limits)
    {
        return std::make_shared<client_memory>(
            limits, [this](close_reason reason, const std::string &address, std::size_t bytes) {
                m_routerMetrics.closedClients(toString(reason)).Increment();
                logEvent(log_level::info, "client_closed",
                         {{"reason", toString(reason)},
                          {"address", address},
                          {"bytes", std::to_string(bytes)}});
            });
    }

    /// Opens the listener for requests that other hosts hand over, on any port if another process
    /// has the one of the settings.
    std::unique_ptr<async_server> openHandoverServer()
    {
        const auto open = [this](const asio::ip::tcp::endpoint &address) {
            return std::make_unique<async_server>(
                m_trafficLoop, address, request_limits(),
                [this](http1_request request, std::shared_ptr<response_writer> writer) {
                    m_forwarder.handle(std::move(request), std::move(writer), request_origin::host);
                },
                m_trafficClients);
        };
        const asio::ip::tcp::endpoint anyPort{parseEndpoint(m_settings.peerAddress).address(), 0};
        if (m_settings.handoverAddress.empty())
            return open(anyPort);
        try {
            return open(parseEndpoint(m_settings.handoverAddress));
        } catch (const boost::system::system_error &error) {
            logEvent(log_level::warning, "handover_port_taken",
                     {{"address", m_settings.handoverAddress}, {"error", error.what()}});
            return open(anyPort);
        }
    }

    /// The settings with the address that the listener for handed-over requests has got.
    router_settings registeredSettings() const
    {
        router_settings result = m_settings;
        const asio::ip::tcp::endpoint address = m_handoverServer->address();
        result.handoverAddress
            = address.address().to_string() + ':' + std::to_string(address.port());
        return result;
    }

    forwarder_dependencies forwarderDependencies()
    {
        return {m_trafficLoop,
                m_clock,
                m_upstreamClient,
                m_trafficState,
                m_routerMetrics,
                m_responseMemory,
                platform::wireFormat(),
                [this](std::function<void(bool)> done) {
                    asio::post(m_controlLoop, [this, done = std::move(done)] {
                        m_storeFollower.confirm([this, done](bool responded) {
                            asio::post(m_trafficLoop, [done, responded] { done(responded); });
                        });
                    });
                },
                [this](const request_outcome &outcome) {
                    asio::post(m_controlLoop,
                               [this, outcome] { m_storeFollower.recordOutcome(outcome); });
                },
                [this](const crash_report &report) {
                    asio::post(m_controlLoop,
                               [this, report] { m_storeFollower.publishCrashReport(report); });
                },
                [this](const rate_limit_report &report) {
                    asio::post(m_controlLoop,
                               [this, report] { m_storeFollower.publishRateLimit(report); });
                }};
    }

    void onView(std::shared_ptr<const routing_view> view)
    {
        asio::post(m_trafficLoop, [this, view = std::move(view)] {
            if (view->config)
                setRequestLimits(view->config->limits());
            m_trafficState.setView(view);
            m_forwarder.onViewUpdated();
        });
    }

    void setRequestLimits(const request_limits &limits)
    {
        m_clientServer.setLimits(limits);
        request_limits handoverLimits = limits;
        handoverLimits.maxHeadBytes += maxHandoverFieldBytes;
        m_handoverServer->setLimits(handoverLimits);
    }

    /// \a sentAt is the time at which the latest successful call to the store was sent.
    void onConfirmed(time_point sentAt)
    {
        m_routerMetrics.storeContacts("confirmed").Increment();
        asio::post(m_trafficLoop, [this, sentAt] { m_trafficState.setConfirmedAt(sentAt); });
    }

    void collectSessions(const rollout_order &order,
                         std::function<void(std::vector<std::uint64_t>)> done)
    {
        asio::post(m_trafficLoop, [this, order, done = std::move(done)] {
            asio::post(m_controlLoop,
                       [done, digests = m_trafficState.baselineSessions(order, m_clock.now())] {
                           done(digests);
                       });
        });
    }

    void sendReadiness(response_writer &writer)
    {
        const bool ready = m_storeFollower.hasConfig() && !m_draining;
        writer.send(textResponse(ready ? http::status::ok : http::status::service_unavailable,
                                 ready ? "ready\n" : "not ready\n"));
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                reload("signal");
            else
                drain();
            awaitSignal();
        });
    }

    void watchSettings()
    {
        m_settingsTimer.expires_after(settingsPollInterval);
        m_settingsTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            if (modificationTime(m_settingsPath) != m_settingsModified)
                reload("file");
            watchSettings();
        });
    }

    /// Applies the settings file without a restart, except for the addresses, which take effect at
    /// the next start.
    void reload(const std::string &cause)
    {
        m_settingsModified = modificationTime(m_settingsPath);
        try {
            const router_settings settings = platform::readSettings(m_settingsPath);
            m_storeFollower.setSettings(settings);
            asio::post(m_trafficLoop, [this, settings] { m_trafficState.setSettings(settings); });
            logEvent(log_level::info, "reloaded", {{"cause", cause}});
        } catch (const settings_error &error) {
            logEvent(log_level::error, "reload_failed",
                     {{"cause", cause}, {"error", error.what()}});
        }
    }

    void drain()
    {
        if (m_draining)
            return;
        m_draining = true;
        logEvent(log_level::info, "stopping", {});
        m_storeFollower.startDraining();
        asio::post(m_trafficLoop, [this] {
            m_drainSchedule.started = m_clock.now();
            m_drainSchedule.exitDelay = m_settings.stopTimeout - stopMargin;
            m_forwarder.beginDraining(m_drainSchedule);
            m_clientServer.closeAfterResponses();
            m_handoverServer->closeAfterResponses();
            pollDrain();
        });
    }

    void pollDrain()
    {
        const duration passed = m_clock.now() - m_drainSchedule.started;
        if (passed >= m_drainSchedule.balancerLag) {
            m_clientServer.stopAccepting();
            m_clientServer.closeIdleConnections();
            m_handoverServer->stopAccepting();
            m_handoverServer->closeIdleConnections();
            if (m_forwarder.requestsInProgress() == 0 && m_clientServer.openConnections() == 0) {
                finish("idle");
                return;
            }
        }
        if (passed >= m_drainSchedule.exitDelay) {
            finish("out_of_time");
            return;
        }
        m_drainTimer.expires_after(drainPollInterval);
        m_drainTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                pollDrain();
        });
    }

    void finish(const char *reason)
    {
        logEvent(log_level::info, "drained",
                 {{"reason", reason},
                  {"requests_cut", std::to_string(m_forwarder.requestsInProgress())}});
        m_trafficLoop.stop();
        asio::post(m_controlLoop, [this] { m_controlLoop.stop(); });
    }

    void updateGauges()
    {
        m_routerMetrics.requestsInProgress.Set(
            static_cast<double>(m_forwarder.requestsInProgress()));
        m_routerMetrics.upstreamConnections.Set(
            static_cast<double>(m_upstreamClient.openConnections()));
        m_routerMetrics.clientBytes.Set(static_cast<double>(m_trafficClients->total()));
        m_routerMetrics.clientConnections.Set(static_cast<double>(m_trafficClients->connections()));
        m_routerMetrics.heldResponseBytes.Set(static_cast<double>(m_responseMemory->total()));
        m_routerMetrics.slowInstances.Set(static_cast<double>(
            m_trafficState.completionTime().slowCount(slowInstanceRatio, m_clock.now())));
        const auto &view = m_trafficState.view();
        if (view && view->config) {
            std::size_t instances = 0;
            for (const auto &service : view->instances)
                instances += service.second.size();
            m_routerMetrics.configVersion.Set(static_cast<double>(view->config->version()));
            m_routerMetrics.instances.Set(static_cast<double>(instances));
        }
        m_gaugeTimer.expires_after(gaugeUpdateInterval);
        m_gaugeTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                updateGauges();
        });
    }

    router_settings m_settings;
    std::string m_settingsPath;
    std::int64_t m_settingsModified;
    system_clock m_clock;
    router_metrics m_routerMetrics;
    asio::io_context m_controlLoop{1};
    asio::io_context m_trafficLoop{1};
    async_client m_storeClient;
    async_client m_upstreamClient;
    const host_client_limits m_clientLimits;
    std::shared_ptr<client_memory> m_trafficClients; ///< Used only on the traffic thread.
    std::shared_ptr<client_memory> m_controlClients; ///< Used only on the control thread.
    std::shared_ptr<response_memory> m_responseMemory;
    traffic_state m_trafficState;
    forwarder m_forwarder;
    async_server m_clientServer;
    async_server m_readinessServer;
    async_server m_metricsServer;
    // After the other listeners, whose ports are fixed.
    std::unique_ptr<async_server> m_handoverServer;
    store_epoch m_storeEpoch;
    store_follower m_storeFollower;
    asio::signal_set m_signals;
    asio::steady_timer m_settingsTimer;
    asio::steady_timer m_drainTimer;
    asio::steady_timer m_gaugeTimer;
    bool m_draining = false;        ///< Used only on the control thread.
    drain_schedule m_drainSchedule; ///< Used only on the traffic thread.
};

int run(int argc, char **argv)
{
    options::options_description visible("goldcrest_routerd [--check] [--settings FILE]");
    visible.add_options()("help", "show this text")("version", "show the version")(
        "check",
        "only check the settings")("settings", options::value<std::string>(),
                                   "settings file to use instead of the platform's default");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, visible), values);
    } catch (const options::error &error) {
        std::cerr << "goldcrest_routerd: " << error.what() << '\n' << visible;
        return exitUsage;
    }
    if (values.count("help") > 0) {
        std::cout << visible;
        return 0;
    }
    if (values.count("version") > 0) {
        std::cout << version << '\n';
        return 0;
    }
    const std::string path = values.count("settings") > 0 ? values["settings"].as<std::string>()
                                                          : platform::settingsPath();
    try {
        const router_settings settings = platform::readSettings(path);
        if (values.count("check") > 0) {
            std::cout << path << ": ok\n";
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
#ifdef __GLIBC__
        mallopt(M_MMAP_THRESHOLD, mapThresholdBytes);
        mallopt(M_TRIM_THRESHOLD, mapThresholdBytes);
#endif
        initAsyncLog(settings.name, log_level::info);
        router(settings, path).run();
        // If the log's reader has stalled, the log's writing thread hangs, and destroying the
        // static objects would block.
        if (!stopLog())
            std::_Exit(0);
        return 0;
    } catch (const settings_error &error) {
        std::cerr << "goldcrest_routerd: " << error.what() << '\n';
        return exitSettings;
    } catch (const std::exception &error) {
        std::cerr << "goldcrest_routerd: " << error.what() << '\n';
        return exitFailure;
    }
}

} // namespace
} // namespace goldcrestdeck

int main(int argc, char **argv)
{
    return goldcrestdeck::run(argc, argv);
}
