// The router's daemon on the users' platform: settings in, one thread for control and one for
// traffic, and an orderly stop.

#include <csignal>
#include <iostream>
#include <thread>

#include <sys/stat.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/errors.h"
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
/// Beside the metrics: what this host believes, as JSON for goldcrestctl.
constexpr const char *beliefPath = "/belief";

/// How often a settings file that changed without a signal is noticed.
constexpr std::chrono::milliseconds settingsPoll{2000};
constexpr std::chrono::milliseconds drainPoll{100};
/// Kept free before the process would be killed.
constexpr std::chrono::milliseconds stopReserve{400};
/// How often the gauges are brought up to date.
constexpr std::chrono::milliseconds gaugeInterval{2000};

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

/// The daemon's parts and what passes between its two threads: only posted functions.
class router
{
public:
    router(router_settings settings, std::string settingsPath)
        : m_settings(std::move(settings))
        , m_settingsPath(std::move(settingsPath))
        , m_modified(modificationTime(m_settingsPath))
        , m_storeClient(m_control, m_clock)
        , m_upstreamClient(m_traffic, m_clock)
        , m_state(m_settings, std::random_device()())
        , m_forwarder(forwarderParts())
        , m_follower(
              m_control, m_clock,
              platform::bindStore(m_storeClient, parseEndpoint(m_settings.storeAddress)),
              platform::storeLayout(), m_settings,
              [this](std::shared_ptr<const routing_view> view) { onView(std::move(view)); },
              [this](time_point at) { onConfirmed(at); },
              [this](const rollout_order &order, auto done) {
                  askSessions(order, std::move(done));
              })
        , m_clients(m_traffic, parseEndpoint(m_settings.clientAddress), client_limits(),
                    [this](http1_request request, std::shared_ptr<http_answer> answer) {
                        m_forwarder.handle(std::move(request), std::move(answer));
                    })
        , m_ready(m_control, parseEndpoint(m_settings.readyAddress), client_limits(),
                  [this](const http1_request &, const std::shared_ptr<http_answer> &answer) {
                      answerReady(*answer);
                  })
        , m_metrics(
              m_control, parseEndpoint(m_settings.metricsAddress), client_limits(),
              [this](const http1_request &request, const std::shared_ptr<http_answer> &answer) {
                  const bool asksBelief = request.target() == beliefPath;
                  answer->send(textResponse(http::status::ok,
                                            asksBelief ? m_follower.describe().dump()
                                                       : m_counters.serialize()));
              })
        , m_signals(m_control, SIGTERM, SIGINT, SIGHUP)
        , m_settingsTimer(m_control)
        , m_drainTimer(m_traffic)
        , m_gaugeTimer(m_traffic)
    { }

    void run()
    {
        logEvent(log_level::info, "started",
                 {{"clients", m_settings.clientAddress}, {"store", m_settings.storeAddress}});
        awaitSignal();
        watchSettings();
        updateGauges();
        m_follower.start();
        std::thread traffic([this] { m_traffic.run(); });
        m_control.run();
        traffic.join();
        logEvent(log_level::info, "stopped", {});
    }

private:
    forwarder_parts forwarderParts()
    {
        return {m_traffic,
                m_clock,
                m_upstreamClient,
                m_state,
                m_counters,
                platform::wireFormat(),
                [this](std::function<void(bool)> done) {
                    asio::post(m_control, [this, done = std::move(done)] {
                        m_follower.confirm([this, done](bool answered) {
                            asio::post(m_traffic, [done, answered] { done(answered); });
                        });
                    });
                },
                [this](const rollout_answer &answer) {
                    asio::post(m_control, [this, answer] { m_follower.noteAnswer(answer); });
                }};
    }

    void onView(std::shared_ptr<const routing_view> view)
    {
        asio::post(m_traffic, [this, view = std::move(view)] {
            if (view->config)
                m_clients.setLimits(view->config->limits());
            const bool first = !m_state.view() || !m_state.view()->config;
            m_state.setView(view);
            if (first && view->config)
                m_forwarder.noteView();
        });
    }

    void onConfirmed(time_point at)
    {
        m_counters.storeContacts("confirmed").Increment();
        asio::post(m_traffic, [this, at] { m_state.setConfirmed(at); });
    }

    void askSessions(const rollout_order &order,
                     std::function<void(std::vector<std::uint64_t>)> done)
    {
        asio::post(m_traffic, [this, order, done = std::move(done)] {
            asio::post(m_control,
                       [done, digests = m_state.establishedSessions(order, m_clock.now())] {
                           done(digests);
                       });
        });
    }

    void answerReady(http_answer &answer)
    {
        const bool ready = m_follower.hasConfig() && !m_draining;
        answer.send(textResponse(ready ? http::status::ok : http::status::service_unavailable,
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
        m_settingsTimer.expires_after(settingsPoll);
        m_settingsTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            if (modificationTime(m_settingsPath) != m_modified)
                reload("file");
            watchSettings();
        });
    }

    /// Addresses stay as they are until the next start; everything else takes effect now.
    void reload(const std::string &cause)
    {
        m_modified = modificationTime(m_settingsPath);
        try {
            const router_settings settings = platform::readSettings(m_settingsPath);
            m_follower.setSettings(settings);
            asio::post(m_traffic, [this, settings] { m_state.setSettings(settings); });
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
        m_follower.leave();
        asio::post(m_traffic, [this] {
            m_drainTimes.started = m_clock.now();
            m_drainTimes.stopTime = m_settings.stopTime - stopReserve;
            m_forwarder.beginDrain(m_drainTimes);
            m_clients.closeAfterAnswers();
            pollDrain();
        });
    }

    void pollDrain()
    {
        const duration passed = m_clock.now() - m_drainTimes.started;
        if (passed >= m_drainTimes.balancerLag) {
            m_clients.stopAccepting();
            m_clients.closeIdle();
            if (m_forwarder.inProgress() == 0 && m_clients.openConnections() == 0) {
                finish("idle");
                return;
            }
        }
        if (passed >= m_drainTimes.stopTime) {
            finish("out_of_time");
            return;
        }
        m_drainTimer.expires_after(drainPoll);
        m_drainTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                pollDrain();
        });
    }

    void finish(const char *reason)
    {
        logEvent(log_level::info, "drained",
                 {{"reason", reason}, {"requests_cut", std::to_string(m_forwarder.inProgress())}});
        m_traffic.stop();
        asio::post(m_control, [this] { m_control.stop(); });
    }

    void updateGauges()
    {
        m_counters.requestsInProgress.Set(static_cast<double>(m_forwarder.inProgress()));
        m_counters.upstreamConnections.Set(static_cast<double>(m_upstreamClient.openConnections()));
        const auto &view = m_state.view();
        if (view && view->config) {
            std::size_t instances = 0;
            for (const auto &service : view->instances)
                instances += service.second.size();
            m_counters.configVersion.Set(static_cast<double>(view->config->version()));
            m_counters.instances.Set(static_cast<double>(instances));
        }
        m_gaugeTimer.expires_after(gaugeInterval);
        m_gaugeTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                updateGauges();
        });
    }

    router_settings m_settings;
    std::string m_settingsPath;
    std::int64_t m_modified;
    system_clock m_clock;
    router_metrics m_counters;
    asio::io_context m_control{1};
    asio::io_context m_traffic{1};
    async_client m_storeClient;
    async_client m_upstreamClient;
    traffic_state m_state;
    forwarder m_forwarder;
    store_follower m_follower;
    async_server m_clients;
    async_server m_ready;
    async_server m_metrics;
    asio::signal_set m_signals;
    asio::steady_timer m_settingsTimer;
    asio::steady_timer m_drainTimer;
    asio::steady_timer m_gaugeTimer;
    bool m_draining = false; ///< On the control thread.
    drain_times m_drainTimes;
};

int run(int argc, char **argv)
{
    options::options_description visible("goldcrest_routerd [--check] [--settings FILE]");
    visible.add_options()("help", "show this text")("version", "show the version")(
        "check", "only check the settings")("settings", options::value<std::string>(),
                                            "instead of the platform's own path");
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
        initQueuedLog(settings.name, log_level::info);
        router(settings, path).run();
        // A reader that no longer reads its lines must not keep the process.
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
