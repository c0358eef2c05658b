#include "soak/soak_run.h"

#include <functional>
#include <random>

#include "goldcrestdeck/testing/router_harness.h"

namespace soak {

using goldcrestdeck::http1_response;
using goldcrestdeck::raw_http_client;
using goldcrestdeck::relay_faults;
using goldcrestdeck::requestText;
using standins::instance_faults;
using standins::store_faults;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr milliseconds pollInterval{20};
/// Time for all hosts to recover after the last fault; the platform's bound on recovery.
constexpr milliseconds recoveryTimeout{12'000};
/// The platform's retry budget. A retry is an arrival of a request after its first one. The budget
/// allows maxRetryRatio retries per request, plus retrySlack retries per window.
constexpr double maxRetryRatio = 0.9;
constexpr double retrySlack = 50;
constexpr double budgetWindowSeconds = 10;

class soak_run
{
public:
    explicit soak_run(const soak_options &options)
        : m_options(options)
        , m_random(options.seed)
        , m_cluster(options.hosts, options.folder)
    {
        m_record.hosts.resize(options.hosts);
        for (std::size_t i = 0; i < m_cluster.instanceCount(); ++i)
            m_record.instances.push_back({m_cluster.instanceDomain(i), {}, {}});
    }

    soak_report run()
    {
        awaitRecovery("start");
        m_clients = std::make_unique<soak_clients>(m_cluster, m_options.clientCount);
        const auto end = steady::now() + m_options.faultDuration;
        auto next = steady::now();
        while (steady::now() < end) {
            if (steady::now() >= next) {
                injectFault();
                next = steady::now() + milliseconds(draw(20, 500));
            }
            pollOnce();
        }
        finishFaults();
        scheduleLongEvacuation();
        finishFaults();
        awaitRecovery("end");
        m_clients->stop();
        m_clients->checkExecutions();
        checkArrivals();
        m_report.responseCounts = m_clients->responseCounts();
        for (const std::string &violation : m_clients->violations())
            m_report.violations.push_back(violation);
        return m_report;
    }

private:
    using scheduled_action = std::function<void()>;

    int draw(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void schedule(int ms, scheduled_action action)
    {
        m_scheduled.emplace(steady::now() + milliseconds(ms), std::move(action));
    }

    void log(const std::string &event)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(steady::now() - m_start).count();
        m_report.faults.push_back(std::to_string(at) + " ms: " + event);
    }

    /// Runs the scheduled actions, which end the remaining faults.
    void finishFaults()
    {
        while (!m_scheduled.empty())
            pollOnce();
    }

    /// Runs due actions, reports unexpected exits and schedules the restart of hosts that are down.
    void pollOnce()
    {
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= steady::now()) {
            const scheduled_action action = m_scheduled.begin()->second;
            m_scheduled.erase(m_scheduled.begin());
            action();
        }
        const std::string violation = m_cluster.pollExits();
        if (!violation.empty() && m_report.violations.size() < 20)
            m_report.violations.push_back(violation);
        for (std::size_t i = 0; i < m_cluster.hostCount(); ++i) {
            if (m_cluster.state(i) == host_state::down
                && m_hostsWithScheduledStart.insert(i).second)
                schedule(draw(20, 800), [this, i] {
                    m_hostsWithScheduledStart.erase(i);
                    log("start host " + std::to_string(i));
                    m_record.hosts[i].starts.push_back(steady::now());
                    m_cluster.start(i);
                });
        }
        std::this_thread::sleep_for(pollInterval);
    }

    void injectFault()
    {
        switch (draw(0, 6)) {
        case 0:
        case 1:
            injectHostFault(randomIndex(m_options.hosts));
            return;
        case 2:
            injectStoreFault();
            return;
        case 3:
            injectLinkFault(draw(0, 1) == 0);
            return;
        case 4:
            injectInstanceFault(randomIndex(m_cluster.instanceCount()));
            return;
        case 5:
            evacuateDomains(100, 2500);
            return;
        default:
            log("configuration " + std::to_string(++m_generation));
            m_cluster.putConfig(m_generation);
            m_clients->setGeneration(m_generation);
        }
    }

    /// Begins a span of the record. \returns an action that ends it.
    static scheduled_action beginSpan(std::vector<time_span> &spans)
    {
        spans.push_back({steady::now()});
        return [&spans, index = spans.size() - 1] { spans[index].end = steady::now(); };
    }

    /// Evacuates domains for long enough that the order binds all hosts, in spite of two faults,
    /// and restarts an instance. The faults of the first phase follow too closely for that.
    void scheduleLongEvacuation()
    {
        const int bound = static_cast<int>(evacuateTimeout.count());
        evacuateDomains(2 * bound, 3 * bound);
        for (const int earliest : {0, bound}) {
            schedule(earliest + draw(0, 1000), [this] {
                const int kind = draw(0, 2);
                if (kind == 0)
                    injectHostFault(randomIndex(m_options.hosts));
                else if (kind == 1)
                    injectLinkFault(true);
                else
                    injectStoreFault();
            });
        }
        const std::size_t instance = randomIndex(m_cluster.instanceCount());
        schedule(draw(0, 2 * bound), [this, instance] { restartInstance(instance); });
    }

    /// Orders the evacuation of one domain, of two at overlapping times, or of all.
    void evacuateDomains(int leastMs, int mostMs)
    {
        const int kind = draw(0, 7);
        const std::size_t count = kind == 0 ? domains.size() : kind < 3 ? 2 : 1;
        const std::size_t first = randomIndex(domains.size());
        for (std::size_t i = 0; i < count; ++i) {
            const std::string &domain = domains.at((first + i) % domains.size());
            const int duration = draw(leastMs, mostMs);
            schedule(i == 0 ? 0 : draw(0, 800),
                     [this, domain, duration] { evacuate(domain, duration); });
        }
    }

    void evacuate(const std::string &domain, int durationMs)
    {
        if (!m_evacuatedDomains.insert(domain).second)
            return;
        log("evacuate " + domain);
        m_cluster.setEvacuated(domain, true);
        const std::size_t index = m_record.evacuations.size();
        m_record.evacuations.push_back({domain, {steady::now()}});
        schedule(durationMs, [this, domain, index] { restore(domain, index); });
    }

    /// Withdraws the order of an evacuation. The instances of the domain are cold if no host has
    /// sent to them lately.
    void restore(const std::string &domain, std::size_t index)
    {
        log("end evacuation of " + domain);
        m_record.evacuations[index].span.end = steady::now();
        if (boundSince(m_record, m_record.evacuations[index]) != time_point::max()) {
            for (std::size_t i = 0; i < m_cluster.instanceCount(); ++i)
                if (m_cluster.instanceDomain(i) == domain && m_stoppedInstances.count(i) == 0)
                    recordCold(i, [this, i] { m_cluster.makeCold(i); });
        }
        m_cluster.setEvacuated(domain, false);
        m_evacuatedDomains.erase(domain);
    }

    /// Records a cold period of the instance, which \a begin starts, and registers the instance
    /// anew at its end.
    void recordCold(std::size_t instance, const scheduled_action &begin)
    {
        log("runner " + std::to_string(instance) + " is cold");
        m_record.instances[instance].coldPeriods.push_back(
            {steady::now(), steady::now() + coldPeriod});
        begin();
        schedule(static_cast<int>(std::chrono::milliseconds(coldPeriod).count()), [this, instance] {
            if (m_stoppedInstances.count(instance) == 0)
                m_cluster.registerInstance(instance, false);
        });
    }

    void restartInstance(std::size_t instance)
    {
        if (!m_stoppedInstances.insert(instance).second)
            return;
        m_cluster.stopInstance(instance);
        schedule(draw(200, 1500), [this, instance] {
            m_stoppedInstances.erase(instance);
            recordCold(instance, [this, instance] { m_cluster.startInstance(instance); });
        });
    }

    void injectHostFault(std::size_t host)
    {
        const std::string name = " host " + std::to_string(host);
        if (m_cluster.state(host) != host_state::running)
            return;
        switch (draw(0, 4)) {
        case 0:
            log("kill" + name);
            m_cluster.kill(host);
            return;
        case 1:
            log("stop" + name);
            m_cluster.stop(host);
            return;
        case 2:
            log("reload" + name);
            m_cluster.reload(host);
            return;
        case 3:
            if (draw(0, 5) == 0) {
                log("kill all hosts");
                for (std::size_t i = 0; i < m_cluster.hostCount(); ++i) {
                    if (m_cluster.state(i) == host_state::running)
                        m_cluster.kill(i);
                }
                return;
            }
            [[fallthrough]];
        default:
            log("freeze" + name);
            const auto endOutage = beginSpan(m_record.hosts[host].outages);
            m_cluster.freeze(host);
            schedule(draw(50, 2500), [this, host, name, endOutage] {
                log("thaw" + name);
                m_cluster.thaw(host);
                endOutage();
            });
        }
    }

    void injectStoreFault()
    {
        store_faults faults;
        switch (draw(0, 6)) {
        case 0:
            faults.reset = true;
            break;
        case 1:
            faults.busy = true;
            break;
        case 2:
            faults.silent = true;
            break;
        case 3:
            faults.delay = milliseconds(draw(20, 400));
            break;
        case 4:
            faults.loseWrites = true;
            break;
        case 5:
            log("compact store history");
            m_cluster.compactStore();
            return;
        default:
            log("expire all store leases");
            m_cluster.expireAllLeases();
            return;
        }
        log("store faults");
        std::vector<scheduled_action> endOutages;
        // With loseWrites, reads are answered: hosts stay in contact.
        for (std::size_t i = 0; i < m_options.hosts && !faults.loseWrites; ++i)
            endOutages.push_back(beginSpan(m_record.hosts[i].outages));
        m_cluster.setStoreFaults(faults);
        schedule(draw(100, 2500), [this, endOutages] {
            log("clear store faults");
            m_cluster.setStoreFaults({});
            for (const scheduled_action &endOutage : endOutages)
                endOutage();
        });
    }

    void injectLinkFault(bool toStore)
    {
        const int which
            = draw(0, static_cast<int>(toStore ? m_options.hosts : m_cluster.instanceCount()) - 1);
        const auto index = static_cast<std::size_t>(which);
        goldcrestdeck::tcp_relay &relay
            = toStore ? m_cluster.storeRelay(index) : m_cluster.instanceRelay(index);
        const int kind = draw(0, 3);
        log((toStore ? "store link " : "runner link ") + std::to_string(which) + " fault "
            + std::to_string(kind));
        const scheduled_action endFault = beginSpan(toStore ? m_record.hosts[index].outages
                                                            : m_record.instances[index].linkFaults);
        if (kind == 0) {
            relay.setPartitioned(true);
            schedule(draw(50, 1500), [&relay, endFault] {
                relay.setPartitioned(false);
                endFault();
            });
            return;
        }
        relay_faults faults;
        faults.delay = milliseconds(kind == 1 ? draw(10, 200) : 0);
        faults.stallToTarget = kind == 2;
        faults.stallToClient = kind == 3;
        relay.setFaults(faults);
        schedule(draw(100, 2000), [&relay, endFault] {
            relay.setFaults({});
            endFault();
        });
    }

    void injectInstanceFault(std::size_t instance)
    {
        const std::string name = "runner " + std::to_string(instance);
        const int kind = draw(0, 14);
        log(name + " fault " + std::to_string(kind));
        if (kind >= 13) {
            restartInstance(instance);
            return;
        }
        if (kind >= 11) {
            m_cluster.registerInstance(instance, true);
            if (kind == 12)
                m_cluster.removeInstance(instance);
            schedule(draw(200, 1500), [this, instance] {
                if (m_stoppedInstances.count(instance) == 0)
                    m_cluster.registerInstance(instance, false);
            });
            return;
        }
        instance_faults faults;
        faults.status = kind == 0 ? 500 : 200;
        faults.rejectUnexecuted = kind == 1;
        faults.resetBeforeResponse = kind == 2;
        faults.truncateBody = kind == 3;
        faults.silent = kind == 4;
        faults.garbage = kind == 5;
        faults.resetAfterEvents = kind == 6 ? draw(0, streamEvents - 1) : -1;
        faults.stallAfterEvents = kind == 7 ? draw(0, streamEvents - 1) : -1;
        faults.duplicateResponse = kind == 8;
        faults.staleResponseFirst = kind == 9;
        faults.delay = milliseconds(kind == 10 ? draw(20, 800) : 0);
        m_cluster.setInstanceFaults(instance, faults);
        schedule(draw(100, 1500), [this, instance] { m_cluster.setInstanceFaults(instance, {}); });
    }

    /// Waits until findFailure() finds none; records a violation after recoveryTimeout.
    void awaitRecovery(const std::string &when)
    {
        const auto until = steady::now() + recoveryTimeout;
        std::string failure;
        while (steady::now() < until) {
            failure = findFailure();
            if (failure.empty())
                return;
            pollOnce();
        }
        m_report.violations.push_back("no recovery at the " + when + ": " + failure);
    }

    /// Sends requests to each host, under the newest and the previous configuration.
    /// \returns the first unexpected result, or "".
    std::string findFailure()
    {
        const std::string current = std::to_string(m_generation);
        const std::string previous = std::to_string(m_generation - 1);
        for (std::size_t host = 0; host < m_cluster.hostCount(); ++host) {
            const std::string name = "host " + std::to_string(host);
            const std::map<std::string, unsigned> expectedStatuses
                = {{"/safe/x", 200},
                   {"/gen-" + current + "/x", 200},
                   {"/gen-" + previous + "/x", 404}};
            try {
                raw_http_client client(m_cluster.clientEndpoint(host));
                for (const auto &entry : expectedStatuses) {
                    client.send(
                        requestText("GET", entry.first, "q" + std::to_string(++m_probeCount)));
                    const unsigned status = client.read().result_int();
                    if (status != entry.second)
                        return name + " responds to " + entry.first + " with "
                            + std::to_string(status);
                }
                client.send(requestText("POST", "/stream/x", "q" + std::to_string(++m_probeCount),
                                        "X-Model: m\r\n", "{}"));
                if (client.read().result_int() != 200)
                    return name + " does not serve /stream/x";
            } catch (const boost::system::system_error &error) {
                return name + ": " + error.what();
            }
        }
        return "";
    }

    void checkArrivals()
    {
        const std::vector<arrival> arrivals = m_cluster.arrivals();
        checkRetryBudget(arrivals);
        for (const auto &found : {checkEvacuations(m_record, arrivals, m_start),
                                  checkColdInstances(m_record, arrivals, m_start)})
            m_report.violations.insert(m_report.violations.end(), found.begin(), found.end());
        m_report.evacuations = m_record.evacuations.size();
        for (const evacuation &order : m_record.evacuations)
            m_report.bindingEvacuations += boundSince(m_record, order) != time_point::max();
        for (const instance_record &instance : m_record.instances)
            m_report.coldPeriods += instance.coldPeriods.size();
    }

    void checkRetryBudget(const std::vector<arrival> &arrivals)
    {
        std::set<std::string> ids;
        for (const arrival &arrived : arrivals)
            ids.insert(arrived.requestId);
        const auto requests = static_cast<double>(ids.size());
        const double retries = static_cast<double>(arrivals.size()) - requests;
        const double seconds = std::chrono::duration<double>(steady::now() - m_start).count();
        const double bound
            = maxRetryRatio * requests + retrySlack * (1 + seconds / budgetWindowSeconds);
        if (retries > bound)
            m_report.violations.push_back(std::to_string(retries) + " retries for "
                                          + std::to_string(requests) + " requests");
    }

    soak_options m_options;
    std::mt19937_64 m_random;
    soak_report m_report;
    steady::time_point m_start = steady::now();
    std::multimap<steady::time_point, scheduled_action> m_scheduled; ///< By due time.
    std::set<std::size_t> m_hostsWithScheduledStart;
    std::set<std::string> m_evacuatedDomains;
    std::set<std::size_t> m_stoppedInstances;
    run_record m_record;
    int m_generation = 1;
    int m_probeCount = 0;
    soak_cluster m_cluster;
    std::unique_ptr<soak_clients> m_clients;
};

} // namespace

soak_report runSoak(const soak_options &options)
{
    return soak_run(options).run();
}

} // namespace soak
