#ifndef SOAK_SOAK_RUN_H_
#define SOAK_SOAK_RUN_H_

/// \file
/// One soak run: clients send requests while overlapping faults, drawn from a seeded generator, are
/// injected. An evacuation that lasts longer follows, with fewer faults. After a fault-free
/// recovery phase every host must serve all kinds of request again.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/soak_clients.h"

namespace soak {

struct soak_options {
    std::uint64_t seed = 1;
    std::chrono::milliseconds faultDuration{8000};
    std::size_t hosts = 3;
    std::size_t clientCount = 8;
    std::string folder; ///< Directory for logs; must exist.
};

struct soak_report {
    std::vector<std::string> violations;
    std::vector<std::string> faults; ///< Start and end of each injected fault, with the time.
    response_counts responseCounts;
    /// Evacuations and cold periods, and those among them in which arrivals could be violations.
    std::size_t evacuations = 0;
    std::size_t bindingEvacuations = 0;
    std::size_t coldPeriods = 0;
};

soak_report runSoak(const soak_options &options);

} // namespace soak

#endif // SOAK_SOAK_RUN_H_
