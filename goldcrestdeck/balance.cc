// Reported load is stale, so hosts that all pick the least loaded upstream overload the same one.
// Choosing between two random upstreams avoids this herding across hosts; adjusting the report for
// the host's own requests avoids it within one host.

#include "goldcrestdeck/balance.h"

#include <algorithm>

namespace goldcrestdeck {

namespace {

/// Assumed for an upstream that has not answered yet; low enough that it receives requests.
constexpr double defaultSecondsPerRequest = 0.02;

} // namespace

double expectedWait(const upstream_load &load, const balance_parameters &parameters)
{
    const double ownChange = load.sentSinceReport - load.finishedSinceReport;
    const double queued = std::max(0.0, load.reported + ownChange * parameters.sendingHosts);
    const double secondsPerRequest
        = load.secondsPerRequest > 0 ? load.secondsPerRequest : defaultSecondsPerRequest;
    const double savedRequests = load.prefixCached ? parameters.prefixBonus : 0;
    const double domainPenalty = load.sameDomain ? 0 : parameters.otherDomainPenaltySeconds;
    return (queued + 1 - savedRequests) * secondsPerRequest + domainPenalty;
}

std::size_t pickLeastReported(const std::vector<upstream_load> &loads)
{
    const auto less
        = [](const upstream_load &a, const upstream_load &b) { return a.reported < b.reported; };
    return static_cast<std::size_t>(std::min_element(loads.begin(), loads.end(), less)
                                    - loads.begin());
}

} // namespace goldcrestdeck
