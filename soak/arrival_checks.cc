#include "soak/arrival_checks.h"

#include <algorithm>

namespace soak {

namespace {

/// A chunk that a relay delays leaves it up to this long after the end of the fault.
constexpr std::chrono::milliseconds maxRelayDelay{250};

std::string millisecondsBetween(time_point start, time_point time)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time - start);
    return std::to_string(ms.count()) + " ms";
}

/// \returns the earliest time at which a request that arrived may have been sent.
time_point earliestSend(const run_record &record, const arrival &arrived)
{
    time_point result = arrived.time;
    const auto &faults = record.instances[arrived.instance].linkFaults;
    // Spans are in the order of their begin, so that overlapping ones are joined from the last.
    for (auto fault = faults.rbegin(); fault != faults.rend(); ++fault) {
        const bool isOver = fault->end != time_point::max() && fault->end + maxRelayDelay < result;
        if (fault->begin <= result && !isOver)
            result = fault->begin;
    }
    return result;
}

/// \returns when \a order bound the process that ran when it was given.
time_point firstProcessBoundSince(const host_record &host, const evacuation &order)
{
    time_point since = order.span.begin;
    std::vector<time_span> outages = host.outages;
    std::sort(outages.begin(), outages.end(),
              [](const time_span &a, const time_span &b) { return a.begin < b.begin; });
    for (const time_span &outage : outages) {
        if (outage.begin < since + evacuateTimeout && outage.end > since)
            since = outage.end;
    }
    return since > order.span.end ? time_point::max() : since + evacuateTimeout;
}

/// \returns when a process of \a host started under \a order.
time_point startUnder(const host_record &host, const evacuation &order)
{
    const auto found = std::find_if(host.starts.begin(), host.starts.end(),
                                    [&](time_point start) { return start > order.span.begin; });
    return found == host.starts.end() ? time_point::max() : *found;
}

/// \returns whether every host that may have sent the request at \a sent was bound when it arrived.
bool isBound(const run_record &record, const evacuation &order, time_point sent, time_point arrived)
{
    return std::all_of(record.hosts.begin(), record.hosts.end(), [&](const host_record &host) {
        return startUnder(host, order) <= sent || firstProcessBoundSince(host, order) <= arrived;
    });
}

} // namespace

time_point boundSince(const run_record &record, const evacuation &order)
{
    time_point result = order.span.begin;
    for (const host_record &host : record.hosts)
        result = std::max(result,
                          std::min(startUnder(host, order), firstProcessBoundSince(host, order)));
    return result < order.span.end ? result : time_point::max();
}

std::vector<std::string> checkEvacuations(const run_record &record,
                                          const std::vector<arrival> &arrivals, time_point start)
{
    std::vector<std::string> violations;
    for (const evacuation &order : record.evacuations) {
        std::size_t count = 0;
        const arrival *first = nullptr;
        for (const arrival &arrived : arrivals) {
            if (record.instances[arrived.instance].domain != order.domain
                || arrived.time <= order.span.begin || arrived.time >= order.span.end
                || !isBound(record, order, earliestSend(record, arrived), arrived.time))
                continue;
            ++count;
            if (first == nullptr || arrived.time < first->time)
                first = &arrived;
        }
        if (count > 0)
            violations.push_back(std::to_string(count) + " requests in domain " + order.domain
                                 + ", evacuated at " + millisecondsBetween(start, order.span.begin)
                                 + "; the first, " + first->requestId + ", at "
                                 + millisecondsBetween(start, first->time) + " at runner "
                                 + std::to_string(first->instance));
    }
    return violations;
}

std::vector<std::string> checkColdInstances(const run_record &record,
                                            const std::vector<arrival> &arrivals, time_point start)
{
    std::vector<std::string> violations;
    for (std::size_t i = 0; i < record.instances.size(); ++i) {
        for (const time_span &cold : record.instances[i].coldPeriods) {
            std::vector<time_span> requests; // From the send to the arrival.
            for (const arrival &arrived : arrivals) {
                if (arrived.instance == i && arrived.time >= cold.begin && arrived.time <= cold.end)
                    requests.push_back({earliestSend(record, arrived), arrived.time});
            }
            std::size_t most = 0;
            time_point worst;
            for (const time_span &first : requests) {
                // A request that was sent before a second does not count in it.
                const auto isInside = [&](const time_span &request) {
                    return request.begin >= first.begin
                        && request.end <= first.begin + std::chrono::seconds(1);
                };
                const auto count = static_cast<std::size_t>(
                    std::count_if(requests.begin(), requests.end(), isInside));
                if (count > most) {
                    most = count;
                    worst = first.begin;
                }
            }
            if (static_cast<double>(most) > coldBound)
                violations.push_back(std::to_string(most) + " requests in the second from "
                                     + millisecondsBetween(start, worst) + " at runner "
                                     + std::to_string(i) + ", cold since "
                                     + millisecondsBetween(start, cold.begin));
        }
    }
    return violations;
}

} // namespace soak
