#ifndef GOLDCRESTDECK_INSTANCE_RATE_LIMITS_H_
#define GOLDCRESTDECK_INSTANCE_RATE_LIMITS_H_

/// \file
/// The request rates that upstream instances in need have named in their responses.
///
/// A limit holds from the response that names it until a response to a later request does not.
/// Performs no I/O and reads no clock. Used by a single thread.

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

class instance_rate_limits
{
public:
    /// Records what a response to a request sent at \a sentAt says: the requests per second that
    /// the instance accepts from all hosts together, or nullopt if it names no limit.
    /// \returns whether this changes the limit of the instance by more than a trifle.
    bool recordResponse(const std::string &incarnation, std::optional<double> perSecond,
                        time_point sentAt, time_point now);

    /// \returns the requests per second that the instance accepts; nullopt if it has no limit.
    std::optional<double> limitOf(const std::string &incarnation) const;
    std::size_t limitedCount() const { return m_limits.size(); }

    /// Forgets all instances but those in \a incarnations.
    void retain(const std::set<std::string> &incarnations);

private:
    struct named_limit {
        double perSecond = 0;
        time_point namedAt; ///< When a response last named it.
    };

    std::map<std::string, named_limit> m_limits; ///< By incarnation.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_INSTANCE_RATE_LIMITS_H_
