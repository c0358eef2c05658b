// Rate limit of one workspace over eight hosts that crash, restart and are partitioned, under
// skewed, shifting load. Runs the production lease exchange over a simulated transport.

#include <algorithm>
#include <memory>
#include <random>

#include "goldcrestdeck/exchange.h"
#include "measure/figures.h"

namespace measure {

using namespace goldcrestdeck;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t hostCount = 8;
constexpr int stepMs = 5;
constexpr int simulatedMs = 240'000;
constexpr int exchangeIntervalMs = 500;
constexpr int failureDetectionMs = 3000; ///< From a failure until the other hosts detect it.
constexpr int warmUpMs = 20'000;         ///< Left out of limit_result::unused.
constexpr double largeLimit = 400;       ///< Requests per second.
constexpr double smallLimit = 40;        ///< Requests per second.
constexpr int seedCount = 5;

struct model_host {
    traffic_view view;
    std::unique_ptr<limit_exchange> leases;
    bool alive = true;
    bool partitioned = false;
    /// Time of the last crash, restart, or start or end of a partition.
    int lastChangeMs = -failureDetectionMs;
};

struct limit_result {
    /// Largest number of requests admitted within one second, as a ratio to the limit.
    double overrun = 0;
    /// Share of the limit that was not used after the warm-up.
    double unused = 0;
};

class limit_model
{
public:
    limit_model(double limit, bool withFailures, unsigned seed)
        : m_limit(limit)
        , m_withFailures(withFailures)
        , m_random(seed)
    {
        table_row row;
        row.workspace = "w";
        row.requestsPerSecond = static_cast<std::uint32_t>(m_limit);
        m_config.rows = {row};
        for (std::size_t i = 0; i < hostCount; ++i) {
            m_hosts.push_back(std::make_unique<model_host>());
            m_config.voters.push_back({nameOf(i), addressOf(i), "d"});
        }
        for (std::size_t i = 0; i < hostCount; ++i)
            start(i);
    }

    limit_result run()
    {
        for (m_nowMs = 0; m_nowMs < simulatedMs; m_nowMs += stepMs) {
            m_clock.advance(milliseconds(stepMs));
            if (m_withFailures && m_nowMs % 10'000 == 9'000)
                toggleFailure();
            if (m_nowMs % exchangeIntervalMs == 0)
                exchange();
            offerLoad();
        }
        return evaluate();
    }

private:
    static std::string nameOf(std::size_t host) { return "h" + std::to_string(host); }
    static std::string addressOf(std::size_t host)
    {
        return "10.0.0." + std::to_string(host + 1) + ":1";
    }

    void start(std::size_t host)
    {
        m_hosts[host]->leases
            = std::make_unique<limit_exchange>(m_clock, nameOf(host), m_hosts[host]->view);
        m_hosts[host]->leases->applyConfig(m_config);
    }

    /// \returns the hosts that \a host considers live.
    std::vector<host_entry> liveHostsSeenBy(std::size_t host) const
    {
        std::vector<host_entry> live;
        for (std::size_t i = 0; i < hostCount; ++i) {
            const model_host &other = *m_hosts[i];
            const bool reachable = other.alive && !other.partitioned && !m_hosts[host]->partitioned;
            const bool changedRecently
                = m_nowMs - std::max(other.lastChangeMs, m_hosts[host]->lastChangeMs)
                < failureDetectionMs;
            const bool wasReachable = changedRecently ? !reachable : reachable;
            // A recovery is detected at once, a failure only after failureDetectionMs.
            if (i == host || reachable || (changedRecently && wasReachable))
                live.push_back(m_config.voters[i]);
        }
        return live;
    }

    void exchange()
    {
        for (std::size_t i = 0; i < hostCount; ++i)
            if (m_hosts[i]->alive)
                m_hosts[i]->leases->tick(m_config, liveHostsSeenBy(i));
        for (std::size_t i = 0; i < hostCount; ++i)
            for (const std::string &address : m_hosts[i]->leases->pingTargets())
                sendPing(i, address);
    }

    void sendPing(std::size_t from, const std::string &address)
    {
        for (std::size_t to = 0; to < hostCount; ++to) {
            const bool isReachable = m_hosts[from]->alive && m_hosts[to]->alive
                && !m_hosts[from]->partitioned && !m_hosts[to]->partitioned;
            if (addressOf(to) != address || !isReachable)
                continue;
            ping_message ping;
            ping.host = nameOf(from);
            m_hosts[from]->leases->fillPing(address, ping);
            pong_message pong;
            m_hosts[to]->leases->fillPong(ping, pong);
            m_hosts[from]->leases->onPong(m_clock.now(), pong);
        }
    }

    /// Recovers the failed host; if there is none, crashes or partitions a random one.
    void toggleFailure()
    {
        for (std::size_t i = 0; i < hostCount; ++i) {
            model_host &host = *m_hosts[i];
            if (host.alive && !host.partitioned)
                continue;
            host.lastChangeMs = m_nowMs;
            host.partitioned = false;
            if (!std::exchange(host.alive, true))
                start(i);
            return;
        }
        model_host &host = *m_hosts[m_random() % hostCount];
        host.lastChangeMs = m_nowMs;
        if (m_random() % 2 == 0)
            host.alive = false;
        else
            host.partitioned = true;
    }

    /// Offers twice the limit, 70 % of it at one host, which changes every minute.
    void offerLoad()
    {
        std::size_t hotHost = static_cast<std::size_t>(m_nowMs / 60'000) % hostCount;
        // The load balancer skips crashed hosts, but cannot tell that a host is partitioned from
        // the others.
        while (!m_hosts[hotHost]->alive)
            hotHost = (hotHost + 1) % hostCount;
        std::poisson_distribution<int> arrivals(2 * m_limit * stepMs / 1000);
        for (int n = arrivals(m_random); n > 0; --n) {
            const bool atHotHost = m_random() % 10 < 7;
            const std::size_t host = atHotHost ? hotHost : m_random() % hostCount;
            duration wait{};
            if (m_hosts[host]->alive && m_hosts[host]->view.limits().take("w", m_clock.now(), wait))
                m_admitted.push_back(m_nowMs);
        }
    }

    limit_result evaluate() const
    {
        limit_result result;
        std::size_t begin = 0;
        for (std::size_t end = 0; end < m_admitted.size(); ++end) {
            while (m_admitted[end] - m_admitted[begin] >= 1000)
                ++begin;
            const double admittedInSecond = static_cast<double>(end - begin + 1);
            result.overrun = std::max(result.overrun, admittedInSecond / m_limit);
        }
        const auto afterWarmUp = std::lower_bound(m_admitted.begin(), m_admitted.end(), warmUpMs);
        const double used = static_cast<double>(m_admitted.end() - afterWarmUp);
        result.unused = 1 - used / (m_limit * (simulatedMs - warmUpMs) / 1000);
        return result;
    }

    double m_limit;
    bool m_withFailures;
    std::mt19937 m_random;
    manual_clock m_clock;
    config m_config;
    std::vector<std::unique_ptr<model_host>> m_hosts;
    int m_nowMs = 0;
    std::vector<int> m_admitted; ///< Times of admission in ms, in order.
};

} // namespace

void measureLimits(report &out)
{
    std::vector<double> overrun;
    std::vector<double> unused;
    std::vector<double> unusedWithFailures;
    std::vector<double> smallLimitOverrun;
    for (unsigned seed = 1; seed <= seedCount; ++seed) {
        const limit_result withFailures = limit_model(largeLimit, true, seed).run();
        const limit_result withoutFailures = limit_model(largeLimit, false, seed).run();
        smallLimitOverrun.push_back(limit_model(smallLimit, true, seed).run().overrun);
        overrun.push_back(std::max(withFailures.overrun, withoutFailures.overrun));
        unused.push_back(withoutFailures.unused);
        unusedWithFailures.push_back(withFailures.unused);
    }
    out.addAtMost("limit_overrun", overrun, "ratio", 1.05);
    out.addAtMost("limit_overrun_of_40_a_second", smallLimitOverrun, "ratio", 1.05);
    out.addAtMost("limit_unused", unused, "share", 0.10);
    out.add("limit_unused_while_hosts_fail", unusedWithFailures, "share");
}

} // namespace measure
