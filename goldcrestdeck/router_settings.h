#ifndef GOLDCRESTDECK_ROUTER_SETTINGS_H_
#define GOLDCRESTDECK_ROUTER_SETTINGS_H_

/// \file
/// The settings of the router daemon, whatever file they were read from.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

namespace goldcrestdeck {

/// Part of the time in which a configuration must be in force, and a leaving instance be left
/// alone, between two polls of the store: one may be missed, with its time-out, and the next is
/// still in time.
constexpr double pollPart = 0.5;

struct router_settings {
    std::string name; ///< Of this host.
    std::string failureDomain;
    std::string clientAddress;  ///< "ip:port" for clients.
    std::string readyAddress;   ///< "ip:port" for the balancer's readiness probe.
    std::string metricsAddress; ///< "ip:port"
    std::string peerAddress;    ///< "ip:port" for other hosts.
    std::string storeAddress;   ///< "ip:port" of the key-value service.

    std::chrono::milliseconds heartbeat{1200};   ///< Between an instance's registrations.
    std::chrono::milliseconds applyTime{2000};   ///< For a configuration to be in force.
    std::chrono::milliseconds drainTime{2000};   ///< An instance serves this long after it leaves.
    std::chrono::seconds stopTime{8};            ///< From SIGTERM to SIGKILL.
    std::chrono::milliseconds sessionTime{5000}; ///< Gap after which a session has ended.

    double retryRatio = 0.9; ///< Bound on repeated sends for each request of a service, fleet-wide.
    double retrySlack = 50;  ///< Repeated sends beyond it in a window, fleet-wide.
    std::chrono::milliseconds retryWindow{10'000};
    double exposureShare = 0.15; ///< Bound on a bad version's share of a service's requests.
    double exposureSlack = 30;   ///< Requests beyond it.

    /// Between two polls of the store.
    std::chrono::milliseconds pollInterval() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            pollPart * std::min(applyTime, drainTime));
    }
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROUTER_SETTINGS_H_
