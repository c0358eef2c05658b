#ifndef GOLDCRESTDECK_INSTANCE_DIRECTORY_H_
#define GOLDCRESTDECK_INSTANCE_DIRECTORY_H_

/// \file
/// The upstream instances that have registered, as this host believes them to be.
///
/// Feed it whole lists and single changes as they are read, and say when the registry was lost and
/// regained. list() gives the instances that may get requests, draining ones marked. An instance
/// whose entry is missing is gone at once, except for a time after an outage of the registry, in
/// which entries that lapsed meanwhile are being written anew.

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
    std::uint64_t bornMs = 0; ///< Civil time of its start; with the id it names one incarnation.
    std::string service;
    std::string address; ///< "ip:port", checked by the decoder.
    std::string failureDomain;
    std::string version; ///< Of its software or weights.
    unsigned slots = 1;  ///< Requests that it works on at once.
    bool draining = false;

    /// Names this incarnation.
    std::string incarnation() const { return id + '@' + std::to_string(bornMs); }
};

bool operator==(const instance &a, const instance &b);

class instance_directory
{
public:
    /// \a rejoinTime is how long after an outage missing entries are kept.
    explicit instance_directory(std::chrono::milliseconds rejoinTime);

    void replaceAll(const std::vector<instance> &entries, time_point now);
    void put(const instance &entry);
    /// The instance has left.
    void remove(const std::string &id);
    /// The entry went during an outage: it may have left, or only have been unable to register.
    void lapse(const std::string &id, time_point now);
    /// The registry answers again after an outage.
    void noteRegained(time_point now);
    /// Drops what has been missing for too long. \returns whether anything was dropped.
    bool expire(time_point now);

    std::vector<instance> list() const;

private:
    struct entry {
        instance known;
        bool missing = false;
    };

    void miss(std::map<std::string, entry>::iterator position, time_point now);

    std::chrono::milliseconds m_rejoinTime;
    time_point m_rejoinUntil;
    std::map<std::string, entry> m_entries;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_INSTANCE_DIRECTORY_H_
