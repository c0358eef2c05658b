#include "goldcrestdeck/crash_report.h"

#include <tuple>

#include "goldcrestdeck/json.h"
#include "goldcrestdeck/text_escape.h"

namespace goldcrestdeck {

namespace {

void checkSize(const json_value &list, std::size_t limit, const char *name)
{
    if (list.size() > limit)
        throw json_error("crash report with " + std::to_string(list.size()) + ' ' + name
                         + ", at most " + std::to_string(limit) + " allowed");
}

void setAge(json_value &row, std::chrono::milliseconds age)
{
    row.set("age_ms", static_cast<std::uint64_t>(age.count()));
}

std::chrono::milliseconds ageOf(const json_value &row)
{
    return std::chrono::milliseconds(row.integer("age_ms"));
}

} // namespace

bool operator==(const crash_suspect &a, const crash_suspect &b)
{
    return std::tie(a.instance, a.request, a.segments, a.age, a.lastSegment)
        == std::tie(b.instance, b.request, b.segments, b.age, b.lastSegment);
}

bool operator==(const answered_segment &a, const answered_segment &b)
{
    return std::tie(a.segment, a.age) == std::tie(b.segment, b.age);
}

bool operator==(const crash_report &a, const crash_report &b)
{
    return std::tie(a.suspects, a.answered) == std::tie(b.suspects, b.answered);
}

std::string encodeCrashReport(const crash_report &report)
{
    json_value suspects = json_value::array();
    for (const crash_suspect &suspect : report.suspects) {
        json_value segments = json_value::array();
        for (const std::string &segment : suspect.segments)
            segments.append(json_value(escapeText(segment)));
        json_value row = json_value::object();
        row.set("instance", escapeText(suspect.instance));
        row.set("request", escapeText(suspect.request));
        row.set("segments", segments);
        row.set("last_segment", escapeText(suspect.lastSegment));
        setAge(row, suspect.age);
        suspects.append(row);
    }
    json_value answered = json_value::array();
    for (const answered_segment &segment : report.answered) {
        json_value row = json_value::object();
        row.set("segment", escapeText(segment.segment));
        setAge(row, segment.age);
        answered.append(row);
    }
    json_value document = json_value::object();
    document.set("suspects", suspects);
    document.set("answered", answered);
    return document.dump();
}

crash_report decodeCrashReport(const std::string &text)
{
    const json_value document = json_value::parse(text);
    const json_value suspects = document.get("suspects");
    const json_value answered = document.get("answered");
    checkSize(suspects, maxReportedSuspects, "suspects");
    checkSize(answered, maxReportedAnswers, "answered segments");
    crash_report report;
    for (std::size_t i = 0; i < suspects.size(); ++i) {
        const json_value row = suspects.at(i);
        const json_value segments = row.get("segments");
        checkSize(segments, maxReportedSegments, "segments");
        crash_suspect suspect{unescapeText(row.string("instance")),
                              unescapeText(row.string("request")),
                              {},
                              ageOf(row),
                              unescapeText(row.string("last_segment", ""))};
        for (std::size_t j = 0; j < segments.size(); ++j)
            suspect.segments.push_back(unescapeText(segments.at(j).asString()));
        report.suspects.push_back(std::move(suspect));
    }
    for (std::size_t i = 0; i < answered.size(); ++i) {
        const json_value row = answered.at(i);
        report.answered.push_back({unescapeText(row.string("segment")), ageOf(row)});
    }
    return report;
}

} // namespace goldcrestdeck
