// One feed of all changes instead of a watch for each kind of key: instances write all the time, so
// a waiting call would return at once anyway, and the price of the service is by the call.

#include "goldcrestdeck/store_follower.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sstream>

#include <boost/asio/io_context.hpp>

#include "goldcrestdeck/json.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

/// Part of the time in which a configuration must be in force, and a leaving instance be left
/// alone, between two polls: one may be missed, with its time-out, and the next is still in time.
constexpr double pollPart = 0.35;
/// Before the next call when the service did not answer.
constexpr std::chrono::milliseconds retryPause{250};
/// A feed that is silent for this many heartbeats of the instances is not trusted.
constexpr int silentHeartbeats = 2;
/// Within which entries that lapsed in an outage are written anew; the platform's figure is 2 s.
constexpr std::chrono::milliseconds rejoinTime{2200};
/// Missed contact for so long is an outage in which entries may have lapsed.
constexpr std::chrono::milliseconds outageTime{1500};
/// Half-life of an answer's weight in the verdict on a version.
constexpr std::chrono::milliseconds tallyHalfLife{5000};
/// Between two writes of one host's tally.
constexpr std::chrono::milliseconds tallyPause{500};
/// After which another host's tally counts no more.
constexpr std::chrono::milliseconds tallyLifetime{6000};

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

void decay(version_tally &tally, double factor)
{
    for (auto &entry : tally.byRoute) {
        entry.second.answers *= factor;
        entry.second.failures *= factor;
        entry.second.slow *= factor;
    }
}

std::string text(double value)
{
    return std::to_string(std::lround(value));
}

} // namespace

store_follower::store_follower(boost::asio::io_context &io, const clock &time, async_kv_store store,
                               store_layout layout, const router_settings &settings,
                               view_listener onView, confirm_listener onConfirmed,
                               session_source sessions)
    : m_io(io)
    , m_clock(time)
    , m_store(std::move(store))
    , m_layout(std::move(layout))
    , m_settings(settings)
    , m_onView(std::move(onView))
    , m_onConfirmed(std::move(onConfirmed))
    , m_sessions(std::move(sessions))
    , m_timer(io)
    , m_instances(rejoinTime)
{ }

void store_follower::start()
{
    m_lastContact = m_clock.now();
    poll();
}

void store_follower::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void store_follower::setSettings(const router_settings &settings)
{
    m_settings = settings;
}

void store_follower::confirm(std::function<void(bool)> done)
{
    // A call that is already out may have been answered before the change that matters.
    if (m_polling) {
        m_nextConfirms.push_back(std::move(done));
        return;
    }
    m_confirms.push_back(std::move(done));
    m_timer.cancel();
    poll();
}

void store_follower::noteAnswer(const rollout_answer &answer)
{
    const auto order = m_orders.find(answer.service);
    if (order == m_orders.end())
        return;
    own_tally &own = tallyFor(order->second);
    const bool candidate = answer.side == version_side::candidate;
    answer_tally &row = (candidate ? own.candidate : own.established).byRoute[answer.route];
    row = row + answer_tally{1, answer.failed ? 1.0 : 0.0, !answer.failed && answer.slow ? 1.0 : 0};
    if (!candidate)
        return;
    own.candidateAnswers += 1;
    if (!answer.failed && !answer.slow)
        return;
    own.unpublishedBad += 1;
    moveRollout(order->second);
}

std::chrono::milliseconds store_follower::pollInterval() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        pollPart * std::min(m_settings.applyTime, m_settings.drainTime));
}

void store_follower::schedule(std::chrono::milliseconds wait)
{
    if (m_stopped)
        return;
    m_timer.expires_after(wait);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error && !m_stopped)
            poll();
    });
}

void store_follower::poll()
{
    if (m_polling || m_stopped)
        return;
    m_polling = true;
    const time_point now = m_clock.now();
    if (!m_readEverything || now - m_lastChange > silentHeartbeats * m_settings.heartbeat) {
        readAll();
        return;
    }
    m_store.changes("", m_revision, std::chrono::milliseconds(1), [this, now](kv_changes changes) {
        if (!m_stopped)
            onChanges(changes, now);
    });
}

void store_follower::readAll()
{
    const auto read = std::make_shared<range_read>();
    const std::string operatorPrefix
        = m_layout.configKey.substr(0, m_layout.configKey.find('/') + 1);
    read->prefixes = {operatorPrefix, m_layout.instancePrefix, m_layout.ownPrefix};
    read->sentAt = m_clock.now();
    readPage(read, "");
}

void store_follower::readPage(const std::shared_ptr<range_read> &read, const std::string &after)
{
    m_store.range(read->prefixes[read->next], after, [this, read](const kv_page &page) {
        if (!m_stopped)
            onPage(read, page);
    });
}

void store_follower::onPage(const std::shared_ptr<range_read> &read, const kv_page &page)
{
    if (page.outcome != kv_outcome::done) {
        onNoAnswer(page.outcome);
        return;
    }
    if (read->revision == 0)
        read->revision = page.revision;
    read->items.insert(read->items.end(), page.items.begin(), page.items.end());
    if (page.hasMore && !page.items.empty()) {
        readPage(read, page.items.back().key);
        return;
    }
    if (++read->next < read->prefixes.size()) {
        readPage(read, "");
        return;
    }
    onAllRead(*read);
}

void store_follower::onAllRead(const range_read &read)
{
    onContact(read.sentAt);
    std::vector<instance> instances;
    std::set<std::string> keys;
    for (const kv_item &item : read.items) {
        keys.insert(item.key);
        if (!startsWith(item.key, m_layout.instancePrefix)) {
            apply(item);
            continue;
        }
        try {
            instances.push_back(m_layout.decodeInstance(item.key, item.value));
        } catch (const json_error &error) {
            logEvent(log_level::warning, "instance_unreadable",
                     {{"key", item.key}, {"error", error.what()}});
        }
    }
    const auto before = m_instances.list();
    m_instances.replaceAll(instances, m_clock.now());
    m_dirty = m_dirty || !(before == m_instances.list());
    for (auto i = m_orders.begin(); i != m_orders.end();) {
        const bool present = keys.count(m_layout.orderPrefix + i->first) > 0;
        m_dirty = m_dirty || !present;
        i = present ? std::next(i) : m_orders.erase(i);
    }
    m_revision = read.revision;
    m_lastChange = m_clock.now();
    if (!m_readEverything) {
        m_readEverything = true;
        m_dirty = true;
        logEvent(log_level::info, "store_read",
                 {{"revision", std::to_string(m_revision)},
                  {"instances", std::to_string(instances.size())}});
    }
    finishConfirms(true);
}

void store_follower::onChanges(const kv_changes &changes, time_point sentAt)
{
    if (changes.outcome == kv_outcome::compacted) {
        m_readEverything = false;
        m_polling = false;
        logEvent(log_level::warning, "store_history_lost",
                 {{"revision", std::to_string(m_revision)}});
        poll();
        return;
    }
    if (changes.outcome != kv_outcome::done) {
        onNoAnswer(changes.outcome);
        return;
    }
    onContact(sentAt);
    if (!changes.changes.empty())
        m_lastChange = m_clock.now();
    for (const kv_change &change : changes.changes) {
        if (change.deleted)
            applyDeletion(change.item.key);
        else
            apply(change.item);
    }
    m_revision = std::max(m_revision, changes.revision);
    finishConfirms(true);
}

void store_follower::onContact(time_point sentAt)
{
    const time_point now = m_clock.now();
    if (!m_reachable) {
        m_reachable = true;
        logEvent(log_level::info, "store_regained", {});
    }
    if (now - m_lastContact > outageTime)
        m_instances.noteRegained(now);
    m_lastContact = now;
    m_onConfirmed(sentAt);
}

void store_follower::onNoAnswer(kv_outcome outcome)
{
    if (m_reachable) {
        m_reachable = false;
        logEvent(log_level::warning, "store_lost", {{"outcome", toString(outcome)}});
    }
    m_polling = false;
    const auto confirms = std::move(m_confirms);
    m_confirms = std::move(m_nextConfirms);
    m_nextConfirms.clear();
    for (const auto &done : confirms)
        done(false);
    moveRollouts();
    if (m_dirty)
        publish();
    schedule(retryPause);
}

void store_follower::finishConfirms(bool answered)
{
    m_polling = false;
    if (m_instances.expire(m_clock.now()))
        m_dirty = true;
    moveRollouts();
    if (m_dirty)
        publish();
    const auto confirms = std::move(m_confirms);
    m_confirms = std::move(m_nextConfirms);
    m_nextConfirms.clear();
    for (const auto &done : confirms)
        done(answered);
    if (!m_confirms.empty())
        poll();
    else
        schedule(pollInterval());
}

void store_follower::apply(const kv_item &item)
{
    try {
        if (item.key == m_layout.configKey)
            applyConfig(item);
        else if (startsWith(item.key, m_layout.instancePrefix))
            applyInstance(item);
        else if (startsWith(item.key, m_layout.ownPrefix))
            applyOwn(item);
        else if (startsWith(item.key, m_layout.orderPrefix)) {
            const rollout_order order = m_layout.decodeOrder(item.value, item.revision);
            if (m_orders[order.service] == order)
                return;
            m_orders[order.service] = order;
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

void store_follower::applyDeletion(const std::string &key)
{
    if (startsWith(key, m_layout.instancePrefix)) {
        const std::string id = key.substr(m_layout.instancePrefix.size());
        m_instances.remove(id, m_clock.now());
        m_dirty = true;
        logEvent(log_level::info, "instance_gone", {{"instance", id}});
    } else if (startsWith(key, m_layout.orderPrefix)) {
        m_orders.erase(key.substr(m_layout.orderPrefix.size()));
        m_dirty = true;
    } else if (startsWith(key, m_layout.ownPrefix)) {
        m_remoteTallies.erase(key);
        m_sessionLists.erase(key);
    }
}

void store_follower::applyConfig(const kv_item &item)
{
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
              {"routes", std::to_string(next->routes().size())}});
}

void store_follower::applyInstance(const kv_item &item)
{
    instance entry;
    try {
        entry = m_layout.decodeInstance(item.key, item.value);
    } catch (const json_error &) {
        // Bytes that cannot be read name no instance, whatever stood there before.
        m_instances.remove(item.key.substr(m_layout.instancePrefix.size()), m_clock.now());
        m_dirty = true;
        throw;
    }
    const auto known = m_instances.list();
    const auto before = std::find_if(known.begin(), known.end(),
                                     [&](const instance &other) { return other.id == entry.id; });
    m_instances.put(entry);
    if (before != known.end() && *before == entry)
        return;
    m_dirty = true;
    logEvent(log_level::info, before == known.end() ? "instance_appeared" : "instance_changed",
             {{"instance", entry.id},
              {"service", entry.service},
              {"address", entry.address},
              {"version", entry.version},
              {"draining", entry.draining ? "yes" : "no"},
              {"revision", std::to_string(item.revision)}});
}

void store_follower::applyOwn(const kv_item &item)
{
    if (startsWith(item.key, tallyPrefix())) {
        const json_value document = json_value::parse(item.value);
        m_remoteTallies[item.key] = {document.integer("order"),
                                     decodeTally(document.get("routes").dump()), m_clock.now()};
        return;
    }
    if (startsWith(item.key, sessionsPrefix())) {
        const json_value document = json_value::parse(item.value);
        session_list &list = m_sessionLists[item.key];
        list = {document.integer("order"), {}};
        const json_value digests = document.get("sessions");
        for (std::size_t i = 0; i < digests.size(); ++i)
            list.digests.push_back(std::strtoull(digests.at(i).asString().c_str(), nullptr, 16));
        m_dirty = true;
        return;
    }
    const std::string prefix = recordKey("");
    if (!startsWith(item.key, prefix))
        return;
    const std::string service = item.key.substr(prefix.size());
    known_record &known = m_records[service];
    if (known.revision >= item.revision)
        return;
    known = {decodeRecord(item.value), item.revision, m_clock.now()};
    m_dirty = true;
    logEvent(log_level::info, "rollout_moved",
             {{"service", service},
              {"target", known.record.target},
              {"stage", toString(known.record.stage)},
              {"revision", std::to_string(item.revision)}});
}

void store_follower::publish()
{
    m_dirty = false;
    auto view = std::make_shared<routing_view>();
    view->config = m_config;
    for (const instance &entry : m_instances.list())
        view->instances[entry.service].push_back(entry);
    for (const auto &item : m_orders) {
        const rollout_order &order = item.second;
        service_rollout rollout;
        rollout.order = order;
        const auto known = m_records.find(order.service);
        if (known != m_records.end() && known->second.record.orderRevision == order.revision) {
            rollout.record = known->second.record;
            rollout.seenAt = known->second.seenAt;
        } else {
            // Nothing goes to the new version before the record exists.
            rollout.record = {order.revision, order.target, rollout_stage::rolledBack, {}};
            rollout.seenAt = m_clock.now();
        }
        const auto own = m_ownTallies.find(order.service);
        rollout.judgedBad = own != m_ownTallies.end() && own->second.orderRevision == order.revision
            && own->second.judgedBad;
        rollout.establishedSessions = establishedSessions(order);
        view->rollouts[order.service] = rollout;
    }
    m_onView(view);
}

void store_follower::moveRollouts()
{
    if (!m_readEverything)
        return;
    for (const auto &item : m_orders)
        moveRollout(item.second);
}

void store_follower::moveRollout(const rollout_order &order)
{
    own_tally &own = tallyFor(order);
    if (own.writing)
        return;
    const auto known = m_records.find(order.service);
    if (known == m_records.end() || known->second.record.orderRevision != order.revision) {
        const std::uint64_t expected = known == m_records.end() ? 0 : known->second.revision;
        writeRecord(order, expected, {order.revision, order.target, rollout_stage::canary, {}},
                    "ordered");
        return;
    }
    const known_record &current = known->second;
    if (current.record.stage == rollout_stage::completed
        || current.record.stage == rollout_stage::rolledBack)
        return;
    const time_point now = m_clock.now();
    const double age = std::chrono::duration<double>(now - own.decayedAt).count();
    const double factor = std::exp2(-age / std::chrono::duration<double>(tallyHalfLife).count());
    own.decayedAt = now;
    decay(own.candidate, factor);
    decay(own.established, factor);
    const bool bad = isBadVersion(knownTally(order, own), own.established);
    if (bad && !own.judgedBad) {
        own.judgedBad = true;
        m_dirty = true;
        const answer_tally seen = own.candidate.total();
        logEvent(log_level::warning, "version_judged_bad",
                 {{"service", order.service},
                  {"target", order.target},
                  {"answers", text(seen.answers)},
                  {"failures", text(seen.failures)},
                  {"slow", text(seen.slow)}});
        publish();
    }
    if (current.record.stage == rollout_stage::canary)
        tellSessions(order, own, current.record.elapsed + (now - current.seenAt));
    const auto seenFor
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - current.seenAt);
    const auto next = nextRecord(current.record, order, seenFor, own.judgedBad,
                                 own.candidateAnswers, instancesOf(order), parameters());
    if (next)
        writeRecord(order, current.revision, *next, bad ? "bad" : "due");
    else if (own.unpublishedBad > 0 && now - own.publishedAt > tallyPause)
        publishTally(order, own);
}

void store_follower::writeRecord(const rollout_order &order, std::uint64_t expected,
                                 const rollout_record &record, const char *reason)
{
    kv_transaction transaction;
    transaction.conditions.push_back({recordKey(order.service), expected});
    transaction.writes.push_back({recordKey(order.service), encodeRecord(record), 0});
    transaction.writes.push_back(
        {m_layout.statusPrefix + order.service, m_layout.encodeStatus(record), 0});
    tallyFor(order).writing = true;
    logEvent(log_level::info, "rollout_write",
             {{"service", order.service},
              {"stage", toString(record.stage)},
              {"elapsed_ms", std::to_string(record.elapsed.count())},
              {"reason", reason}});
    m_store.transact(transaction,
                     [this, service = order.service, record,
                      key = recordKey(order.service)](const kv_transaction_result &result) {
                         m_ownTallies[service].writing = false;
                         if (result.outcome == kv_outcome::done) {
                             applyOwn({key, encodeRecord(record), result.revision});
                             publish();
                         } else {
                             logEvent(
                                 log_level::info, "rollout_write_failed",
                                 {{"service", service}, {"outcome", toString(result.outcome)}});
                         }
                     });
}

void store_follower::publishTally(const rollout_order &order, own_tally &tally)
{
    json_value document = json_value::object();
    document.set("order", order.revision);
    document.set("routes", json_value::parse(encodeTally(tally.candidate)));
    kv_transaction transaction;
    transaction.writes.push_back(
        {tallyPrefix() + order.service + '/' + m_settings.name, document.dump(), 0});
    tally.unpublishedBad = 0;
    tally.publishedAt = m_clock.now();
    m_store.transact(transaction, [service = order.service](const kv_transaction_result &result) {
        if (result.outcome != kv_outcome::done)
            logEvent(log_level::info, "tally_write_failed",
                     {{"service", service}, {"outcome", toString(result.outcome)}});
    });
}

void store_follower::tellSessions(const rollout_order &order, own_tally &own, duration elapsed)
{
    const rollout_parameters limits = parameters();
    const bool due = (own.sessionLists == 0 && elapsed >= limits.sessionsAfter)
        || (own.sessionLists == 1 && elapsed >= limits.canaryDelay);
    if (!due)
        return;
    ++own.sessionLists;
    m_sessions(order, [this, order](const std::vector<std::uint64_t> &digests) {
        if (!m_stopped && !digests.empty())
            publishSessions(order, digests);
    });
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
    kv_transaction transaction;
    transaction.writes.push_back(
        {sessionsPrefix() + order.service + '/' + m_settings.name, document.dump(), 0});
    m_store.transact(transaction, [service = order.service](const kv_transaction_result &result) {
        logEvent(log_level::info, "sessions_told",
                 {{"service", service}, {"outcome", toString(result.outcome)}});
    });
}

std::shared_ptr<const std::set<std::uint64_t>>
store_follower::establishedSessions(const rollout_order &order) const
{
    auto digests = std::make_shared<std::set<std::uint64_t>>();
    const std::string prefix = sessionsPrefix() + order.service + '/';
    for (const auto &item : m_sessionLists) {
        if (startsWith(item.first, prefix) && item.second.orderRevision == order.revision)
            digests->insert(item.second.digests.begin(), item.second.digests.end());
    }
    return digests;
}

store_follower::own_tally &store_follower::tallyFor(const rollout_order &order)
{
    own_tally &own = m_ownTallies[order.service];
    if (own.orderRevision != order.revision) {
        own = own_tally();
        own.orderRevision = order.revision;
        own.decayedAt = m_clock.now();
    }
    return own;
}

version_tally store_follower::knownTally(const rollout_order &order, const own_tally &own) const
{
    std::vector<version_tally> tallies = {own.candidate};
    const std::string prefix = tallyPrefix() + order.service + '/';
    const time_point now = m_clock.now();
    for (const auto &item : m_remoteTallies) {
        if (startsWith(item.first, prefix) && item.first != prefix + m_settings.name
            && item.second.orderRevision == order.revision
            && now - item.second.seenAt < tallyLifetime)
            tallies.push_back(item.second.tally);
    }
    return sum(tallies);
}

std::size_t store_follower::instancesOf(const rollout_order &order) const
{
    const auto known = m_instances.list();
    return static_cast<std::size_t>(
        std::count_if(known.begin(), known.end(), [&](const instance &entry) {
            return entry.service == order.service && entry.version == order.target
                && !entry.draining;
        }));
}

std::string store_follower::recordKey(const std::string &service) const
{
    return m_layout.ownPrefix + "rollout/" + service;
}

std::string store_follower::tallyPrefix() const
{
    return m_layout.ownPrefix + "tally/";
}

std::string store_follower::sessionsPrefix() const
{
    return m_layout.ownPrefix + "sessions/";
}

rollout_parameters store_follower::parameters() const
{
    rollout_parameters result;
    result.exposureShare = m_settings.exposureShare;
    result.exposureSlack = m_settings.exposureSlack;
    return result;
}

} // namespace goldcrestdeck
