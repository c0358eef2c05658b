#ifndef GOLDCRESTDECK_ROUTING_VIEW_H_
#define GOLDCRESTDECK_ROUTING_VIEW_H_

/// \file
/// The immutable snapshot of configuration, instances and rollouts that the control thread
/// publishes to the traffic thread.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/domain_evacuation.h"
#include "goldcrestdeck/feed_cache.h"
#include "goldcrestdeck/instance_directory.h"
#include "goldcrestdeck/rate_limit_report.h"
#include "goldcrestdeck/routing_config.h"
#include "goldcrestdeck/segment_quarantine.h"
#include "goldcrestdeck/version_rollout.h"

namespace goldcrestdeck {

/// The rollout of one service, as known to this host.
struct service_rollout {
    rollout_order order;
    rollout_record record;
    time_point seenAt;      ///< When the record was read, less the known time since it was written.
    bool judgedBad = false; ///< By this host; the shared record may not say so yet.
    /// Versions that earlier orders have rolled back; never the target of this one.
    std::set<std::string> rejectedVersions;
    /// Digests of the sessions that some host had on the baseline version around the order.
    std::shared_ptr<const std::set<std::uint64_t>> baselineSessions;

    /// Time since the order.
    duration elapsed(time_point now) const { return record.elapsed + (now - seenAt); }
};

/// Lower bound of routing_view::fleetSize; also used until the hosts' registrations are known.
constexpr std::size_t minFleetSize = 8;

/// The latest report of one host.
struct received_crash_report {
    crash_report report;
    report_origin origin = report_origin::otherHost;
    time_point receivedAt;
};

/// The latest report on one instance.
struct received_rate_limit {
    rate_limit_report report;
    time_point receivedAt;
};

struct routing_view {
    std::shared_ptr<const routing_config> config;           ///< nullptr until one is known.
    std::map<std::string, std::vector<instance>> instances; ///< By service.
    std::map<std::string, service_rollout> rollouts;        ///< By service.
    /// By host.
    std::map<std::string, std::shared_ptr<const received_crash_report>> crashReports;
    /// By incarnation.
    std::map<std::string, std::shared_ptr<const received_rate_limit>> rateLimits;
    /// The failure domains whose instances get no requests, by order of the operator.
    std::shared_ptr<const std::map<std::string, domain_evacuation>> emptiedDomains
        = std::make_shared<const std::map<std::string, domain_evacuation>>();
    /// Names of the hosts that are registered now.
    std::shared_ptr<const std::set<std::string>> hosts
        = std::make_shared<const std::set<std::string>>();
    /// The registered hosts, with their addresses.
    std::shared_ptr<const std::vector<registered_host>> hostAddresses
        = std::make_shared<const std::vector<registered_host>>();
    time_point publishedAt; ///< By the control thread.
    /// Number of hosts among which the bounds that hold for the whole fleet are divided.
    std::size_t fleetSize = minFleetSize;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROUTING_VIEW_H_
