#ifndef GOLDCRESTDECK_CRASH_REPORT_H_
#define GOLDCRESTDECK_CRASH_REPORT_H_

/// \file
/// What one host tells the others about crashes of upstream instances: the requests that may have
/// caused them, and suspected prompt segments that an instance has answered nevertheless.
///
/// The texts that clients choose are arbitrary bytes; they are written as escapeText() returns
/// them.
///
/// Hosts share no clock, so times are given as ages at the time of writing.

#include <chrono>
#include <string>
#include <vector>

namespace goldcrestdeck {

/// A request that an instance was executing when it crashed, before the first byte of the body.
struct crash_suspect {
    std::string instance; ///< Incarnation that crashed.
    std::string request;
    /// Ids of the prompt segments that requests may share; empty if the instance had not begun to
    /// respond.
    std::vector<std::string> segments;
    std::chrono::milliseconds age{0}; ///< Time since the response was cut.
    /// Id of the prompt's last segment, which only this request, its repetitions and its session
    /// have, or the digest of a request without a prompt; empty if unknown.
    std::string lastSegment;
};

bool operator==(const crash_suspect &a, const crash_suspect &b);

struct answered_segment {
    std::string segment;
    std::chrono::milliseconds age{0}; ///< Time since the last response to a prompt with it.
};

bool operator==(const answered_segment &a, const answered_segment &b);

struct crash_report {
    std::vector<crash_suspect> suspects;
    std::vector<answered_segment> answered;
};

bool operator==(const crash_report &a, const crash_report &b);

/// Limits on a report; a host drops its oldest entries beyond them.
constexpr std::size_t maxReportedSuspects = 64;
constexpr std::size_t maxReportedAnswers = 64;
constexpr std::size_t maxReportedSegments = 32;

std::string encodeCrashReport(const crash_report &report);
/// \throws json_error if \a text is malformed or exceeds the limits.
crash_report decodeCrashReport(const std::string &text);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CRASH_REPORT_H_
