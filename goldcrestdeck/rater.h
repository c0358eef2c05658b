#ifndef GOLDCRESTDECK_RATER_H_
#define GOLDCRESTDECK_RATER_H_

/// \file
/// Client of the platform's rating service, which rates the quality of responses.

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "goldcrestdeck/policy.h"
#include "goldcrestdeck/request_context.h"

namespace goldcrestdeck {

/// Has responses rated, in the background or synchronously. Safe for concurrent use.
class rater
{
public:
    explicit rater(handler_dependencies &dependencies);
    ~rater();

    /// Queues a response for rating; drops it if the queue is full.
    void rateAsync(const rating_subject &subject, const std::string &responseText);
    /// Rates a response and records the rating; blocks until the service responds or the call times
    /// out. \returns the rating from 0 to 1, or std::nullopt if none was obtained.
    std::optional<double> rate(const rating_subject &subject, const std::string &responseText);
    /// Whether to rate a response: always for a canary, otherwise sampled at the configured share.
    bool shouldRate(plan_reason reason);
    /// A uniform random number in [0, 1).
    double drawUniform();

private:
    handler_dependencies &m_dependencies;
    boost::asio::thread_pool m_threads;
    std::atomic<std::size_t> m_queueLength{0};
    std::mutex m_randomMutex;
    std::mt19937_64 m_random;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_RATER_H_
