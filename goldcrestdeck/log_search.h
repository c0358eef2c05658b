#ifndef GOLDCRESTDECK_LOG_SEARCH_H_
#define GOLDCRESTDECK_LOG_SEARCH_H_

/// \file
/// Finds the log lines of one request in the logs of several hosts.
///
/// Lines may be added in any order and are returned by time. On demand, the result includes the
/// lines without a request id that the same hosts logged around that time, such as changes of the
/// configuration, the store and the instances. Malformed lines are counted and discarded.

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace goldcrestdeck {

struct log_line {
    std::chrono::milliseconds at{0}; ///< UTC, since the Unix epoch.
    std::string host;
    std::string request; ///< Empty: the line is about the host's state.
    std::string event;
    std::string text; ///< The line as written.
};

class log_search
{
public:
    /// Ignores any text before the first '{', where some log collectors put the time.
    void add(const std::string &line);

    /// \returns the lines of \a request by time. With a positive \a margin, includes the lines
    /// without a request id of the same hosts, from \a margin before the first to \a margin after
    /// the last.
    std::vector<log_line> find(const std::string &request, std::chrono::milliseconds margin) const;

    std::size_t malformedCount() const { return m_malformedCount; }

private:
    std::vector<log_line> m_lines;
    std::size_t m_malformedCount = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_LOG_SEARCH_H_
