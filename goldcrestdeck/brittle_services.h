#ifndef GOLDCRESTDECK_BRITTLE_SERVICES_H_
#define GOLDCRESTDECK_BRITTLE_SERVICES_H_

/// \file
/// Services whose instances fail when they have to reject too many requests, and this host's places
/// at those instances.
///
/// The instances of such a service say in their responses how many rejections a second they bear
/// from all hosts together. Hosts that each learn of a full instance by a rejection would already
/// be too many, so what is bounded is the requests in flight: the hosts divide the slots of each
/// instance among themselves, in the order in which they rank for it, without communicating. A
/// service stays brittle until a response to a later request no longer says so, or nothing has
/// been heard for a while.
///
/// Performs no I/O and reads no clock. Used by a single thread.

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/instance_directory.h"

namespace goldcrestdeck {

/// \returns the number of requests that the host that ranks \a rank of \a hosts may have in flight
/// at an instance with \a slots.
std::size_t placesFor(std::size_t rank, std::size_t hosts, std::size_t slots);

class brittle_services
{
public:
    /// \a host is the name of this host.
    explicit brittle_services(std::string host);

    /// Sets the registered hosts.
    void setHosts(std::shared_ptr<const std::set<std::string>> hosts);

    /// Records what a response of the service to a request sent at \a sentAt says: the rejections a
    /// second that an instance bears, or nullopt if it is not brittle. \returns whether this begins
    /// or ends the service's brittleness.
    bool recordResponse(const std::string &service, std::optional<double> rejectionsPerSecond,
                        time_point sentAt, time_point now);
    /// An instance has rejected a request of this host.
    void recordRejection(const std::string &service, const std::string &incarnation, unsigned slots,
                         time_point now);

    bool isBrittle(const std::string &service, time_point now) const;
    std::size_t brittleCount() const { return m_services.size(); }

    /// Whether this host may send a request to the instance, at which it has \a inFlight. True if
    /// the service is not brittle.
    bool maySend(const instance &target, double inFlight, time_point now) const;

    /// \returns the hosts that have a place at any of \a instances.
    std::set<std::string> hostsWithPlaces(const std::vector<instance> &instances) const;

private:
    struct named_bound {
        double rejectionsPerSecond = 0;
        time_point namedAt;
        std::map<std::string, time_point> closedUntil; ///< By incarnation, after a rejection.
    };

    std::size_t rankOf(const std::string &host, const std::string &incarnation) const;

    std::string m_host;
    std::shared_ptr<const std::set<std::string>> m_hosts;
    std::map<std::string, named_bound> m_services;
    mutable std::map<std::string, std::size_t> m_ranks; ///< Of this host, by incarnation.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_BRITTLE_SERVICES_H_
