#ifndef GOLDCRESTDECK_HOME_REGIONS_H_
#define GOLDCRESTDECK_HOME_REGIONS_H_

/// \file
/// Data residency: the regions whose instances and hosts may get a request.
///
/// A route and a workspace may each list regions; an empty list restricts nothing, and of two lists
/// both apply. Where a restriction applies, a failure domain without a known region is not allowed.
/// Pure functions.

#include <map>
#include <string>
#include <vector>

namespace goldcrestdeck {

/// The regions that a request may be sent to.
struct region_restriction {
    bool binds = false;               ///< Otherwise any region is allowed.
    std::vector<std::string> allowed; ///< May be empty although it binds: none is allowed.
};

bool operator==(const region_restriction &a, const region_restriction &b);

/// \returns the restriction that follows from the lists of the route and of the workspace.
region_restriction restrictRegions(const std::vector<std::string> &ofRoute,
                                   const std::vector<std::string> &ofWorkspace);

/// Region by failure domain.
using region_map = std::map<std::string, std::string>;

/// Whether an instance in \a domain may get the request.
bool isDomainAllowed(const region_restriction &restriction, const region_map &regions,
                     const std::string &domain);

/// Whether a host in \a domain may get the body of the request from a host in \a ownRegion, which
/// is empty if it is unknown. Within one region it always may: the body does not leave the region.
bool mayHandBodyTo(const region_restriction &restriction, const region_map &regions,
                   const std::string &ownRegion, const std::string &domain);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HOME_REGIONS_H_
