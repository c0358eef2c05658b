// The verdict compares error rates instead of using a formal sequential test, because the costs of
// the two errors differ widely: rolling back a good version only delays it, while keeping a bad one
// harms clients. A few failures therefore suffice if the baseline version does not have them too.

#include "goldcrestdeck/version_rollout.h"

#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

#include <xxhash.h>

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

/// Fewer bad outcomes can be due to chance or to one faulty instance.
constexpr double minBadOutcomes = 4;
/// Minimum share of bad outcomes of a bad version, over all routes and on a single one.
constexpr double minBadShare = 0.12;
constexpr double minBadRouteShare = 0.25;
/// A smaller share of slow outcomes can be due to load: once the candidate has all requests, or
/// after a crash of some instances, the two versions' latencies were measured under different
/// loads.
constexpr double minSlowShare = 0.25;
/// Minimum ratio of a bad version's share of bad outcomes to that of the baseline version.
constexpr double minBadRatio = 3;
/// Weight, in outcomes, of the prior on the baseline version's share of bad outcomes.
constexpr double priorOutcomes = 20;

/// Bad outcomes from which on a version is suspect.
constexpr double minSuspectOutcomes = 2;

/// Time between the last poll in which hosts exchange session lists and the start of the canary.
constexpr std::chrono::milliseconds canaryStartMargin{200};

constexpr std::array<rollout_stage, 5> stages
    = {rollout_stage::canary, rollout_stage::ramp, rollout_stage::full, rollout_stage::completed,
       rollout_stage::rolledBack};

bool isBad(const outcome_tally &candidate, const outcome_tally &baseline, double minShare)
{
    const bool isSlow = candidate.slow >= minSlowShare * candidate.outcomes;
    const double bad = candidate.failures + (isSlow ? candidate.slow : 0);
    const double baselineShare
        = (baseline.failures + baseline.slow) / (baseline.outcomes + priorOutcomes);
    return bad >= minBadOutcomes && bad >= minShare * candidate.outcomes
        && bad >= minBadRatio * baselineShare * candidate.outcomes;
}

bool isSuspect(const outcome_tally &candidate, const outcome_tally &baseline, double minShare,
               double fraction)
{
    const bool isSlow = candidate.slow >= fraction * minSlowShare * candidate.outcomes;
    const double bad = candidate.failures + (isSlow ? candidate.slow : 0);
    const double baselineShare
        = (baseline.failures + baseline.slow) / (baseline.outcomes + priorOutcomes);
    return bad >= minSuspectOutcomes && bad >= fraction * minShare * candidate.outcomes
        && bad >= minBadRatio * baselineShare * candidate.outcomes;
}

/// Whether \a matches holds for all routes together, or for one of them.
template<typename Match>
bool matchesAnyRoute(const version_tally &candidate, const version_tally &baseline, Match matches)
{
    if (matches(candidate.total(), baseline.total(), minBadShare))
        return true;
    return std::any_of(candidate.byRoute.begin(), candidate.byRoute.end(), [&](const auto &entry) {
        const auto found = baseline.byRoute.find(entry.first);
        return matches(entry.second,
                       found == baseline.byRoute.end() ? outcome_tally{} : found->second,
                       minBadRouteShare);
    });
}

} // namespace

bool operator==(const rollout_order &a, const rollout_order &b)
{
    return std::tie(a.service, a.target, a.duration, a.revision)
        == std::tie(b.service, b.target, b.duration, b.revision);
}

const char *toString(rollout_stage stage)
{
    switch (stage) {
    case rollout_stage::canary:
        return "canary";
    case rollout_stage::ramp:
        return "ramp";
    case rollout_stage::full:
        return "full";
    case rollout_stage::completed:
        return "completed";
    case rollout_stage::rolledBack:
        break;
    }
    return "rolled_back";
}

bool operator==(const rollout_record &a, const rollout_record &b)
{
    return std::tie(a.orderRevision, a.target, a.stage, a.elapsed, a.stageStart, a.rejectedVersions)
        == std::tie(b.orderRevision, b.target, b.stage, b.elapsed, b.stageStart,
                    b.rejectedVersions);
}

bool isFurther(const rollout_record &a, const rollout_record &b)
{
    return a.stage > b.stage;
}

std::string encodeRecord(const rollout_record &record)
{
    json_value document = json_value::object();
    document.set("order", record.orderRevision);
    document.set("target", record.target);
    document.set("stage", toString(record.stage));
    document.set("elapsed_ms", static_cast<std::uint64_t>(record.elapsed.count()));
    document.set("stage_start_ms", static_cast<std::uint64_t>(record.stageStart.count()));
    // Builds that do not know the member ignore it, and drop it when they write the record.
    if (record.rejectedVersions) {
        json_value rejected = json_value::array();
        for (const std::string &version : *record.rejectedVersions)
            rejected.append(json_value(version));
        document.set("rejected", rejected);
    }
    return document.dump();
}

rollout_record decodeRecord(const std::string &text)
{
    const json_value document = json_value::parse(text);
    rollout_record record;
    record.orderRevision = document.integer("order");
    record.target = document.string("target");
    const std::uint64_t elapsed = document.integer("elapsed_ms");
    record.elapsed = std::chrono::milliseconds(elapsed);
    record.stageStart = std::chrono::milliseconds(document.integer("stage_start_ms", elapsed));
    const std::string name = document.string("stage");
    const auto found = std::find_if(stages.begin(), stages.end(),
                                    [&](rollout_stage stage) { return name == toString(stage); });
    if (found == stages.end())
        throw json_error("unknown rollout stage '" + name + "'");
    record.stage = *found;
    if (document.has("rejected")) {
        const json_value rejected = document.get("rejected");
        record.rejectedVersions.emplace();
        for (std::size_t i = 0; i < std::min(rejected.size(), maxRejectedVersions); ++i)
            record.rejectedVersions->push_back(rejected.at(i).asString());
    }
    return record;
}

rollout_parameters rolloutParameters(const router_settings &settings)
{
    rollout_parameters result;
    result.exposureShare = settings.exposureShare;
    result.exposureSlack = settings.exposureSlack;
    // A host publishes its sessions at its first poll after sessionReportDelay; the others read
    // them at their next poll.
    result.canaryDelay
        = result.sessionReportDelay + 2 * settings.pollInterval() + canaryStartMargin;
    return result;
}

double sessionShare(const rollout_record &record, duration elapsed, duration orderDuration,
                    const rollout_parameters &parameters)
{
    const double canary = parameters.exposureShare * parameters.canaryFraction;
    switch (record.stage) {
    case rollout_stage::canary:
        return elapsed < parameters.canaryDelay ? 0 : canary;
    case rollout_stage::ramp: {
        const double rampLength = (parameters.fullStartFraction - parameters.rampStartFraction)
            * std::max<double>(1, static_cast<double>(orderDuration.count()));
        const double progress
            = static_cast<double>((elapsed - record.stageStart).count()) / rampLength;
        return std::clamp(canary + (1 - canary) * progress, canary, 1.0);
    }
    case rollout_stage::full:
    case rollout_stage::completed:
        return 1;
    case rollout_stage::rolledBack:
        break;
    }
    return 0;
}

double sessionPosition(const std::string &service, const std::string &target,
                       const std::string &session)
{
    return static_cast<double>(sessionDigest(service + ' ' + target, session))
        / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

std::uint64_t sessionDigest(const std::string &service, const std::string &session)
{
    const std::string key = service + ' ' + session;
    return XXH3_64bits(key.data(), key.size());
}

outcome_tally operator+(const outcome_tally &a, const outcome_tally &b)
{
    return {a.outcomes + b.outcomes, a.failures + b.failures, a.slow + b.slow};
}

outcome_tally version_tally::total() const
{
    outcome_tally result;
    for (const auto &entry : byRoute)
        result = result + entry.second;
    return result;
}

std::string encodeTally(const version_tally &tally)
{
    json_value document = json_value::array();
    for (const auto &entry : tally.byRoute) {
        json_value row = json_value::object();
        row.set("route", entry.first);
        row.set("answers", entry.second.outcomes);
        row.set("failures", entry.second.failures);
        row.set("slow", entry.second.slow);
        document.append(row);
    }
    return document.dump();
}

version_tally decodeTally(const std::string &text)
{
    const json_value document = json_value::parse(text);
    version_tally tally;
    for (std::size_t i = 0; i < document.size(); ++i) {
        const json_value row = document.at(i);
        tally.byRoute[row.string("route")]
            = {row.number("answers"), row.number("failures"), row.number("slow")};
    }
    return tally;
}

version_tally sum(const std::vector<version_tally> &tallies)
{
    version_tally result;
    for (const version_tally &tally : tallies) {
        for (const auto &entry : tally.byRoute)
            result.byRoute[entry.first] = result.byRoute[entry.first] + entry.second;
    }
    return result;
}

version_tally sumWithNonReportingHosts(const std::vector<version_tally> &reported,
                                       std::size_t nonReporting)
{
    version_tally result = sum(reported);
    const double hosts = static_cast<double>(reported.size() + nonReporting);
    for (auto &entry : result.byRoute)
        entry.second.outcomes
            *= hosts / static_cast<double>(std::max<std::size_t>(1, reported.size()));
    return result;
}

bool isBadVersion(const version_tally &candidate, const version_tally &baseline)
{
    return matchesAnyRoute(candidate, baseline, isBad);
}

bool isSuspectVersion(const version_tally &candidate, const version_tally &baseline,
                      double fraction)
{
    return matchesAnyRoute(
        candidate, baseline,
        [fraction](const outcome_tally &tally, const outcome_tally &other, double minShare) {
            return isSuspect(tally, other, minShare, fraction);
        });
}

std::optional<rollout_record> nextRecord(const rollout_record &current, const rollout_order &order,
                                         const rollout_observation &observation,
                                         const rollout_parameters &parameters)
{
    if (current.stage == rollout_stage::completed || current.stage == rollout_stage::rolledBack)
        return std::nullopt;
    rollout_record next = current;
    next.elapsed = current.elapsed + observation.recordAge;
    if (observation.judgedBad) {
        next.stage = rollout_stage::rolledBack;
        return next;
    }
    const double orderDuration = std::max<double>(1, static_cast<double>(order.duration.count()));
    const double writeDelay = parameters.writeSpreadFraction * observation.writeJitter;
    const double elapsedFraction
        = static_cast<double>(next.elapsed.count()) / orderDuration - writeDelay;
    const double recordAgeFraction
        = static_cast<double>(observation.recordAge.count()) / orderDuration - writeDelay;
    // Without the delay: that of a stage which begins late has passed.
    const double stageFraction
        = static_cast<double>((next.elapsed - current.stageStart).count()) / orderDuration;
    const double rampFraction = parameters.fullStartFraction - parameters.rampStartFraction;
    const double minFullFraction
        = (parameters.completionFraction - parameters.fullStartFraction) / 2;
    const bool isEvidenceComplete = next.elapsed - current.stageStart >= parameters.evidenceTime;
    const bool mustCompleteNow
        = elapsedFraction >= parameters.latestCompletionFraction && next.elapsed < order.duration;
    if (observation.instances == 0)
        return std::nullopt;
    const bool isHeld
        = mustCompleteNow && isEvidenceComplete ? observation.stronglySuspect : observation.suspect;
    if (isHeld) {
        if (recordAgeFraction < parameters.progressWriteFraction)
            return std::nullopt;
        return next;
    }
    if (current.stage == rollout_stage::canary && elapsedFraction >= parameters.rampStartFraction
        && observation.outcomes >= parameters.minOutcomes)
        next.stage = rollout_stage::ramp;
    else if (current.stage == rollout_stage::ramp && elapsedFraction >= parameters.fullStartFraction
             && stageFraction >= rampFraction)
        next.stage = rollout_stage::full;
    else if (current.stage == rollout_stage::full
             && elapsedFraction >= parameters.completionFraction && stageFraction >= minFullFraction
             && (isEvidenceComplete || mustCompleteNow))
        next.stage = rollout_stage::completed;
    else if (recordAgeFraction < parameters.progressWriteFraction)
        return std::nullopt;
    if (next.stage != current.stage)
        next.stageStart = next.elapsed;
    return next;
}

version_side chooseSide(rollout_stage stage, double share, double position,
                        const session_history &history, bool mayExpose)
{
    switch (stage) {
    case rollout_stage::canary:
        if (!mayExpose || share <= 0)
            return version_side::baseline;
        if (history.lastSide)
            return *history.lastSide;
        return !history.wasOnBaseline && position < share ? version_side::candidate
                                                          : version_side::baseline;
    case rollout_stage::ramp:
        if (!mayExpose)
            return history.lastSide.value_or(version_side::baseline);
        if (history.lastSide == version_side::candidate)
            return version_side::candidate;
        return position < share ? version_side::candidate : version_side::baseline;
    case rollout_stage::full:
    case rollout_stage::completed:
        return version_side::candidate;
    case rollout_stage::rolledBack:
        break;
    }
    return version_side::baseline;
}

exposure_meter::exposure_meter(const rollout_parameters &parameters)
    : m_parameters(parameters)
{ }

void exposure_meter::recordSend(version_side side)
{
    m_requests += 1;
    m_candidateRequests += side == version_side::candidate ? 1 : 0;
}

bool exposure_meter::mayExpose() const
{
    const double slack = m_parameters.exposureSlack * m_parameters.slackFraction
        / static_cast<double>(std::max<std::size_t>(1, m_parameters.hosts));
    return m_candidateRequests + 1 <= m_parameters.exposureShare * 0.9 * m_requests + slack;
}

} // namespace goldcrestdeck
