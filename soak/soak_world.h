#ifndef SOAK_SOAK_WORLD_H_
#define SOAK_SOAK_WORLD_H_

/// \file
/// Router daemons as processes, before stand-ins for the platform's store and its instances, with a
/// relay on every link that a fault can be put on.
///
/// Construct, use from one thread, and ask callers' threads only for clients() and lifetime(). Only
/// processes that it started are ever signalled.

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

#include "goldcrestdeck/testing/process_cluster.h"
#include "goldcrestdeck/testing/tcp_relay.h"
#include "standins/platform_runner.h"
#include "standins/platform_store.h"

namespace soak {

/// Events of every whole stream.
constexpr int streamEvents = 12;

enum class host_state { running, frozen, stopping, down };

class soak_world
{
public:
    /// Files go to \a folder.
    soak_world(std::size_t hosts, const std::string &folder);
    ~soak_world();
    soak_world(const soak_world &) = delete;
    soak_world &operator=(const soak_world &) = delete;

    std::size_t hostCount() const { return m_hosts.size(); }
    boost::asio::ip::tcp::endpoint clients(std::size_t host) const;
    /// Number of the host's present or last process.
    int lifetime(std::size_t host) const { return m_hosts[host]->lifetime; }
    host_state state(std::size_t host) const { return m_hosts[host]->state; }

    void start(std::size_t host);
    void kill(std::size_t host);
    void freeze(std::size_t host);
    void thaw(std::size_t host);
    /// Begins an orderly stop; pollEnds() notices its end.
    void stop(std::size_t host);
    void reload(std::size_t host);
    /// \returns what is wrong about processes that have ended, or "".
    std::string pollEnds();

    /// The routes /safe/, /once/, /stream/ and /gen-N/ for this configuration alone.
    void putConfig(int generation);
    void setStoreFaults(const standins::store_faults &faults);
    void compactStore();
    void endLeases();
    goldcrestdeck::tcp_relay &storeLink(std::size_t host) { return *m_hosts[host]->storeLink; }

    std::size_t runnerCount() const { return m_runners.size(); }
    void setBehaviour(std::size_t runner, const standins::runner_behaviour &behaviour);
    goldcrestdeck::tcp_relay &runnerLink(std::size_t runner) { return *m_runners[runner].link; }
    void registerRunner(std::size_t runner, bool draining);
    void removeRunner(std::size_t runner);
    /// How often the runners ran each request, and how often requests reached them.
    std::map<std::string, int> runs();
    std::map<std::string, int> arrivals();

private:
    struct host {
        boost::asio::ip::tcp::endpoint clients;
        std::string settings;
        std::string log;
        std::unique_ptr<goldcrestdeck::tcp_relay> storeLink;
        std::unique_ptr<goldcrestdeck::child_process> process;
        std::atomic<int> lifetime{0};
        host_state state = host_state::down;
        std::chrono::steady_clock::time_point stopBegan;
        std::chrono::steady_clock::duration frozenWhileStopping{0};
    };
    struct runner {
        std::string service;
        std::unique_ptr<standins::platform_runner> process;
        std::unique_ptr<goldcrestdeck::tcp_relay> link;
        int born = 1;
    };

    template<typename Work>
    auto onLoop(Work work) -> decltype(work());
    void writeSettings(std::size_t index, const std::vector<int> &ports);
    void addRunner(const std::string &service);

    std::string m_folder;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    standins::platform_store m_store;
    std::vector<runner> m_runners;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::thread m_thread;
};

} // namespace soak

#endif // SOAK_SOAK_WORLD_H_
