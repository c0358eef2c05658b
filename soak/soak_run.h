#ifndef SOAK_SOAK_RUN_H_
#define SOAK_SOAK_RUN_H_

/// \file
/// One run: callers, and faults drawn from a seed that come in series and overlap; then calm, in
/// which everything has to work again.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/soak_clients.h"

namespace soak {

struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::milliseconds time{8000}; ///< Of faults.
    std::size_t hosts = 3;
    std::size_t callers = 8;
    std::string folder; ///< For logs; must exist.
};

struct soak_report {
    std::vector<std::string> violations;
    std::vector<std::string> faults; ///< What was done, in order, with the time.
    answer_counts answers;
};

soak_report runSoak(const soak_options &options);

} // namespace soak

#endif // SOAK_SOAK_RUN_H_
