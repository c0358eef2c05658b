#ifndef GOLDCRESTDECK_VERSION_ROLLOUT_H_
#define GOLDCRESTDECK_VERSION_ROLLOUT_H_

/// \file
/// Moving a service's traffic to a new version, or back if the version is bad.
///
/// All hosts share one record for each order. Any host may move it on, by compare-and-swap, when it
/// believes that the time has come: there is no controller to lose. A host that judges the version
/// bad stops sending to it at once and writes that into the record; the others follow when they
/// read it. All functions are pure.
///
///   canary     a small share of the sessions, none of which has been on the old version
///   ramp       a larger share, growing in steps; sessions may move on but never back
///   full       all traffic; what runs on the old version comes to its end
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
    std::chrono::milliseconds duration{0}; ///< Within which a good version should be completed.
    std::uint64_t revision = 0;            ///< Of the order itself; a new order has another.
};

bool operator==(const rollout_order &a, const rollout_order &b);

enum class rollout_stage { canary, ramp, full, completed, rolledBack };

const char *toString(rollout_stage stage);

/// The shared state of one order.
struct rollout_record {
    std::uint64_t orderRevision = 0;
    std::string target;
    rollout_stage stage = rollout_stage::canary;
    std::chrono::milliseconds elapsed{0}; ///< Since the order, when this record was written.
};

bool operator==(const rollout_record &a, const rollout_record &b);

std::string encodeRecord(const rollout_record &record);
/// \throws json_error
rollout_record decodeRecord(const std::string &text);

struct rollout_parameters {
    /// Bound on a bad version's share of a service's requests, and the requests beyond it.
    double exposureShare = 0.15;
    double exposureSlack = 30;
    /// The canary's share of the sessions, as a part of exposureShare; less than 1 because shares
    /// of sessions are not shares of requests.
    double canaryPart = 0.45;
    /// The canary begins this long after the order. By then every host has told the others which
    /// sessions it has lately had on the established version, at sessionsAfter and again then.
    std::chrono::milliseconds canaryDelay{2400};
    std::chrono::milliseconds sessionsAfter{1000};
    /// Part of exposureSlack that all hosts together may use, and the hosts it is divided among.
    double slackPart = 0.8;
    std::size_t hosts = 8;
    /// Parts of the duration at which the ramp begins, ends, and the order is completed. Sessions
    /// may not be moved in the first half.
    double rampFrom = 0.54;
    double fullFrom = 0.68;
    double completeFrom = 0.86;
    /// Answers of the new version that must be known before the ramp.
    double minAnswers = 4;
    /// Part of the duration after which the time that has passed is written down, so that it
    /// outlives the processes.
    double progressPart = 0.2;
    /// Part of the duration by which hosts differ in when they move a record on: the first one that
    /// does so spares the others the call.
    double spreadPart = 0.12;
};

rollout_parameters rolloutParameters(const router_settings &settings);

/// Part of the sessions that a stage sends to the new version, \a elapsed after the order.
double sessionShare(rollout_stage stage, duration elapsed, duration whole,
                    const rollout_parameters &parameters);

/// A session's place in [0, 1) among those of a service, for one target; the same on all hosts.
double sessionPosition(const std::string &service, const std::string &target,
                       const std::string &session);
/// A number for a session that says nothing of it, for telling other hosts.
std::uint64_t sessionDigest(const std::string &service, const std::string &session);

/// Answers of one version on one route, weighted by age.
struct answer_tally {
    double answers = 0;
    double failures = 0;
    double slow = 0; ///< Much slower than the other version on the same route.
};

answer_tally operator+(const answer_tally &a, const answer_tally &b);

struct version_tally {
    std::map<std::string, answer_tally> byRoute;

    answer_tally total() const;
};

std::string encodeTally(const version_tally &tally);
/// \throws json_error
version_tally decodeTally(const std::string &text);
version_tally sum(const std::vector<version_tally> &tallies);
/// Adds hosts that have told nothing. A host tells its tally when it has seen bad answers, so those
/// that tell are not a fair sample: each silent one is taken to have had as many answers as the
/// mean of \a known, none of them bad.
version_tally sumWithSilentHosts(const std::vector<version_tally> &known, std::size_t silent);

/// Whether answers like these come from a bad version rather than from chance or from faults that
/// the other version has too.
bool isBadVersion(const version_tally &candidate, const version_tally &other);

/// What a host believes when it decides on the next record.
struct rollout_belief {
    std::chrono::milliseconds seenFor{0}; ///< For which it has known the current record.
    bool bad = false;                     ///< The version was judged bad.
    double answers = 0;                   ///< Of the new version, that it knows.
    std::size_t instances = 0;            ///< Of the new version, that can be used.
    double patience = 0; ///< Its place among the hosts, 0 to 1: the others wait for the first.
};

/// The record that should follow \a current, or nothing while it is to stay.
std::optional<rollout_record> nextRecord(const rollout_record &current, const rollout_order &order,
                                         const rollout_belief &belief,
                                         const rollout_parameters &parameters);

/// Which version a request goes to.
enum class version_side { established, candidate };

/// What a host knows of a session when its next request comes.
struct session_history {
    std::optional<version_side> last; ///< The side of its last request here, if it is recent.
    bool wasEstablished = false;      ///< Some host had it on the established version at the order.
};

/// \a position is the session's place in [0, 1), the same on all hosts. \a mayExpose is false when
/// the host's part of the exposure is used up, or it has not heard of the record lately.
version_side chooseSide(rollout_stage stage, double share, double position,
                        const session_history &history, bool mayExpose);

/// One host's part of the bound on exposure.
class exposure_meter
{
public:
    explicit exposure_meter(const rollout_parameters &parameters);

    void noteSent(version_side side);
    bool mayExpose() const;

private:
    rollout_parameters m_parameters;
    double m_all = 0;
    double m_candidate = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_VERSION_ROLLOUT_H_
