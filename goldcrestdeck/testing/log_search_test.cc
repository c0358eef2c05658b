#include "goldcrestdeck/log_search.h"

#include <gtest/gtest.h>

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;

class log_search_fixture : public ::testing::Test
{
protected:
    log_search_fixture()
    {
        add("10:00:02.500", "h1", "request_done", "r1");
        add("10:00:01.000", "h1", "store_lost");
        add("10:00:02.000", "h1", "send_ended", "r1");
        add("10:00:02.100", "h2", "store_lost");
        add("10:00:02.200", "h1", "request_done", "r2");
        add("10:00:09.000", "h1", "store_regained");
    }

    void add(const std::string &time, const std::string &host, const std::string &event,
             const std::string &request = "")
    {
        std::string line = "  12.5 front-1 {\"time\":\"2026-12-04T";
        line.append(time).append("Z\",\"host\":\"").append(host).append("\",\"event\":\"");
        line.append(event).append("\"");
        if (!request.empty())
            line.append(",\"request\":\"").append(request).append("\"");
        m_search.add(line + "}");
    }

    std::vector<std::string> eventsOf(const std::string &request, milliseconds margin)
    {
        std::vector<std::string> events;
        for (const log_line &line : m_search.find(request, margin))
            events.push_back(line.event);
        return events;
    }

    log_search m_search;
};

TEST_F(log_search_fixture, find_without_margin_returns_request_lines_by_time)
{
    EXPECT_EQ(eventsOf("r1", milliseconds(0)),
              (std::vector<std::string>{"send_ended", "request_done"}));
    EXPECT_TRUE(eventsOf("r9", milliseconds(0)).empty());
}

TEST_F(log_search_fixture, find_with_margin_includes_state_lines_of_same_host)
{
    EXPECT_EQ(eventsOf("r1", milliseconds(3000)),
              (std::vector<std::string>{"store_lost", "send_ended", "request_done"}));
}

TEST_F(log_search_fixture, add_of_malformed_line_counts_it)
{
    for (const char *line : {"", "plain", "{", R"({"time":"x","host":"h","event":"e"})", "{}"})
        m_search.add(line);
    EXPECT_EQ(5U, m_search.malformedCount());
}

} // namespace
} // namespace goldcrestdeck
