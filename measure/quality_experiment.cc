// Simulates a working day of eight hours: eight hosts that share ratings, three work classes,
// versions of different cost and quality, and delayed ratings for one response in five. Routing
// decisions are made by the production code; clients, responses and raters are simulated.

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "goldcrestdeck/policy.h"
#include "goldcrestdeck/quality.h"
#include "measure/figures.h"

namespace measure {

using namespace goldcrestdeck;
using std::chrono::seconds;

namespace {

constexpr std::size_t hostCount = 8;
constexpr int daySeconds = 8 * 3600;
constexpr int warmUpSeconds = 3600;
constexpr int windowSeconds = 300;        ///< Quality is compared with the target per window.
constexpr double requestsPerSecond = 1.5; ///< Per work class, over all hosts.
constexpr double ratingShare = 0.2;
constexpr double ratingNoise = 0.15; ///< Standard deviation of a rating.
constexpr int seedCount = 5;

struct simulated_version {
    std::string name;
    std::uint64_t cost = 0;
    std::uint32_t weight = 100;
    int appearsAt = 0; ///< Second of the day.
};

struct work_class {
    std::string name;
    double target = 0;
    bool canWait = false;
    std::map<std::string, double> quality; ///< True mean rating by version.
};

struct simulation_parameters {
    std::vector<simulated_version> versions;
    std::vector<work_class> classes;
    std::string badVersion; ///< Degrades to badQuality at badAt; empty: none.
    int badAt = daySeconds / 2;
    double badQuality = 0.5;
    bool oneHostPartitioned = false;
    int ratingDelaySeconds = 60; ///< Plus a uniform delay up to the same length.
};

/// Totals of a simulated day. The values named static are what requests would have got if they were
/// distributed by the versions' weights alone.
struct day_result {
    double cost = 0;
    double oracleCost = 0;  ///< With the cheapest version that truly meets the target.
    double highestCost = 0; ///< With the most expensive version.
    double staticCost = 0;
    int windows = 0;
    int missedWindows = 0; ///< Windows in which the mean quality was below the target.
    int staticMissedWindows = 0;
    int badResponses = 0; ///< Responses of the bad version after it degraded.
    double staticBadResponses = 0;
    std::set<std::string> suspended; ///< "CLASS/VERSION" of each suspension.
};

simulation_parameters defaultParameters()
{
    simulation_parameters result;
    result.versions = {{"small@1", 200, 100, 0},
                       {"medium@1", 900, 100, 0},
                       {"large@1", 4000, 100, 0},
                       {"medium@2", 700, 100, 2 * 3600}};
    result.classes
        = {{"waiver",
            0.85,
            false,
            {{"small@1", 0.70}, {"medium@1", 0.90}, {"large@1", 0.95}, {"medium@2", 0.90}}},
           {"risk",
            0.85,
            false,
            {{"small@1", 0.60}, {"medium@1", 0.80}, {"large@1", 0.93}, {"medium@2", 0.80}}},
           {"summary",
            0.70,
            true,
            {{"small@1", 0.78}, {"medium@1", 0.88}, {"large@1", 0.95}, {"medium@2", 0.88}}}};
    return result;
}

/// State of one host: its rating replica and an estimator for each subject.
class model_host
{
public:
    explicit model_host(std::string source)
        : m_source(std::move(source))
    { }

    void rate(const rating_subject &subject, double target, double rating, time_point now)
    {
        m_replica.add(m_source, subject, sumsOf(rating));
        updateEstimator(subject, target, sumsOf(rating), now);
    }

    /// Merges the ratings that \a other has recorded or received since the last call.
    void pullRatingsFrom(const model_host &other, const std::map<std::string, double> &targets,
                         time_point now)
    {
        auto &pulledUpTo = m_pulledUpTo[other.m_source];
        const auto changes = other.m_replica.changedAfter(pulledUpTo, 64);
        pulledUpTo = changes.upTo;
        for (const rating_counter &counter : changes.counters)
            if (counter.source != m_source)
                updateEstimator(counter.subject, targets.at(counter.subject.workClass),
                                m_replica.merge(counter), now);
    }

    quality_estimate estimate(const rating_subject &subject, double target, time_point now) const
    {
        const auto found = m_estimators.find(subject);
        return found == m_estimators.end()
            ? quality_estimator(target, quality_parameters()).estimate(now)
            : found->second.estimate(now);
    }

private:
    void updateEstimator(const rating_subject &subject, double target, const rating_sums &increment,
                         time_point now)
    {
        m_estimators.try_emplace(subject, quality_estimator(target, quality_parameters()))
            .first->second.add(increment, now);
    }

    std::string m_source;
    rating_replica m_replica;
    std::map<std::string, std::uint64_t> m_pulledUpTo; ///< Change number, by source.
    std::map<rating_subject, quality_estimator> m_estimators;
};

struct delayed_rating {
    std::size_t host = 0;
    rating_subject subject;
    double target = 0;
    double rating = 0;
};

class day_simulation
{
public:
    day_simulation(const simulation_parameters &parameters, unsigned seed)
        : m_parameters(parameters)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            m_hosts.emplace_back("h" + std::to_string(i));
        for (const work_class &workClass : parameters.classes)
            m_targets[workClass.name] = workClass.target;
    }

    day_result run()
    {
        for (m_second = 0; m_second < daySeconds; ++m_second) {
            deliverRatings();
            exchangeRatings();
            if (m_second % 2 == 0)
                refreshShares();
            for (const work_class &workClass : m_parameters.classes) {
                std::poisson_distribution<int> arrivals(requestsPerSecond);
                for (int n = arrivals(m_random); n > 0; --n)
                    simulateRequest(workClass);
            }
            if (m_second % windowSeconds == windowSeconds - 1)
                closeWindows();
        }
        return m_result;
    }

private:
    time_point now() const { return time_point(seconds(1'000'000 + m_second)); }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    bool isPartitioned(std::size_t host) const
    {
        return m_parameters.oneHostPartitioned && host == 0;
    }

    double trueQuality(const work_class &workClass, const std::string &version) const
    {
        const bool isBad = version == m_parameters.badVersion && m_second >= m_parameters.badAt;
        return isBad ? m_parameters.badQuality : workClass.quality.at(version);
    }

    std::vector<version_option> candidatesOf(std::size_t host, const work_class &workClass) const
    {
        std::vector<version_option> candidates;
        for (const simulated_version &version : m_parameters.versions)
            if (m_second >= version.appearsAt)
                candidates.push_back({version.name, version.cost, version.weight,
                                      m_hosts[host].estimate({workClass.name, version.name},
                                                             workClass.target, now())});
        return candidates;
    }

    void refreshShares()
    {
        for (std::size_t host = 0; host < hostCount; ++host)
            for (const work_class &workClass : m_parameters.classes) {
                const auto candidates = candidatesOf(host, workClass);
                m_shares[{host, workClass.name}] = planShares(
                    candidates, workClass.target, workClass.canWait, policy_parameters());
                for (const version_option &version : candidates)
                    if (version.quality.suspended)
                        m_result.suspended.insert(workClass.name + "/" + version.version);
            }
    }

    void simulateRequest(const work_class &workClass)
    {
        const std::size_t host = m_random() % hostCount;
        const decision chosen = choosePlan(m_shares[{host, workClass.name}], uniform());
        if (chosen.reason == plan_reason::none)
            return;
        std::string version = chosen.selectedPlan.first;
        double quality = simulateResponse(host, workClass, version, chosen.reason,
                                          !chosen.selectedPlan.second.empty());
        if (!chosen.selectedPlan.second.empty() && quality < passThreshold) {
            version = chosen.selectedPlan.second;
            quality = simulateResponse(host, workClass, version, chosen.reason, false);
        }
        m_windowQuality[workClass.name] += quality;
        ++m_windowCount[workClass.name];
        addBaselineCosts(workClass);
    }

    /// \returns the quality of one response of \a version, drawn about its true mean.
    double simulateResponse(std::size_t host, const work_class &workClass,
                            const std::string &version, plan_reason reason, bool isRatedAtOnce)
    {
        const double mean = trueQuality(workClass, version);
        const double quality
            = std::clamp(std::normal_distribution<double>(mean, ratingNoise)(m_random), 0.0, 1.0);
        if (m_second >= warmUpSeconds)
            m_result.cost += costOf(version);
        if (version == m_parameters.badVersion && m_second >= m_parameters.badAt)
            ++m_result.badResponses;
        const bool isRated
            = isRatedAtOnce || reason == plan_reason::canary || uniform() < ratingShare;
        if (isRated) {
            const int delay = isRatedAtOnce ? 0
                                            : m_parameters.ratingDelaySeconds
                    + static_cast<int>(uniform() * m_parameters.ratingDelaySeconds);
            m_delayedRatings.emplace(
                m_second + delay,
                delayed_rating{host, {workClass.name, version}, workClass.target, quality});
        }
        return quality;
    }

    double costOf(const std::string &name) const
    {
        for (const simulated_version &version : m_parameters.versions)
            if (version.name == name)
                return static_cast<double>(version.cost);
        return 0;
    }

    /// Cost of the cheapest single version whose true quality meets the target now. Cascades are
    /// not considered: they cost less only where the class can wait.
    double oracleCost(const work_class &workClass) const
    {
        double best = 1e18;
        for (const simulated_version &first : m_parameters.versions) {
            if (m_second < first.appearsAt)
                continue;
            const double quality = trueQuality(workClass, first.name);
            if (quality >= workClass.target)
                best = std::min(best, static_cast<double>(first.cost));
        }
        return best;
    }

    /// Adds what one request would have cost under the baselines.
    void addBaselineCosts(const work_class &workClass)
    {
        double highest = 0;
        double weights = 0;
        double mean = 0;
        for (const simulated_version &version : m_parameters.versions) {
            if (m_second < version.appearsAt)
                continue;
            highest = std::max(highest, static_cast<double>(version.cost));
            weights += version.weight;
            mean += version.weight * static_cast<double>(version.cost);
        }
        if (m_second >= warmUpSeconds) {
            m_result.oracleCost += oracleCost(workClass);
            m_result.highestCost += highest;
            m_result.staticCost += mean / weights;
        }
        if (!m_parameters.badVersion.empty() && m_second >= m_parameters.badAt)
            m_result.staticBadResponses += 100 / weights;
    }

    double staticQuality(const work_class &workClass) const
    {
        double weights = 0;
        double quality = 0;
        for (const simulated_version &version : m_parameters.versions) {
            if (m_second < version.appearsAt)
                continue;
            weights += version.weight;
            quality += version.weight * trueQuality(workClass, version.name);
        }
        return quality / weights;
    }

    void deliverRatings()
    {
        while (!m_delayedRatings.empty() && m_delayedRatings.begin()->first <= m_second) {
            const delayed_rating rating = m_delayedRatings.begin()->second;
            m_delayedRatings.erase(m_delayedRatings.begin());
            m_hosts[rating.host].rate(rating.subject, rating.target, rating.rating, now());
        }
    }

    /// Lets each host pull ratings from a random other one.
    void exchangeRatings()
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            const std::size_t other = m_random() % hostCount;
            if (other != host && !isPartitioned(host) && !isPartitioned(other))
                m_hosts[host].pullRatingsFrom(m_hosts[other], m_targets, now());
        }
    }

    void closeWindows()
    {
        for (const work_class &workClass : m_parameters.classes) {
            const double count = m_windowCount[workClass.name];
            if (count > 0 && m_second >= warmUpSeconds) {
                ++m_result.windows;
                m_result.missedWindows
                    += m_windowQuality[workClass.name] / count < workClass.target ? 1 : 0;
                m_result.staticMissedWindows += staticQuality(workClass) < workClass.target ? 1 : 0;
            }
        }
        m_windowQuality.clear();
        m_windowCount.clear();
    }

    simulation_parameters m_parameters;
    std::mt19937 m_random;
    std::vector<model_host> m_hosts;
    std::map<std::string, double> m_targets;
    std::map<std::pair<std::size_t, std::string>, std::vector<plan_share>> m_shares;
    std::multimap<int, delayed_rating> m_delayedRatings;
    std::map<std::string, double> m_windowQuality;
    std::map<std::string, double> m_windowCount;
    int m_second = 0;
    day_result m_result;
};

/// Draws one rating with the given mean, either graded or binary.
double drawRating(double mean, bool isBinary, std::mt19937 &random)
{
    if (isBinary)
        return std::bernoulli_distribution(mean)(random) ? 1 : 0;
    // The spread is limited so that ratings stay between 0 and 1 without a change of the mean.
    const double spread = std::min(1 - mean, ratingNoise * 1.7);
    return std::uniform_real_distribution<double>(mean - spread, mean + spread)(random);
}

/// False-positive rate: share of rollouts that are suspended within a day although the true quality
/// exceeds the target by \a margin. Two ratings arrive every 5 s.
double falseSuspensionRate(double margin, bool isBinary, unsigned seed)
{
    constexpr int rolloutCount = 200;
    constexpr double target = 0.85;
    std::mt19937 random(seed);
    int suspendedCount = 0;
    for (int i = 0; i < rolloutCount; ++i) {
        quality_estimator estimator(target, quality_parameters());
        bool suspended = false;
        for (int second = 0; second < daySeconds && !suspended; second += 5) {
            const time_point now(seconds(1'000'000 + second));
            rating_sums sums;
            for (int n = 0; n < 2; ++n)
                sums = sums + sumsOf(drawRating(target + margin, isBinary, random));
            estimator.add(sums, now);
            suspended = estimator.estimate(now).suspended;
        }
        suspendedCount += suspended ? 1 : 0;
    }
    return static_cast<double>(suspendedCount) / rolloutCount;
}

} // namespace

void measureQuality(report &out)
{
    std::vector<double> exposure;
    std::vector<double> badResponses;
    std::vector<double> overOracle;
    std::vector<double> overHighest;
    std::vector<double> overStatic;
    std::vector<double> missedShare;
    std::vector<double> missedStatic;
    std::vector<double> falseSuspensionsGraded;
    std::vector<double> falseSuspensionsBinary;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        simulation_parameters degrading = defaultParameters();
        degrading.badVersion = "medium@1";
        degrading.versions.pop_back();
        degrading.oneHostPartitioned = true;
        const day_result withBadVersion = day_simulation(degrading, seed).run();
        exposure.push_back(withBadVersion.badResponses / withBadVersion.staticBadResponses);
        badResponses.push_back(withBadVersion.badResponses);
        const day_result withoutBadVersion = day_simulation(defaultParameters(), seed).run();
        overOracle.push_back(withoutBadVersion.cost / withoutBadVersion.oracleCost);
        overHighest.push_back(withoutBadVersion.cost / withoutBadVersion.highestCost);
        overStatic.push_back(withoutBadVersion.cost / withoutBadVersion.staticCost);
        missedShare.push_back(static_cast<double>(withoutBadVersion.missedWindows)
                              / withoutBadVersion.windows);
        missedStatic.push_back(static_cast<double>(withoutBadVersion.staticMissedWindows)
                               / withoutBadVersion.windows);
        falseSuspensionsGraded.push_back(falseSuspensionRate(0.03, false, seed));
        falseSuspensionsBinary.push_back(falseSuspensionRate(0.03, true, seed));
    }
    out.addAtMost("bad_version_exposure", exposure, "ratio", 0.05);
    out.add("bad_version_answers", badResponses, "answers");
    out.addAtMost("false_cuts", falseSuspensionsGraded, "share", 0.01);
    out.addAtMost("false_cuts_yes_no_ratings", falseSuspensionsBinary, "share", 0.01);
    out.addAtMost("cost_over_oracle", overOracle, "ratio", 1.10);
    out.add("cost_over_dearest", overHighest, "ratio");
    out.add("cost_over_static_weights", overStatic, "ratio");
    out.addAtMost("quality_shortfall_windows", missedShare, "share", 0.01);
    out.add("quality_shortfall_windows_static_weights", missedStatic, "share");
}

} // namespace measure
