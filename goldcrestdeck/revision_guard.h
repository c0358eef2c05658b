#ifndef GOLDCRESTDECK_REVISION_GUARD_H_
#define GOLDCRESTDECK_REVISION_GUARD_H_

/// \file
/// Decides whether this host may admit new work under the configuration it holds.
///
/// A host admits only while it has *evidence*, at most evidenceLifetime old, that no newer revision
/// had been accepted when the evidence began. Evidence is one of:
///  - a read of the key-value service that returned the revision in force here;
///  - replies from a quorum of voters, none of which knew a newer revision;
///  - a reply from one host in the same revision, with the age of that host's own evidence.
/// Age counts from before the question was sent, so delays only make it older.
///
/// A change is *accepted* (class acceptance) once voters that meet every quorum had it in force at
/// one instant and a lifetime has passed since, or once all voters had it in force at one instant.
/// Later evidence comes from the key-value service, which holds the change, or from a quorum, which
/// shares a host with the one that had it. So no host, frozen, restarted or cut off, admits under
/// an older revision.
///
/// Hosts keep nothing over a restart, so a voter may have forgotten what it acknowledged. Hence
/// three rules, each of which a model-based test has shown to be needed: a voter's replies count
/// towards a quorum only once it has *recovered*, that is, has evidence that began after its start;
/// an acceptor asks each voter twice and counts it only for the time between two replies of one
/// process; and only voters pass on their evidence.

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
    /// What an acceptor waits beyond the lifetime, for clocks that run at unlike rates.
    duration clockMargin = std::chrono::milliseconds(125);
};

/// What a host says of itself when asked.
struct revision_report {
    std::string host;
    revision_number revision = 0;
    std::optional<duration> evidenceAge;
    bool recovered = false;     ///< Whether this report counts towards a quorum.
    std::uint64_t instance = 0; ///< Differs between two processes of one host.
};

class revision_guard
{
public:
    /// \a startedAt must not be before the start of this process, and \a instance unique to it.
    revision_guard(std::string self, guard_limits limits, time_point startedAt,
                   std::uint64_t instance);

    /// Puts \a value in force. \returns false, and changes nothing, unless \a revision is newer.
    bool install(revision_number revision, std::shared_ptr<const config> value);

    /// The key-value service, asked at \a askedAt, holds \a revision.
    void noteStoreRead(time_point askedAt, revision_number revision);

    /// Starts to collect replies from voters.
    void beginRound(time_point now);

    /// A host, asked at \a askedAt, answered.
    void noteReport(time_point askedAt, const revision_report &report);

    bool mayAdmit(time_point now) const;
    bool isVoter() const;
    std::optional<duration> evidenceAge(time_point now) const;
    revision_report report(time_point now) const;

    revision_number revision() const { return m_revision; }
    /// The newest revision that anyone has named; above revision() it has to be fetched.
    revision_number highestHeard() const { return m_highestHeard; }
    const std::shared_ptr<const config> &current() const { return m_config; }

private:
    void extend(time_point begin);
    void finishRound();

    std::string m_self;
    guard_limits m_limits;
    time_point m_startedAt;
    std::uint64_t m_instance;
    bool m_recovered = false;
    revision_number m_revision = 0;
    revision_number m_highestHeard = 0;
    std::shared_ptr<const config> m_config;
    std::optional<time_point> m_evidence;
    // A store read or a reply that names a newer revision counts once that revision is installed.
    std::optional<time_point> m_pendingEvidence;
    revision_number m_pendingRevision = 0;
    std::optional<time_point> m_roundBegin;
    host_names m_roundHosts;
    revision_number m_roundRevision = 0;
};

/// Follows one revision until it is accepted.
class acceptance
{
public:
    /// \a self, the host that asks, has had the revision in force since \a now.
    acceptance(revision_number revision, const config &value, guard_limits limits,
               const std::string &self, time_point now);

    /// A host, asked at \a askedAt, answered at \a now.
    void noteReport(time_point askedAt, const revision_report &report, time_point now);

    /// Whether the revision is accepted; once it is, it stays so.
    bool accepted(time_point now);

    /// The voters that are not known to have the revision in force, or only from one reply.
    std::vector<std::string> missing() const;

private:
    /// Between these two times the process had the revision in force without a break; after one
    /// reply alone, which may be old when it comes, the second still lies before the first.
    struct holding {
        std::uint64_t instance = 0;
        time_point from;
        time_point until;
    };

    host_names heldAt(time_point instant) const;
    void findQuorum();

    revision_number m_revision;
    config m_config;
    guard_limits m_limits;
    std::string m_self;
    host_names m_voters; ///< Of both sets, during a change of voters.
    std::map<std::string, holding> m_holdings;
    std::optional<time_point> m_quorumAt;
    bool m_heldByAll = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_REVISION_GUARD_H_
