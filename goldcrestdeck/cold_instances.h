#ifndef GOLDCRESTDECK_COLD_INSTANCES_H_
#define GOLDCRESTDECK_COLD_INSTANCES_H_

/// \file
/// Instances that have just started, or may have, and this host's permits to send to them.
///
/// A cold instance fails if it gets more than a number of requests in a second from all hosts
/// together. The hosts divide half of this bound without communicating: all of them rank the
/// registered hosts alike for each instance, and those that rank first hold the permits; the others
/// send nothing. With a permit, a host sends one request per second. Half of the bound, because
/// hosts with an old list and hosts with a new list may be sending at the same time.
///
/// Call setView() for each view. Call maySend() before each send, first sends and retries alike,
/// and recordSend() for each send to any instance: sends to an instance that turns cold right
/// after count toward its bound. All of this does nothing for services without such a bound.
///
/// Performs no I/O and reads no clock. Used by a single thread.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/router_settings.h"
#include "goldcrestdeck/routing_view.h"

namespace goldcrestdeck {

enum class cold_reason { registration, response, returned, refused, domainRestored };

const char *toString(cold_reason reason);

struct cold_bound {
    std::size_t permits = 0; ///< Sends per second of all hosts with the same list of hosts.
    std::chrono::milliseconds period{0}; ///< For which an instance is inferred to be cold.
};

/// \returns nullopt if cold instances of the service are not limited. \a service may be nullptr.
std::optional<cold_bound> coldBound(const service_spec *service, const router_settings &settings);

/// The beginning or the end of an instance's cold time.
struct cold_change {
    std::string incarnation;
    std::string failureDomain;
    std::optional<cold_reason> reason; ///< nullopt if the instance is warm again.
};

class cold_instances
{
public:
    /// \a settings hold the name of this host and the bounds.
    explicit cold_instances(const router_settings &settings);

    void setSettings(const router_settings &settings) { m_settings = settings; }
    /// Infers from the differences to the previous view which instances may be cold. The first view
    /// is taken as it is.
    void setView(std::shared_ptr<const routing_view> view);

    /// A response of the instance says that it stays cold for \a left.
    void recordColdLeft(const instance &target, std::chrono::milliseconds left, time_point now);
    /// The instance has refused or broken off a connection.
    void recordRefusal(const instance &target, time_point now);
    /// The instance has begun its response to a request sent at \a sentAt.
    void recordAccepted(const instance &target, time_point sentAt, time_point now);
    /// Forgets the instances that have refused a connection and not accepted one since: this host's
    /// own path has caused it.
    void discardRefusals();

    void recordSend(const instance &target, time_point now);
    /// The latest request to the instance left only now, because a connection had to be opened.
    void recordDelayedSend(const std::string &incarnation, time_point now);

    /// Whether this host treats the instance as cold.
    bool isCold(const std::string &incarnation, time_point now) const;
    /// Whether this host may send a request to the instance. True if it is not cold.
    bool maySend(const instance &target, time_point now) const;
    /// \returns when this host may send the next request to the instance, \a now at the earliest;
    /// without a permit, this is the end of the cold time.
    time_point nextSendAt(const instance &target, time_point now) const;
    /// \returns the hosts that hold a permit for any of \a instances.
    std::set<std::string> hostsWithPermits(const std::vector<const instance *> &instances) const;

    /// \returns the number of cold instances; one whose cold time has ended counts until
    /// takeChanges().
    std::size_t coldCount() const { return m_states.size(); }
    /// Removes cold times that have ended and sends that no longer count. \returns the changes
    /// since the last call.
    std::vector<cold_change> takeChanges(time_point now);

private:
    struct cold_state {
        time_point statedUntil; ///< By registrations and responses.
        time_point inferredUntil;
        time_point refusedAt; ///< It last refused a connection.
        time_point refusedUntil;
        bool awaitsResponse = false; ///< It has not responded since it refused one.
        std::string failureDomain;

        time_point until() const { return std::max({statedUntil, inferredUntil, refusedUntil}); }
    };

    std::optional<cold_bound> boundOf(const std::string &service) const;
    /// \returns the state of the instance, which the caller extends; records a change if the
    /// instance was not cold.
    cold_state &markCold(const instance &target, time_point now, cold_reason reason);
    /// The instance is cold for the period of its service, beginning at \a now.
    void inferCold(const instance &target, time_point now, cold_reason reason);
    void readRegistration(const instance &target, time_point now);
    /// \returns how many of \a permits for the instance this host holds.
    std::size_t permitsFor(const std::string &incarnation, std::size_t permits) const;
    /// \returns the number of registered hosts that rank before this one for the instance.
    std::size_t rankFor(const std::string &incarnation) const;

    router_settings m_settings;
    std::shared_ptr<const routing_view> m_view;
    /// Incarnations in m_view; nullopt while there is no configuration or no bound in the settings.
    std::optional<std::set<std::string>> m_present;
    std::set<std::string> m_departed;           ///< Incarnations that were in an earlier view only.
    std::map<std::string, cold_state> m_states; ///< By incarnation.
    /// By incarnation, latest last; without those that are too long ago to matter.
    std::map<std::string, std::deque<time_point>> m_sends;
    mutable std::map<std::string, std::size_t> m_ranks; ///< Of this host, by incarnation.
    std::vector<cold_change> m_changes;
    time_point m_lastSweepAt;
    time_point m_firstViewAt;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_COLD_INSTANCES_H_
