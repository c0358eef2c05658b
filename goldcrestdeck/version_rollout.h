#ifndef GOLDCRESTDECK_VERSION_ROLLOUT_H_
#define GOLDCRESTDECK_VERSION_ROLLOUT_H_

/// \file
/// Rolls out a candidate version of a service in place of the baseline version, and rolls it back
/// if it is judged bad.
///
/// All hosts share one record for each rollout order. Any host may advance it to the next stage by
/// compare-and-swap, so there is no controller that could fail. A host that judges the candidate
/// bad stops sending to it at once and writes the rollback into the record; the others stop when
/// they read it. All functions are pure.
///
///   canary     a small share of the sessions, none of which has used the baseline version
///   ramp       a growing share; sessions may move to the candidate, but never back
///   full       all new traffic; requests in progress on the baseline version run to their end
///   completed, rolledBack

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/router_settings.h"

namespace goldcrestdeck {

struct rollout_order {
    std::string service;
    std::string target;
    std::chrono::milliseconds duration{0}; ///< Time for a good version to be completed.
    std::uint64_t revision = 0;            ///< Store revision of the order; identifies it.
    /// If the store lost the order and it was written again: its revision before. Not compared by
    /// ==.
    std::uint64_t previousRevision = 0;
};

bool operator==(const rollout_order &a, const rollout_order &b);

/// In the order of isFurther().
enum class rollout_stage { canary, ramp, full, completed, rolledBack };

const char *toString(rollout_stage stage);

/// The shared state of one order.
struct rollout_record {
    std::uint64_t orderRevision = 0;
    std::string target;
    rollout_stage stage = rollout_stage::canary;
    std::chrono::milliseconds elapsed{0};    ///< From the order to the writing of this record.
    std::chrono::milliseconds stageStart{0}; ///< From the order to the beginning of the stage.
    /// Versions of the service that have been rolled back and not been completed since, oldest
    /// first; at most maxRejectedVersions. Their instances may still be registered for some
    /// seconds. nullopt if none has ever been, or the writer's build does not know.
    std::optional<std::vector<std::string>> rejectedVersions;
};

/// A rolled-back version is stopped within seconds; several orders follow each other only rarely.
constexpr std::size_t maxRejectedVersions = 8;

bool operator==(const rollout_record &a, const rollout_record &b);

/// Whether the stage of \a a is later than that of \a b. A verdict is the latest of all.
bool isFurther(const rollout_record &a, const rollout_record &b);

std::string encodeRecord(const rollout_record &record);
/// \throws json_error
rollout_record decodeRecord(const std::string &text);

struct rollout_parameters {
    /// A bad version may get at most this share of a service's requests plus exposureSlack
    /// requests.
    double exposureShare = 0.15;
    double exposureSlack = 30;
    /// The canary's share of the sessions, as a fraction of exposureShare; less than 1 because a
    /// share of sessions can make up a larger share of requests.
    double canaryFraction = 0.45;
    /// Time from the order to the start of the canary. Each host publishes its recent sessions on
    /// the baseline version at sessionReportDelay and again at canaryDelay.
    std::chrono::milliseconds canaryDelay{2400};
    std::chrono::milliseconds sessionReportDelay{1000};
    /// Fraction of exposureSlack that all hosts together may use, and the number of hosts that
    /// share it equally.
    double slackFraction = 0.8;
    std::size_t hosts = 8;
    /// Fractions of the duration at which the ramp begins, all traffic moves, and the order is
    /// completed. The ramp starts after the first half, in which sessions may not be moved. A stage
    /// that begins late takes its time nevertheless, since its responses have yet to be judged: the
    /// ramp all of it, the last one at least half.
    double rampStartFraction = 0.54;
    double fullStartFraction = 0.68;
    double completionFraction = 0.86;
    /// Time in which outcomes become known to all hosts, so that the last stage does not end before
    /// its own are judged. Given up only to complete the order in its duration, from
    /// latestCompletionFraction on.
    std::chrono::milliseconds evidenceTime{2500};
    double latestCompletionFraction = 0.93;
    /// Fraction of the share of bad outcomes from which on a version is suspect; the second one
    /// where only the completion in time is at stake. A version that has all requests responds more
    /// slowly than one that shares them, so a good one is often suspect by the first.
    double suspectFraction = 0.5;
    double lateSuspectFraction = 0.65;
    /// Outcomes of the candidate that a host must have seen before it starts the ramp.
    double minOutcomes = 4;
    /// Fraction of the duration after which the elapsed time is written to the record again, so
    /// that it survives process restarts.
    double progressWriteFraction = 0.2;
    /// Fraction of the duration over which the hosts' writes to a record are spread, so that
    /// usually only the first host has to write.
    double writeSpreadFraction = 0.12;
};

rollout_parameters rolloutParameters(const router_settings &settings);

/// Share of the sessions that the stage of \a record sends to the candidate, \a elapsed after the
/// order.
double sessionShare(const rollout_record &record, duration elapsed, duration orderDuration,
                    const rollout_parameters &parameters);

/// Hashes a session of \a service to a position in [0, 1), for one target; the same on all hosts.
double sessionPosition(const std::string &service, const std::string &target,
                       const std::string &session);
/// Hashes a session key, so that hosts can exchange sessions without disclosing their keys.
std::uint64_t sessionDigest(const std::string &service, const std::string &session);

/// Outcomes of one version on one route, with exponential decay.
struct outcome_tally {
    double outcomes = 0;
    double failures = 0;
    double slow = 0; ///< Much slower than the baseline version on the same route.
};

outcome_tally operator+(const outcome_tally &a, const outcome_tally &b);

struct version_tally {
    std::map<std::string, outcome_tally> byRoute;

    outcome_tally total() const;
};

std::string encodeTally(const version_tally &tally);
/// \throws json_error
version_tally decodeTally(const std::string &text);
version_tally sum(const std::vector<version_tally> &tallies);
/// Sums the tallies and extrapolates to \a nonReporting further hosts. A host reports its tally
/// only when it has seen bad outcomes, so the reports are a biased sample: each host without a
/// report is taken to have had as many outcomes as the mean of \a reported, none of them bad.
version_tally sumWithNonReportingHosts(const std::vector<version_tally> &reported,
                                       std::size_t nonReporting);

/// Whether the candidate has more bad outcomes than can be explained by chance or by faults that
/// the baseline version has as well.
bool isBadVersion(const version_tally &candidate, const version_tally &baseline);
/// Whether the candidate has bad outcomes that may yet lead to a verdict: more of them would make
/// isBadVersion() true. A rollout does not advance until that is settled. \a fraction is that of
/// the share of bad outcomes which a verdict requires.
bool isSuspectVersion(const version_tally &candidate, const version_tally &baseline,
                      double fraction);

/// What a host has observed of a rollout; input of nextRecord().
struct rollout_observation {
    std::chrono::milliseconds recordAge{0}; ///< Time since the current record was read.
    bool judgedBad = false;                 ///< The host judged the candidate bad.
    /// isSuspectVersion() for what the host knows, with suspectFraction and with
    /// lateSuspectFraction.
    bool suspect = false;
    bool stronglySuspect = false;
    double outcomes = 0;       ///< Outcomes of the candidate on this host.
    std::size_t instances = 0; ///< Usable instances of the candidate.
    double writeJitter = 0;    ///< 0 to 1, by host: the fraction of writeSpreadFraction to wait.
};

/// \returns the record to write after \a current, or nothing if no write is due.
std::optional<rollout_record> nextRecord(const rollout_record &current, const rollout_order &order,
                                         const rollout_observation &observation,
                                         const rollout_parameters &parameters);

/// The version that a request goes to.
enum class version_side { baseline, candidate };

/// What a host knows of a session when a request of it arrives.
struct session_history {
    std::optional<version_side> lastSide; ///< Of its last request on this host, if recent.
    /// Whether a host has reported that the session used the baseline version around the order.
    bool wasOnBaseline = false;
};

/// Chooses the version for a request. \a position is that of sessionPosition(). \a mayExpose is
/// false if the request has already failed on the candidate, if the host has not confirmed the
/// record recently or, in the canary stage, if it has used up its part of the exposure bound. It
/// has no effect from the full stage on.
version_side chooseSide(rollout_stage stage, double share, double position,
                        const session_history &history, bool mayExpose);

/// Keeps one host within its part of the bound on a candidate's exposure.
class exposure_meter
{
public:
    explicit exposure_meter(const rollout_parameters &parameters);

    void recordSend(version_side side);
    bool mayExpose() const;

private:
    rollout_parameters m_parameters;
    double m_requests = 0;
    double m_candidateRequests = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_VERSION_ROLLOUT_H_
