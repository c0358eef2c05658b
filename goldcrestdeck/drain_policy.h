#ifndef GOLDCRESTDECK_DRAIN_POLICY_H_
#define GOLDCRESTDECK_DRAIN_POLICY_H_

/// \file
/// Decides which requests a draining host still accepts.
///
/// The load balancer keeps opening connections for a while after the host reports not ready; all
/// requests that arrive within this time are accepted. After it, a request is accepted only if its
/// timeout expires before the process exits, with a margin in which its final response, at the
/// latest on its timeout, reaches the client. Any other is refused at once, so that the client can
/// retry on another host.

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct drain_schedule {
    time_point started;
    /// Time until the balancer stops sending new connections: two failed health checks at one per
    /// second, plus a margin.
    std::chrono::milliseconds balancerLag{2900};
    /// Time from the start of draining until the process exits.
    std::chrono::milliseconds exitDelay{7600};
    /// Time in which a response that was made reaches the client.
    std::chrono::milliseconds responseMargin{250};
};

bool acceptsWhileDraining(const drain_schedule &times, duration timeout, time_point now);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_DRAIN_POLICY_H_
