#ifndef GOLDCRESTDECK_RATE_LIMIT_REPORT_H_
#define GOLDCRESTDECK_RATE_LIMIT_REPORT_H_

/// \file
/// What one host tells the others about the request rate that an upstream instance accepts. The
/// latest report on an incarnation is in force.

#include <optional>
#include <string>

namespace goldcrestdeck {

struct rate_limit_report {
    std::string incarnation;
    /// Requests per second from all hosts together; nullopt: the instance names no limit any more.
    std::optional<double> perSecond;
};

bool operator==(const rate_limit_report &a, const rate_limit_report &b);

/// Encodes all but the incarnation, which is part of the key.
std::string encodeRateLimit(const rate_limit_report &report);
/// \throws json_error if \a text is malformed.
rate_limit_report decodeRateLimit(const std::string &incarnation, const std::string &text);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_RATE_LIMIT_REPORT_H_
