// The rule is a read quorum with a lease: a host's evidence is a read that intersects every write
// quorum, and it may be used for a fixed time. Acceptors wait that time out, so nothing has to be
// promised by the hosts that are asked, and no host keeps state over a restart.

#include "goldcrestdeck/revision_guard.h"

#include <algorithm>
#include <utility>

namespace goldcrestdeck {

revision_guard::revision_guard(std::string self, guard_limits limits, time_point startedAt,
                               std::uint64_t instance)
    : m_self(std::move(self))
    , m_limits(limits)
    , m_startedAt(startedAt)
    , m_instance(instance)
{ }

bool revision_guard::install(revision_number revision, std::shared_ptr<const config> value)
{
    if (revision <= m_revision)
        return false;
    m_revision = revision;
    m_highestHeard = std::max(m_highestHeard, revision);
    m_config = std::move(value);
    if (m_pendingEvidence && m_pendingRevision <= m_revision) {
        extend(*m_pendingEvidence);
        m_pendingEvidence.reset();
    }
    finishRound();
    return true;
}

void revision_guard::noteStoreRead(time_point askedAt, revision_number revision)
{
    m_highestHeard = std::max(m_highestHeard, revision);
    if (revision == m_revision) {
        extend(askedAt);
    } else if (revision > m_revision) {
        m_pendingEvidence = askedAt;
        m_pendingRevision = revision;
    }
}

void revision_guard::beginRound(time_point now)
{
    m_roundBegin = now;
    m_roundHosts.clear();
    m_roundRevision = 0;
    if (m_recovered)
        m_roundHosts.insert(m_self);
    finishRound();
}

void revision_guard::noteReport(time_point askedAt, const revision_report &report)
{
    m_highestHeard = std::max(m_highestHeard, report.revision);
    if (report.evidenceAge && report.revision == m_revision)
        extend(askedAt - *report.evidenceAge);
    if (!m_roundBegin || askedAt < *m_roundBegin)
        return;
    if (report.recovered)
        m_roundHosts.insert(report.host);
    m_roundRevision = std::max(m_roundRevision, report.revision);
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
    if (!m_evidence)
        return std::nullopt;
    return now - *m_evidence;
}

revision_report revision_guard::report(time_point now) const
{
    // Who does not vote is not asked about a change, so its evidence may not outlive one.
    const std::optional<duration> lent = isVoter() ? evidenceAge(now) : std::nullopt;
    return {m_self, m_revision, lent, m_recovered, m_instance};
}

void revision_guard::extend(time_point begin)
{
    if (m_config == nullptr || (m_evidence && begin <= *m_evidence))
        return;
    m_evidence = begin;
    if (begin >= m_startedAt)
        m_recovered = true;
}

void revision_guard::finishRound()
{
    const bool complete = m_roundBegin && m_config != nullptr && m_roundRevision <= m_revision
        && hasQuorum(*m_config, m_roundHosts);
    if (complete)
        extend(*m_roundBegin);
}

acceptance::acceptance(revision_number revision, const config &value, guard_limits limits,
                       const std::string &self, time_point now)
    : m_revision(revision)
    , m_config(value)
    , m_limits(limits)
    , m_self(self)
    , m_voters(namesOf(value.voters))
{
    m_voters.merge(namesOf(value.previousVoters));
    m_holdings[self] = {0, now, now};
}

void acceptance::noteReport(time_point askedAt, const revision_report &report, time_point now)
{
    if (report.revision < m_revision) {
        m_holdings.erase(report.host);
        return;
    }
    const auto known = m_holdings.find(report.host);
    const bool isSame = known != m_holdings.end() && known->second.instance == report.instance;
    if (isSame)
        known->second.until = std::max(known->second.until, askedAt);
    else
        m_holdings[report.host] = {report.instance, now, askedAt};
}

host_names acceptance::heldAt(time_point instant) const
{
    host_names hosts;
    for (const auto &[host, held] : m_holdings)
        if (held.from <= instant && (instant <= held.until || host == m_self))
            hosts.insert(host);
    return hosts;
}

void acceptance::findQuorum()
{
    for (const auto &[host, held] : m_holdings) {
        const bool isEarlier = !m_quorumAt || held.from < *m_quorumAt;
        const host_names hosts = heldAt(held.from);
        if (isEarlier && meetsEveryQuorum(m_config, hosts))
            m_quorumAt = held.from;
        if (std::includes(hosts.begin(), hosts.end(), m_voters.begin(), m_voters.end()))
            m_heldByAll = true;
    }
}

bool acceptance::accepted(time_point now)
{
    if (!m_heldByAll)
        findQuorum();
    const duration wait = m_limits.evidenceLifetime + m_limits.clockMargin;
    return m_heldByAll || (m_quorumAt && now - *m_quorumAt >= wait);
}

std::vector<std::string> acceptance::missing() const
{
    // The instant at which all must hold it is when the last of them began to.
    time_point last;
    for (const auto &[host, held] : m_holdings)
        last = std::max(last, held.from);
    const host_names hosts = heldAt(last);
    std::vector<std::string> names;
    std::set_difference(m_voters.begin(), m_voters.end(), hosts.begin(), hosts.end(),
                        std::back_inserter(names));
    return names;
}

} // namespace goldcrestdeck
