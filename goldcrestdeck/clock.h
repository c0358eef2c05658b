#ifndef GOLDCRESTDECK_CLOCK_H_
#define GOLDCRESTDECK_CLOCK_H_

/// \file
/// Clock interface, so that tests of leases and timeouts need not wait.
///
/// Durations are measured with clock::now(). system_clock keeps counting while the process is
/// stopped or the system is suspended, so that a lease expires even while its holder is suspended.

#include <chrono>

namespace goldcrestdeck {

using duration = std::chrono::nanoseconds;
/// A reading of the monotonic clock; not comparable between processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;
/// Calendar time, for account entries; never used to decide whether a lease is valid.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

class clock
{
public:
    virtual ~clock() = default;
    virtual time_point now() const = 0;
    virtual wall_time wallNow() const = 0;
};

/// The operating system's monotonic and real-time clocks.
class system_clock : public clock
{
public:
    time_point now() const override;
    wall_time wallNow() const override;
};

/// A clock for tests that advances only by calls of advance().
class manual_clock : public clock
{
public:
    time_point now() const override { return m_now; }
    wall_time wallNow() const override
    {
        return wall_time(
            std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()));
    }
    void advance(duration step) { m_now += step; }

private:
    time_point m_now{std::chrono::hours(1)};
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CLOCK_H_
