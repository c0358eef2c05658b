#include "goldcrestdeck/model_cascade.h"

#include <algorithm>
#include <cmath>

namespace goldcrestdeck {

namespace {

/// Part of the target latency that a time takes up.
double partOf(duration time, const cascade_state &state)
{
    return static_cast<double>(time.count())
        / std::max<double>(1, static_cast<double>(state.targetLatency.count()));
}

} // namespace

double keepFrom(const cascade_state &state, const cascade_parameters &parameters)
{
    const double read = state.promptTokens / parameters.readPerGenerated;
    const double generated = std::max(1.0, state.outputTokens);
    // The root keeps requests that mostly read, the usual ones, apart from each other.
    const double share = std::sqrt(generated / (generated + read));
    const double load = std::clamp((state.slowness - parameters.idleSlowness)
                                       / (parameters.fullSlowness - parameters.idleSlowness),
                                   0.0, 1.0);
    return parameters.keepFromLeast + (parameters.keepFromMost - parameters.keepFromLeast) * share
        - parameters.loadRelief * load;
}

std::optional<std::size_t> nextModel(const cascade_state &state,
                                     const cascade_parameters &parameters)
{
    const std::size_t largest = state.models - 1;
    if (state.model >= largest || !state.confidence)
        return std::nullopt;
    if (state.sendsLeft == 0 || !state.mayRepeat)
        return std::nullopt;
    if (static_cast<double>(*state.confidence) >= keepFrom(state, parameters))
        return std::nullopt;
    if (partOf(state.elapsed + state.largerLatency, state) > parameters.latestPart)
        return std::nullopt;
    return largest;
}

} // namespace goldcrestdeck
