#ifndef GOLDCRESTDECK_MODEL_CASCADE_H_
#define GOLDCRESTDECK_MODEL_CASCADE_H_

/// \file
/// Which of a route's models answers: the cheapest first, and a larger one where the first says
/// that it is not sure of its answer.
///
/// No one tells the router which answers were good. It assumes that a model's own confidence, from
/// 0 to 100, says how likely its answer is to be good enough. Pure functions.

#include <chrono>
#include <cstddef>
#include <optional>

namespace goldcrestdeck {

struct cascade_parameters {
    /// Confidence from which an answer is kept.
    unsigned keepFrom = 60;
    /// Part of the target latency after which a better answer would come too late.
    double latestPart = 0.6;
};

/// What is known when the head of an answer comes.
struct cascade_state {
    std::size_t model = 0;  ///< Index of the one that answered; smallest first.
    std::size_t models = 1; ///< How many the route has.
    std::optional<unsigned> confidence;
    std::chrono::milliseconds elapsed{0}; ///< Since the request came.
    std::chrono::milliseconds targetLatency{0};
    unsigned sendsLeft = 0; ///< That the route allows.
    bool mayRepeat = false; ///< The budget for repeated sends allows one.
};

/// The model to ask next, or nothing if the answer is to be kept.
std::optional<std::size_t> nextModel(const cascade_state &state,
                                     const cascade_parameters &parameters);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_MODEL_CASCADE_H_
