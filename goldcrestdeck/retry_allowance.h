#ifndef GOLDCRESTDECK_RETRY_ALLOWANCE_H_
#define GOLDCRESTDECK_RETRY_ALLOWANCE_H_

/// \file
/// One host's part of the fleet's budget for sending a request more than once.
///
/// The budget is a ratio of the requests in a window, so every host may spend the ratio of its own
/// requests without asking the others; of the fixed slack it takes a small part. Sends for a better
/// answer stop before those that make up for a failure. Only sends that reach an instance count:
/// connections that fail, as many do after a crash of many instances, cost nothing.

#include <deque>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct retry_parameters {
    double ratio = 0.9; ///< Repeated sends for each request, fleet-wide.
    double slack = 50;  ///< Repeated sends beyond that, fleet-wide.
    std::chrono::milliseconds window{10'000};
    /// Part of the ratio that is used: hosts see their requests a little later than clients.
    double margin = 0.85;
    /// Part of the ratio that sends for a better answer may use.
    double upgradePart = 0.85;
    std::size_t hosts = 8; ///< Among which the slack is divided.
};

enum class repeat_reason {
    failure, ///< The send before failed or was refused.
    upgrade  ///< A better answer is wanted.
};

class retry_allowance
{
public:
    explicit retry_allowance(retry_parameters parameters);

    void setHosts(std::size_t hosts) { m_parameters.hosts = hosts; }

    void noteRequest(time_point now);
    bool mayRepeat(repeat_reason reason, time_point now) const;
    void noteRepeat(time_point now);
    /// A send that was counted as a repeat at \a countedAt reached no instance after all.
    void takeBackRepeat(time_point countedAt);

private:
    struct bucket {
        time_point begin;
        double requests = 0;
        double repeats = 0;
    };

    bucket &current(time_point now);

    retry_parameters m_parameters;
    std::deque<bucket> m_buckets; ///< Oldest first.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_RETRY_ALLOWANCE_H_
