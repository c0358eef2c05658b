#include "goldcrestdeck/model_cascade.h"

#include <algorithm>
#include <cmath>

namespace goldcrestdeck {

namespace {

double fractionOfTargetLatency(duration time, const cascade_state &state)
{
    return static_cast<double>(time.count())
        / std::max<double>(1, static_cast<double>(state.targetLatency.count()));
}

} // namespace

double keepThreshold(const cascade_state &state, const cascade_parameters &parameters)
{
    const double promptCost = state.promptTokens / parameters.promptTokensPerOutputToken;
    const double outputCost = std::max(1.0, state.outputTokens);
    // Most requests are dominated by the prompt; the square root spreads their small shares.
    const double share = std::sqrt(outputCost / (outputCost + promptCost));
    const double load = std::clamp((state.slowness - parameters.idleSlowness)
                                       / (parameters.fullSlowness - parameters.idleSlowness),
                                   0.0, 1.0);
    return parameters.minKeepThreshold
        + (parameters.maxKeepThreshold - parameters.minKeepThreshold) * share
        - parameters.loadDiscount * load;
}

std::optional<std::size_t> nextModel(const cascade_state &state,
                                     const cascade_parameters &parameters)
{
    const std::size_t largest = state.modelCount - 1;
    if (state.model >= largest || !state.confidence)
        return std::nullopt;
    if (state.attemptsLeft == 0 || !state.mayRetry)
        return std::nullopt;
    if (static_cast<double>(*state.confidence) >= keepThreshold(state, parameters))
        return std::nullopt;
    if (fractionOfTargetLatency(state.elapsed + state.largestModelLatency, state)
        > parameters.maxLatencyFraction)
        return std::nullopt;
    if (state.largestModelEnd && state.timeLeft && *state.largestModelEnd > *state.timeLeft)
        return std::nullopt;
    return largest;
}

} // namespace goldcrestdeck
