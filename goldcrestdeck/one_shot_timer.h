#ifndef GOLDCRESTDECK_ONE_SHOT_TIMER_H_
#define GOLDCRESTDECK_ONE_SHOT_TIMER_H_

/// \file
/// A timer whose work never runs once it has been cancelled or set anew.
///
/// Asio's own timers promise less: an expired timer's handler that already waits in the loop's
/// queue still runs, without an error, after cancel(). Work that ends a connection then hits a
/// request that has just been read. Use on the thread of its event loop only.

#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

class one_shot_timer
{
public:
    explicit one_shot_timer(const boost::asio::any_io_executor &executor);
    ~one_shot_timer();
    one_shot_timer(const one_shot_timer &) = delete;
    one_shot_timer &operator=(const one_shot_timer &) = delete;

    /// Runs \a work after \a time, in place of what was set before. What \a work holds is released
    /// when it has run or can no longer run.
    void set(duration time, std::function<void()> work);
    void cancel();

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_setting; ///< Number of the setting that may still run.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ONE_SHOT_TIMER_H_
