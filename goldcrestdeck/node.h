#ifndef GOLDCRESTDECK_NODE_H_
#define GOLDCRESTDECK_NODE_H_

/// \file
/// One host: the control thread with its state, and the thread-safe calls that traffic threads make
/// to it.

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "goldcrestdeck/accounting.h"
#include "goldcrestdeck/config_sync.h"
#include "goldcrestdeck/exchange.h"
#include "goldcrestdeck/http_client.h"
#include "goldcrestdeck/ledger_store.h"
#include "goldcrestdeck/membership.h"
#include "goldcrestdeck/settings.h"
#include "goldcrestdeck/upstreams.h"

namespace goldcrestdeck {

/// A host's state as reported to operators.
struct host_status {
    host_entry host;
    bool voter = false;
    bool live = false;
    bool watcher = false;
};

class node
{
public:
    node(const settings &configuration, const clock &time, kv_store store,
         std::shared_ptr<http_client> client, metrics &counters);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    traffic_view &view() { return m_view; }
    upstream_registry &upstreams() { return m_upstreams; }
    sharded_ledger &ledger() { return m_ledger; }
    const clock &time() const { return m_time; }
    /// Identifies this process among all hosts: host name and start time.
    const std::string &source() const { return m_source; }

    // Called by traffic threads. Both block until the record is replicated to other hosts or
    // written to the account, at most for a timeout: some seconds for a bill, a fraction of a
    // second for a refusal, whose response must not be delayed. After a timeout the record is
    // still kept and replicated.
    void recordBill(const bill_key &key, std::uint64_t costMicros);
    void recordRefusal(const refusal_record &record);

    // Called by traffic threads; these do not block.
    void recordRating(const rating_subject &subject, double rating);
    void markUpstreamDraining(const std::string &upstreamAddress);

    /// Blocks until the outcome of the edit is known.
    edit_outcome edit(const edit_request &request);
    /// The configuration in force with its revision.
    config_value_message configuration();
    std::vector<host_status> hosts();
    /// The account as stored in the key-value service. \throws platform_error
    account_page readAccount();

    /// Announces to the other hosts that this one is leaving.
    void announceLeaving();
    /// Blocks until every record is replicated or written to the account, at most for \a timeout.
    /// \returns false on a timeout.
    bool waitForAccounting(std::chrono::milliseconds timeout);

private:
    peer_body onPeerRequest(const peer_body &request);
    pong_message onPing(const ping_message &ping);
    void onPong(time_point sentAt, const std::string &address, const pong_message &pong);
    void ping(const std::string &address);
    void tick();
    /// Publishes the quality estimates, advances the exchange of limits and pings other hosts.
    void exchangeTick();
    /// Polls the host list, and appends the ledger entries that were deferred while the key-value
    /// service did not respond.
    void pollHostList();
    void mergeDrainingMarks(const std::vector<draining_mark> &marks);
    void waitUntilReplicated(std::chrono::milliseconds timeout,
                             const std::function<void(accounting::replicated_handler)> &add);

    template<typename Work>
    auto runOnControlThread(Work work);

    settings m_settings;
    const clock &m_time;
    std::shared_ptr<http_client> m_client;
    metrics &m_metrics;
    std::string m_source;
    boost::asio::io_context m_loop;
    boost::asio::thread_pool m_blockingPool;
    peer_link m_peers;
    control_context m_control;
    traffic_view m_view;
    membership m_members;
    config_sync m_config;
    accounting m_accounting;
    rating_exchange m_ratings;
    limit_exchange m_limits;
    upstream_registry m_upstreams;
    sharded_ledger m_ledger;
    std::mt19937_64 m_random;
    revision_number m_announcedRevision = 0;
    bool m_pollingHosts = false;
    bool m_appendingDeferred = false;
    std::vector<std::unique_ptr<periodic_timer>> m_timers;
    std::thread m_thread;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_NODE_H_
