#ifndef GOLDCRESTDECK_STORE_FOLLOWER_H_
#define GOLDCRESTDECK_STORE_FOLLOWER_H_

/// \file
/// Follows what the key-value service holds for this system, and moves roll-outs on.
///
/// start() reads everything once; after that one feed of changes is asked for at a steady pace,
/// whatever changed. The feed is asked of another host of the failure domain (feed_link), so that
/// the calls to the service do not grow with the fleet; the first host of the domain, and any other
/// that gets no answer, asks the service itself. Every change of belief is published as a new
/// routing_view. The configuration never goes back to a lower version within one process. All on
/// the control thread.

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "goldcrestdeck/async_kv_store.h"
#include "goldcrestdeck/feed_link.h"
#include "goldcrestdeck/host_registration.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/one_shot_timer.h"
#include "goldcrestdeck/rollout_member.h"
#include "goldcrestdeck/router_settings.h"
#include "goldcrestdeck/routing_view.h"

namespace goldcrestdeck {

/// Where things lie in the key-value service and how they are written there. The decoders throw
/// json_error.
struct store_layout {
    std::string configKey;
    std::string instancePrefix;
    std::string orderPrefix;  ///< Followed by the service's name.
    std::string statusPrefix; ///< Followed by the service's name.
    std::string ownPrefix;    ///< Of keys that belong to this system alone.
    std::function<routing_config(const std::string &)> decodeConfig;
    std::function<instance(const std::string &key, const std::string &)> decodeInstance;
    std::function<rollout_order(const std::string &, std::uint64_t revision)> decodeOrder;
    std::function<std::string(const rollout_record &)> encodeStatus;
};

class store_follower
{
public:
    using view_listener = std::function<void(std::shared_ptr<const routing_view>)>;
    /// Called with the time at which the newest confirming call was sent.
    using confirm_listener = std::function<void(time_point)>;

    /// Asks the traffic thread for the digests of traffic_state::establishedSessions.
    using session_source = std::function<void(const rollout_order &,
                                              std::function<void(std::vector<std::uint64_t>)>)>;

    store_follower(boost::asio::io_context &io, const clock &time, async_kv_store store,
                   store_layout layout, const router_settings &settings, view_listener onView,
                   confirm_listener onConfirmed, session_source sessions);

    void start();
    void stop();
    /// The process is to stop: other hosts should ask elsewhere.
    void leave();
    void setSettings(const router_settings &settings);

    /// Asks the service now whether anything has changed. \a done gets false if it did not answer.
    void confirm(std::function<void(bool)> done);

    void noteAnswer(const rollout_answer &answer);

    bool hasConfig() const { return m_config != nullptr; }

    /// What this host believes, for operators: configuration, where it hears of changes, instances,
    /// roll-outs and hosts, as a JSON object.
    json_value describe() const;

private:
    enum class feed_origin { service, host };
    struct range_read {
        std::vector<std::string> prefixes;
        std::size_t next = 0;
        std::vector<kv_item> items;
        std::uint64_t revision = 0; ///< Of the first page: changes after it must be followed.
        time_point sentAt;
    };

    void schedule(std::chrono::milliseconds wait);
    void poll();
    void askHost(const feed_host &host);
    void onNews(const feed_host &host, const feed_news &news);
    /// The host to ask for changes, or nothing while it is this host's part to ask the service.
    std::optional<feed_host> feedSource();
    void noteSource(const std::string &name);
    bool isRepeat(const kv_item &known, const kv_item &next) const;
    void readAll();
    void readPage(const std::shared_ptr<range_read> &read, const std::string &after);
    void onPage(const std::shared_ptr<range_read> &read, const kv_page &page);
    void onAllRead(const range_read &read);
    void onChanges(const kv_changes &changes, time_point sentAt, feed_origin origin);
    void onContact(time_point sentAt);
    void onNoAnswer(kv_outcome outcome);
    void finishConfirms(bool answered);

    void apply(const kv_item &item);
    void applyDeletion(const std::string &key);
    void applyConfig(const kv_item &item);
    void applyInstance(const kv_item &item);
    void applyOwn(const kv_item &item);
    void publish();

    void moveRollouts();
    void writeRecord(const record_write &write);
    void tellTally(const rollout_order &order, const version_tally &tally);
    void tellSessions(const rollout_order &order, const std::vector<std::uint64_t> &digests);
    /// Writes without a condition what only this host writes.
    void tell(const std::string &key, const std::string &value);
    std::size_t instancesOf(const rollout_order &order) const;

    boost::asio::io_context &m_io;
    const clock &m_clock;
    async_kv_store m_store;
    store_layout m_layout;
    router_settings m_settings;
    view_listener m_onView;
    confirm_listener m_onConfirmed;
    session_source m_sessions;

    one_shot_timer m_timer;
    feed_host m_self;
    feed_memory m_memory;
    feed_link m_link;
    host_registration m_registration;
    std::map<std::string, feed_host> m_hosts; ///< Those that have registered, by name.
    /// The most that were known at once: registrations lapse in an outage, and hosts go on.
    std::size_t m_fleetSize = leastFleetSize;
    std::map<std::string, time_point> m_avoidedUntil; ///< Hosts that did not answer, by name.
    std::string m_source;                             ///< The host that is asked; empty: none.
    std::uint64_t m_question = 0; ///< Number of the question to a host that is open or was last.

    bool m_stopped = false;
    bool m_polling = false;
    bool m_mustAskService = false; ///< The next poll may not be a question to another host.
    bool m_registered = false;
    bool m_asking = false;         ///< What is out is a question to another host.
    bool m_readEverything = false; ///< A whole read has succeeded and the feed follows it.
    bool m_reachable = true;
    bool m_regained = false; ///< The present answer is the first one after an outage.
    bool m_dirty = false;
    std::uint64_t m_revision = 0;
    time_point m_lastContact;
    time_point m_lastChange;
    std::vector<std::function<void(bool)>> m_confirms;
    std::vector<std::function<void(bool)>> m_nextConfirms; ///< Asked for while a poll was out.

    std::shared_ptr<const routing_config> m_config;
    instance_directory m_instances;
    rollout_member m_rollouts;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_STORE_FOLLOWER_H_
