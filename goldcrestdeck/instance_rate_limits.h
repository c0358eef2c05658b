#ifndef GOLDCRESTDECK_INSTANCE_RATE_LIMITS_H_
#define GOLDCRESTDECK_INSTANCE_RATE_LIMITS_H_

/// \file
/// The request rates that upstream instances in need have named in their responses, and this host's
/// share of them.
///
/// An instance names how many requests per second it accepts from all hosts together. Call
/// nextSendAt() before each send, first sends and retries alike, and recordSend() for each. A limit
/// holds from the response that names it until a response to a later request does not; hosts tell
/// each other both with rate_limit_report.
///
/// The hosts divide a limit without communicating: all of them rank the registered hosts alike for
/// each instance, and a few that rank first get equal shares; the others send nothing. Each share
/// may send one request at any time, so their number bounds the burst. With a limit of L per
/// second, an instance gets at most L * t + L + 3 requests in t seconds from hosts that agree on
/// the list.
///
/// Hosts may disagree while hosts join, leave or cannot reach the store:
/// - A host that is cut off keeps the share that the others still leave to it.
/// - Once its registration may have expired, and also if it has none yet, it takes the share of one
///   host of the whole fleet instead, beginning at a random time. Together with the shares of the
///   others, the instance gets at most 2 * L per second on average.
///
/// Performs no I/O and reads no clock. Used by a single thread.

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/rate_limit_report.h"

namespace goldcrestdeck {

class instance_rate_limits
{
public:
    /// \a host is the name of this host.
    instance_rate_limits(std::string host, std::uint64_t seed);

    /// Sets the registered hosts and the largest number of hosts known at once.
    void setHosts(std::shared_ptr<const std::set<std::string>> hosts, std::size_t fleetSize);
    /// Sets the time at which the list of hosts was last known to be current.
    void setConfirmedAt(time_point at) { m_confirmedAt = at; }

    /// Records what a response to a request sent at \a sentAt says: the requests per second that
    /// the instance accepts from all hosts together, or nullopt if it names no limit.
    /// \returns whether this changes the limit of the instance by more than a tenth.
    bool recordResponse(const std::string &incarnation, std::optional<double> perSecond,
                        time_point sentAt, time_point now);
    /// Records what another host has heard, as received at \a receivedAt.
    void recordReport(const rate_limit_report &report, time_point receivedAt);

    /// \returns when this host may send the next request to the instance, \a now at the earliest;
    /// nullopt if it has no share of the instance's limit.
    std::optional<time_point> nextSendAt(const std::string &incarnation, time_point now) const;
    void recordSend(const std::string &incarnation, time_point now);

    /// \returns the requests per second that the instance accepts; nullopt if it has no limit.
    std::optional<double> limitOf(const std::string &incarnation) const;
    std::size_t limitedCount() const { return m_limits.size(); }

    /// Forgets all instances but those in \a incarnations.
    void retain(const std::set<std::string> &incarnations);

private:
    struct named_limit {
        double perSecond = 0;
        time_point firstKnownAt;
        time_point namedAt;                   ///< When this host last heard of it.
        std::optional<time_point> lastSendAt; ///< By this host.
        double initialDelay = 0; ///< Before the first send of an unlisted host, in intervals.
        std::size_t rank = 0;    ///< Of this host for the instance; 0 is the first.
    };

    named_limit &set(const std::string &incarnation, double perSecond, time_point now);
    std::size_t rankFor(const std::string &incarnation) const;

    std::string m_host;
    std::mt19937_64 m_random;
    std::shared_ptr<const std::set<std::string>> m_hosts;
    std::size_t m_fleetSize = 1;
    time_point m_confirmedAt;
    std::map<std::string, named_limit> m_limits; ///< By incarnation.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_INSTANCE_RATE_LIMITS_H_
