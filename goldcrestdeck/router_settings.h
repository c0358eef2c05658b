#ifndef GOLDCRESTDECK_ROUTER_SETTINGS_H_
#define GOLDCRESTDECK_ROUTER_SETTINGS_H_

/// \file
/// The settings of the router daemon, independent of the file format.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrestdeck {

/// Interval between two polls of the store, as a fraction of the time in which a new configuration
/// must be in force or a draining instance must no longer receive requests, whichever is shorter.
/// At one half, the poll after one that timed out is still in time.
constexpr double pollIntervalRatio = 0.5;

struct router_settings {
    std::string name; ///< Name of this host.
    std::string failureDomain;
    std::string region; ///< Of this host; empty if unknown.
    /// Region of each failure domain; domains that are not listed have no known region.
    std::map<std::string, std::string> regionOfDomain;
    std::string clientAddress;  ///< "ip:port" for clients.
    std::string readyAddress;   ///< "ip:port" for the load balancer's readiness probe.
    std::string metricsAddress; ///< "ip:port"
    std::string peerAddress;    ///< "ip:port" for other hosts.
    /// "ip:port" for requests that other hosts hand over; empty: any port of peerAddress's ip.
    std::string handoverAddress;
    std::string storeAddress; ///< "ip:port" of the key-value service.
    /// "ip:port" of the peer listeners of a few hosts, which may be stale or down.
    std::vector<std::string> seedAddresses;

    std::chrono::milliseconds heartbeatInterval{1200};  ///< Between registrations of an instance.
    std::chrono::milliseconds configApplyTimeout{2000}; ///< Deadline for a new configuration.
    std::chrono::milliseconds drainPeriod{2000}; ///< How long a draining instance still serves.
    std::chrono::seconds stopTimeout{8};         ///< From SIGTERM to SIGKILL.
    std::chrono::milliseconds sessionIdleTimeout{5000}; ///< Idle time after which a session ends.

    double retryRatio = 0.9; ///< Limit on retries per request of a service, fleet-wide.
    double retrySlack = 50;  ///< Retries beyond that ratio per window, fleet-wide.
    std::chrono::milliseconds retryWindow{10'000};
    double exposureShare = 0.15; ///< Limit on a bad version's share of a service's requests.
    double exposureSlack = 30;   ///< Requests beyond that share.

    /// Time in which no request must reach an evacuated failure domain any more.
    std::chrono::milliseconds evacuateTimeout{5000};
    /// Requests that a cold instance bears in a second: coldOverage times the rate in the
    /// configuration of its service, plus coldSlack. Without limit if coldOverage is 0.
    double coldOverage = 0;
    double coldSlack = 0;

    std::size_t memoryBytes = 0;    ///< Of this process; 0 if unknown.
    std::size_t maxDescriptors = 0; ///< Of this process; 0 if unknown.

    /// The time between two polls of the store.
    std::chrono::milliseconds pollInterval() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            pollIntervalRatio * std::min(configApplyTimeout, drainPeriod));
    }
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROUTER_SETTINGS_H_
