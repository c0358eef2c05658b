#include "goldcrestdeck/model_cascade.h"

namespace goldcrestdeck {

std::optional<std::size_t> nextModel(const cascade_state &state,
                                     const cascade_parameters &parameters)
{
    const std::size_t largest = state.models - 1;
    if (state.model >= largest || !state.confidence || *state.confidence >= parameters.keepFrom)
        return std::nullopt;
    if (state.sendsLeft == 0 || !state.mayRepeat)
        return std::nullopt;
    if (static_cast<double>(state.elapsed.count())
        > parameters.latestPart * static_cast<double>(state.targetLatency.count()))
        return std::nullopt;
    return largest;
}

} // namespace goldcrestdeck
