#ifndef GOLDCRESTDECK_REVISION_GUARD_H_
#define GOLDCRESTDECK_REVISION_GUARD_H_

/// \file
/// Decides whether this host may admit new work under its configuration revision.
///
/// A host admits work only while it has *evidence*, a lease of evidenceLifetime, that no newer
/// revision had been accepted when the evidence began. Evidence is one of:
///  - a read of the key-value service that returned the revision in force on this host;
///  - replies from a quorum of voters, none of which knew a newer revision;
///  - a reply from one host with the same revision, together with the age of that host's evidence.
/// The age counts from before the request was sent, so a delay can only make evidence older.
///
/// A change is *accepted* (class acceptance_tracker) once voters that intersect every quorum had it
/// in force at one instant and evidenceLifetime has passed since, or once all voters had it in
/// force at one instant. Any later evidence comes from the key-value service, which holds the
/// change, or from a quorum, which includes a host that had it. So no host admits work under an
/// older revision, not even after a freeze, a restart or a network partition.
///
/// Hosts persist nothing, so a restarted voter does not know what it acknowledged before. This
/// requires three rules; the model-based test fails if one of them is missing. A voter's replies
/// count towards a quorum only after it has *recovered*, that is, has got evidence that began after
/// its start. A tracker sends each voter two requests and counts it only for the time between two
/// replies of one process. Only voters share their evidence with other hosts.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/config.h"

namespace goldcrestdeck {

struct guard_limits {
    duration evidenceLifetime = std::chrono::milliseconds(2500);
    /// Added to the lifetime by acceptance_tracker, to allow for clocks that run at different
    /// rates.
    duration clockMargin = std::chrono::milliseconds(125);
};

/// The reply of a host that is polled for its revision.
struct revision_report {
    std::string host;
    revision_number revision = 0;
    std::optional<duration> evidenceAge;
    bool recovered = false;        ///< Whether the report counts towards a quorum.
    std::uint64_t incarnation = 0; ///< Differs between processes of one host.
};

class revision_guard
{
public:
    /// \a startedAt must not be before the start of this process, and \a incarnation must be unique
    /// to the process.
    revision_guard(std::string self, guard_limits limits, time_point startedAt,
                   std::uint64_t incarnation);

    /// Puts \a value in force. \returns false, and changes nothing, unless \a revision is newer.
    bool install(revision_number revision, std::shared_ptr<const config> value);

    /// The key-value service returned \a revision for a read that was sent at \a sentAt.
    void recordStoreRead(time_point sentAt, revision_number revision);

    /// Starts a new round of replies from voters; reports to earlier requests no longer count.
    void beginRound(time_point now);

    /// Takes in a report whose request was sent at \a sentAt.
    void recordReport(time_point sentAt, const revision_report &report);

    bool mayAdmit(time_point now) const;
    bool isVoter() const;
    std::optional<duration> evidenceAge(time_point now) const;
    revision_report report(time_point now) const;

    revision_number revision() const { return m_revision; }
    /// The newest revision seen in any reply; if it is above revision(), it has to be fetched.
    revision_number highestSeenRevision() const { return m_highestSeenRevision; }
    const std::shared_ptr<const config> &current() const { return m_config; }

private:
    void renewEvidence(time_point begin);
    void finishRound();

    std::string m_self;
    guard_limits m_limits;
    time_point m_startedAt;
    std::uint64_t m_incarnation;
    bool m_recovered = false;
    revision_number m_revision = 0;
    revision_number m_highestSeenRevision = 0;
    std::shared_ptr<const config> m_config;
    std::optional<time_point> m_evidenceBegin;
    // A store read that returned a newer revision counts as soon as that revision is installed.
    std::optional<time_point> m_pendingEvidenceBegin;
    revision_number m_pendingRevision = 0;
    std::optional<time_point> m_roundBegin;
    host_names m_roundHosts;
    revision_number m_highestRoundRevision = 0;
};

/// Tracks one revision until it is accepted.
class acceptance_tracker
{
public:
    /// \a self is this host, which has had the revision in force since \a now.
    acceptance_tracker(revision_number revision, const config &value, guard_limits limits,
                       const std::string &self, time_point now);

    /// Takes in a report whose request was sent at \a sentAt and that arrived at \a now.
    void recordReport(time_point sentAt, const revision_report &report, time_point now);

    /// Whether the revision is accepted. Once true, it stays true.
    bool accepted(time_point now);

    /// The voters that have not yet confirmed the revision by two replies of one process.
    std::vector<std::string> unconfirmedVoters() const;

private:
    /// The time for which a process is known to have had the revision in force: from the arrival of
    /// its first reply until the sending of the request for its latest. It is empty after a single
    /// reply, whose request was sent before it arrived.
    struct held_interval {
        std::uint64_t incarnation = 0;
        time_point from;
        time_point until;
    };

    host_names hostsHoldingAt(time_point instant) const;
    void findQuorum();

    revision_number m_revision;
    config m_config;
    guard_limits m_limits;
    std::string m_self;
    host_names m_voters; ///< During a change of voters, of both sets.
    std::map<std::string, held_interval> m_heldIntervals;
    std::optional<time_point> m_quorumHeldAt;
    bool m_heldByAll = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_REVISION_GUARD_H_
