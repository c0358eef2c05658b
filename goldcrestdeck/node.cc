// All control state is owned by one event loop and therefore needs no locks. Traffic threads post
// functions to the loop and wait for their results, or read the snapshots in traffic_view. Blocking
// calls run on a small thread pool.

#include "goldcrestdeck/node.h"

#include <algorithm>
#include <future>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t blockingThreads = 8;
constexpr std::chrono::milliseconds tickPeriod{100};
constexpr std::chrono::milliseconds pingPeriod{500};
constexpr std::chrono::milliseconds hostListPeriod{1000};
constexpr std::chrono::milliseconds pingTimeout{700};
constexpr std::chrono::milliseconds drainingMarkLifetime{60'000};
/// The longest delay of a response's last byte while its record is being replicated.
constexpr std::chrono::milliseconds billReplicationTimeout{2500};
constexpr std::chrono::milliseconds refusalReplicationTimeout{100};
constexpr std::size_t ledgerShards = 4;
constexpr const char *ledgerPrefix = "goldcrestdeck/operations/";
constexpr int httpOk = 200;

std::string sourceOf(const settings &configuration, const clock &time)
{
    return configuration.name + "#" + std::to_string(time.wallNow().time_since_epoch().count());
}

std::uint64_t incarnationOf(const clock &time)
{
    return static_cast<std::uint64_t>(time.wallNow().time_since_epoch().count());
}

host_entry entryOf(const settings &configuration)
{
    return {configuration.name, configuration.advertisedPeerAddress, configuration.failureDomain};
}

/// Wraps \a store so that its calls are counted by outcome.
kv_store withCallMetrics(const kv_store &store, metrics &counters)
{
    const auto counted = [&counters](const auto &call) {
        try {
            auto result = call();
            counters.storeCalls("answered").Increment();
            return result;
        } catch (const platform_error &) {
            counters.storeCalls("failed").Increment();
            throw;
        }
    };
    kv_store wrapped;
    wrapped.get = [store, counted](const std::string &key) {
        return counted([&] { return store.get(key); });
    };
    wrapped.revisionOf = [store, counted](const std::string &key) {
        return counted([&] { return store.revisionOf(key); });
    };
    wrapped.compareAndSwap = [store, counted](const std::string &key, revision_number expected,
                                              const std::string &value) {
        return counted([&] { return store.compareAndSwap(key, expected, value); });
    };
    return wrapped;
}

} // namespace

node::node(const settings &configuration, const clock &time, kv_store store,
           std::shared_ptr<http_client> client, metrics &counters)
    : m_settings(configuration)
    , m_time(time)
    , m_client(std::move(client))
    , m_metrics(counters)
    , m_source(sourceOf(configuration, time))
    , m_blockingPool(blockingThreads)
    , m_peers(m_loop, configuration.peerAddress,
              [this](const peer_body &request, const peer_link::reply_sender &reply) {
                  reply(onPeerRequest(request));
              })
    , m_control{m_loop, m_blockingPool, time, withCallMetrics(store, counters), m_peers, counters}
    , m_members(configuration.name, incarnationOf(time), membership_limits())
    , m_config(m_control, entryOf(configuration), stableHash(randomHex(16)), m_members, m_view,
               [this](const config &value) { m_limits.applyConfig(value); })
    , m_accounting(m_control, m_config, m_view, configuration.name, m_source,
                   {configuration.maxUnwrittenRecords, configuration.maxHeldRecords})
    , m_ratings(time, m_source, m_view)
    , m_limits(time, configuration.name, m_view)
    , m_upstreams(configuration.failureDomain)
    , m_ledger(m_control.store, ledgerPrefix, ledgerShards)
    , m_random(std::random_device()())
{
    m_members.advanceHeartbeat(time.now());
    const auto every = [this](std::chrono::milliseconds period, void (node::*work)()) {
        m_timers.push_back(
            std::make_unique<periodic_timer>(m_loop, period, [this, work] { (this->*work)(); }));
    };
    every(tickPeriod, &node::tick);
    every(pingPeriod, &node::exchangeTick);
    every(hostListPeriod, &node::pollHostList);
    boost::asio::post(m_loop, [this] {
        exchangeTick();
        pollHostList();
    });
    m_thread = std::thread([this] { m_loop.run(); });
}

node::~node()
{
    m_blockingPool.join();
    m_loop.stop();
    m_thread.join();
}

template<typename Work>
auto node::runOnControlThread(Work work)
{
    auto task = std::make_shared<std::packaged_task<decltype(work())()>>(std::move(work));
    auto result = task->get_future();
    boost::asio::post(m_loop, [task] { (*task)(); });
    return result.get();
}

void node::waitUntilReplicated(std::chrono::milliseconds timeout,
                               const std::function<void(accounting::replicated_handler)> &add)
{
    const auto replicated = std::make_shared<std::promise<bool>>();
    std::future<bool> result = replicated->get_future();
    boost::asio::post(m_loop,
                      [add, replicated] { add([replicated] { replicated->set_value(true); }); });
    if (result.wait_for(timeout) != std::future_status::ready)
        m_metrics.accountsUnreplicated.Increment();
}

void node::recordBill(const bill_key &key, std::uint64_t costMicros)
{
    waitUntilReplicated(billReplicationTimeout,
                        [this, key, costMicros](accounting::replicated_handler onReplicated) {
                            m_accounting.addBill(key, costMicros, std::move(onReplicated));
                        });
}

void node::recordRefusal(const refusal_record &record)
{
    waitUntilReplicated(refusalReplicationTimeout,
                        [this, record](accounting::replicated_handler onReplicated) {
                            m_accounting.addRefusal(record, std::move(onReplicated));
                        });
}

void node::recordRating(const rating_subject &subject, double rating)
{
    m_metrics.ratings.Increment();
    boost::asio::post(m_loop, [this, subject, rating] { m_ratings.add(subject, rating); });
}

void node::markUpstreamDraining(const std::string &upstreamAddress)
{
    m_upstreams.markDraining(upstreamAddress, m_time.now() + drainingMarkLifetime);
    boost::asio::post(m_loop, [this, upstreamAddress] {
        mergeDrainingMarks({{upstreamAddress, drainingMarkLifetime}});
    });
}

edit_outcome node::edit(const edit_request &request)
{
    const auto settled = std::make_shared<std::promise<edit_outcome>>();
    std::future<edit_outcome> result = settled->get_future();
    boost::asio::post(m_loop, [this, request, settled] {
        m_config.edit(request,
                      [settled](const edit_outcome &outcome) { settled->set_value(outcome); });
    });
    return result.get();
}

config_value_message node::configuration()
{
    return runOnControlThread([this] { return m_config.value(); });
}

std::vector<host_status> node::hosts()
{
    return runOnControlThread([this] {
        std::vector<host_status> statuses;
        if (m_config.current() == nullptr)
            return statuses;
        const std::vector<host_entry> live = m_config.liveVoters();
        for (const host_entry &host : m_config.current()->voters) {
            const std::vector<host_entry> watchers = m_config.watchersOf(host.failureDomain);
            statuses.push_back({host, true, findHost(live, host.name) != nullptr,
                                findHost(watchers, host.name) != nullptr});
        }
        for (const host_entry &host : m_config.current()->joining)
            statuses.push_back({host, false, true, false});
        return statuses;
    });
}

account_page node::readAccount()
{
    return account_store(m_control.store, accountPrefix).readAll();
}

void node::announceLeaving()
{
    runOnControlThread([this] {
        m_members.announceLeaving();
        exchangeTick();
        return true;
    });
}

bool node::waitForAccounting(std::chrono::milliseconds timeout)
{
    const time_point until = m_time.now() + timeout;
    while (m_time.now() < until) {
        if (runOnControlThread([this] { return m_accounting.isSettled(); }))
            return true;
        std::this_thread::sleep_for(tickPeriod / 4);
    }
    return false;
}

peer_body node::onPeerRequest(const peer_body &request)
{
    if (const auto *received = std::get_if<ping_message>(&request))
        return onPing(*received);
    if (std::holds_alternative<fetch_config_message>(request))
        return m_config.value();
    if (const auto *hold = std::get_if<hold_batch_message>(&request))
        return m_accounting.onHold(*hold);
    throw peer_error("peer message is not a request");
}

pong_message node::onPing(const ping_message &ping)
{
    const time_point now = m_time.now();
    m_members.merge(ping.heartbeats, now);
    mergeDrainingMarks(ping.marks);
    pong_message pong;
    pong.report = m_config.report();
    pong.heartbeats = m_members.sample(m_random);
    pong.marks = m_members.drainingMarks(now);
    pong.applied = m_accounting.appliedOf(ping.source);
    m_ratings.fillPong(ping, pong);
    m_limits.fillPong(ping, pong);
    return pong;
}

void node::onPong(time_point sentAt, const std::string &address, const pong_message &pong)
{
    m_members.merge(pong.heartbeats, m_time.now());
    mergeDrainingMarks(pong.marks);
    m_config.onReport(sentAt, address, pong.report);
    m_accounting.onBatchesWritten(pong.applied);
    m_ratings.onPong(address, pong);
    m_limits.onPong(sentAt, pong);
}

void node::ping(const std::string &address)
{
    const time_point sentAt = m_time.now();
    ping_message message;
    message.host = m_settings.name;
    message.source = m_source;
    message.heartbeats = m_members.sample(m_random);
    message.marks = m_members.drainingMarks(sentAt);
    m_ratings.fillPing(address, message);
    m_limits.fillPing(address, message);
    const auto onReply = [this, sentAt, address](const std::optional<peer_body> &reply) {
        if (const auto *pong = reply ? std::get_if<pong_message>(&*reply) : nullptr)
            onPong(sentAt, address, *pong);
    };
    try {
        m_peers.request(address, message, pingTimeout, onReply);
    } catch (const peer_error &error) {
        logEvent(log_level::error, "peer_address_malformed", {{"error", error.what()}});
    }
}

void node::tick()
{
    m_config.tick();
    m_accounting.tick();
    // On a new revision, ping without waiting for the next period, so that the other hosts learn of
    // it and acknowledge it sooner.
    const revision_number revision = m_config.report().revision;
    if (std::exchange(m_announcedRevision, revision) != revision)
        exchangeTick();
    const std::size_t live = std::max<std::size_t>(1, m_config.liveVoters().size());
    m_view.setLiveHosts(live);
    m_metrics.liveHosts.Set(static_cast<double>(live));
    const peer_traffic &traffic = m_peers.traffic();
    m_metrics.peerBytes.Set(static_cast<double>(traffic.bytesSent + traffic.bytesReceived));
}

void node::exchangeTick()
{
    m_members.advanceHeartbeat(m_time.now());
    std::set<std::string> targets;
    for (const std::string &address : m_config.pingTargets())
        targets.insert(address);
    const std::vector<host_entry> live = m_config.liveVoters();
    if (m_config.current() != nullptr) {
        m_ratings.publishEstimates(*m_config.current());
        m_limits.tick(*m_config.current(), live);
        // Also ping one voter at random, live or not, so that partitioned groups of hosts find each
        // other again.
        const std::vector<host_entry> &voters = m_config.current()->voters;
        if (!voters.empty())
            targets.insert(voters[m_random() % voters.size()].peerAddress);
    }
    for (const std::string &address : m_limits.pingTargets())
        targets.insert(address);
    if (live.size() <= 1)
        targets.insert(m_settings.seeds.begin(), m_settings.seeds.end());
    targets.erase(m_settings.advertisedPeerAddress);
    for (const std::string &address : targets)
        ping(address);
}

void node::mergeDrainingMarks(const std::vector<draining_mark> &marks)
{
    const time_point now = m_time.now();
    for (const draining_mark &mark : marks) {
        m_members.markDraining(mark, now);
        m_upstreams.markDraining(mark.upstream, now + mark.remaining);
    }
}

void node::pollHostList()
{
    if (std::exchange(m_pollingHosts, true))
        return;
    const auto work = [client = m_client, url = m_settings.hostListUrl + "/v1/hosts"] {
        http_request request;
        request.url = url;
        request.timeout = std::chrono::milliseconds(2000);
        try {
            const http_response response = client->send(request);
            if (response.status != httpOk)
                throw platform_error("host list responded with status "
                                     + std::to_string(response.status));
            return decodeHostList(response.body);
        } catch (const http_error &error) {
            throw platform_error(std::string("host list: ") + error.what());
        }
    };
    runBlocking(m_control, work, [this](const std::optional<std::vector<upstream_entry>> &entries) {
        m_pollingHosts = false;
        if (!entries)
            return;
        for (const std::string &address : m_upstreams.update(*entries))
            mergeDrainingMarks({{address, drainingMarkLifetime}});
    });
    if (std::exchange(m_appendingDeferred, true))
        return;
    runBlocking(
        m_control,
        [this] {
            m_ledger.appendDeferred();
            return true;
        },
        [this](const std::optional<bool> &) { m_appendingDeferred = false; });
}

} // namespace goldcrestdeck
