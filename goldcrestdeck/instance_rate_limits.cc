// A response without a limit lifts it only if its request was sent after the limit was last named:
// responses on different connections can overtake each other.

#include "goldcrestdeck/instance_rate_limits.h"

#include <algorithm>
#include <cmath>

namespace goldcrestdeck {

namespace {

/// Bounds of a limit in requests per second. The lower one keeps some requests going to the
/// instance, whose responses show when the limit ends.
constexpr double minPerSecond = 0.1;
constexpr double maxPerSecond = 1e6;
/// Smaller relative changes are not worth reporting.
constexpr double reportedChange = 0.1;

} // namespace

bool instance_rate_limits::recordResponse(const std::string &incarnation,
                                          std::optional<double> perSecond, time_point sentAt,
                                          time_point now)
{
    const auto known = m_limits.find(incarnation);
    if (!perSecond) {
        if (known == m_limits.end() || sentAt < known->second.namedAt)
            return false;
        m_limits.erase(known);
        return true;
    }
    const double bounded = std::clamp(*perSecond, minPerSecond, maxPerSecond);
    if (known == m_limits.end()) {
        m_limits[incarnation] = {bounded, now};
        return true;
    }
    const double previous = known->second.perSecond;
    known->second = {bounded, now};
    return std::abs(bounded - previous) > reportedChange * previous;
}

std::optional<double> instance_rate_limits::limitOf(const std::string &incarnation) const
{
    const auto known = m_limits.find(incarnation);
    if (known == m_limits.end())
        return std::nullopt;
    return known->second.perSecond;
}

void instance_rate_limits::retain(const std::set<std::string> &incarnations)
{
    for (auto i = m_limits.begin(); i != m_limits.end();)
        i = incarnations.count(i->first) == 0 ? m_limits.erase(i) : std::next(i);
}

} // namespace goldcrestdeck
