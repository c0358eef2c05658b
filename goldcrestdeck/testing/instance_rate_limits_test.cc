#include "goldcrestdeck/instance_rate_limits.h"

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char *const limited = "i1@5";

/// Hosts before one instance; each of them always has a request for it.
class limited_fleet
{
public:
    limited_fleet(std::size_t hosts, double perSecond)
        : m_perSecond(perSecond)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            m_names.push_back("host-" + std::to_string(i));
            m_hosts.emplace_back(m_names.back(), i + 1);
            m_canReachStore.push_back(true);
        }
        setList(m_names);
        confirm();
    }

    /// Tells each host of the limit.
    void nameLimit()
    {
        for (instance_rate_limits &host : m_hosts)
            host.recordResponse(limited, m_perSecond, m_time.now(), m_time.now());
    }

    /// Cuts the first \a count hosts off from the store.
    void cutOff(std::size_t count) { std::fill_n(m_canReachStore.begin(), count, false); }

    /// Gives the hosts that reach the store a list without the first \a count hosts.
    void expireRegistrations(std::size_t count)
    {
        setList({m_names.begin() + static_cast<std::ptrdiff_t>(count), m_names.end()});
    }

    void play(duration time)
    {
        const time_point end = m_time.now() + time;
        for (; m_time.now() < end; m_time.advance(milliseconds(10))) {
            confirm();
            for (instance_rate_limits &host : m_hosts) {
                const auto next = host.nextSendAt(limited, m_time.now());
                if (!next || *next > m_time.now())
                    continue;
                host.recordSend(limited, m_time.now());
                m_sends.push_back(m_time.now());
            }
        }
    }

    std::size_t sendsSince(time_point begin) const
    {
        return m_sends.end() - std::lower_bound(m_sends.begin(), m_sends.end(), begin);
    }

    /// \returns the largest number of sends in 4 s, from \a begin on.
    std::size_t mostInFourSeconds(time_point begin) const
    {
        std::size_t most = 0;
        for (auto first = std::lower_bound(m_sends.begin(), m_sends.end(), begin);
             first != m_sends.end(); ++first) {
            const auto last = std::lower_bound(first, m_sends.end(), *first + seconds(4));
            most = std::max<std::size_t>(most, last - first);
        }
        return most;
    }

    /// The users' bound on the sends in 4 s.
    double bound() const { return 1.5 * m_perSecond * 4 + 5; }

    manual_clock m_time;

private:
    void setList(const std::vector<std::string> &names)
    {
        const auto list = std::make_shared<const std::set<std::string>>(names.begin(), names.end());
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (m_canReachStore[i])
                m_hosts[i].setHosts(list, m_hosts.size());
        }
    }

    void confirm()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (m_canReachStore[i])
                m_hosts[i].setConfirmedAt(m_time.now());
        }
    }

    double m_perSecond;
    std::vector<std::string> m_names;
    std::vector<instance_rate_limits> m_hosts;
    std::vector<bool> m_canReachStore;
    std::vector<time_point> m_sends;
};

std::size_t drawHosts()
{
    return *rc::gen::inRange<std::size_t>(1, 80);
}

double drawLimit()
{
    return *rc::gen::inRange(2, 200) / 10.0;
}

RC_GTEST_PROP(instance_rate_limits, hosts_that_agree_keep_to_the_limit_and_use_it, ())
{
    const double perSecond = drawLimit();
    limited_fleet fleet(drawHosts(), perSecond);
    fleet.nameLimit();
    fleet.play(seconds(60));
    RC_ASSERT(fleet.mostInFourSeconds(time_point()) <= fleet.bound());
    RC_ASSERT(fleet.sendsSince(time_point()) >= 0.8 * perSecond * 60 - 1);
}

RC_GTEST_PROP(instance_rate_limits, hosts_cut_off_from_the_store_keep_to_the_limit_for_20_s, ())
{
    const std::size_t hosts = drawHosts();
    limited_fleet fleet(hosts, drawLimit());
    fleet.nameLimit();
    fleet.play(seconds(5));
    fleet.cutOff(*rc::gen::inRange<std::size_t>(0, hosts + 1));
    fleet.play(seconds(20));
    RC_ASSERT(fleet.mostInFourSeconds(time_point()) <= fleet.bound());
}

// After that the others divide the limit without the hosts that are cut off.
RC_GTEST_PROP(instance_rate_limits, hosts_cut_off_for_long_add_at_most_the_limit_once_more, ())
{
    const std::size_t hosts = drawHosts();
    const double perSecond = drawLimit();
    limited_fleet fleet(hosts, perSecond);
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, hosts + 1);
    fleet.cutOff(cut);
    fleet.play(seconds(30));
    fleet.nameLimit();
    if (cut < hosts)
        fleet.expireRegistrations(cut);
    const time_point begin = fleet.m_time.now();
    fleet.play(seconds(120));
    RC_ASSERT(fleet.sendsSince(begin) <= 2 * perSecond * 120 + perSecond + 3 + hosts);
    // A fleet that is cut off as a whole still uses the instance.
    RC_ASSERT(fleet.sendsSince(begin) >= 1U || perSecond * 120 < hosts);
}

RC_GTEST_PROP(instance_rate_limits, half_the_hosts_losing_the_store_do_not_send_at_once, ())
{
    const std::size_t hosts = 8 + drawHosts();
    limited_fleet fleet(hosts, 0.5);
    fleet.nameLimit();
    fleet.play(seconds(5));
    fleet.cutOff(hosts / 2);
    fleet.play(seconds(19));
    const time_point begin = fleet.m_time.now();
    fleet.play(seconds(2));
    RC_ASSERT(fleet.sendsSince(begin) <= 6U);
}

class instance_rate_limits_fixture : public ::testing::Test
{
protected:
    instance_rate_limits_fixture()
    {
        m_limits.setHosts(
            std::make_shared<const std::set<std::string>>(std::set<std::string>{"a", "b"}), 8);
        m_limits.setConfirmedAt(m_time.now());
    }

    bool maySend()
    {
        const auto next = m_limits.nextSendAt(limited, m_time.now());
        return next && *next <= m_time.now();
    }

    manual_clock m_time;
    instance_rate_limits m_limits{"a", 1};
};

TEST_F(instance_rate_limits_fixture, limit_ends_with_a_response_to_a_later_request_without_it)
{
    const time_point first = m_time.now();
    EXPECT_TRUE(maySend());
    m_time.advance(seconds(1));
    EXPECT_TRUE(m_limits.recordResponse(limited, 0.1, first, m_time.now()));
    EXPECT_FALSE(maySend());
    // Sent before the limit was named, and overtaken.
    EXPECT_FALSE(m_limits.recordResponse(limited, std::nullopt, first, m_time.now()));
    EXPECT_FALSE(maySend());
    EXPECT_FALSE(m_limits.recordResponse(limited, 0.1, m_time.now(), m_time.now()));
    EXPECT_TRUE(m_limits.recordResponse(limited, std::nullopt, m_time.now(), m_time.now()));
    EXPECT_TRUE(maySend());
    EXPECT_FALSE(m_limits.recordResponse(limited, std::nullopt, m_time.now(), m_time.now()));
}

TEST_F(instance_rate_limits_fixture, limit_heard_by_another_host_holds_here_until_it_is_lifted)
{
    m_limits.recordReport({limited, 0.1}, m_time.now());
    EXPECT_EQ(0.1, m_limits.limitOf(limited).value());
    EXPECT_TRUE(maySend());
    m_limits.recordSend(limited, m_time.now());
    EXPECT_FALSE(maySend());
    m_limits.recordReport({limited, std::nullopt}, m_time.now() - seconds(1));
    EXPECT_FALSE(maySend()); // This host has heard otherwise since.
    m_limits.recordReport({limited, std::nullopt}, m_time.now());
    EXPECT_TRUE(maySend());
}

TEST_F(instance_rate_limits_fixture, limits_of_any_size_are_bounded)
{
    const std::vector<std::pair<double, double>> cases{{0, 0.1}, {1e300, 1e6}, {2.5, 2.5}};
    for (const auto &[named, expected] : cases) {
        m_limits.recordResponse(limited, named, m_time.now(), m_time.now());
        EXPECT_EQ(expected, m_limits.limitOf(limited).value());
        EXPECT_TRUE(m_limits.nextSendAt(limited, m_time.now()).has_value());
    }
}

TEST_F(instance_rate_limits_fixture, instances_that_are_gone_are_forgotten)
{
    m_limits.recordReport({limited, 1}, m_time.now());
    m_limits.recordReport({"i2@5", 1}, m_time.now());
    m_limits.retain({"i2@5"});
    EXPECT_EQ(1U, m_limits.limitedCount());
}

TEST(rate_limit_report, encoded_report_is_decoded_and_malformed_text_is_rejected)
{
    for (const rate_limit_report &report :
         {rate_limit_report{"i1", 1.7}, rate_limit_report{"i1", std::nullopt}})
        EXPECT_EQ(report, decodeRateLimit("i1", encodeRateLimit(report)));
    for (const char *text : {"", "[", R"({"per_second": -1})", R"({"per_second": "x"})"})
        EXPECT_THROW(decodeRateLimit("i1", text), json_error) << text;
}

} // namespace
} // namespace goldcrestdeck
