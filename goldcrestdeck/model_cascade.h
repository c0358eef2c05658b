#ifndef GOLDCRESTDECK_MODEL_CASCADE_H_
#define GOLDCRESTDECK_MODEL_CASCADE_H_

/// \file
/// Model cascade of a route: requests go to the cheapest model first and are upgraded to the
/// largest one if the first reports low confidence.
///
/// The router gets no feedback on the quality of answers. It takes a model's self-reported
/// confidence, from 0 to 100, as the probability that the answer is good enough, and the generated
/// tokens as the value of an answer. An upgrade that mostly processes a long prompt again therefore
/// requires a lower confidence, and under load a lower one still, since it delays queued requests.
/// The functions are pure.

#include <chrono>
#include <cstddef>
#include <optional>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct cascade_parameters {
    /// Confidence threshold for keeping an answer when the cost is all prompt tokens (minimum) and
    /// all output tokens (maximum).
    double minKeepThreshold = 40;
    double maxKeepThreshold = 60;
    /// Reduction of the threshold under full load.
    double loadDiscount = 20;
    /// Slowness up to which load has no effect on the threshold, and at which it counts as full.
    double idleSlowness = 1.5;
    double fullSlowness = 3.5;
    /// Fraction of the target latency within which the upgraded answer must begin.
    double maxLatencyFraction = 0.9;
    /// Prompt tokens that cost as much as one output token.
    double promptTokensPerOutputToken = 4;
};

/// State of a request when the head of a response arrives.
struct cascade_state {
    std::size_t model = 0;      ///< Index of the model that answered; smallest first.
    std::size_t modelCount = 1; ///< Number of models of the route.
    std::optional<unsigned> confidence;
    double promptTokens = 0;
    double outputTokens = 0; ///< Expected.
    duration elapsed{0};     ///< Since the request was received.
    duration targetLatency{0};
    duration largestModelLatency{0}; ///< Expected latency of the largest model.
    /// Expected time to the end of the largest model's response; nullopt if unknown.
    std::optional<duration> largestModelEnd;
    std::optional<duration> timeLeft; ///< Until the deadline; nullopt if there is none.
    double slowness = 1;       ///< Recent latency of the largest model relative to its baseline.
    unsigned attemptsLeft = 0; ///< Attempts left under the route's limit.
    bool mayRetry = false;     ///< Whether the retry budget allows another send.
};

/// Lowest confidence at which the answer is kept.
double keepThreshold(const cascade_state &state, const cascade_parameters &parameters);

/// \returns the index of the model to upgrade to, or std::nullopt if the answer is kept.
std::optional<std::size_t> nextModel(const cascade_state &state,
                                     const cascade_parameters &parameters);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_MODEL_CASCADE_H_
