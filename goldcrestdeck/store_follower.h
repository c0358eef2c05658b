#ifndef GOLDCRESTDECK_STORE_FOLLOWER_H_
#define GOLDCRESTDECK_STORE_FOLLOWER_H_

/// \file
/// Keeps this host's copy of the entries in the key-value service up to date, and advances
/// rollouts.
///
/// start() reads all entries once. After that, a single change feed over all keys is polled at a
/// fixed interval. The feed is requested from another host of the failure domain (feed_link), so
/// that the number of calls to the service does not grow with the fleet; the host ranked first in
/// the domain, and any host that gets no reply, polls the service itself. Every relevant change is
/// published as a new routing_view. The configuration version never decreases within one process.
/// While a poll takes long, because a large value is being transferred, instances that leave are
/// asked for separately: they must not wait for the value. So are orders to evacuate a failure
/// domain.
///
/// If the service does not answer at the start, a copy of the entries is requested from the seeds
/// of the settings. From then on changes come from other hosts, as in any outage, until the service
/// answers and everything has been read afresh; the host registers and serves the feed only then.
///
/// If the service comes back from an older copy (store_epoch), everything is read afresh and no
/// revision, lease or reply of the earlier epoch is used again. What this host knows stays in
/// force: the configuration, departures of instances, verdicts on versions, crash reports, limits
/// and orders to evacuate a failure domain. It writes its own entries again; entries of others that
/// are missing are kept for a few seconds. Runs on the control thread.

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "goldcrestdeck/async_kv_store.h"
#include "goldcrestdeck/feed_link.h"
#include "goldcrestdeck/host_registration.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/one_shot_timer.h"
#include "goldcrestdeck/report_publisher.h"
#include "goldcrestdeck/rollout_member.h"
#include "goldcrestdeck/router_settings.h"
#include "goldcrestdeck/routing_view.h"
#include "goldcrestdeck/store_epoch.h"

namespace goldcrestdeck {

/// Keys of the key-value service and encoding of their values. The decoders throw json_error.
struct store_layout {
    std::string configKey;
    std::string instancePrefix;
    std::string orderPrefix; ///< Followed by the service's name.
    /// Followed by the failure domain's name; such a key is an order whatever its value. Empty if
    /// there are no such orders.
    std::string evacuationPrefix;
    std::string statusPrefix;   ///< Followed by the service's name.
    std::string internalPrefix; ///< Of keys that only this system uses.
    std::function<routing_config(const std::string &)> decodeConfig;
    std::function<instance(const std::string &key, const std::string &)> decodeInstance;
    std::function<rollout_order(const std::string &, std::uint64_t revision)> decodeOrder;
    std::function<std::string(const rollout_record &)> encodeStatus;
};

class store_follower
{
public:
    using view_listener = std::function<void(std::shared_ptr<const routing_view>)>;
    /// Called with the time at which the latest successful call to the service was sent.
    using confirm_listener = std::function<void(time_point)>;

    /// Requests the digests of traffic_state::baselineSessions from the traffic thread.
    using session_source = std::function<void(const rollout_order &,
                                              std::function<void(std::vector<std::uint64_t>)>)>;

    /// \a epoch is the one that the binding of \a store observes.
    store_follower(boost::asio::io_context &io, const clock &time, async_kv_store store,
                   store_epoch &epoch, store_layout layout, const router_settings &settings,
                   view_listener onView, confirm_listener onConfirmed, session_source sessions);

    void start();
    void stop();
    /// The process is about to stop: tells other hosts to poll elsewhere.
    void startDraining();
    void setSettings(const router_settings &settings);

    /// Polls the service at once, not another host. \a done gets false if it did not respond.
    void confirm(std::function<void(bool)> done);

    void recordOutcome(const request_outcome &outcome);
    /// Writes this host's crash report for the other hosts, in place of its last one. Repeated
    /// after a failure until it succeeds.
    void publishCrashReport(const crash_report &report);

    /// Writes what this host has heard of an instance's limit for the other hosts, unless they
    /// know. Repeated after a failure until it succeeds.
    void publishRateLimit(const rate_limit_report &report);

    bool hasConfig() const { return m_config != nullptr; }

    /// Called with "taken" and "served" for each copy of all entries.
    using copy_listener = std::function<void(const std::string &event)>;
    void setCopyListener(copy_listener listener) { m_onCopy = std::move(listener); }

    /// Returns this host's state as a JSON object, for operators: configuration, source of the
    /// change feed, instances, rollouts and hosts.
    json_value stateJson() const;

private:
    enum class feed_origin { service, host };
    /// A read of all entries in progress, prefix by prefix and page by page.
    struct full_read {
        std::vector<std::string> prefixes;
        std::size_t prefixIndex = 0;
        std::vector<kv_item> items;
        std::uint64_t revision = 0; ///< Of the first page; the feed continues after it.
        time_point sentAt;
        bool isCopy = false; ///< The copy of another host, complete up to the revision.
    };

    void schedule(std::chrono::milliseconds delay);
    void poll();
    void pollHost(const registered_host &host);
    void onFeedReply(const registered_host &host, const feed_reply &reply);
    /// Returns the host to poll for changes, or nullopt if this host is to poll the service itself.
    std::optional<registered_host> feedSource();
    /// Whether a copy is of use: nothing has been read yet, and there are seeds.
    bool needsCopy() const;
    /// Requests a copy from the next seed, unless one has been requested or the service answers.
    void requestCopy();
    /// Does nothing if a copy has been requested.
    void requestCopyFrom(const std::string &address);
    void onCopy(const std::string &address, std::optional<received_copy> copy);
    /// Asks the service, while this host replicates from a peer, whether it answers again.
    void probeService();
    void onProbeEnd(kv_outcome outcome);
    /// Reads everything afresh.
    void onServiceAnswers();
    /// The hosts to poll for changes, in order of preference.
    std::vector<registered_host> feedCandidates() const;
    /// Another host waits for a reply to its request for changes.
    void onFeedRequest();
    /// Schedules the next poll after a successful one.
    void scheduleNextPoll();
    void updateSource(const std::string &name);
    bool isEquivalent(const kv_item &known, const kv_item &next) const;
    void readAll();
    void readPage(const std::shared_ptr<full_read> &read, const std::string &after);
    void onPage(const std::shared_ptr<full_read> &read, const kv_page &page);
    void onReadComplete(const full_read &read);
    void onChanges(const kv_changes &changes, time_point sentAt, feed_origin origin);
    /// The service has come back from an older copy.
    void onStoreRestored(std::uint64_t previousEpoch);
    /// Ends the time in which lost entries may be written again.
    void finishReconciliation();
    bool isReconciling() const { return m_reconcileUntil.has_value(); }
    void onContact(time_point sentAt);
    void onCallFailed(kv_outcome outcome);
    void finishPoll(bool succeeded);
    /// Schedules pollDepartures() and pollEvacuations() for as long as the poll in progress lasts.
    void watchDepartures();
    void pollDepartures();
    void onDepartures(const kv_changes &changes);
    /// Whether the entry of an instance says that it leaves; false if it is unreadable.
    bool isDraining(const kv_item &item) const;
    /// The entry of \a key shows that its instance leaves, ahead of the feed.
    void recordDeparture(const std::string &key, std::uint64_t revision);
    /// Drops what the feed has caught up with.
    void dropSeenDepartures();
    /// The instances of m_instances; those in m_departures are draining.
    std::vector<instance> knownInstances() const;

    void apply(const kv_item &item);
    void applyDeletion(const std::string &key);
    void applyConfig(const kv_item &item);
    void applyInstance(const kv_item &item);
    void applyInternal(const kv_item &item);
    /// Whether \a key is an order to evacuate a failure domain.
    bool isEvacuation(const std::string &key) const;
    /// The failure domain that the order \a key names.
    std::string evacuatedDomain(const std::string &key) const;
    void applyEvacuation(const kv_item &item);
    /// The orders have ended at \a revision.
    void endEvacuations(const std::set<std::string> &domains, std::uint64_t revision);
    /// Reads the orders to evacuate a failure domain ahead of the poll in progress.
    void pollEvacuations();
    void publish();

    void applyCrashReport(const std::string &host, const kv_item &item);
    void writeCrashReport();
    void applyRateLimit(const std::string &incarnation, const kv_item &item);
    void writeRateLimit(const rate_limit_report &report);
    /// Whether the latest report of any host says the same.
    bool isKnown(const rate_limit_report &report) const;
    void advanceRollouts();
    void writeRecord(const record_write &write);
    void publishTally(const rollout_order &order, const version_tally &tally);
    void publishSessions(const rollout_order &order, const std::vector<std::uint64_t> &digests);
    /// Writes a key that no other host writes, without a condition on its revision.
    void writeHostKey(const std::string &key, const std::string &value);
    std::size_t readyTargetInstances(const rollout_order &order) const;

    boost::asio::io_context &m_io;
    const clock &m_clock;
    async_kv_store m_store;
    store_epoch &m_epoch;
    store_layout m_layout;
    router_settings m_settings;
    view_listener m_onView;
    confirm_listener m_onConfirmed;
    session_source m_sessions;

    one_shot_timer m_timer;
    one_shot_timer m_departureTimer;
    one_shot_timer m_copyTimer;  ///< Of the next request for a copy.
    one_shot_timer m_probeTimer; ///< Of the next probeService().
    registered_host m_self;
    feed_cache m_feedCache;
    feed_link m_link;
    host_registration m_registration;
    std::map<std::string, registered_host> m_hosts; ///< Registered hosts, by name.
    /// Hosts among m_hosts that a restored store has not shown yet.
    std::set<std::string> m_unseenHosts;
    std::shared_ptr<const std::set<std::string>> m_hostNames; ///< Of m_hosts, as last published.
    /// The values of m_hosts, as last published.
    std::shared_ptr<const std::vector<registered_host>> m_hostAddresses;
    /// The largest number of hosts known at once. It never decreases: registrations expire in an
    /// outage of the service while the hosts go on.
    std::size_t m_fleetSize = minFleetSize;
    /// Why and until when a host is not polled.
    struct host_back_off {
        time_point until;
        bool isAlive = false; ///< It replied, but had nothing newer.
    };
    std::map<std::string, host_back_off> m_hostBackOffs; ///< By name.
    std::string m_source; ///< The host last polled; empty: the service.
    /// Of the last request to a host; replies to earlier ones are ignored.
    std::uint64_t m_hostRequestId = 0;

    bool m_stopped = false;
    bool m_polling = false;
    bool m_forceServicePoll = false; ///< The next poll has to go to the service.
    bool m_registrationStarted = false;
    bool m_awaitingHost = false; ///< The poll in progress is a request to another host.
    /// What this host knows comes from the copy of another host; the service is still to be read.
    bool m_replicatesFromPeer = false;
    bool m_ownReadDue = false;     ///< The service answers while m_replicatesFromPeer.
    bool m_serviceAnswers = false; ///< It has answered a part of the first full read.
    bool m_isProbing = false;      ///< probeService() awaits a response.
    /// Of calls of confirm() that the next end of probeService() serves.
    std::vector<std::function<void(bool)>> m_probeCallbacks;
    bool m_requestingCopy = false;
    std::size_t m_nextSeed = 0; ///< Number of requests for a copy so far.
    std::string m_copySource;   ///< Address of the host that the copy is from.
    copy_listener m_onCopy;
    bool m_fullReadDone = false; ///< A full read has succeeded and the feed continues from it.
    bool m_reachable = true;
    /// Replies to the service's calls of earlier polls are ignored.
    std::uint64_t m_pollId = 0;
    /// Until when lost entries may be written again after the service came back from a copy.
    std::optional<time_point> m_reconcileUntil;
    bool m_readingCopy = false; ///< The full read in progress is the first one from the copy.
    bool m_afterOutage = false; ///< The current response is the first one after an outage.
    bool m_dirty = false;       ///< The view has changed since it was last published.
    std::uint64_t m_revision = 0;
    time_point m_pollSentAt;  ///< When the latest poll began.
    time_point m_nextPollAt;  ///< If none is in progress.
    time_point m_lastContact; ///< When the latest successful call to the service was sent.
    /// When the one before it was sent: what the latest one reports has happened since.
    time_point m_previousContact;
    time_point m_lastChange; ///< Last arrival of a change, a host's reply or a full read.
    /// Of calls of confirm() that the poll in progress serves.
    std::vector<std::function<void(bool)>> m_confirmCallbacks;
    /// Of calls of confirm() made while a poll was in progress; the next poll serves them.
    std::vector<std::function<void(bool)>> m_nextConfirmCallbacks;

    std::shared_ptr<const routing_config> m_config;
    instance_directory m_instances;
    /// Instances that are known to leave ahead of the feed, by id, with the revision that says so.
    std::map<std::string, std::uint64_t> m_departures;
    std::uint64_t m_departuresRevision = 0; ///< Departures have been asked for up to here.
    domain_evacuations m_evacuations;
    rollout_member m_rollouts;
    /// By host.
    std::map<std::string, std::shared_ptr<const received_crash_report>> m_crashReports;
    std::map<std::string, std::uint64_t> m_crashReportRevisions;
    std::optional<crash_report> m_lastCrashReport; ///< Made at m_crashReportMadeAt.
    time_point m_crashReportMadeAt;
    /// By incarnation.
    std::map<std::string, std::shared_ptr<const received_rate_limit>> m_rateLimits;
    std::map<std::string, rate_limit_report> m_ownRateLimits; ///< Latest reports, by this host.
    report_publisher m_publisher;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_STORE_FOLLOWER_H_
