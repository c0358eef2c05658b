#ifndef GOLDCRESTDECK_ONE_SHOT_TIMER_H_
#define GOLDCRESTDECK_ONE_SHOT_TIMER_H_

/// \file
/// A timer whose handler never runs after the timer has been cancelled or set again.
///
/// Asio's timers do not guarantee this: if a timer has expired and its handler is already queued,
/// the handler still runs after cancel(), with no error. A handler that closes a connection
/// would then drop a request that has just been read. Not thread-safe: use only on the thread of
/// the event loop.

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

    /// Calls \a handler once after \a delay; replaces any earlier handler that has not run yet. The
    /// handler is destroyed after it has run or once it can no longer run.
    void set(duration delay, std::function<void()> handler);
    void cancel();

private:
    boost::asio::steady_timer m_timer;
    std::shared_ptr<std::uint64_t> m_generation; ///< Only the handler of this generation may run.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ONE_SHOT_TIMER_H_
