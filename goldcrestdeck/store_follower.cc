// Polls a single feed over all keys instead of watching each kind of key: instances write
// continually, so a waiting call would return at once anyway, and each call to the service is
// charged.

#include "goldcrestdeck/store_follower.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include <boost/asio/io_context.hpp>

#include "goldcrestdeck/json.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

/// After a failed call to the service.
constexpr std::chrono::milliseconds retryDelay{250};
/// A feed that has delivered nothing for this many instance heartbeat intervals is assumed to be
/// broken: everything is read again.
constexpr int feedTimeoutHeartbeats = 2;
/// Time in which instances rewrite entries that expired in an outage; the platform specifies 2 s.
constexpr std::chrono::milliseconds rejoinGracePeriod{2200};
/// Time in which the operator and the other hosts write entries again that the service has lost.
constexpr std::chrono::milliseconds reconcilePeriod{6000};
/// Time over which the hosts spread the renewal of their registrations.
constexpr std::chrono::milliseconds registrationSpread{500};
/// After a failed call, this many instance heartbeat intervals without contact count as an outage
/// in which entries may have expired; they expire after three.
constexpr int outageHeartbeats = 2;
/// Interval between polls of a host that serves the feed to others, as a fraction of the usual
/// interval. With the time-out below, a host whose request fails still receives changes in time by
/// polling the service itself.
constexpr double servingPollFraction = 0.6;
/// Time-out of a request to another host, as a fraction of the usual polling interval; longer than
/// that host's own interval.
constexpr double hostTimeoutFraction = 0.8;
/// Shortest time between the end of a poll and the next one.
constexpr std::chrono::milliseconds minPause{50};
/// A poll of the service that takes longer than this fraction of the polling interval is assumed to
/// transfer a large value: departures are asked for separately, at this interval. Together with the
/// wait for another host it leaves time for the call itself.
constexpr double departurePollFraction = 0.4;
/// A host that did not reply is skipped for this long in favour of the next one.
constexpr std::chrono::milliseconds hostBackOff{5000};
/// Number of deletions kept for the feed that is served to other hosts.
constexpr std::size_t maxDeletions = 2000;
/// Time after which a starting host without an answer of the service asks a seed. If 300 hosts
/// start together, the first answer takes this long: the service needs 4 ms for each. A call that
/// fails ends this delay.
constexpr std::chrono::milliseconds seedDelay{1200};
/// Time between two rounds in which no seed had a copy.
constexpr std::chrono::milliseconds seedRoundPause{500};
/// A copy that the service has confirmed longer ago is dropped: orders that bind after 5 s may be
/// missing from it.
constexpr std::chrono::milliseconds maxCopyAge{5000};
/// Interval at which a host that replicates from a peer asks the service.
constexpr std::chrono::milliseconds probeInterval{1000};
/// Prefixes of this system's own keys, after store_layout::internalPrefix.
constexpr const char *recordPrefix = "rollout/";
constexpr const char *tallyPrefix = "tally/";
constexpr const char *sessionsPrefix = "sessions/";
constexpr const char *hostsPrefix = "hosts/";
constexpr const char *crashesPrefix = "crashes/";
constexpr const char *limitsPrefix = "limits/";
bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::string millisecondsText(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

/// Whether the registration says that the instance is cold, where that matters. Each one that does
/// may begin another period, so that it is never a mere repetition of an earlier one.
bool saysCold(const instance &entry, const router_settings &settings)
{
    return entry.coldLeft.count() > 0 && settings.coldOverage > 0;
}

} // namespace

store_follower::store_follower(boost::asio::io_context &io, const clock &time, async_kv_store store,
                               store_epoch &epoch, store_layout layout,
                               const router_settings &settings, view_listener onView,
                               confirm_listener onConfirmed, session_source sessions)
    : m_io(io)
    , m_clock(time)
    , m_store(std::move(store))
    , m_epoch(epoch)
    , m_layout(std::move(layout))
    , m_settings(settings)
    , m_onView(std::move(onView))
    , m_onConfirmed(std::move(onConfirmed))
    , m_sessions(std::move(sessions))
    , m_timer(io.get_executor())
    , m_departureTimer(io.get_executor())
    , m_copyTimer(io.get_executor())
    , m_probeTimer(io.get_executor())
    , m_self{settings.name, settings.peerAddress, settings.failureDomain, settings.handoverAddress}
    , m_feedCache(
          maxDeletions,
          [this](const kv_item &known, const kv_item &next) { return isEquivalent(known, next); })
    , m_link(
          io, time, settings.peerAddress, m_feedCache, epoch, [this] { onFeedRequest(); },
          std::make_shared<client_memory>(
              clientLimitsFor(settings.memoryBytes, settings.maxDescriptors).peers,
              [](close_reason reason, const std::string &address, std::size_t bytes) {
                  logEvent(log_level::info, "client_closed",
                           {{"reason", toString(reason)},
                            {"address", address},
                            {"bytes", std::to_string(bytes)}});
              }))
    , m_registration(io.get_executor(), m_store,
                     m_layout.internalPrefix + hostsPrefix + settings.name,
                     encodeRegisteredHost(m_self))
    , m_instances(rejoinGracePeriod)
    , m_rollouts(settings.name, rolloutParameters(settings))
    , m_publisher(m_store, time, report_parameters())
{
    m_epoch.setListener([this](std::uint64_t previous) { onStoreRestored(previous); });
    m_link.setCopyListener(
        [this](const std::string &host, std::uint64_t revision, std::size_t items) {
            logEvent(log_level::info, "copy_served",
                     {{"host", host},
                      {"revision", std::to_string(revision)},
                      {"entries", std::to_string(items)}});
            if (m_onCopy)
                m_onCopy("served");
        });
}

void store_follower::start()
{
    m_lastContact = m_clock.now();
    m_previousContact = m_lastContact;
    poll();
    if (needsCopy())
        m_copyTimer.set(seedDelay, [this] { requestCopy(); });
}

void store_follower::stop()
{
    m_stopped = true;
    m_timer.cancel();
    m_departureTimer.cancel();
    m_copyTimer.cancel();
    m_probeTimer.cancel();
    m_registration.stop();
    m_publisher.stop();
}

void store_follower::startDraining()
{
    m_link.startDraining();
}

void store_follower::setSettings(const router_settings &settings)
{
    m_settings = settings;
    m_rollouts.setParameters(rolloutParameters(settings));
}

void store_follower::confirm(std::function<void(bool)> done)
{
    // The poll of another host goes on: calls for a path that is not configured yet would otherwise
    // keep this host from learning of it.
    if (m_replicatesFromPeer && !m_ownReadDue) {
        m_probeCallbacks.push_back(std::move(done));
        probeService();
        return;
    }
    // The other host may delay its reply until its next poll; the service is polled instead.
    if (m_awaitingHost) {
        ++m_hostRequestId;
        m_awaitingHost = false;
        m_polling = false;
    }
    // The service may have processed the call in progress before the change that the caller waits
    // for.
    if (m_polling) {
        m_nextConfirmCallbacks.push_back(std::move(done));
        return;
    }
    m_confirmCallbacks.push_back(std::move(done));
    m_timer.cancel();
    poll();
}

std::optional<registered_host> store_follower::feedSource()
{
    // confirm() has to reach the service itself, not another host.
    if (!m_confirmCallbacks.empty())
        return std::nullopt;
    const time_point now = m_clock.now();
    for (const registered_host &host : feedCandidates()) {
        const auto backOff = m_hostBackOffs.find(host.name);
        if (backOff == m_hostBackOffs.end() || backOff->second.until <= now)
            return host;
        // Other hosts would not have anything newer either.
        if (backOff->second.isAlive && !m_replicatesFromPeer)
            return std::nullopt;
    }
    return std::nullopt;
}

std::vector<registered_host> store_follower::feedCandidates() const
{
    std::vector<registered_host> candidates = preferredFeedSources(m_self, m_hosts);
    if (!m_replicatesFromPeer)
        return candidates;
    // The service cannot be polled instead: any host will do, best the one that had a copy.
    for (const auto &entry : m_hosts) {
        const bool isListed
            = std::find(candidates.begin(), candidates.end(), entry.second) != candidates.end();
        if (entry.first != m_self.name && !isListed)
            candidates.push_back(entry.second);
    }
    const auto source
        = std::find_if(candidates.begin(), candidates.end(), [this](const registered_host &host) {
              return host.address == m_copySource;
          });
    if (source != candidates.end())
        std::rotate(candidates.begin(), source, source + 1);
    else
        candidates.insert(candidates.begin(), {m_copySource, m_copySource, "", ""});
    return candidates;
}

bool store_follower::needsCopy() const
{
    return !m_stopped && !m_fullReadDone && !m_config && !m_settings.seedAddresses.empty();
}

void store_follower::requestCopy()
{
    if (!needsCopy() || m_requestingCopy)
        return;
    if (m_serviceAnswers) {
        m_copyTimer.set(seedRoundPause, [this] { requestCopy(); });
        return;
    }
    const std::vector<std::string> &seeds = m_settings.seedAddresses;
    // Hosts that start together begin with different seeds.
    const auto first = static_cast<std::size_t>(static_cast<double>(seeds.size())
                                                * sessionPosition("", "", m_settings.name));
    const std::string address = seeds[(first + m_nextSeed++) % seeds.size()];
    if (address == m_settings.peerAddress) {
        onCopy(address, std::nullopt);
        return;
    }
    requestCopyFrom(address);
}

void store_follower::requestCopyFrom(const std::string &address)
{
    if (std::exchange(m_requestingCopy, true))
        return;
    logEvent(log_level::info, "copy_requested", {{"host", address}});
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        hostTimeoutFraction * m_settings.pollInterval());
    try {
        m_link.requestCopy(address, m_settings.name, timeout,
                           [this, address](std::optional<received_copy> copy) {
                               if (!m_stopped)
                                   onCopy(address, std::move(copy));
                           });
    } catch (const peer_error &error) {
        logEvent(log_level::warning, "seed_invalid",
                 {{"address", address}, {"error", error.what()}});
        onCopy(address, std::nullopt);
    }
}

void store_follower::onCopy(const std::string &address, std::optional<received_copy> copy)
{
    m_requestingCopy = false;
    // The service has been read meanwhile, or is being read.
    if (m_replicatesFromPeer ? m_ownReadDue : m_fullReadDone || m_config || m_serviceAnswers)
        return;
    const time_point now = m_clock.now();
    // A later copy must not take back what this host has learned since the first one.
    const bool isOlder = copy && m_replicatesFromPeer
        && (copy->copy.revision < m_revision || copy->confirmedAt < m_lastContact);
    const bool isUsable = copy && !isOlder && now - copy->confirmedAt <= maxCopyAge
        && m_epoch.observe(copy->copy.epoch) && copy->copy.epoch == m_epoch.current();
    if (!isUsable) {
        if (!needsCopy())
            return;
        const bool isRoundOver = m_nextSeed % m_settings.seedAddresses.size() == 0;
        m_copyTimer.set(isRoundOver ? seedRoundPause : std::chrono::milliseconds(0),
                        [this] { requestCopy(); });
        return;
    }
    logEvent(log_level::info, "copy_taken",
             {{"host", address},
              {"revision", std::to_string(copy->copy.revision)},
              {"entries", std::to_string(copy->copy.items.size())},
              {"age_ms",
               std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(now - copy->confirmedAt)
                       .count())}});
    if (m_onCopy)
        m_onCopy("taken");
    // A full read in progress may be older than the copy, and callers of confirm() wait for the
    // service itself.
    ++m_pollId;
    ++m_hostRequestId;
    m_awaitingHost = false;
    m_timer.cancel();
    m_pollSentAt = now;
    for (auto *callbacks : {&m_confirmCallbacks, &m_nextConfirmCallbacks}) {
        m_probeCallbacks.insert(m_probeCallbacks.end(), callbacks->begin(), callbacks->end());
        callbacks->clear();
    }
    m_polling = true;
    m_replicatesFromPeer = true;
    m_copySource = address;
    updateSource(address);
    m_ownReadDue = false;
    full_read read;
    read.items = std::move(copy->copy.items);
    read.revision = copy->copy.revision;
    read.sentAt = copy->confirmedAt;
    read.isCopy = true;
    onReadComplete(read);
    probeService();
}

void store_follower::probeService()
{
    if (m_stopped || !m_replicatesFromPeer || std::exchange(m_isProbing, true))
        return;
    m_probeTimer.cancel();
    // Few keys, so that the response is small.
    m_store.changes(m_layout.internalPrefix + hostsPrefix, m_revision, std::chrono::milliseconds(1),
                    [this](const kv_changes &changes) {
                        m_isProbing = false;
                        if (!m_stopped)
                            onProbeEnd(changes.outcome);
                    });
}

void store_follower::onProbeEnd(kv_outcome outcome)
{
    const auto callbacks = std::exchange(m_probeCallbacks, {});
    const bool isAnswer = outcome == kv_outcome::done || outcome == kv_outcome::compacted;
    // The service has been read meanwhile.
    if (!m_replicatesFromPeer && callbacks.empty())
        return;
    if (isAnswer || !m_replicatesFromPeer) {
        // The read that follows serves them.
        m_nextConfirmCallbacks.insert(m_nextConfirmCallbacks.end(), callbacks.begin(),
                                      callbacks.end());
        onServiceAnswers();
        return;
    }
    m_probeTimer.set(probeInterval, [this] { probeService(); });
    for (const auto &done : callbacks)
        done(false);
}

void store_follower::onServiceAnswers()
{
    m_ownReadDue = m_replicatesFromPeer;
    if (m_awaitingHost) {
        ++m_hostRequestId;
        m_awaitingHost = false;
        m_polling = false;
    }
    // A poll in progress is followed by the read, see finishPoll().
    if (m_polling)
        return;
    m_confirmCallbacks.insert(m_confirmCallbacks.end(), m_nextConfirmCallbacks.begin(),
                              m_nextConfirmCallbacks.end());
    m_nextConfirmCallbacks.clear();
    m_timer.cancel();
    poll();
}

void store_follower::updateSource(const std::string &name)
{
    if (m_source == name)
        return;
    m_source = name;
    logEvent(log_level::info, "feed_source", {{"host", name.empty() ? "store" : name}});
}

void store_follower::pollHost(const registered_host &host)
{
    updateSource(host.name);
    m_awaitingHost = true;
    const std::uint64_t requestId = ++m_hostRequestId;
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        hostTimeoutFraction * m_settings.pollInterval());
    m_link.requestChanges(host.address, m_revision, timeout,
                          [this, requestId, host](const feed_reply &reply) {
                              if (!m_stopped && m_awaitingHost && requestId == m_hostRequestId)
                                  onFeedReply(host, reply);
                          });
}

void store_follower::onFeedReply(const registered_host &host, const feed_reply &reply)
{
    m_awaitingHost = false;
    // A later epoch starts another poll at once.
    const std::uint64_t pollId = m_pollId;
    const bool isUsable = m_epoch.observe(reply.epoch) && reply.epoch == m_epoch.current();
    if (pollId != m_pollId)
        return;
    if (!isUsable || reply.outcome != feed_outcome::available
        || reply.confirmedAt < m_lastContact) {
        // The reply is no newer than what this host knows, or there is none: polls the service at
        // once.
        m_polling = false;
        const bool isAlive = reply.outcome != feed_outcome::timed_out;
        // There may be more changes than a reply holds, such as a large configuration.
        if (m_replicatesFromPeer && isAlive)
            requestCopyFrom(host.address);
        m_hostBackOffs[host.name]
            = {m_clock.now() + (isAlive ? m_settings.pollInterval() : hostBackOff), isAlive};
        m_forceServicePoll = true;
        poll();
        return;
    }
    m_lastChange = m_clock.now();
    onChanges(reply.changes, reply.confirmedAt, feed_origin::host);
}

bool store_follower::isEquivalent(const kv_item &known, const kv_item &next) const
{
    // Only instances repeat their writes, as heartbeats. Any other write is a change even if the
    // value is the same: an order that is written again, for example, is a new order.
    if (!startsWith(next.key, m_layout.instancePrefix))
        return false;
    // A heartbeat shows that an instance is alive although it departed before the copy was
    // restored.
    if (isReconciling())
        return false;
    try {
        const instance entry = m_layout.decodeInstance(next.key, next.value);
        return !saysCold(entry, m_settings)
            && (known.value == next.value
                || m_layout.decodeInstance(known.key, known.value) == entry);
    } catch (const json_error &) {
        // Passed on, so that other hosts log the error too.
        return known.value == next.value;
    }
}

void store_follower::recordOutcome(const request_outcome &outcome)
{
    const bool isCounted = m_rollouts.recordOutcome(outcome, m_clock.now());
    const bool bad = outcome.failed || outcome.slow;
    if (isCounted && bad && outcome.side == version_side::candidate)
        advanceRollouts();
}

void store_follower::schedule(std::chrono::milliseconds delay)
{
    if (m_stopped)
        return;
    m_nextPollAt = m_clock.now() + delay;
    m_timer.set(delay, [this] {
        if (!m_stopped)
            poll();
    });
}

void store_follower::poll()
{
    if (m_polling || m_stopped)
        return;
    m_polling = true;
    const time_point now = m_clock.now();
    m_pollSentAt = now;
    const bool isFeedBroken = !m_replicatesFromPeer
        && now - m_lastChange > feedTimeoutHeartbeats * m_settings.heartbeatInterval;
    if (!m_fullReadDone || isFeedBroken || m_ownReadDue) {
        readAll();
        return;
    }
    const auto source = std::exchange(m_forceServicePoll, false) ? std::nullopt : feedSource();
    if (source) {
        pollHost(*source);
        return;
    }
    if (m_confirmCallbacks.empty())
        updateSource("");
    const std::uint64_t pollId = ++m_pollId;
    m_store.changes("", m_revision, std::chrono::milliseconds(1),
                    [this, now, pollId](const kv_changes &changes) {
                        if (!m_stopped && pollId == m_pollId)
                            onChanges(changes, now, feed_origin::service);
                    });
    watchDepartures();
}

void store_follower::watchDepartures()
{
    m_departuresRevision = std::max(m_departuresRevision, m_revision);
    m_departureTimer.set(std::chrono::duration_cast<std::chrono::milliseconds>(
                             departurePollFraction * m_settings.pollInterval()),
                         [this] {
                             pollEvacuations();
                             if (m_fullReadDone)
                                 pollDepartures();
                         });
}

// Reads the orders instead of their changes: that needs no revision to continue from, so it works
// also after the history was lost.
void store_follower::pollEvacuations()
{
    if (m_layout.evacuationPrefix.empty())
        return;
    m_store.range(m_layout.evacuationPrefix, "", [this, pollId = m_pollId](const kv_page &page) {
        if (m_stopped || !m_polling || pollId != m_pollId)
            return;
        // Older ones have been seen; if they are withdrawn, this reply is older than the feed.
        for (const kv_item &item : page.items) {
            if (item.revision > m_revision)
                applyEvacuation(item);
        }
        if (m_dirty)
            publish();
        // Otherwise onDepartures() does so.
        if (!m_fullReadDone)
            watchDepartures();
    });
}

void store_follower::pollDepartures()
{
    m_store.changes(m_layout.instancePrefix, m_departuresRevision, std::chrono::milliseconds(1),
                    [this, pollId = m_pollId](const kv_changes &changes) {
                        if (!m_stopped && m_polling && pollId == m_pollId)
                            onDepartures(changes);
                    });
}

void store_follower::onDepartures(const kv_changes &changes)
{
    if (changes.outcome == kv_outcome::done) {
        // Entries that expired in an outage say nothing of their instances.
        const bool wasOutage = !m_reachable;
        for (const kv_change &change : changes.changes) {
            if (change.deleted ? !wasOutage : isDraining(change.item))
                recordDeparture(change.item.key, change.item.revision);
        }
        m_departuresRevision = std::max(m_departuresRevision, changes.revision);
        if (m_dirty)
            publish();
    }
    watchDepartures();
}

bool store_follower::isDraining(const kv_item &item) const
{
    try {
        return m_layout.decodeInstance(item.key, item.value).draining;
    } catch (const json_error &) {
        return false; // Logged when the feed delivers it.
    }
}

void store_follower::recordDeparture(const std::string &key, std::uint64_t revision)
{
    const std::string id = key.substr(m_layout.instancePrefix.size());
    const auto known = knownInstances();
    const bool isNews = std::none_of(known.begin(), known.end(), [&](const instance &entry) {
        return entry.id == id && entry.draining;
    });
    m_departures[id] = revision;
    if (!isNews)
        return;
    m_dirty = true;
    logEvent(log_level::info, "instance_departure",
             {{"instance", id}, {"revision", std::to_string(revision)}});
}

void store_follower::dropSeenDepartures()
{
    for (auto i = m_departures.begin(); i != m_departures.end();) {
        if (i->second > m_revision) {
            ++i;
            continue;
        }
        i = m_departures.erase(i);
        m_dirty = true;
    }
}

std::vector<instance> store_follower::knownInstances() const
{
    std::vector<instance> result = m_instances.list();
    for (instance &entry : result)
        entry.draining = entry.draining || m_departures.count(entry.id) > 0;
    return result;
}

void store_follower::readAll()
{
    const auto read = std::make_shared<full_read>();
    const std::string operatorPrefix
        = m_layout.configKey.substr(0, m_layout.configKey.find('/') + 1);
    read->prefixes = {m_layout.instancePrefix, operatorPrefix, m_layout.internalPrefix};
    read->sentAt = m_clock.now();
    ++m_pollId;
    readPage(read, "");
    if (m_fullReadDone || m_config)
        watchDepartures();
}

void store_follower::readPage(const std::shared_ptr<full_read> &read, const std::string &after)
{
    m_store.range(read->prefixes[read->prefixIndex], after,
                  [this, read, pollId = m_pollId](const kv_page &page) {
                      if (!m_stopped && pollId == m_pollId)
                          onPage(read, page);
                  });
}

void store_follower::onPage(const std::shared_ptr<full_read> &read, const kv_page &page)
{
    if (page.outcome != kv_outcome::done) {
        onCallFailed(page.outcome);
        return;
    }
    m_serviceAnswers = true;
    if (read->revision == 0)
        read->revision = page.revision;
    read->items.insert(read->items.end(), page.items.begin(), page.items.end());
    // The configuration, which may be large, is still to come.
    if (m_config && !isReconciling()) {
        for (const kv_item &item : page.items) {
            if (startsWith(item.key, m_layout.instancePrefix) && isDraining(item))
                recordDeparture(item.key, read->revision);
        }
        if (m_dirty)
            publish();
    }
    if (page.hasMore && !page.items.empty()) {
        readPage(read, page.items.back().key);
        return;
    }
    if (++read->prefixIndex < read->prefixes.size()) {
        readPage(read, "");
        return;
    }
    onReadComplete(*read);
}

void store_follower::onReadComplete(const full_read &read)
{
    onContact(read.sentAt);
    std::vector<instance> instances;
    std::set<std::string> keys;
    m_feedCache.replaceAll(read.items, read.revision);
    m_forceServicePoll = !read.isCopy;
    const bool isFirstOwnRead = !read.isCopy && (!m_fullReadDone || m_replicatesFromPeer);
    m_replicatesFromPeer = read.isCopy;
    m_ownReadDue = false;
    if (read.isCopy)
        m_feedCache.setRevision(read.revision);
    if (!isReconciling())
        m_hosts.clear();
    for (const kv_item &item : read.items) {
        keys.insert(item.key);
        if (!startsWith(item.key, m_layout.instancePrefix)) {
            apply(item);
            continue;
        }
        try {
            instances.push_back(m_layout.decodeInstance(item.key, item.value));
            instances.back().readAt = m_clock.now();
        } catch (const json_error &error) {
            logEvent(log_level::warning, "instance_unreadable",
                     {{"key", item.key}, {"error", error.what()}});
        }
    }
    const auto before = m_instances.list();
    m_instances.replaceAll(instances, m_clock.now());
    m_dirty = m_dirty || !(before == m_instances.list())
        || std::any_of(instances.begin(), instances.end(),
                       [this](const instance &entry) { return saysCold(entry, m_settings); });
    std::set<std::string> ordered;
    for (const std::string &key : keys) {
        if (startsWith(key, m_layout.orderPrefix))
            ordered.insert(key.substr(m_layout.orderPrefix.size()));
    }
    m_dirty = m_rollouts.keepOrders(ordered) || m_dirty;
    std::set<std::string> evacuated;
    for (const std::string &key : keys) {
        if (isEvacuation(key))
            evacuated.insert(evacuatedDomain(key));
    }
    endEvacuations(m_evacuations.retain(evacuated, read.revision), read.revision);
    m_revision = read.revision;
    m_readingCopy = false;
    m_lastChange = m_clock.now();
    m_dirty = m_dirty || !m_fullReadDone;
    m_fullReadDone = true;
    if (isFirstOwnRead) {
        if (!std::exchange(m_registrationStarted, true))
            m_registration.start();
        logEvent(log_level::info, "store_read",
                 {{"revision", std::to_string(m_revision)},
                  {"epoch", std::to_string(m_epoch.current())},
                  {"instances", std::to_string(instances.size())}});
    }
    finishPoll(true);
}

void store_follower::onChanges(const kv_changes &changes, time_point sentAt, feed_origin origin)
{
    if (changes.outcome == kv_outcome::compacted) {
        m_fullReadDone = false;
        m_polling = false;
        logEvent(log_level::warning, "store_history_lost",
                 {{"revision", std::to_string(m_revision)}});
        poll();
        return;
    }
    if (changes.outcome != kv_outcome::done) {
        onCallFailed(changes.outcome);
        return;
    }
    onContact(sentAt);
    if (!changes.changes.empty())
        m_lastChange = m_clock.now();
    for (const kv_change &change : changes.changes) {
        if (change.deleted) {
            m_feedCache.remove(change.item.key, change.item.revision);
            const std::string &key = change.item.key;
            if (!isEvacuation(key))
                applyDeletion(key);
            else if (m_evacuations.withdraw(evacuatedDomain(key), change.item.revision))
                endEvacuations({evacuatedDomain(key)}, change.item.revision);
        } else {
            if (origin == feed_origin::service)
                m_feedCache.put(change.item);
            else
                m_feedCache.putAsChange(change.item);
            apply(change.item);
        }
    }
    m_revision = std::max(m_revision, changes.revision);
    m_feedCache.setRevision(m_revision);
    finishPoll(true);
}

void store_follower::onStoreRestored(std::uint64_t previousEpoch)
{
    logEvent(log_level::warning, "store_restored",
             {{"epoch", std::to_string(m_epoch.current())},
              {"previous", std::to_string(previousEpoch)},
              {"revision", std::to_string(m_revision)}});
    const time_point now = m_clock.now();
    m_fullReadDone = false;
    m_readingCopy = true;
    m_reconcileUntil = now + reconcilePeriod;
    m_revision = 0;
    // Revisions begin again, but these instances are still leaving.
    for (const instance &entry : knownInstances()) {
        if (m_departures.count(entry.id) > 0)
            m_instances.put(entry);
    }
    m_departures.clear();
    m_departuresRevision = 0;
    m_departureTimer.cancel();
    m_feedCache.reset();
    m_instances.handleRestoredRegistry(now);
    m_rollouts.handleRestoredStore(now);
    m_evacuations.handleRestoredStore();
    m_unseenHosts.clear();
    for (const auto &entry : m_hosts)
        m_unseenHosts.insert(entry.first);
    m_crashReportRevisions.clear();
    m_publisher.handleRestoredStore();
    if (m_lastCrashReport)
        writeCrashReport();
    for (const auto &entry : m_ownRateLimits)
        writeRateLimit(entry.second);
    if (m_registrationStarted)
        m_registration.restart(std::chrono::duration_cast<std::chrono::milliseconds>(
            registrationSpread * sessionPosition("", "", m_settings.name)));
    m_link.replyServiceUnreachable();
    // The poll in progress, if any, is about the lost history.
    ++m_pollId;
    ++m_hostRequestId;
    m_awaitingHost = false;
    m_polling = false;
    schedule(std::chrono::milliseconds(0));
}

void store_follower::finishReconciliation()
{
    m_reconcileUntil.reset();
    for (const std::string &host : std::exchange(m_unseenHosts, {}))
        m_dirty = m_hosts.erase(host) > 0 || m_dirty;
    m_dirty = m_rollouts.finishReconciliation() || m_dirty;
    endEvacuations(m_evacuations.finishReconciliation(), m_revision);
    logEvent(log_level::info, "store_reconciled",
             {{"epoch", std::to_string(m_epoch.current())},
              {"config", m_config ? std::to_string(m_config->version()) : ""},
              {"hosts", std::to_string(m_hosts.size())}});
}

void store_follower::onContact(time_point sentAt)
{
    const time_point now = m_clock.now();
    // Without a failed call, a long time between two contacts is a slow reply or a pause of this
    // host: the service was there, and entries that are gone were removed.
    m_afterOutage
        = !m_reachable && sentAt - m_lastContact > outageHeartbeats * m_settings.heartbeatInterval;
    if (!m_reachable) {
        m_reachable = true;
        logEvent(log_level::info, "store_regained",
                 {{"source", m_source.empty() ? "store" : m_source}});
    }
    if (m_afterOutage)
        m_instances.startRejoinGracePeriod(now);
    m_previousContact = std::exchange(m_lastContact, sentAt);
    m_onConfirmed(sentAt);
}

void store_follower::onCallFailed(kv_outcome outcome)
{
    m_serviceAnswers = false;
    if (std::exchange(m_ownReadDue, false))
        m_probeTimer.set(probeInterval, [this] { probeService(); });
    if (m_reachable) {
        m_reachable = false;
        logEvent(log_level::warning, "store_lost", {{"outcome", toString(outcome)}});
    }
    m_polling = false;
    m_departureTimer.cancel();
    m_link.replyServiceUnreachable();
    const auto callbacks = std::move(m_confirmCallbacks);
    m_confirmCallbacks = std::move(m_nextConfirmCallbacks);
    m_nextConfirmCallbacks.clear();
    for (const auto &done : callbacks)
        done(false);
    advanceRollouts();
    if (m_dirty)
        publish();
    schedule(retryDelay);
    if (m_nextSeed == 0)
        requestCopy();
}

void store_follower::finishPoll(bool succeeded)
{
    m_polling = false;
    m_departureTimer.cancel();
    dropSeenDepartures();
    // Feed requests stay pending until the changes that a full read may have missed are known.
    if (m_replicatesFromPeer)
        m_link.replyServiceUnreachable();
    else if (m_feedCache.isCaughtUp())
        m_link.replyConfirmed(m_lastContact);
    if (m_instances.expire(m_clock.now()))
        m_dirty = true;
    if (m_reconcileUntil && *m_reconcileUntil <= m_clock.now())
        finishReconciliation();
    advanceRollouts();
    m_publisher.setFleetSize(m_fleetSize);
    m_publisher.flush();
    if (m_dirty)
        publish();
    const auto callbacks = std::move(m_confirmCallbacks);
    m_confirmCallbacks = std::move(m_nextConfirmCallbacks);
    m_nextConfirmCallbacks.clear();
    for (const auto &done : callbacks)
        done(succeeded);
    if (!m_confirmCallbacks.empty() || m_forceServicePoll || m_ownReadDue || feedSource()) {
        poll();
        return;
    }
    scheduleNextPoll();
}

void store_follower::scheduleNextPoll()
{
    const auto interval = m_settings.pollInterval();
    const duration pause = m_link.hasRecentRequests(2 * interval)
        ? std::chrono::duration_cast<duration>(servingPollFraction * interval)
        : duration(interval);
    // Changes made since the poll was sent have waited for as long as it took.
    const duration remaining = pause - (m_clock.now() - m_pollSentAt);
    schedule(std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max<duration>(remaining, minPause)));
}

void store_follower::onFeedRequest()
{
    // What this host knows may come from the host that asks.
    if (m_replicatesFromPeer)
        m_link.replyServiceUnreachable();
    // After a failure, a retry is due soon.
    if (m_polling || !m_reachable)
        return;
    const time_point now = m_clock.now();
    const time_point dueAt = std::max(now,
                                      m_pollSentAt
                                          + std::chrono::duration_cast<duration>(
                                              servingPollFraction * m_settings.pollInterval()));
    // The pause was that of a host which serves no others.
    if (dueAt < m_nextPollAt)
        schedule(std::chrono::duration_cast<std::chrono::milliseconds>(dueAt - now));
}

void store_follower::apply(const kv_item &item)
{
    try {
        if (item.key == m_layout.configKey)
            applyConfig(item);
        else if (startsWith(item.key, m_layout.instancePrefix))
            applyInstance(item);
        else if (startsWith(item.key, m_layout.internalPrefix))
            applyInternal(item);
        else if (isEvacuation(item.key))
            applyEvacuation(item);
        else if (startsWith(item.key, m_layout.orderPrefix)) {
            const rollout_order order = m_layout.decodeOrder(item.value, item.revision);
            if (!m_rollouts.updateOrder(order))
                return;
            m_dirty = true;
            logEvent(log_level::info, "rollout_ordered",
                     {{"service", order.service},
                      {"target", order.target},
                      {"revision", std::to_string(order.revision)}});
        }
    } catch (const json_error &error) {
        logEvent(log_level::warning, "entry_unreadable",
                 {{"key", item.key}, {"error", error.what()}});
    }
}

bool store_follower::isEvacuation(const std::string &key) const
{
    return !m_layout.evacuationPrefix.empty() && startsWith(key, m_layout.evacuationPrefix);
}

std::string store_follower::evacuatedDomain(const std::string &key) const
{
    return key.substr(m_layout.evacuationPrefix.size());
}

void store_follower::applyEvacuation(const kv_item &item)
{
    const std::string domain = evacuatedDomain(item.key);
    const time_point now = m_clock.now();
    if (!m_evacuations.order(domain, item.revision, now))
        return;
    m_dirty = true;
    logEvent(log_level::warning, "domain_emptied",
             {{"domain", domain},
              {"revision", std::to_string(item.revision)},
              {"view_age_ms", millisecondsText(now - m_lastContact)}});
}

void store_follower::endEvacuations(const std::set<std::string> &domains, std::uint64_t revision)
{
    m_dirty = !domains.empty() || m_dirty;
    for (const std::string &domain : domains)
        logEvent(log_level::info, "domain_restored",
                 {{"domain", domain},
                  {"revision", std::to_string(revision)},
                  {"view_age_ms", millisecondsText(m_clock.now() - m_lastContact)}});
}

void store_follower::applyDeletion(const std::string &key)
{
    if (startsWith(key, m_layout.instancePrefix)) {
        const std::string id = key.substr(m_layout.instancePrefix.size());
        if (m_afterOutage)
            m_instances.markMissing(id, m_clock.now());
        else
            m_instances.remove(id);
        m_dirty = true;
        logEvent(log_level::info, "instance_gone",
                 {{"instance", id}, {"after_outage", m_afterOutage ? "yes" : "no"}});
    } else if (startsWith(key, m_layout.orderPrefix)) {
        m_dirty = m_rollouts.dropOrder(key.substr(m_layout.orderPrefix.size())) || m_dirty;
    } else if (startsWith(key, m_layout.internalPrefix + hostsPrefix)) {
        m_hosts.erase(key.substr((m_layout.internalPrefix + hostsPrefix).size()));
        m_dirty = true;
    } else if (startsWith(key, m_layout.internalPrefix + limitsPrefix)) {
        const std::string incarnation = key.substr((m_layout.internalPrefix + limitsPrefix).size());
        m_rateLimits.erase(incarnation);
        m_ownRateLimits.erase(incarnation);
    }
}

void store_follower::applyConfig(const kv_item &item)
{
    const time_point started = m_clock.now();
    const auto next = std::make_shared<const routing_config>(m_layout.decodeConfig(item.value));
    if (m_config && next->version() <= m_config->version()) {
        if (next->version() < m_config->version())
            logEvent(log_level::warning, "config_ignored",
                     {{"version", std::to_string(next->version())},
                      {"in_force", std::to_string(m_config->version())}});
        return;
    }
    m_config = next;
    m_dirty = true;
    logEvent(log_level::info, "config_taken",
             {{"version", std::to_string(next->version())},
              {"revision", std::to_string(item.revision)},
              {"routes", std::to_string(next->routes().size())},
              {"bytes", std::to_string(item.value.size())},
              {"decode_ms",
               std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - started)
                       .count())}});
}

void store_follower::applyInstance(const kv_item &item)
{
    instance entry;
    try {
        entry = m_layout.decodeInstance(item.key, item.value);
        entry.readAt = m_clock.now();
    } catch (const json_error &) {
        // An unreadable entry makes its instance unusable, whatever the key held before.
        m_instances.remove(item.key.substr(m_layout.instancePrefix.size()));
        m_dirty = true;
        throw;
    }
    const auto known = m_instances.list();
    const auto before = std::find_if(known.begin(), known.end(),
                                     [&](const instance &other) { return other.id == entry.id; });
    m_instances.put(entry);
    const bool isRepeated = before != known.end() && *before == entry;
    m_dirty = m_dirty || !isRepeated || saysCold(entry, m_settings);
    if (isRepeated)
        return;
    logEvent(log_level::info, before == known.end() ? "instance_appeared" : "instance_changed",
             {{"instance", entry.id},
              {"service", entry.service},
              {"address", entry.address},
              {"version", entry.version},
              {"draining", entry.draining ? "yes" : "no"},
              {"revision", std::to_string(item.revision)}});
}

void store_follower::applyInternal(const kv_item &item)
{
    const std::string name = item.key.substr(m_layout.internalPrefix.size());
    const time_point now = m_clock.now();
    if (startsWith(name, recordPrefix)) {
        const std::string service = name.substr(std::string(recordPrefix).size());
        const rollout_record record = decodeRecord(item.value);
        if (!m_rollouts.updateRecord(service, record, item.revision, now))
            return;
        m_dirty = true;
        logEvent(log_level::info, "rollout_moved",
                 {{"service", service},
                  {"target", record.target},
                  {"stage", toString(record.stage)},
                  {"revision", std::to_string(item.revision)}});
        return;
    }
    if (startsWith(name, hostsPrefix)) {
        const std::string host = name.substr(std::string(hostsPrefix).size());
        m_unseenHosts.erase(host);
        const registered_host decoded = decodeRegisteredHost(host, item.value);
        const auto known = m_hosts.find(host);
        m_dirty = known == m_hosts.end() || !(known->second == decoded) || m_dirty;
        m_hosts[host] = decoded;
        m_fleetSize = std::max(m_fleetSize, m_hosts.size());
        return;
    }
    // This host has read newer values of these than the copy has.
    if (m_readingCopy && !startsWith(name, recordPrefix))
        return;
    if (startsWith(name, limitsPrefix)) {
        applyRateLimit(name.substr(std::string(limitsPrefix).size()), item);
        return;
    }
    if (startsWith(name, crashesPrefix)) {
        applyCrashReport(name.substr(std::string(crashesPrefix).size()), item);
        return;
    }
    const std::size_t firstSlash = name.find('/');
    const std::size_t lastSlash = name.rfind('/');
    if (firstSlash == lastSlash)
        return;
    const std::string service = name.substr(firstSlash + 1, lastSlash - firstSlash - 1);
    const std::string host = name.substr(lastSlash + 1);
    const json_value document = json_value::parse(item.value);
    const std::uint64_t order = document.integer("order");
    if (startsWith(name, tallyPrefix)) {
        m_rollouts.updateTally(service, host, order, decodeTally(document.get("routes").dump()),
                               now);
    } else if (startsWith(name, sessionsPrefix)) {
        std::vector<std::uint64_t> digests;
        const json_value list = document.get("sessions");
        for (std::size_t i = 0; i < list.size(); ++i)
            digests.push_back(std::strtoull(list.at(i).asString().c_str(), nullptr, 16));
        m_dirty = m_rollouts.updateSessions(service, host, order, digests) || m_dirty;
    }
}

void store_follower::applyCrashReport(const std::string &host, const kv_item &item)
{
    std::uint64_t &revision = m_crashReportRevisions[host];
    const bool isOwn = host == m_settings.name;
    // After the first full read, the own key holds only what this process wrote.
    if (item.revision <= revision || (isOwn && m_fullReadDone))
        return;
    revision = item.revision;
    received_crash_report received;
    received.report = decodeCrashReport(item.value);
    received.origin = isOwn ? report_origin::earlierProcess : report_origin::otherHost;
    // It may have been written at any time since the previous contact. Taking it for too young
    // would make answers that came after the crash look older than it.
    received.receivedAt = m_previousContact;
    logEvent(log_level::info, "crash_report_read",
             {{"host", host},
              {"suspects", std::to_string(received.report.suspects.size())},
              {"answered", std::to_string(received.report.answered.size())},
              {"revision", std::to_string(item.revision)}});
    m_crashReports[host] = std::make_shared<const received_crash_report>(std::move(received));
    m_dirty = true;
}

void store_follower::publishCrashReport(const crash_report &report)
{
    m_lastCrashReport = report;
    m_crashReportMadeAt = m_clock.now();
    writeCrashReport();
}

void store_follower::writeCrashReport()
{
    const auto encode = [this, report = *m_lastCrashReport, madeAt = m_crashReportMadeAt] {
        const auto delay
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - madeAt);
        crash_report aged = report;
        for (crash_suspect &suspect : aged.suspects)
            suspect.age += delay;
        for (answered_segment &answered : aged.answered)
            answered.age += delay;
        return encodeCrashReport(aged);
    };
    m_publisher.publish(m_layout.internalPrefix + crashesPrefix + m_settings.name, encode,
                        [suspects = m_lastCrashReport->suspects.size(),
                         answered = m_lastCrashReport->answered.size()](kv_outcome outcome) {
                            logEvent(log_level::info, "crash_report_written",
                                     {{"suspects", std::to_string(suspects)},
                                      {"answered", std::to_string(answered)},
                                      {"outcome", toString(outcome)}});
                        });
}

bool store_follower::isKnown(const rate_limit_report &report) const
{
    const auto known = m_rateLimits.find(report.incarnation);
    // What nobody has reported as limited is not.
    return known == m_rateLimits.end() ? !report.perSecond : known->second->report == report;
}

void store_follower::applyRateLimit(const std::string &incarnation, const kv_item &item)
{
    const rate_limit_report report = decodeRateLimit(incarnation, item.value);
    if (isKnown(report))
        return;
    m_ownRateLimits.erase(incarnation);
    logEvent(log_level::info, "instance_limit_read",
             {{"instance", incarnation},
              {"per_second", report.perSecond ? std::to_string(*report.perSecond) : ""},
              {"revision", std::to_string(item.revision)}});
    m_rateLimits[incarnation]
        = std::make_shared<const received_rate_limit>(received_rate_limit{report, m_clock.now()});
    m_dirty = true;
}

void store_follower::publishRateLimit(const rate_limit_report &report)
{
    if (!isKnown(report) || m_ownRateLimits.count(report.incarnation) > 0)
        writeRateLimit(report);
    else
        m_publisher.withdraw(m_layout.internalPrefix + limitsPrefix + report.incarnation);
}

void store_follower::writeRateLimit(const rate_limit_report &report)
{
    m_publisher.publish(
        m_layout.internalPrefix + limitsPrefix + report.incarnation,
        [report] { return encodeRateLimit(report); },
        [this, report](kv_outcome outcome) {
            logEvent(log_level::info, "instance_limit_written",
                     {{"instance", report.incarnation}, {"outcome", toString(outcome)}});
            if (outcome != kv_outcome::done)
                return;
            m_ownRateLimits[report.incarnation] = report;
            m_rateLimits[report.incarnation] = std::make_shared<const received_rate_limit>(
                received_rate_limit{report, m_clock.now()});
        });
}

void store_follower::publish()
{
    m_dirty = false;
    auto view = std::make_shared<routing_view>();
    view->config = m_config;
    view->publishedAt = m_clock.now();
    for (const instance &entry : knownInstances())
        view->instances[entry.service].push_back(entry);
    view->rollouts = m_rollouts.view(m_clock.now());
    view->fleetSize = m_fleetSize;
    view->crashReports = m_crashReports;
    view->rateLimits = m_rateLimits;
    view->emptiedDomains = m_evacuations.snapshot();
    std::set<std::string> names;
    for (const auto &entry : m_hosts)
        names.insert(entry.first);
    if (!m_hostNames || *m_hostNames != names)
        m_hostNames = std::make_shared<const std::set<std::string>>(std::move(names));
    view->hosts = m_hostNames;
    std::vector<registered_host> addresses;
    for (const auto &entry : m_hosts)
        addresses.push_back(entry.second);
    if (!m_hostAddresses || *m_hostAddresses != addresses)
        m_hostAddresses
            = std::make_shared<const std::vector<registered_host>>(std::move(addresses));
    view->hostAddresses = m_hostAddresses;
    m_onView(view);
}

void store_follower::advanceRollouts()
{
    if (!m_fullReadDone)
        return;
    const rollout_actions actions = m_rollouts.advance(
        m_clock.now(), [this](const rollout_order &order) { return readyTargetInstances(order); });
    for (const bad_verdict &verdict : actions.badVerdicts)
        logEvent(log_level::warning, "version_judged_bad",
                 {{"service", verdict.order.service},
                  {"target", verdict.order.target},
                  {"answers", std::to_string(verdict.candidate.outcomes)},
                  {"failures", std::to_string(verdict.candidate.failures)},
                  {"slow", std::to_string(verdict.candidate.slow)},
                  {"other_answers", std::to_string(verdict.baseline.outcomes)},
                  {"other_failures", std::to_string(verdict.baseline.failures)},
                  {"other_slow", std::to_string(verdict.baseline.slow)}});
    if (actions.changesView())
        publish();
    for (const record_write &write : actions.recordWrites)
        writeRecord(write);
    for (const auto &tally : actions.tallies)
        publishTally(tally.first, tally.second);
    for (const rollout_order &order : actions.sessionListsDue) {
        m_sessions(order, [this, order](const std::vector<std::uint64_t> &digests) {
            if (!m_stopped && !digests.empty())
                publishSessions(order, digests);
        });
    }
}

void store_follower::writeRecord(const record_write &write)
{
    const std::string &service = write.order.service;
    const std::string key = m_layout.internalPrefix + recordPrefix + service;
    kv_transaction transaction;
    transaction.conditions.push_back({key, write.expectedRevision});
    transaction.writes.push_back({key, encodeRecord(write.record), 0});
    transaction.writes.push_back(
        {m_layout.statusPrefix + service, m_layout.encodeStatus(write.record), 0});
    logEvent(log_level::info, "rollout_write",
             {{"service", service},
              {"stage", toString(write.record.stage)},
              {"elapsed_ms", std::to_string(write.record.elapsed.count())},
              {"reason", write.reason},
              {"answers", std::to_string(write.candidate.outcomes)},
              {"failures", std::to_string(write.candidate.failures)},
              {"slow", std::to_string(write.candidate.slow)},
              {"suspect", write.suspect ? "yes" : "no"}});
    m_store.transact(transaction, [this, key, write](const kv_transaction_result &result) {
        const std::string &service = write.order.service;
        m_rollouts.finishWrite(service, result.outcome == kv_outcome::conflict, m_clock.now());
        if (result.outcome == kv_outcome::done) {
            applyInternal({key, encodeRecord(write.record), result.revision});
            publish();
        } else {
            logEvent(log_level::info, "rollout_write_failed",
                     {{"service", service}, {"outcome", toString(result.outcome)}});
        }
    });
}

void store_follower::publishTally(const rollout_order &order, const version_tally &tally)
{
    json_value document = json_value::object();
    document.set("order", order.revision);
    document.set("routes", json_value::parse(encodeTally(tally)));
    writeHostKey(tallyPrefix + order.service, document.dump());
}

void store_follower::publishSessions(const rollout_order &order,
                                     const std::vector<std::uint64_t> &digests)
{
    json_value list = json_value::array();
    for (const std::uint64_t digest : digests) {
        std::ostringstream text;
        text << std::hex << digest;
        list.append(json_value(text.str()));
    }
    json_value document = json_value::object();
    document.set("order", order.revision);
    document.set("sessions", list);
    writeHostKey(sessionsPrefix + order.service, document.dump());
}

void store_follower::writeHostKey(const std::string &key, const std::string &value)
{
    kv_transaction transaction;
    transaction.writes.push_back({m_layout.internalPrefix + key + '/' + m_settings.name, value, 0});
    m_store.transact(transaction, [key](const kv_transaction_result &result) {
        logEvent(log_level::info, "told_hosts",
                 {{"key", key}, {"outcome", toString(result.outcome)}});
    });
}

json_value store_follower::stateJson() const
{
    const time_point now = m_clock.now();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastContact);
    json_value state = json_value::object();
    state.set("host", m_settings.name);
    state.set("config_version", m_config ? m_config->version() : 0);
    state.set("store_revision", m_revision);
    state.set("store_epoch", m_epoch.current());
    state.set("confirmed_ms_ago", static_cast<std::uint64_t>(std::max<long>(0, age.count())));
    state.set("store_reachable", m_reachable);
    state.set("hears_from", m_source.empty() ? "store" : m_source);
    json_value instances = json_value::array();
    for (const instance &entry : knownInstances()) {
        json_value row = json_value::object();
        row.set("instance", entry.id);
        row.set("service", entry.service);
        row.set("version", entry.version);
        row.set("address", entry.address);
        row.set("state", entry.draining ? "draining" : "ready");
        instances.append(row);
    }
    state.set("instances", instances);
    json_value rollouts = json_value::array();
    for (const auto &entry : m_rollouts.view(now)) {
        json_value row = json_value::object();
        row.set("service", entry.first);
        row.set("target", entry.second.order.target);
        row.set("stage", toString(entry.second.record.stage));
        row.set("judged_bad_here", entry.second.judgedBad ? "yes" : "no");
        rollouts.append(row);
    }
    state.set("rollouts", rollouts);
    json_value evacuations = json_value::array();
    for (const auto &entry : *m_evacuations.snapshot()) {
        json_value row = json_value::object();
        row.set("domain", entry.first);
        row.set("evacuated_ms_ago", millisecondsText(now - entry.second.learnedAt));
        evacuations.append(row);
    }
    state.set("evacuated_domains", evacuations);
    json_value hosts = json_value::array();
    for (const auto &entry : m_hosts) {
        json_value row = json_value::object();
        row.set("host", entry.first);
        row.set("address", entry.second.address);
        row.set("failure_domain", entry.second.failureDomain);
        hosts.append(row);
    }
    state.set("hosts", hosts);
    return state;
}

std::size_t store_follower::readyTargetInstances(const rollout_order &order) const
{
    const auto known = m_instances.list();
    return static_cast<std::size_t>(
        std::count_if(known.begin(), known.end(), [&](const instance &entry) {
            return entry.service == order.service && entry.version == order.target
                && !entry.draining && m_evacuations.snapshot()->count(entry.failureDomain) == 0;
        }));
}

} // namespace goldcrestdeck
