// The protocol is a read quorum with a lease: a host's evidence is a read that intersects every
// write quorum, and it is valid for a fixed time. A tracker waits until that time is over, so the
// polled hosts need not promise anything, and no host has to persist state.

#include "goldcrestdeck/revision_guard.h"

#include <algorithm>
#include <utility>

namespace goldcrestdeck {

revision_guard::revision_guard(std::string self, guard_limits limits, time_point startedAt,
                               std::uint64_t incarnation)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_startedAt(startedAt)
    , m_incarnation(incarnation)
{ }

bool revision_guard::install(revision_number revision, std::shared_ptr<const config> value)
{
    if (revision <= m_revision)
        return false;
    m_revision = revision;
    m_highestSeenRevision = std::max(m_highestSeenRevision, revision);
    m_config = std::move(value);
    if (m_pendingEvidenceBegin && m_pendingRevision <= m_revision) {
        renewEvidence(*m_pendingEvidenceBegin);
        m_pendingEvidenceBegin.reset();
    }
    finishRound();
    return true;
}

void revision_guard::recordStoreRead(time_point sentAt, revision_number revision)
{
    m_highestSeenRevision = std::max(m_highestSeenRevision, revision);
    if (revision == m_revision) {
        renewEvidence(sentAt);
    } else if (revision > m_revision) {
        m_pendingEvidenceBegin = sentAt;
        m_pendingRevision = revision;
    }
}

void revision_guard::beginRound(time_point now)
{
    m_roundBegin = now;
    m_roundHosts.clear();
    m_highestRoundRevision = 0;
    if (m_recovered)
        m_roundHosts.insert(m_self);
    finishRound();
}

void revision_guard::recordReport(time_point sentAt, const revision_report &report)
{
    m_highestSeenRevision = std::max(m_highestSeenRevision, report.revision);
    if (report.evidenceAge && report.revision == m_revision)
        renewEvidence(sentAt - *report.evidenceAge);
    if (!m_roundBegin || sentAt < *m_roundBegin)
        return;
    if (report.recovered)
        m_roundHosts.insert(report.host);
    m_highestRoundRevision = std::max(m_highestRoundRevision, report.revision);
    finishRound();
}

bool revision_guard::mayAdmit(time_point now) const
{
    const std::optional<duration> age = evidenceAge(now);
    return age && *age < m_limits.evidenceLifetime && isVoter();
}

bool revision_guard::isVoter() const
{
    return m_config != nullptr && findHost(m_config->voters, m_self) != nullptr;
}

std::optional<duration> revision_guard::evidenceAge(time_point now) const
{
    if (!m_evidenceBegin)
        return std::nullopt;
    return now - *m_evidenceBegin;
}

revision_report revision_guard::report(time_point now) const
{
    // A non-voter does not take part in the acceptance of a change, so evidence derived from its
    // own could be valid beyond the acceptance.
    const std::optional<duration> sharedAge = isVoter() ? evidenceAge(now) : std::nullopt;
    return {m_self, m_revision, sharedAge, m_recovered, m_incarnation};
}

void revision_guard::renewEvidence(time_point begin)
{
    if (m_config == nullptr || (m_evidenceBegin && begin <= *m_evidenceBegin))
        return;
    m_evidenceBegin = begin;
    if (begin >= m_startedAt)
        m_recovered = true;
}

void revision_guard::finishRound()
{
    const bool complete = m_roundBegin && m_config != nullptr
        && m_highestRoundRevision <= m_revision && hasQuorum(*m_config, m_roundHosts);
    if (complete)
        renewEvidence(*m_roundBegin);
}

acceptance_tracker::acceptance_tracker(revision_number revision, const config &value,
                                       guard_limits limits, const std::string &self, time_point now)
    : m_revision(revision)
    , m_config(value)
    , m_limits(limits)
    , m_self(self)
    , m_voters(namesOf(value.voters))
{
    m_voters.merge(namesOf(value.previousVoters));
    m_heldIntervals[self] = {0, now, now};
}

void acceptance_tracker::recordReport(time_point sentAt, const revision_report &report,
                                      time_point now)
{
    if (report.revision < m_revision) {
        m_heldIntervals.erase(report.host);
        return;
    }
    const auto known = m_heldIntervals.find(report.host);
    const bool isSameProcess
        = known != m_heldIntervals.end() && known->second.incarnation == report.incarnation;
    if (isSameProcess)
        known->second.until = std::max(known->second.until, sentAt);
    else
        m_heldIntervals[report.host] = {report.incarnation, now, sentAt};
}

host_names acceptance_tracker::hostsHoldingAt(time_point instant) const
{
    host_names hosts;
    for (const auto &[host, held] : m_heldIntervals)
        if (held.from <= instant && (instant <= held.until || host == m_self))
            hosts.insert(host);
    return hosts;
}

void acceptance_tracker::findQuorum()
{
    for (const auto &[host, held] : m_heldIntervals) {
        const bool isEarlier = !m_quorumHeldAt || held.from < *m_quorumHeldAt;
        const host_names hosts = hostsHoldingAt(held.from);
        if (isEarlier && intersectsEveryQuorum(m_config, hosts))
            m_quorumHeldAt = held.from;
        if (std::includes(hosts.begin(), hosts.end(), m_voters.begin(), m_voters.end()))
            m_heldByAll = true;
    }
}

bool acceptance_tracker::accepted(time_point now)
{
    if (!m_heldByAll)
        findQuorum();
    const duration wait = m_limits.evidenceLifetime + m_limits.clockMargin;
    return m_heldByAll || (m_quorumHeldAt && now - *m_quorumHeldAt >= wait);
}

std::vector<std::string> acceptance_tracker::unconfirmedVoters() const
{
    // The earliest instant at which all of them can hold it is when the last one began to.
    time_point last;
    for (const auto &[host, held] : m_heldIntervals)
        last = std::max(last, held.from);
    const host_names hosts = hostsHoldingAt(last);
    std::vector<std::string> names;
    std::set_difference(m_voters.begin(), m_voters.end(), hosts.begin(), hosts.end(),
                        std::back_inserter(names));
    return names;
}

} // namespace goldcrestdeck
