#include "goldcrestdeck/one_shot_timer.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;

/// Two timers that have both expired before the event loop runs: the second timer's handler is
/// already queued while the first one's runs.
class one_shot_timer_fixture : public ::testing::Test
{
protected:
    /// Runs \a handler from the first timer. \returns how often the second timer's handler ran.
    int runQueuedAfter(const std::function<void()> &handler)
    {
        first.set(milliseconds(1), handler);
        second.set(milliseconds(2), [this] { ++runs; });
        std::this_thread::sleep_for(milliseconds(10));
        io.run();
        return runs;
    }

    boost::asio::io_context io;
    one_shot_timer first{io.get_executor()};
    one_shot_timer second{io.get_executor()};
    int runs = 0;
};

TEST_F(one_shot_timer_fixture, expired_timer_not_cancelled_runs_once)
{
    EXPECT_EQ(runQueuedAfter([] {}), 1);
}

TEST_F(one_shot_timer_fixture, expired_timer_cancelled_while_queued_does_not_run)
{
    EXPECT_EQ(runQueuedAfter([this] { second.cancel(); }), 0);
}

TEST_F(one_shot_timer_fixture, expired_timer_set_again_runs_only_latest_handler)
{
    EXPECT_EQ(runQueuedAfter([this] { second.set(milliseconds(1), [this] { runs += 10; }); }), 10);
}

} // namespace
} // namespace goldcrestdeck
