// Simulates a working day of the consortium: eight hosts that share ratings, three work classes,
// versions of different cost and quality, and delayed ratings for one answer in five. Routing
// decisions are made by the production code; clients, answers and raters are simulated.

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
constexpr int windowSeconds = 300;
constexpr double requestsEachSecond = 1.5; ///< Per work class, over all hosts.
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

struct deployment {
    std::vector<simulated_version> versions;
    std::vector<work_class> classes;
    std::string badVersion; ///< Degrades to badQuality at badAt; empty: none.
    int badAt = daySeconds / 2;
    double badQuality = 0.5;
    bool oneHostPartitioned = false;
    int ratingDelay = 60; ///< Seconds; plus a uniform delay up to the same length.
};

struct day_result {
    double cost = 0;
    double oracleCost = 0;
    double highestCost = 0;
    double staticCost = 0;
    int windows = 0;
    int missedWindows = 0;
    int staticMissedWindows = 0;
    int badAnswers = 0;
    double staticBadAnswers = 0;
    std::set<std::string> suspended;
};

deployment usualDeployment()
{
    deployment usual;
    usual.versions = {{"small@1", 200, 100, 0},
                      {"medium@1", 900, 100, 0},
                      {"large@1", 4000, 100, 0},
                      {"medium@2", 700, 100, 2 * 3600}};
    usual.classes
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
    return usual;
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
        m_board.add(m_source, subject, sumsOf(rating));
        updateEstimator(subject, target, sumsOf(rating), now);
    }

    void pullFrom(const model_host &other, const std::map<std::string, double> &targets,
                  time_point now)
    {
        auto &known = m_known[other.m_source];
        const auto changes = other.m_board.changedAfter(known, 64);
        known = changes.upTo;
        for (const rating_counter &counter : changes.counters)
            if (counter.source != m_source)
                updateEstimator(counter.subject, targets.at(counter.subject.workClass),
                                m_board.merge(counter), now);
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
    rating_replica m_board;
    std::map<std::string, std::uint64_t> m_known;
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
    day_simulation(const deployment &plan, unsigned seed)
        : m_plan(plan)
        , m_random(seed)
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            m_hosts.emplace_back("h" + std::to_string(i));
        for (const work_class &kind : plan.classes)
            m_targets[kind.name] = kind.target;
    }

    day_result run()
    {
        for (m_second = 0; m_second < daySeconds; ++m_second) {
            deliverRatings();
            exchange();
            if (m_second % 2 == 0)
                refreshShares();
            for (const work_class &kind : m_plan.classes) {
                std::poisson_distribution<int> arrivals(requestsEachSecond);
                for (int n = arrivals(m_random); n > 0; --n)
                    answer(kind);
            }
            if (m_second % windowSeconds == windowSeconds - 1)
                closeWindows();
        }
        return m_result;
    }

private:
    time_point now() const { return time_point(seconds(1'000'000 + m_second)); }

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    bool isPartitioned(std::size_t host) const { return m_plan.oneHostPartitioned && host == 0; }

    double trueQuality(const work_class &kind, const std::string &version) const
    {
        const bool isBad = version == m_plan.badVersion && m_second >= m_plan.badAt;
        return isBad ? m_plan.badQuality : kind.quality.at(version);
    }

    std::vector<version_option> candidatesOf(std::size_t host, const work_class &kind) const
    {
        std::vector<version_option> candidates;
        for (const simulated_version &version : m_plan.versions)
            if (m_second >= version.appearsAt)
                candidates.push_back(
                    {version.name, version.cost, version.weight,
                     m_hosts[host].estimate({kind.name, version.name}, kind.target, now())});
        return candidates;
    }

    void refreshShares()
    {
        for (std::size_t host = 0; host < hostCount; ++host)
            for (const work_class &kind : m_plan.classes) {
                const auto candidates = candidatesOf(host, kind);
                m_shares[{host, kind.name}]
                    = planShares(candidates, kind.target, kind.canWait, policy_parameters());
                for (const version_option &version : candidates)
                    if (version.quality.suspended)
                        m_result.suspended.insert(kind.name + "/" + version.version);
            }
    }

    void answer(const work_class &kind)
    {
        const std::size_t host = m_random() % hostCount;
        const decision chosen = choosePlan(m_shares[{host, kind.name}], uniform());
        if (chosen.reason == plan_reason::none)
            return;
        std::string version = chosen.chosen.first;
        double quality = serve(host, kind, version, chosen.reason, !chosen.chosen.second.empty());
        if (!chosen.chosen.second.empty() && quality < passThreshold) {
            version = chosen.chosen.second;
            quality = serve(host, kind, version, chosen.reason, false);
        }
        m_windowQuality[kind.name] += quality;
        ++m_windowCount[kind.name];
        addBaselines(kind);
    }

    /// \returns the quality of one answer of \a version, drawn about its true mean.
    double serve(std::size_t host, const work_class &kind, const std::string &version,
                 plan_reason reason, bool rateNow)
    {
        const double mean = trueQuality(kind, version);
        const double quality
            = std::clamp(std::normal_distribution<double>(mean, ratingNoise)(m_random), 0.0, 1.0);
        if (m_second >= warmUpSeconds)
            m_result.cost += costOf(version);
        if (version == m_plan.badVersion && m_second >= m_plan.badAt)
            ++m_result.badAnswers;
        const bool isRated = rateNow || reason == plan_reason::canary || uniform() < ratingShare;
        if (isRated) {
            const int delay = rateNow
                ? 0
                : m_plan.ratingDelay + static_cast<int>(uniform() * m_plan.ratingDelay);
            m_delayedRatings.emplace(
                m_second + delay, delayed_rating{host, {kind.name, version}, kind.target, quality});
        }
        return quality;
    }

    double costOf(const std::string &name) const
    {
        for (const simulated_version &version : m_plan.versions)
            if (version.name == name)
                return static_cast<double>(version.cost);
        return 0;
    }

    /// Cost of the cheapest single version whose true quality meets the target now. Cascades are
    /// not considered: they cost less only where the class can wait.
    double oracleCost(const work_class &kind) const
    {
        double best = 1e18;
        for (const simulated_version &first : m_plan.versions) {
            if (m_second < first.appearsAt)
                continue;
            const double quality = trueQuality(kind, first.name);
            if (quality >= kind.target)
                best = std::min(best, static_cast<double>(first.cost));
        }
        return best;
    }

    void addBaselines(const work_class &kind)
    {
        double highest = 0;
        double weights = 0;
        double mean = 0;
        for (const simulated_version &version : m_plan.versions) {
            if (m_second < version.appearsAt)
                continue;
            highest = std::max(highest, static_cast<double>(version.cost));
            weights += version.weight;
            mean += version.weight * static_cast<double>(version.cost);
        }
        if (m_second >= warmUpSeconds) {
            m_result.oracleCost += oracleCost(kind);
            m_result.highestCost += highest;
            m_result.staticCost += mean / weights;
        }
        if (!m_plan.badVersion.empty() && m_second >= m_plan.badAt)
            m_result.staticBadAnswers += 100 / weights;
    }

    double staticQuality(const work_class &kind) const
    {
        double weights = 0;
        double quality = 0;
        for (const simulated_version &version : m_plan.versions) {
            if (m_second < version.appearsAt)
                continue;
            weights += version.weight;
            quality += version.weight * trueQuality(kind, version.name);
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

    void exchange()
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            const std::size_t other = m_random() % hostCount;
            if (other != host && !isPartitioned(host) && !isPartitioned(other))
                m_hosts[host].pullFrom(m_hosts[other], m_targets, now());
        }
    }

    void closeWindows()
    {
        for (const work_class &kind : m_plan.classes) {
            const double count = m_windowCount[kind.name];
            if (count > 0 && m_second >= warmUpSeconds) {
                ++m_result.windows;
                m_result.missedWindows += m_windowQuality[kind.name] / count < kind.target ? 1 : 0;
                m_result.staticMissedWindows += staticQuality(kind) < kind.target ? 1 : 0;
            }
        }
        m_windowQuality.clear();
        m_windowCount.clear();
    }

    deployment m_plan;
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
    // The spread is limited so that ratings stay within 0 and 1 and the mean is kept.
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
    std::vector<double> badAnswers;
    std::vector<double> overOracle;
    std::vector<double> overHighest;
    std::vector<double> overStatic;
    std::vector<double> missedShare;
    std::vector<double> missedStatic;
    std::vector<double> falseSuspensionsGraded;
    std::vector<double> falseSuspensionsBinary;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        deployment degrading = usualDeployment();
        degrading.badVersion = "medium@1";
        degrading.versions.pop_back();
        degrading.oneHostPartitioned = true;
        const day_result bad = day_simulation(degrading, seed).run();
        exposure.push_back(bad.badAnswers / bad.staticBadAnswers);
        badAnswers.push_back(bad.badAnswers);
        const day_result usual = day_simulation(usualDeployment(), seed).run();
        overOracle.push_back(usual.cost / usual.oracleCost);
        overHighest.push_back(usual.cost / usual.highestCost);
        overStatic.push_back(usual.cost / usual.staticCost);
        missedShare.push_back(static_cast<double>(usual.missedWindows) / usual.windows);
        missedStatic.push_back(static_cast<double>(usual.staticMissedWindows) / usual.windows);
        falseSuspensionsGraded.push_back(falseSuspensionRate(0.03, false, seed));
        falseSuspensionsBinary.push_back(falseSuspensionRate(0.03, true, seed));
    }
    out.addAtMost("bad_version_exposure", exposure, "ratio", 0.05);
    out.add("bad_version_answers", badAnswers, "answers");
    out.addAtMost("false_cuts", falseSuspensionsGraded, "share", 0.01);
    out.addAtMost("false_cuts_yes_no_ratings", falseSuspensionsBinary, "share", 0.01);
    out.addAtMost("cost_over_oracle", overOracle, "ratio", 1.10);
    out.add("cost_over_dearest", overHighest, "ratio");
    out.add("cost_over_static_weights", overStatic, "ratio");
    out.addAtMost("quality_shortfall_windows", missedShare, "share", 0.01);
    out.add("quality_shortfall_windows_static_weights", missedStatic, "share");
}

} // namespace measure
