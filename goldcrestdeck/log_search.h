#ifndef GOLDCRESTDECK_LOG_SEARCH_H_
#define GOLDCRESTDECK_LOG_SEARCH_H_

/// \file
/// Finds what the logs of several hosts say of one request.
///
/// Add the lines of every file in any order, then take the lines of a request id by time, and, if
/// asked for, what its hosts learned or lost around it: lines that name no request, such as those
/// of the configuration, the store and the instances. Lines that are no JSON object are counted,
/// not kept.

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace goldcrestdeck {

struct log_line {
    std::chrono::milliseconds at{0}; ///< Civil time since the epoch.
    std::string host;
    std::string request; ///< Empty: the line is of the host's belief.
    std::string event;
    std::string text; ///< The line as written.
};

class log_search
{
public:
    /// What stands before the first '{' is left out, as some collectors put the time there.
    void add(const std::string &line);

    /// The lines of \a request by time, and those of its hosts that name no request, from \a around
    /// before the first of them to \a around behind the last.
    std::vector<log_line> find(const std::string &request, std::chrono::milliseconds around) const;

    std::size_t unreadable() const { return m_unreadable; }

private:
    std::vector<log_line> m_lines;
    std::size_t m_unreadable = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_LOG_SEARCH_H_
