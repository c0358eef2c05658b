#ifndef GOLDCRESTDECK_UPSTREAMS_H_
#define GOLDCRESTDECK_UPSTREAMS_H_

/// \file
/// Registry of the upstreams in the platform's host list, with the load and health that this host
/// has observed of each.
///
/// Thread-safe. Each update replaces the whole list; upstreams that remain listed keep their state.

#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "goldcrestdeck/balance.h"
#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/limits.h"

namespace goldcrestdeck {

/// An upstream as described by the host list.
struct upstream_entry {
    std::string address; ///< "ip:port"
    std::string failureDomain;
    std::vector<std::string> versions; ///< Versions of models or plain services that it serves.
    double reportedLoad = 0;           ///< Requests in progress at its last report.
    bool draining = false;             ///< Listed with the state "leaving".
};

/// \throws platform_error
std::vector<upstream_entry> decodeHostList(const std::string &json);

/// The state of one upstream. Thread-safe.
class upstream
{
public:
    explicit upstream(upstream_entry entry);

    std::string address() const { return m_address; }
    bool serves(const std::string &version) const;
    /// Whether requests may be sent to it: not draining, and its circuit breaker allows it.
    bool isAvailable(time_point now) const;
    upstream_load load(const std::string &ownDomain) const;

    /// Applies a new host list entry and restarts the counts since the last report.
    void applyHostListEntry(const upstream_entry &entry);
    /// Marks the upstream as draining: no new requests are sent to it before \a until.
    void markDraining(time_point until);
    bool isDraining(time_point now) const;

    void recordSent(time_point now);
    /// Records the time from sending a request to the first byte of its response.
    void recordFirstByte(duration timeToFirstByte);
    void recordFinished(bool success, time_point now);

private:
    const std::string m_address;
    mutable std::mutex m_mutex;
    upstream_entry m_entry;
    double m_sentSinceReport = 0;
    double m_finishedSinceReport = 0;
    double m_secondsPerRequest = 0;
    circuit_breaker m_breaker;
    time_point m_drainingUntil;
};

class upstream_registry
{
public:
    explicit upstream_registry(std::string ownDomain);

    /// Replaces the list. \returns the addresses of the entries marked as draining.
    std::vector<std::string> update(const std::vector<upstream_entry> &entries);
    void markDraining(const std::string &address, time_point until);

    /// Whether an available upstream serves \a version.
    bool canServe(const std::string &version, time_point now) const;

    /// Selects the upstream for a request, excluding the addresses in \a tried. \a liveHosts is the
    /// number of hosts that are assumed to send at the same rate as this one. \returns nullptr if
    /// no upstream is available.
    std::shared_ptr<upstream> choose(const std::string &version,
                                     const std::vector<std::string> &tried, double liveHosts,
                                     std::uint64_t prefixHash, time_point now);

private:
    using upstream_map = std::map<std::string, std::shared_ptr<upstream>>;

    std::vector<std::shared_ptr<upstream>> availableUpstreams(const std::string &version,
                                                              time_point now) const;
    bool isPrefixLikelyCached(const std::string &address, std::uint64_t prefixHash) const;

    std::string m_ownDomain;
    mutable std::mutex m_mutex;
    upstream_map m_upstreams;
    /// The address that each prompt prefix was last sent to, by prefix hash.
    std::map<std::uint64_t, std::string> m_prefixAddresses;
    std::mt19937_64 m_random;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_UPSTREAMS_H_
