// Uses CLOCK_BOOTTIME because std::chrono::steady_clock does not advance while the system is
// suspended: a lease measured on it would still be valid after its expiry.

#include "goldcrestdeck/clock.h"

#include <ctime>

namespace goldcrestdeck {

time_point system_clock::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) + duration(reading.tv_nsec));
}

wall_time system_clock::wallNow() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace goldcrestdeck
