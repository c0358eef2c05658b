#include "goldcrestdeck/log_search.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>

#include "goldcrestdeck/json.h"
#include "goldcrestdeck/text_escape.h"

namespace goldcrestdeck {

namespace {

/// Parses a time such as "2026-12-04T06:22:50.243Z".
std::chrono::milliseconds parseTime(const std::string &text)
{
    std::tm calendarTime{};
    std::istringstream in(text);
    char dot = 0;
    long milliseconds = 0;
    in >> std::get_time(&calendarTime, "%Y-%m-%dT%H:%M:%S") >> dot >> milliseconds;
    if (in.fail() || dot != '.')
        throw json_error("'" + text + "' is not a UTC time");
    return std::chrono::seconds(timegm(&calendarTime)) + std::chrono::milliseconds(milliseconds);
}

} // namespace

void log_search::add(const std::string &line)
{
    const std::size_t begin = line.find('{');
    try {
        const std::string text = begin == std::string::npos ? "" : line.substr(begin);
        const json_value row = json_value::parse(text);
        m_lines.push_back({parseTime(row.string("time")), row.string("host"),
                           row.string("request", ""), row.string("event"), text});
    } catch (const json_error &) {
        ++m_malformedCount;
    }
}

std::vector<log_line> log_search::find(const std::string &request,
                                       std::chrono::milliseconds margin) const
{
    std::vector<log_line> found;
    std::set<std::string> hosts;
    const std::string written = escapeText(request);
    std::copy_if(
        m_lines.begin(), m_lines.end(), std::back_inserter(found),
        [&](const log_line &line) { return line.request == request || line.request == written; });
    if (found.empty())
        return found;
    const auto isEarlier = [](const log_line &a, const log_line &b) { return a.at < b.at; };
    std::stable_sort(found.begin(), found.end(), isEarlier);
    for (const log_line &line : found)
        hosts.insert(line.host);
    const auto from = found.front().at - margin;
    const auto until = found.back().at + margin;
    if (margin.count() > 0) {
        std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(found),
                     [&](const log_line &line) {
                         return line.request.empty() && hosts.count(line.host) > 0
                             && line.at >= from && line.at <= until;
                     });
        std::stable_sort(found.begin(), found.end(), isEarlier);
    }
    return found;
}

} // namespace goldcrestdeck
