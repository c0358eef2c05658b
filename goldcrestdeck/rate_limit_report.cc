#include "goldcrestdeck/rate_limit_report.h"

#include <cmath>
#include <tuple>

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

bool operator==(const rate_limit_report &a, const rate_limit_report &b)
{
    return std::tie(a.incarnation, a.perSecond) == std::tie(b.incarnation, b.perSecond);
}

std::string encodeRateLimit(const rate_limit_report &report)
{
    json_value document = json_value::object();
    if (report.perSecond)
        document.set("per_second", *report.perSecond);
    return document.dump();
}

rate_limit_report decodeRateLimit(const std::string &incarnation, const std::string &text)
{
    const json_value document = json_value::parse(text);
    rate_limit_report report;
    report.incarnation = incarnation;
    if (!document.has("per_second"))
        return report;
    report.perSecond = document.number("per_second");
    if (!std::isfinite(*report.perSecond) || *report.perSecond < 0)
        throw json_error("rate limit that is not a non-negative number");
    return report;
}

} // namespace goldcrestdeck
