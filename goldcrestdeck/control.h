#ifndef GOLDCRESTDECK_CONTROL_H_
#define GOLDCRESTDECK_CONTROL_H_

/// \file
/// Resources shared by the components on the control thread: its event loop, a thread pool for
/// blocking calls, the clock, the key-value service, the link to other hosts and the metrics.

#include <exception>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio.hpp>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/kv_store.h"
#include "goldcrestdeck/metrics.h"
#include "goldcrestdeck/peer_link.h"

namespace goldcrestdeck {

struct control_context {
    boost::asio::io_context &loop;
    boost::asio::thread_pool &blockingPool;
    const clock &time;
    kv_store store;
    peer_link &peers;
    metrics &counters;
};

/// Runs \a work on the pool for blocking calls, then \a onDone on the control thread with the
/// result, or with an empty optional if \a work threw platform_error.
template<typename Work, typename Done>
void runBlocking(control_context &control, Work work, Done onDone)
{
    boost::asio::post(control.blockingPool, [&control, work = std::move(work), onDone]() mutable {
        using result_type = decltype(work());
        auto result = std::make_shared<std::optional<result_type>>();
        try {
            *result = work();
        } catch (const platform_error &) {
            // Reported to onDone as an empty result.
        }
        boost::asio::post(control.loop, [result, onDone]() mutable { onDone(*result); });
    });
}

/// Calls \a work on the thread of \a loop every \a period until the loop ends.
class periodic_timer
{
public:
    periodic_timer(boost::asio::io_context &loop, std::chrono::milliseconds period,
                   std::function<void()> work)
        : m_timer(loop)
        , m_period(period)
        , m_work(std::move(work))
    {
        arm();
    }

private:
    void arm()
    {
        m_timer.expires_after(m_period);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            m_work();
            arm();
        });
    }

    boost::asio::steady_timer m_timer;
    std::chrono::milliseconds m_period;
    std::function<void()> m_work;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CONTROL_H_
