#ifndef GOLDCRESTDECK_BALANCE_H_
#define GOLDCRESTDECK_BALANCE_H_

/// \file
/// Load balancing across the upstreams of a version.
///
/// Power of two choices on the expected wait: the load last reported by the upstream, adjusted for
/// the requests this host has sent and completed since, times the upstream's recent time per
/// request. Upstreams in the host's own failure domain and those with a cached prompt prefix get
/// bounded bonuses. A least-load baseline is provided for comparison.

#include <cstdint>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

/// Load of one upstream as seen by this host at the time of a request.
struct upstream_load {
    std::string address;
    bool sameDomain = false;
    double reported = 0;        ///< Requests in flight according to its last report.
    double sentSinceReport = 0; ///< By this host.
    double finishedSinceReport = 0;
    /// Smoothed time to first token per queued request; 0 if unknown.
    double secondsPerRequest = 0;
    bool prefixCached = false;
};

struct balance_parameters {
    /// Number of hosts assumed to send at this host's rate; scales the adjustment to the report.
    double sendingHosts = 1;
    double otherDomainPenaltySeconds = 0.003;
    double prefixBonus = 0.3; ///< Fraction of one request's time saved by a cached prefix.
    std::size_t choices = 2;  ///< Upstreams sampled per request.
};

/// Expected time to first token of a request sent now, in seconds.
double expectedWait(const upstream_load &load, const balance_parameters &parameters);

/// \returns the index of the chosen upstream in \a loads, which must not be empty. \a random is a
/// uniform random bit generator.
template<typename Random>
std::size_t pickUpstream(const std::vector<upstream_load> &loads,
                         const balance_parameters &parameters, Random &random)
{
    std::size_t best = random() % loads.size();
    double bestWait = expectedWait(loads[best], parameters);
    for (std::size_t i = 1; i < parameters.choices; ++i) {
        const std::size_t other = random() % loads.size();
        const double wait = expectedWait(loads[other], parameters);
        if (wait < bestWait) {
            best = other;
            bestWait = wait;
        }
    }
    return best;
}

/// Baseline: \returns the index of the upstream with the lowest reported load.
std::size_t pickLeastReported(const std::vector<upstream_load> &loads);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_BALANCE_H_
