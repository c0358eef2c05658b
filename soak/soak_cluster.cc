#include "soak/soak_cluster.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <sstream>

#include <boost/asio/post.hpp>

#include "goldcrestdeck/json.h"

namespace soak {

using goldcrestdeck::child_process;
using goldcrestdeck::freePorts;
using goldcrestdeck::json_value;
using goldcrestdeck::tcp_relay;
using standins::platform_instance;
using steady = std::chrono::steady_clock;

namespace {

/// The time that the platform allows between SIGTERM and SIGKILL.
constexpr std::chrono::seconds stopTimeout{8};
/// Ports of one host: client, readiness, two internal, and store relay.
constexpr std::size_t portsPerHost = 5;

boost::asio::ip::tcp::endpoint loopback(int port)
{
    return {boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)};
}

/// \returns the JSON text of a route whose name is also its path prefix.
std::string routeText(const std::string &name, const std::string &service, const std::string &kind)
{
    std::string text = R"({"name": ")" + name + R"(", "host": "a.example", "prefix": "/)" + name;
    text += R"(/", "service": ")" + service + R"(", "kind": ")" + kind;
    return text + R"(", "max-attempts": 3, "timeout-ms": 2000, "target-latency-ms": 300,
              "target-gap-ms": 500, "resumable": true})";
}

} // namespace

template<typename Work>
auto soak_cluster::onLoop(Work work) -> decltype(work())
{
    std::packaged_task<decltype(work())()> task(std::move(work));
    auto result = task.get_future();
    boost::asio::post(m_io, [&task] { task(); });
    return result.get();
}

soak_cluster::soak_cluster(std::size_t hosts, const std::string &folder)
    : m_folder(folder)
    , m_workGuard(boost::asio::make_work_guard(m_io))
    , m_store(m_io, loopback(0))
{
    for (const char *service : {"plain", "plain", "plain", "engine", "engine", "engine"})
        addInstance(service);
    const std::vector<int> ports = freePorts(portsPerHost * hosts + m_instances.size());
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        m_instances[i].relay = std::make_unique<tcp_relay>(
            ports[portsPerHost * hosts + i], "127.0.0.1", m_instances[i].standin->address().port());
    for (std::size_t i = 0; i < hosts; ++i) {
        m_hosts.push_back(std::make_unique<host>());
        writeSettings(i,
                      {ports.begin() + static_cast<long>(portsPerHost * i),
                       ports.begin() + static_cast<long>(portsPerHost * (i + 1))});
    }
    m_thread = std::thread([this] { m_io.run(); });
    putConfig(1);
    for (std::size_t i = 0; i < m_instances.size(); ++i)
        registerInstance(i, false);
    for (std::size_t i = 0; i < hosts; ++i)
        start(i);
}

soak_cluster::~soak_cluster()
{
    for (const auto &entry : m_hosts)
        entry->process.reset();
    onLoop([this] {
        for (const instance &entry : m_instances)
            entry.standin->stop();
    });
    m_io.stop();
    m_thread.join();
}

void soak_cluster::writeSettings(std::size_t index, const std::vector<int> &ports)
{
    host &entry = *m_hosts[index];
    entry.storeRelay = std::make_unique<tcp_relay>(ports[4], "127.0.0.1", m_store.address().port());
    entry.clientEndpoint = loopback(ports[0]);
    entry.settingsPath = m_folder + "/h" + std::to_string(index) + ".json";
    entry.logPath = m_folder + "/h" + std::to_string(index) + ".log";
    std::ofstream file(entry.settingsPath);
    file << R"({"node-name": "h)" << index << R"(", "zone": "z", "ip": "127.0.0.1",
             "listen": {"front": "127.0.0.1:)"
         << ports[0] << R"(", "ready": "127.0.0.1:)" << ports[1]
         << R"("}, "internal-ports": [)"
         // The range leaves no port for handed-over requests, so that the host takes a free one.
         << std::max(ports[2], ports[3]) << ", " << std::min(ports[2], ports[3])
         << R"(], "heartbeat-ms": 100000,
             "bounds": {"config-apply-ms": 800, "drain-ms": 800, "grace-s": 8, "cold-overage": 1.5,
             "cold-slack": 5, "evacuate-ms": )"
         << evacuateTimeout.count() << R"(},
             "platform": {"address": "127.0.0.1:)"
         << ports[4] << "\"}}";
}

void soak_cluster::addInstance(const std::string &service)
{
    instance added;
    added.service = service;
    added.standin = std::make_unique<platform_instance>(
        m_io, loopback(0), service + "-" + std::to_string(m_instances.size()));
    standins::instance_faults faults;
    faults.events = service == "engine" ? streamEvents : 0;
    added.standin->setFaults(faults);
    m_instances.push_back(std::move(added));
}

boost::asio::ip::tcp::endpoint soak_cluster::clientEndpoint(std::size_t host) const
{
    return m_hosts[host]->clientEndpoint;
}

void soak_cluster::start(std::size_t index)
{
    host &entry = *m_hosts[index];
    ++entry.incarnation;
    entry.process = std::make_unique<child_process>(
        std::vector<std::string>{std::string(BINARY_DIR) + "/goldcrest_routerd", "--settings",
                                 entry.settingsPath},
        m_folder + "/errors.log", entry.logPath);
    entry.state = host_state::running;
}

void soak_cluster::kill(std::size_t index)
{
    host &entry = *m_hosts[index];
    entry.process->signal(SIGKILL);
    entry.process->wait();
    entry.state = host_state::down;
}

void soak_cluster::freeze(std::size_t index)
{
    m_hosts[index]->process->signal(SIGSTOP);
    m_hosts[index]->state = host_state::frozen;
}

void soak_cluster::thaw(std::size_t index)
{
    m_hosts[index]->process->signal(SIGCONT);
    m_hosts[index]->state = host_state::running;
}

void soak_cluster::stop(std::size_t index)
{
    host &entry = *m_hosts[index];
    entry.process->signal(SIGTERM);
    entry.state = host_state::stopping;
    entry.stopRequestedAt = steady::now();
}

void soak_cluster::reload(std::size_t index)
{
    m_hosts[index]->process->signal(SIGHUP);
}

std::string soak_cluster::pollExits()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        host &entry = *m_hosts[i];
        const std::string name = "host " + std::to_string(i);
        if (entry.state == host_state::down || entry.state == host_state::frozen)
            continue;
        if (!entry.process->hasExited()) {
            if (entry.state == host_state::stopping
                && steady::now() - entry.stopRequestedAt > stopTimeout)
                return name + " did not exit before the stop timeout";
            continue;
        }
        const int code = entry.process->wait();
        if (entry.state != host_state::stopping || code != 0)
            return name + " exited with code " + std::to_string(code);
        entry.state = host_state::down;
    }
    return "";
}

void soak_cluster::putConfig(int generation)
{
    std::string text = "{\"version\": " + std::to_string(generation) + ", \"routes\": [";
    text += routeText("safe", "plain", "safe") + ',';
    text += routeText("once", "plain", "unsafe") + ',';
    text += routeText("gen-" + std::to_string(generation), "plain", "safe") + ',';
    text += routeText("stream", "engine", "streaming");
    const std::string cold
        = R"(", "cold-s": )" + std::to_string(coldPeriod.count()) + R"(, "cold-per-s": 7.3})";
    text += R"(], "services": [{"name": "plain)" + cold + R"(, {"name": "engine)" + cold
        + R"(], "tenants": [{"name": "w1", "api-keys": ["key-1"]}]})";
    onLoop([&] { m_store.put("op/config", text); });
}

void soak_cluster::setStoreFaults(const standins::store_faults &faults)
{
    onLoop([&] { m_store.setFaults(faults); });
}

void soak_cluster::compactStore()
{
    onLoop([&] { m_store.compact(); });
}

void soak_cluster::expireAllLeases()
{
    onLoop([&] { m_store.expireAllLeases(); });
}

void soak_cluster::setEvacuated(const std::string &domain, bool evacuated)
{
    onLoop([&] {
        if (evacuated)
            m_store.put("op/evacuate/" + domain, "{}");
        else
            m_store.remove("op/evacuate/" + domain);
    });
}

void soak_cluster::setInstanceFaults(std::size_t instance, const standins::instance_faults &faults)
{
    onLoop([&] {
        standins::instance_faults adjusted = faults;
        adjusted.events = m_instances[instance].service == "engine" ? streamEvents : 0;
        m_instances[instance].standin->setFaults(adjusted);
    });
}

void soak_cluster::registerInstance(std::size_t index, bool draining)
{
    instance &entry = m_instances[index];
    json_value row = json_value::object();
    row.set("service", entry.service);
    row.set("address", "127.0.0.1:" + std::to_string(entry.relay->port()));
    row.set("zone", instanceDomain(index));
    row.set("version", "v1");
    row.set("slots", 8);
    row.set("born", entry.incarnation);
    row.set("state", draining ? "draining" : "ready");
    const auto coldLeft
        = std::chrono::duration_cast<std::chrono::milliseconds>(entry.coldUntil - steady::now());
    if (coldLeft.count() > 0)
        row.set("cold-left-ms", static_cast<int>(coldLeft.count()));
    onLoop([&] { m_store.put("servers/" + entry.standin->id(), row.dump()); });
}

void soak_cluster::removeInstance(std::size_t index)
{
    ++m_instances[index].incarnation;
    onLoop([&] { m_store.remove("servers/" + m_instances[index].standin->id()); });
}

void soak_cluster::stopInstance(std::size_t index)
{
    m_instances[index].relay->setSourcePartitioned("127.0.0.1", true);
    removeInstance(index);
}

void soak_cluster::startInstance(std::size_t index)
{
    makeCold(index);
    m_instances[index].relay->setSourcePartitioned("127.0.0.1", false);
}

void soak_cluster::makeCold(std::size_t index)
{
    m_instances[index].coldUntil = steady::now() + coldPeriod;
    registerInstance(index, false);
}

std::map<std::string, int> soak_cluster::executions()
{
    return onLoop([&] {
        std::map<std::string, int> total;
        for (const instance &entry : m_instances) {
            for (const auto &execution : entry.standin->executions())
                total[execution.first] += execution.second;
        }
        return total;
    });
}

std::vector<arrival> soak_cluster::arrivals()
{
    return onLoop([&] {
        std::vector<arrival> all;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            const platform_instance &standin = *m_instances[i].standin;
            for (std::size_t k = 0; k < standin.requests().size(); ++k)
                all.push_back(
                    {i, standin.arrivals()[k], std::string(standin.requests()[k]["X-Request-Id"])});
        }
        return all;
    });
}

} // namespace soak
