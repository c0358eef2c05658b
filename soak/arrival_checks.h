#ifndef SOAK_ARRIVAL_CHECKS_H_
#define SOAK_ARRIVAL_CHECKS_H_

/// \file
/// Checks of when requests reached the instances, made after a run from a record of its faults:
/// none in an evacuated domain from a host that has to know the order, and no more than the bound
/// in any second at a cold instance. An instance cannot tell which host sent a request. An arrival
/// in an evacuated domain is therefore a violation only if the order bound every host.

#include <chrono>
#include <string>
#include <vector>

namespace soak {

using time_point = std::chrono::steady_clock::time_point;

/// The setting evacuate-ms. A request in transit counts when it arrives, so that this exceeds the
/// time until a host knows an order (0.9 s) by the longest stall of a link to an instance (2 s).
constexpr std::chrono::milliseconds evacuateTimeout{3000};
/// The setting cold-s of all services.
constexpr std::chrono::seconds coldPeriod{2};
/// Requests that a cold instance bears in a second: cold-per-s 7.3, cold-overage 1.5, cold-slack 5.
constexpr double coldBound = 7.3 * 1.5 + 5;

struct time_span {
    time_point begin;
    time_point end = time_point::max(); ///< Or the time at which it is closed.
};

struct evacuation {
    std::string domain;
    time_span span; ///< From the acknowledged write to just before the deletion.
};

struct host_record {
    std::vector<time_point> starts; ///< Of the processes after the first one.
    std::vector<time_span> outages; ///< Times without contact with the store, or frozen.
};

struct instance_record {
    std::string domain;
    std::vector<time_span> linkFaults; ///< In which requests are delayed on their way.
    std::vector<time_span> coldPeriods;
};

struct run_record {
    std::vector<host_record> hosts;
    std::vector<instance_record> instances;
    std::vector<evacuation> evacuations;
};

struct arrival {
    std::size_t instance = 0;
    time_point time;
    std::string requestId;
};

/// \returns when \a order bound all hosts, whatever delayed a request; time_point::max() if never.
/// A host is bound evacuateTimeout after the order or after its contact with the store was
/// restored, for as long as the order lasts; a process that starts under the order is bound at
/// once.
time_point boundSince(const run_record &record, const evacuation &order);

/// \returns descriptions of the violations, with times since \a start.
std::vector<std::string> checkEvacuations(const run_record &record,
                                          const std::vector<arrival> &arrivals, time_point start);
std::vector<std::string> checkColdInstances(const run_record &record,
                                            const std::vector<arrival> &arrivals, time_point start);

} // namespace soak

#endif // SOAK_ARRIVAL_CHECKS_H_
