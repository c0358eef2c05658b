#ifndef GOLDCRESTDECK_MODEL_CASCADE_H_
#define GOLDCRESTDECK_MODEL_CASCADE_H_

/// \file
/// Which of a route's models answers: the cheapest first, and the largest where the first says that
/// it is not sure of its answer.
///
/// No one tells the router which answers were good. It assumes that a model's own confidence, from
/// 0 to 100, says how likely its answer is to be good enough, and that what a client gets out of an
/// answer is what is generated: an upgrade that mostly reads a long prompt again needs more doubt.
/// Under load it needs more doubt still, since it takes the time of requests that wait. Pure
/// functions.

#include <chrono>
#include <cstddef>
#include <optional>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct cascade_parameters {
    /// Confidence from which an answer is kept, if nothing is generated and if nothing is read.
    double keepFromLeast = 40;
    double keepFromMost = 60;
    /// By how much less is enough under full load.
    double loadRelief = 20;
    /// How much longer than usual answers take to begin from where load counts, and at full load.
    double idleSlowness = 1.5;
    double fullSlowness = 3.5;
    /// Part of the target latency beyond which a better answer would come too late.
    double latestPart = 0.9;
    /// Tokens read that cost as much as one generated.
    double readPerGenerated = 4;
};

/// What is known when the head of an answer comes.
struct cascade_state {
    std::size_t model = 0;  ///< Index of the one that answered; smallest first.
    std::size_t models = 1; ///< How many the route has.
    std::optional<unsigned> confidence;
    double promptTokens = 0;
    double outputTokens = 0; ///< Expected.
    duration elapsed{0};     ///< Since the request came.
    duration targetLatency{0};
    duration largerLatency{0}; ///< In which the largest model's answer is expected to begin.
    double slowness = 1;       ///< How much longer than usual that takes lately.
    unsigned sendsLeft = 0;    ///< That the route allows.
    bool mayRepeat = false;    ///< The budget for repeated sends allows one.
};

/// Confidence from which the answer is kept.
double keepFrom(const cascade_state &state, const cascade_parameters &parameters);

/// The model to ask next, or nothing if the answer is to be kept.
std::optional<std::size_t> nextModel(const cascade_state &state,
                                     const cascade_parameters &parameters);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_MODEL_CASCADE_H_
