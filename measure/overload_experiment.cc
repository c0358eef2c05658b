// Goodput of one host at twice the capacity of its upstreams. Requests in progress share the
// capacity; admission control is the production code. A response counts if it meets its deadline.

#include <algorithm>
#include <array>
#include <list>
#include <random>

#include "goldcrestdeck/limits.h"
#include "measure/figures.h"

namespace measure {

namespace {

constexpr double simulatedSeconds = 120;
constexpr double stepSeconds = 0.001;
/// Number of requests that progress at full speed; with more, each gets an equal share of this.
constexpr double capacity = 200;
constexpr double maxInProgress = 300;
constexpr int seedCount = 5;

struct work_kind {
    double share; ///< Of all requests.
    double workSeconds;
    double deadlineSeconds;
};

/// By priority: lookups, dispatches, interactive drafts, deferrable work.
constexpr std::array<work_kind, 4> kinds
    = {{{0.30, 0.02, 0.25}, {0.10, 0.10, 1.0}, {0.35, 1.0, 4.0}, {0.25, 1.5, 10.0}}};

struct running_request {
    std::size_t kind;
    double remainingWork;
    double startedAt;
};

/// Number of requests by kind.
struct goodput {
    std::array<double, 4> inTime{}; ///< Answered within the deadline.
    std::array<double, 4> offered{};

    double total() const
    {
        double sum = 0;
        for (double count : inTime)
            sum += count;
        return sum;
    }
};

double meanWorkSeconds()
{
    double work = 0;
    for (const work_kind &kind : kinds)
        work += kind.share * kind.workSeconds;
    return work;
}

/// \a load is the offered work as a ratio to the capacity.
goodput simulate(double load, bool shedsLoad, unsigned seed)
{
    std::mt19937 random(seed);
    std::discrete_distribution<std::size_t> kindOf(
        {kinds[0].share, kinds[1].share, kinds[2].share, kinds[3].share});
    const double rate = load * capacity / meanWorkSeconds();
    std::poisson_distribution<int> arrivals(rate * stepSeconds);
    std::list<running_request> inProgress;
    goodput result;
    for (double time = 0; time < simulatedSeconds; time += stepSeconds) {
        for (int n = arrivals(random); n > 0; --n) {
            const std::size_t kind = kindOf(random);
            result.offered[kind] += 1;
            const double utilisation = static_cast<double>(inProgress.size()) / maxInProgress;
            const bool admitted = !shedsLoad
                || (utilisation < 1 && kind <= goldcrestdeck::highestAdmittedPriority(utilisation));
            if (admitted)
                inProgress.push_back({kind, kinds[kind].workSeconds, time});
        }
        const double speed
            = std::min(1.0, capacity / std::max(1.0, static_cast<double>(inProgress.size())));
        for (auto it = inProgress.begin(); it != inProgress.end();) {
            it->remainingWork -= speed * stepSeconds;
            const bool late = time - it->startedAt > kinds[it->kind].deadlineSeconds;
            if (it->remainingWork <= 0 && !late)
                result.inTime[it->kind] += 1;
            it = it->remainingWork <= 0 || late ? inProgress.erase(it) : std::next(it);
        }
    }
    return result;
}

} // namespace

void measureOverload(report &out)
{
    std::vector<double> overall;
    std::vector<double> lookups;
    std::vector<double> dispatches;
    std::vector<double> withoutShedding;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        const goodput atCapacity = simulate(1, true, seed);
        const goodput atTwiceCapacity = simulate(2, true, seed);
        overall.push_back(atTwiceCapacity.total() / atCapacity.total());
        // As a share of the offered requests of the kind, which double at twice the capacity.
        lookups.push_back(atTwiceCapacity.inTime[0] / atTwiceCapacity.offered[0]
                          / (atCapacity.inTime[0] / atCapacity.offered[0]));
        dispatches.push_back(atTwiceCapacity.inTime[1] / atTwiceCapacity.offered[1]
                             / (atCapacity.inTime[1] / atCapacity.offered[1]));
        withoutShedding.push_back(simulate(2, false, seed).total()
                                  / simulate(1, false, seed).total());
    }
    out.addAtLeast("goodput_overload", overall, "ratio", 0.95);
    out.addAtLeast("goodput_overload_lookups", lookups, "ratio", 0.99);
    out.add("goodput_overload_dispatches", dispatches, "ratio");
    out.add("goodput_overload_without_shedding", withoutShedding, "ratio");
}

} // namespace measure
