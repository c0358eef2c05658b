// The revision is polled, not watched: evidence has to be renewed every few seconds anyway, and a
// poll cannot miss an event. A poll returns only the revision, a few bytes; the value is fetched
// when the revision has changed.

#include "goldcrestdeck/config_sync.h"

#include <algorithm>
#include <thread>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

constexpr guard_limits guardLimits;
constexpr std::size_t minWatchers = 2; ///< In each failure domain.
/// With more hosts per watcher, the replies would exceed a host's limit of bytes per second.
constexpr std::size_t hostsPerWatcher = 10;
constexpr std::size_t watchersPerHost = 2;
constexpr std::chrono::milliseconds storeReadPeriod{400};
/// A watcher with older evidence polls a quorum of voters.
constexpr std::chrono::milliseconds watcherQuorumRoundAge{800};
/// Higher for other hosts, which poll a quorum only if their watchers fail.
constexpr std::chrono::milliseconds hostQuorumRoundAge{1500};
constexpr std::chrono::milliseconds fetchTimeout{1000};
/// An edit that is not accepted within this time is reported as stored.
constexpr std::chrono::seconds acceptanceDeadline{10};
constexpr int maxStoreAttempts = 6;
constexpr std::chrono::milliseconds storeRetryDelay{200};

std::vector<host_entry> allVoters(const config &value)
{
    std::vector<host_entry> hosts = value.voters;
    for (const host_entry &host : value.previousVoters)
        if (findHost(hosts, host.name) == nullptr)
            hosts.push_back(host);
    return hosts;
}

} // namespace

const char *toString(edit_status status)
{
    switch (status) {
    case edit_status::accepted:
        return "accepted";
    case edit_status::stored:
        return "stored";
    case edit_status::rejected:
        return "rejected";
    case edit_status::unknown:
        break;
    }
    return "unknown";
}

config_sync::config_sync(control_context &control, host_entry self, std::uint64_t incarnation,
                         membership &members, traffic_view &view,
                         std::function<void(const config &)> onInstalling)
    : m_control(control)
    , m_self(std::move(self))
    , m_members(members)
    , m_view(view)
    , m_onInstalling(std::move(onInstalling))
    , m_guard(m_self.name, guardLimits, control.time.now(), incarnation)
    , m_startedAt(control.time.now())
{ }

void config_sync::tick()
{
    const time_point now = m_control.time.now();
    const std::optional<duration> age = m_guard.evidenceAge(now);
    const bool needsEvidence = !age || *age > watcherQuorumRoundAge;
    if ((isWatcher() || needsEvidence) && now - m_lastReadAt >= storeReadPeriod)
        readRevision();
    if (m_guard.highestSeenRevision() > m_guard.revision() || m_guard.current() == nullptr)
        fetchFromStore();
    updateVoters();
    finishEdits();
    updateAdmission();
}

std::vector<host_entry> config_sync::liveVoters() const
{
    std::vector<host_entry> hosts;
    if (m_guard.current() == nullptr)
        return hosts;
    const time_point now = m_control.time.now();
    for (const host_entry &host : m_guard.current()->voters)
        if (m_members.isLive(host.name, now))
            hosts.push_back(host);
    return hosts;
}

std::vector<host_entry> config_sync::watchersOf(const std::string &domain) const
{
    const std::vector<host_entry> voters = liveVoters();
    std::vector<std::string> names;
    for (const host_entry &host : voters)
        if (host.failureDomain == domain)
            names.push_back(host.name);
    const std::size_t count = std::max(minWatchers, names.size() / hostsPerWatcher);
    std::vector<host_entry> watchers;
    for (const std::string &name : rendezvousTop(domain, names, count))
        watchers.push_back(*findHost(voters, name));
    return watchers;
}

std::vector<host_entry> config_sync::polledWatchers() const
{
    const std::vector<host_entry> watchers = watchersOf(m_self.failureDomain);
    std::vector<std::string> names;
    for (const host_entry &host : watchers)
        if (host.name != m_self.name)
            names.push_back(host.name);
    // Each host polls the two that rank highest for it, which spreads the load over all watchers.
    std::vector<host_entry> polled;
    for (const std::string &name : rendezvousTop(m_self.name, names, watchersPerHost))
        polled.push_back(*findHost(watchers, name));
    return polled;
}

bool config_sync::isWatcher() const
{
    const std::vector<host_entry> watchers = watchersOf(m_self.failureDomain);
    return findHost(watchers, m_self.name) != nullptr;
}

std::vector<std::string> config_sync::pingTargets()
{
    std::vector<std::string> targets;
    if (m_guard.current() == nullptr)
        return targets;
    const time_point now = m_control.time.now();
    const std::optional<duration> age = m_guard.evidenceAge(now);
    const duration maxEvidenceAge = isWatcher() ? watcherQuorumRoundAge : hostQuorumRoundAge;
    std::vector<host_entry> hosts = polledWatchers();
    if (!age || *age > maxEvidenceAge) {
        m_guard.beginRound(now);
        hosts = allVoters(*m_guard.current());
    }
    for (const host_entry &host : hosts)
        if (host.name != m_self.name)
            targets.push_back(host.peerAddress);
    for (const pending_edit &edit : m_edits)
        for (const std::string &name : edit.acceptance.unconfirmedVoters())
            if (const host_entry *host = findHost(m_guard.current()->voters, name))
                targets.push_back(host->peerAddress);
    if (m_jointAcceptance)
        for (const std::string &name : m_jointAcceptance->unconfirmedVoters())
            for (const host_entry &host : allVoters(*m_guard.current()))
                if (host.name == name)
                    targets.push_back(host.peerAddress);
    return targets;
}

void config_sync::onReport(time_point sentAt, const std::string &address,
                           const revision_report &report)
{
    const time_point now = m_control.time.now();
    m_guard.recordReport(sentAt, report);
    for (pending_edit &edit : m_edits)
        edit.acceptance.recordReport(sentAt, report, now);
    if (m_jointAcceptance)
        m_jointAcceptance->recordReport(sentAt, report, now);
    if (report.revision > m_guard.revision())
        fetchFromPeer(address);
    finishEdits();
    updateAdmission();
}

config_value_message config_sync::value() const
{
    if (m_guard.current() == nullptr)
        return {};
    return {m_guard.revision(), encodeConfig(*m_guard.current())};
}

void config_sync::install(revision_number revision, const std::shared_ptr<const config> &value)
{
    if (!m_guard.install(revision, value))
        return;
    m_onInstalling(*value);
    // The routing table is set first: from here on, this host counts as having the revision in
    // force.
    m_view.setRouting(std::make_shared<routing_table>(revision, value));
    m_control.counters.revisionInForce.Set(static_cast<double>(revision));
    std::vector<std::string> names;
    for (const host_entry &host : allVoters(*value))
        names.push_back(host.name);
    m_members.setTrackedHosts(names);
    logEvent(log_level::info, "configuration_in_force",
             {{"revision", std::to_string(revision)},
              {"rows", std::to_string(value->rows.size())},
              {"voters", std::to_string(value->voters.size())},
              {"previous_voters", std::to_string(value->previousVoters.size())}});
    updateAdmission();
}

void config_sync::updateAdmission()
{
    const time_point now = m_control.time.now();
    const std::optional<duration> age = m_guard.evidenceAge(now);
    const bool admits = m_guard.mayAdmit(now);
    if (age && m_guard.isVoter())
        m_view.setAdmitUntil(now - *age + guardLimits.evidenceLifetime);
    else
        m_view.setAdmitUntil(time_point());
    m_control.counters.admitting.Set(admits ? 1 : 0);
    if (admits != m_admitting)
        logEvent(admits ? log_level::info : log_level::warning,
                 admits ? "admission_started" : "admission_stopped");
    m_admitting = admits;
}

void config_sync::readRevision()
{
    if (std::exchange(m_reading, true))
        return;
    const time_point sentAt = m_control.time.now();
    m_lastReadAt = sentAt;
    runBlocking(
        m_control, [store = m_control.store] { return store.revisionOf(configKey); },
        [this, sentAt](const std::optional<revision_number> &revision) {
            m_reading = false;
            if (!revision)
                return;
            m_guard.recordStoreRead(sentAt, *revision);
            if (*revision > m_guard.revision())
                fetchFromStore();
            updateAdmission();
        });
}

void config_sync::fetchFromStore()
{
    if (std::exchange(m_fetching, true))
        return;
    const time_point sentAt = m_control.time.now();
    const auto work = [store = m_control.store] {
        std::optional<kv_value> found = store.get(configKey);
        if (!found) {
            // In a new deployment, the first host creates the value.
            const std::string empty = encodeConfig(config());
            if (const auto revision = store.compareAndSwap(configKey, 0, empty))
                found = kv_value{empty, *revision};
        }
        stored_config stored;
        if (!found)
            return stored;
        stored.revision = found->revision;
        try {
            stored.value = std::make_shared<const config>(decodeConfig(found->value));
        } catch (const table_error &error) {
            throw platform_error(error.what());
        }
        return stored;
    };
    runBlocking(m_control, work, [this, sentAt](const std::optional<stored_config> &stored) {
        m_fetching = false;
        if (!stored || !stored->value)
            return;
        install(stored->revision, stored->value);
        m_guard.recordStoreRead(sentAt, stored->revision);
        updateAdmission();
    });
}

void config_sync::fetchFromPeer(const std::string &address)
{
    m_control.peers.request(
        address, fetch_config_message(), fetchTimeout,
        [this](const std::optional<peer_body> &reply) {
            const auto *message = reply ? std::get_if<config_value_message>(&*reply) : nullptr;
            if (message == nullptr || message->revision <= m_guard.revision())
                return;
            try {
                install(message->revision,
                        std::make_shared<const config>(decodeConfig(message->value)));
            } catch (const table_error &error) {
                logEvent(log_level::error, "peer_configuration_malformed",
                         {{"error", error.what()}});
            }
        });
}

bool config_sync::isLeader() const
{
    const std::vector<host_entry> live = liveVoters();
    if (live.empty())
        return m_guard.current() != nullptr && m_guard.current()->voters.empty();
    const auto byName = [](const host_entry &a, const host_entry &b) { return a.name < b.name; };
    return std::min_element(live.begin(), live.end(), byName)->name == m_self.name;
}

host_names config_sync::deadVoters() const
{
    host_names dead;
    for (const host_entry &host : m_guard.current()->voters)
        if (m_members.isDead(host.name, m_startedAt, m_control.time.now()))
            dead.insert(host.name);
    return dead;
}

void config_sync::updateVoters()
{
    const std::shared_ptr<const config> current = m_guard.current();
    if (current == nullptr || m_changingVoters
        || m_guard.highestSeenRevision() > m_guard.revision())
        return;
    const host_entry *ownVoter = findHost(current->voters, m_self.name);
    const bool isListed = ownVoter != nullptr ? *ownVoter == m_self
                                              : findHost(current->joining, m_self.name) != nullptr;
    if (!isListed)
        return changeVoters(withJoining(*current, m_self));
    if (!isLeader())
        return;
    if (current->previousVoters.empty()) {
        m_jointAcceptance.reset();
        const config next = beginJoint(*current, deadVoters());
        if (!(next == *current))
            changeVoters(next);
        return;
    }
    if (!m_jointAcceptance || m_jointRevision != m_guard.revision()) {
        m_jointRevision = m_guard.revision();
        m_jointAcceptance.emplace(m_jointRevision, *current, guardLimits, m_self.name,
                                  m_control.time.now());
    }
    if (m_jointAcceptance->accepted(m_control.time.now()))
        changeVoters(finishJoint(*current));
}

void config_sync::changeVoters(const config &next)
{
    m_changingVoters = true;
    const auto value = std::make_shared<const config>(next);
    const revision_number expected = m_guard.revision();
    const auto work = [store = m_control.store, value, expected] {
        return store.compareAndSwap(configKey, expected, encodeConfig(*value));
    };
    runBlocking(m_control, work,
                [this, value](const std::optional<std::optional<revision_number>> &written) {
                    m_changingVoters = false;
                    if (written && *written)
                        install(**written, value);
                    else
                        fetchFromStore();
                });
}

config_sync::stored_config config_sync::applyInStore(const kv_store &store,
                                                     const edit_request &request)
{
    for (int attempt = 0; attempt < maxStoreAttempts; ++attempt) {
        try {
            const std::optional<kv_value> found = store.get(configKey);
            const config current = found ? decodeConfig(found->value) : config();
            const revision_number revision = found ? found->revision : 0;
            // An earlier attempt whose reply was lost may have written the edit.
            if (containsEdit(current, request.editId))
                return {revision, std::make_shared<const config>(current), ""};
            const auto next = std::make_shared<const config>(applyEditRequest(current, request));
            const auto written = store.compareAndSwap(configKey, revision, encodeConfig(*next));
            if (written)
                return {*written, next, ""};
        } catch (const table_error &error) {
            return {0, nullptr, error.what()};
        } catch (const platform_error &) {
            if (attempt + 1 == maxStoreAttempts)
                throw;
            std::this_thread::sleep_for(storeRetryDelay);
        }
    }
    throw platform_error("too many write conflicts on the configuration");
}

void config_sync::edit(const edit_request &request,
                       std::function<void(const edit_outcome &)> onDone)
{
    const auto work = [store = m_control.store, request] { return applyInStore(store, request); };
    runBlocking(m_control, work, [this, onDone](const std::optional<stored_config> &stored) {
        if (!stored)
            return onDone({edit_status::unknown, 0, "the key-value service does not answer", {}});
        if (!stored->value)
            return onDone({edit_status::rejected, 0, stored->rejectionReason, {}});
        install(stored->revision, stored->value);
        const time_point now = m_control.time.now();
        pending_edit pending{
            {edit_status::stored, stored->revision, "", {}},
            acceptance_tracker(stored->revision, *stored->value, guardLimits, m_self.name, now),
            now + acceptanceDeadline,
            onDone};

        m_edits.push_back(std::move(pending));
    });
}

void config_sync::finishEdits()
{
    const time_point now = m_control.time.now();
    for (auto it = m_edits.begin(); it != m_edits.end();) {
        const bool accepted = it->acceptance.accepted(now);
        if (!accepted && now < it->deadline) {
            ++it;
            continue;
        }
        pending_edit finished = std::move(*it);
        it = m_edits.erase(it);
        finished.outcome.status = accepted ? edit_status::accepted : edit_status::stored;
        if (!accepted)
            finished.outcome.notInForceOn = finished.acceptance.unconfirmedVoters();
        logEvent(log_level::info, "edit_settled",
                 {{"revision", std::to_string(finished.outcome.revision)},
                  {"status", toString(finished.outcome.status)}});
        finished.onDone(finished.outcome);
    }
}

} // namespace goldcrestdeck
