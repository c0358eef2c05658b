#ifndef SOAK_SOAK_CLUSTER_H_
#define SOAK_SOAK_CLUSTER_H_

/// \file
/// Router processes that run against stand-ins for the platform's store and its instances. Every
/// link to the store and to an instance passes through a relay that can inject faults.
///
/// Not thread-safe, except for clientEndpoint(), incarnation() and hostCount(), which client
/// threads may call. Signals only processes that it started.

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

#include "goldcrestdeck/testing/process_cluster.h"
#include "goldcrestdeck/testing/tcp_relay.h"
#include "soak/arrival_checks.h"
#include "standins/platform_instance.h"
#include "standins/platform_store.h"

namespace soak {

/// Number of events in a complete stream.
constexpr int streamEvents = 12;

/// The failure domains of the instances. All hosts are in the first one.
const std::array<std::string, 3> domains = {"z", "y", "x"};

enum class host_state { running, frozen, stopping, down };

class soak_cluster
{
public:
    /// Writes settings and logs to \a folder, which must exist.
    soak_cluster(std::size_t hosts, const std::string &folder);
    ~soak_cluster();
    soak_cluster(const soak_cluster &) = delete;
    soak_cluster &operator=(const soak_cluster &) = delete;

    std::size_t hostCount() const { return m_hosts.size(); }
    /// The endpoint on which \a host serves clients.
    boost::asio::ip::tcp::endpoint clientEndpoint(std::size_t host) const;
    /// How often \a host has been started, which identifies its current or last process.
    int incarnation(std::size_t host) const { return m_hosts[host]->incarnation; }
    host_state state(std::size_t host) const { return m_hosts[host]->state; }

    void start(std::size_t host);
    void kill(std::size_t host);
    void freeze(std::size_t host);
    void thaw(std::size_t host);
    /// Sends SIGTERM, which starts a graceful stop; pollExits() detects its completion.
    void stop(std::size_t host);
    /// Sends SIGHUP, on which the host reloads its settings.
    void reload(std::size_t host);
    /// Reaps processes that have exited. \returns a description of the first unexpected exit or of
    /// the first stop that takes too long, or "".
    std::string pollExits();

    /// Stores a configuration with the routes /safe/, /once/ and /stream/, and /gen-N/ with N =
    /// \a generation, which no other configuration has.
    void putConfig(int generation);
    void setStoreFaults(const standins::store_faults &faults);
    /// Discards the store's change history.
    void compactStore();
    /// Expires all leases in the store.
    void expireAllLeases();
    /// Orders the evacuation of a failure domain, or withdraws the order.
    void setEvacuated(const std::string &domain, bool evacuated);
    goldcrestdeck::tcp_relay &storeRelay(std::size_t host) { return *m_hosts[host]->storeRelay; }

    std::size_t instanceCount() const { return m_instances.size(); }
    void setInstanceFaults(std::size_t instance, const standins::instance_faults &faults);
    goldcrestdeck::tcp_relay &instanceRelay(std::size_t instance)
    {
        return *m_instances[instance].relay;
    }
    void registerInstance(std::size_t instance, bool draining);
    /// Removes the instance's entry from the store. It is registered again as a new incarnation.
    void removeInstance(std::size_t instance);
    /// Ends the instance's process as far as hosts can see: its connections and its entry.
    void stopInstance(std::size_t instance);
    /// Starts it again as a new incarnation, which is cold and registers so.
    void startInstance(std::size_t instance);
    /// Registers the instance as cold for coldPeriod from now on.
    void makeCold(std::size_t instance);
    std::string instanceDomain(std::size_t instance) const { return domains.at(instance % 3); }
    /// How often the instances executed each request, by request id.
    std::map<std::string, int> executions();
    /// All requests that reached an instance.
    std::vector<arrival> arrivals();

private:
    struct host {
        boost::asio::ip::tcp::endpoint clientEndpoint;
        std::string settingsPath;
        std::string logPath;
        std::unique_ptr<goldcrestdeck::tcp_relay> storeRelay; ///< Between the host and the store.
        std::unique_ptr<goldcrestdeck::child_process> process;
        std::atomic<int> incarnation{0};
        host_state state = host_state::down;
        std::chrono::steady_clock::time_point stopRequestedAt;
        std::chrono::steady_clock::duration frozenWhileStopping{0};
    };
    struct instance {
        std::string service;
        std::unique_ptr<standins::platform_instance> standin;
        std::unique_ptr<goldcrestdeck::tcp_relay> relay; ///< In front of the stand-in.
        int incarnation = 1; ///< Registered as the start time, which identifies the incarnation.
        time_point coldUntil;
    };

    /// Runs \a work on the event loop's thread and waits for its result.
    template<typename Work>
    auto onLoop(Work work) -> decltype(work());
    void writeSettings(std::size_t index, const std::vector<int> &ports);
    void addInstance(const std::string &service);

    std::string m_folder;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    standins::platform_store m_store;
    std::vector<instance> m_instances;
    std::vector<std::unique_ptr<host>> m_hosts;
    std::thread m_thread;
};

} // namespace soak

#endif // SOAK_SOAK_CLUSTER_H_
