#include "goldcrestdeck/home_regions.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace goldcrestdeck {

namespace {

bool contains(const std::vector<std::string> &list, const std::string &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

bool operator==(const region_restriction &a, const region_restriction &b)
{
    return std::tie(a.binds, a.allowed) == std::tie(b.binds, b.allowed);
}

region_restriction restrictRegions(const std::vector<std::string> &ofRoute,
                                   const std::vector<std::string> &ofWorkspace)
{
    region_restriction result;
    result.binds = !ofRoute.empty() || !ofWorkspace.empty();
    if (ofRoute.empty() || ofWorkspace.empty()) {
        result.allowed = ofRoute.empty() ? ofWorkspace : ofRoute;
        return result;
    }
    std::copy_if(ofRoute.begin(), ofRoute.end(), std::back_inserter(result.allowed),
                 [&](const std::string &region) { return contains(ofWorkspace, region); });
    return result;
}

bool isDomainAllowed(const region_restriction &restriction, const region_map &regions,
                     const std::string &domain)
{
    if (!restriction.binds)
        return true;
    const auto region = regions.find(domain);
    return region != regions.end() && contains(restriction.allowed, region->second);
}

bool mayHandBodyTo(const region_restriction &restriction, const region_map &regions,
                   const std::string &ownRegion, const std::string &domain)
{
    if (isDomainAllowed(restriction, regions, domain))
        return true;
    const auto region = regions.find(domain);
    return region != regions.end() && !ownRegion.empty() && region->second == ownRegion;
}

} // namespace goldcrestdeck
