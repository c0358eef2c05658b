#ifndef GOLDCRESTDECK_ROUTING_VIEW_H_
#define GOLDCRESTDECK_ROUTING_VIEW_H_

/// \file
/// What the control thread tells the traffic thread: an immutable snapshot of configuration,
/// instances and roll-outs.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/instance_directory.h"
#include "goldcrestdeck/routing_config.h"
#include "goldcrestdeck/version_rollout.h"

namespace goldcrestdeck {

/// A roll-out of one service, as far as this host knows.
struct service_rollout {
    rollout_order order;
    rollout_record record;
    time_point seenAt;      ///< When this host first read the record.
    bool judgedBad = false; ///< By this host; the shared record may not say so yet.
    /// Digests of sessions that some host had on the established version when it was ordered.
    std::shared_ptr<const std::set<std::uint64_t>> establishedSessions;

    /// Time since the order.
    duration elapsed(time_point now) const { return record.elapsed + (now - seenAt); }
};

/// Taken until the hosts' registrations are known, and for smaller fleets.
constexpr std::size_t leastFleetSize = 8;

struct routing_view {
    std::shared_ptr<const routing_config> config;           ///< nullptr: none known yet.
    std::map<std::string, std::vector<instance>> instances; ///< By service.
    std::map<std::string, service_rollout> rollouts;        ///< By service.
    /// Hosts among which bounds of the whole fleet are divided.
    std::size_t fleetSize = leastFleetSize;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROUTING_VIEW_H_
