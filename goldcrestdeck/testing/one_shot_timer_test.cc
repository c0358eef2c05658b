#include "goldcrestdeck/one_shot_timer.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;

/// Two timers that have both expired when the loop first looks: the handler of the second waits in
/// the queue while that of the first runs.
class one_shot_timer_fixture : public ::testing::Test
{
protected:
    /// Runs \a work from the first timer. \returns how often the second one's work has run.
    int runBehind(const std::function<void()> &work)
    {
        first.set(milliseconds(1), work);
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

TEST_F(one_shot_timer_fixture, expired_timer_left_alone_runs_once)
{
    EXPECT_EQ(runBehind([] {}), 1);
}

TEST_F(one_shot_timer_fixture, expired_timer_cancelled_in_the_queue_does_not_run)
{
    EXPECT_EQ(runBehind([this] { second.cancel(); }), 0);
}

TEST_F(one_shot_timer_fixture, expired_timer_set_anew_runs_only_what_was_set_last)
{
    EXPECT_EQ(runBehind([this] { second.set(milliseconds(1), [this] { runs += 10; }); }), 10);
}

} // namespace
} // namespace goldcrestdeck
