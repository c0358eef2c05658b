#ifndef GOLDCRESTDECK_RETRY_ALLOWANCE_H_
#define GOLDCRESTDECK_RETRY_ALLOWANCE_H_

/// \file
/// One host's share of the fleet-wide retry budget; every send of a request after the first counts.
///
/// The budget is a ratio of the requests in a window, so each host can apply the ratio to its own
/// requests without coordination; the fixed slack is divided among the hosts. Upgrades, which
/// resend a request to a larger model, run out of budget before retries after a failure. Only sends
/// that reach an instance count: failed connections, frequent after a crash of many instances, are
/// free.

#include <deque>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct retry_parameters {
    double ratio = 0.9; ///< Retries per request, fleet-wide.
    double slack = 50;  ///< Retries in a window beyond the ratio, fleet-wide.
    std::chrono::milliseconds window{10'000};
    /// Fraction of the budget that hosts use, since they see requests slightly later than clients.
    double usableFraction = 0.85;
    /// Fraction of the ratio available to upgrades.
    double upgradeFraction = 0.85;
    std::size_t hosts = 8; ///< Hosts that share the slack.
};

enum class retry_reason {
    failure, ///< The previous send failed or was refused.
    upgrade  ///< The previous answer had low confidence.
};

class retry_allowance
{
public:
    explicit retry_allowance(retry_parameters parameters);

    void setHosts(std::size_t hosts) { m_parameters.hosts = hosts; }

    void recordRequest(time_point now);
    bool mayRetry(retry_reason reason, time_point now) const;
    void recordRetry(time_point now);
    /// Refunds a retry counted at \a countedAt that did not reach an instance.
    void refundRetry(time_point countedAt);

private:
    struct bucket {
        time_point begin;
        double requests = 0;
        double retries = 0;
    };

    bucket &currentBucket(time_point now);

    retry_parameters m_parameters;
    std::deque<bucket> m_buckets; ///< Oldest first.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_RETRY_ALLOWANCE_H_
