#include "goldcrestdeck/liveness_check.h"

#include <optional>

#include <gtest/gtest.h>

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

class liveness_check_fixture : public ::testing::Test
{
protected:
    liveness_check_fixture()
        : m_acceptor(m_io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , m_server(m_acceptor.local_endpoint())
    {
        liveness_parameters parameters;
        parameters.delay = milliseconds(20);
        parameters.maxChecks = 2;
        m_check.emplace(m_io, m_clock, parameters);
    }

    bool start(const std::string &processId)
    {
        return m_check->start(m_server, processId, [this](liveness state, time_point openedAt) {
            m_results.push_back(state);
            m_openedAt = openedAt;
        });
    }

    boost::asio::io_context m_io;
    system_clock m_clock;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_server;
    std::optional<liveness_check> m_check;
    std::vector<liveness> m_results;
    time_point m_openedAt;
};

TEST_F(liveness_check_fixture, process_that_listens_is_accepting)
{
    const time_point begin = m_clock.now();
    EXPECT_TRUE(start("p"));
    m_io.run();
    EXPECT_EQ(std::vector<liveness>{liveness::accepting}, m_results);
    EXPECT_GE(m_openedAt, begin + milliseconds(20));
}

TEST_F(liveness_check_fixture, process_that_has_ended_is_refusing)
{
    m_acceptor.close();
    EXPECT_TRUE(start("p"));
    m_io.run();
    EXPECT_EQ(std::vector<liveness>{liveness::refusing}, m_results);
}

TEST_F(liveness_check_fixture, checks_of_one_process_run_one_at_a_time_and_their_number_is_bounded)
{
    EXPECT_TRUE(start("p"));
    EXPECT_FALSE(start("p"));
    EXPECT_TRUE(start("q"));
    EXPECT_FALSE(start("r"));
    m_io.run();
    EXPECT_EQ(2U, m_results.size());
    m_io.restart();
    EXPECT_TRUE(start("p"));
    m_io.run();
    EXPECT_EQ(3U, m_results.size());
}

TEST_F(liveness_check_fixture, result_after_the_destruction_of_the_check_is_dropped)
{
    EXPECT_TRUE(start("p"));
    m_check.reset();
    m_io.run();
    EXPECT_TRUE(m_results.empty());
}

} // namespace
} // namespace goldcrestdeck
