#ifndef GOLDCRESTDECK_INSTANCE_DIRECTORY_H_
#define GOLDCRESTDECK_INSTANCE_DIRECTORY_H_

/// \file
/// The registered upstream instances, as known to this host.
///
/// The owner passes in full lists and single changes as they are read, and reports when the
/// registry responds again after an outage. list() returns the instances that may get requests;
/// draining ones are marked. An instance whose entry disappears is removed at once, except for a
/// grace period after an outage of the registry, during which instances rewrite entries that
/// expired meanwhile.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

/// One process of an upstream service.
struct instance {
    std::string id;
    /// Wall-clock start time; with the id it identifies an incarnation.
    std::uint64_t startedMs = 0;
    std::string service;
    std::string address; ///< "ip:port", validated by the decoder.
    std::string failureDomain;
    std::string version; ///< Of its software or weights.
    unsigned slots = 1;  ///< Number of requests it processes concurrently.
    bool draining = false;

    /// Unique to this incarnation.
    std::string incarnation() const { return id + '@' + std::to_string(startedMs); }
};

bool operator==(const instance &a, const instance &b);

class instance_directory
{
public:
    /// \a rejoinGracePeriod is how long missing entries are kept after an outage.
    explicit instance_directory(std::chrono::milliseconds rejoinGracePeriod);

    void replaceAll(const std::vector<instance> &entries, time_point now);
    void put(const instance &entry);
    /// The instance has deregistered.
    void remove(const std::string &id);
    /// The entry disappeared during an outage: the instance may have stopped, or only have been
    /// unable to renew its registration.
    void markMissing(const std::string &id, time_point now);
    /// The registry responds again after an outage.
    void startRejoinGracePeriod(time_point now);
    /// Removes entries that are still missing at the end of the grace period. \returns whether any
    /// were removed.
    bool expire(time_point now);

    std::vector<instance> list() const;

private:
    struct entry {
        instance value;
        bool missing = false;
    };

    void eraseOrKeepMissing(std::map<std::string, entry>::iterator position, time_point now);

    std::chrono::milliseconds m_rejoinGracePeriod;
    time_point m_rejoinDeadline;
    std::map<std::string, entry> m_entries;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_INSTANCE_DIRECTORY_H_
