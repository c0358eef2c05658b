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
///
/// A registry that comes back from an older copy lacks the latest registrations, and shows
/// instances as ready that were draining or gone. The former get the same grace period; the latter
/// stay unused until they write their registration anew.

#include <chrono>
#include <cstdint>
#include <deque>
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
    /// Rises with each write of the registration; 0 if it has none. Not compared by ==.
    std::uint64_t sequence = 0;
    /// How long the instance stays cold, counted from the receipt of the registration. Compared by
    /// == only as to whether it is 0: heartbeats repeat it with ever smaller values.
    std::chrono::milliseconds coldLeft{0};
    time_point readAt; ///< When this host read the registration. Not compared by ==.

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
    /// The instance has written its registration.
    void put(const instance &entry);
    /// The instance has deregistered.
    void remove(const std::string &id);
    /// The entry disappeared during an outage: the instance may have stopped, or only have been
    /// unable to renew its registration.
    void markMissing(const std::string &id, time_point now);
    /// The registry responds again after an outage.
    void startRejoinGracePeriod(time_point now);
    /// The registry has come back from an older copy.
    void handleRestoredRegistry(time_point now);
    /// Removes entries that are still missing at the end of the grace period. \returns whether any
    /// were removed.
    bool expire(time_point now);

    std::vector<instance> list() const;

private:
    struct entry {
        instance value;
        bool missing = false;
    };

    void set(const instance &entry);
    void recordDeparture(const instance &entry);
    /// Whether \a entry may be a lost registration of an incarnation that has departed since.
    bool isOutdated(const instance &entry) const;
    void eraseOrKeepMissing(std::map<std::string, entry>::iterator position, time_point now);

    std::chrono::milliseconds m_rejoinGracePeriod;
    time_point m_rejoinDeadline;
    std::map<std::string, entry> m_entries;
    /// Latest sequence of incarnations that were draining when last seen, or are gone.
    std::map<std::string, std::uint64_t> m_departed;
    std::deque<std::string> m_departureOrder; ///< Keys of m_departed, oldest first.
    /// m_departed as of the latest return from an older copy; with the sequence in the copy if that
    /// is higher, since this host does not see every write.
    std::map<std::string, std::uint64_t> m_departedBeforeRestore;
    bool m_awaitingCopy = false; ///< The next full list is the first one from the copy.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_INSTANCE_DIRECTORY_H_
