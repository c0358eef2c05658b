#ifndef GOLDCRESTDECK_UPSTREAM_REACHABILITY_H_
#define GOLDCRESTDECK_UPSTREAM_REACHABILITY_H_

/// \file
/// Tells whether this host has lost its network path to the upstream instances, as opposed to
/// instances that have failed.
///
/// Report every attempt to open a connection to an instance. The path is suspect after a failure
/// and lost once enough different instances, of more than one service where there are several, have
/// failed in succession; a single new connection clears it of suspicion. A lost path is regained
/// when new connections to different instances succeed. Bytes on connections that are already open
/// say nothing about new ones, so they are no evidence for the path; their absence is a reason to
/// test it.
///
/// Performs no I/O and reads no clock. Used by a single thread.

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/instance_directory.h"

namespace goldcrestdeck {

enum class path_state { intact, suspect, lost };

const char *toString(path_state state);

struct reachability_parameters {
    std::size_t minFailedInstances = 3; ///< For the path to be lost; all, if fewer are known.
    std::size_t minFailedServices = 2;  ///< Likewise.
    std::size_t minConnected = 2;       ///< Instances, for a lost path to be regained.
    /// Failures further apart are taken for separate events.
    std::chrono::milliseconds evidenceLifetime{2000};
    /// Sends without any byte from any instance for this long are a reason to test the path.
    std::chrono::milliseconds silence{500};
};

class upstream_reachability
{
public:
    upstream_reachability(reachability_parameters parameters, std::uint64_t seed);

    /// Sets the instances, by service. Failures of others, and of draining ones, don't count.
    void setInstances(const std::map<std::string, std::vector<instance>> &instances);

    void recordConnected(const std::string &incarnation);
    void recordConnectFailed(const std::string &incarnation, time_point now);
    /// An instance has sent something.
    void recordBytes(time_point now) { m_lastBytesAt = now; }
    time_point lastBytesAt() const { return m_lastBytesAt; }
    /// Whether no instance has sent anything for so long that the path should be tested, given that
    /// a response has been outstanding since \a waitingSince.
    bool isSilent(time_point waitingSince, time_point now) const;

    path_state state() const { return m_state; }
    /// The failures that the state rests on.
    std::size_t failedCount() const { return m_failed.size(); }

    /// \returns an instance that a trial connection would tell most about: one that is not known to
    /// fail, of a service without failures if there is one; when the path is lost, any. Not the one
    /// with the incarnation \a except. nullopt if there is none.
    std::optional<instance> trialTarget(const std::string &except);

private:
    bool isLost() const;
    std::set<std::string> failedServices() const;

    reachability_parameters m_parameters;
    std::mt19937_64 m_random;
    std::map<std::string, instance> m_instances; ///< By incarnation, without draining ones.
    std::size_t m_services = 0;
    path_state m_state = path_state::intact;
    std::map<std::string, time_point> m_failed; ///< By incarnation, since the last success.
    std::set<std::string> m_connected;          ///< Incarnations, while the path is lost.
    time_point m_lastBytesAt;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_UPSTREAM_REACHABILITY_H_
