#ifndef GOLDCRESTDECK_DRAIN_POLICY_H_
#define GOLDCRESTDECK_DRAIN_POLICY_H_

/// \file
/// Which requests a host that is stopping still takes.
///
/// The balancer sends new connections for a while after the host says that it is not ready: what
/// comes in that time is served. After it, a request is taken only if its client's patience ends
/// before the process does; any other is refused at once, so that it can be served elsewhere.

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct drain_times {
    time_point started;
    std::chrono::milliseconds balancerLag{
        2900};                                ///< Two missed probes, one a second, and a reserve.
    std::chrono::milliseconds stopTime{7600}; ///< After which the process ends.
};

bool acceptsWhileDraining(const drain_times &times, duration patience, time_point now);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_DRAIN_POLICY_H_
