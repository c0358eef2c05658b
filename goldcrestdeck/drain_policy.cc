#include "goldcrestdeck/drain_policy.h"

namespace goldcrestdeck {

bool acceptsWhileDraining(const drain_schedule &times, duration timeout, time_point now)
{
    return now < times.started + times.balancerLag
        || now + timeout + times.responseMargin <= times.started + times.exitDelay;
}

} // namespace goldcrestdeck
