#include "goldcrestdeck/testing/process_cluster.h"

#include <algorithm>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include "goldcrestdeck/digest.h"

namespace goldcrestdeck {

namespace {

constexpr const char *operatorToken = "token-of-the-tests";
constexpr std::chrono::milliseconds pollInterval{20};
/// 30 s in total; only a condition that never holds takes this long.
constexpr int maxPolls = 1500;
const std::vector<std::string> failureDomains = {"north-a", "north-b", "north-c"};

/// \returns the loopback address of a host. Each host has its own, by which relays identify the
/// source of a connection.
std::string hostIp(std::size_t host)
{
    return "127.0.1." + std::to_string(host + 1);
}

std::string binaryPath(const std::string &name)
{
    return std::string(BINARY_DIR) + "/" + name;
}

/// \returns a socket that is bound to the port, or -1 if the port is in use.
int boundSocket(in_addr_t ip, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(ip);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

/// Reserves a range of ports for this program until it exits, so that test programs that run side
/// by side do not meet. The ranges lie below those from which the kernel takes ports of outgoing
/// connections. The first port of a range is its lock.
port_allocator reservePorts()
{
    constexpr int firstPort = 10240;
    constexpr int endPort = 32768;
    constexpr int rangeSize = 3200;
    for (int first = firstPort; first + rangeSize <= endPort; first += rangeSize) {
        if (boundSocket(INADDR_LOOPBACK, first) >= 0) // Stays open as long as the program runs.
            return {first + 1, rangeSize - 1};
    }
    throw std::runtime_error("too many test programs run side by side");
}

} // namespace

child_process::child_process(const std::vector<std::string> &arguments, const std::string &logFile,
                             const std::string &outputFile)
{
    std::vector<char *> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ) != 0)
        throw std::runtime_error("cannot start " + arguments[0]);
    posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process()
{
    if (m_exited)
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    wait();
}

void child_process::signal(int number) const
{
    if (!m_exited)
        kill(m_pid, number);
}

int child_process::wait()
{
    if (!m_exited) {
        int status = 0;
        waitpid(m_pid, &status, 0);
        recordExit(status);
    }
    return m_exitCode;
}

bool child_process::hasExited()
{
    int status = 0;
    if (!m_exited && waitpid(m_pid, &status, WNOHANG) == m_pid)
        recordExit(status);
    return m_exited;
}

void child_process::recordExit(int status)
{
    m_exited = true;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

port_allocator::port_allocator(int first, std::size_t size)
    : m_first(first)
    , m_size(size)
{ }

std::vector<int> port_allocator::take(std::size_t count)
{
    std::vector<int> ports;
    ports.reserve(count);
    for (std::size_t tried = 0; ports.size() < count; ++tried) {
        if (tried == m_size)
            throw std::runtime_error("no free TCP port");
        const int port = m_first + static_cast<int>(m_next++ % m_size);
        // Free on every address: hosts listen on loopback addresses of their own, where connections
        // of an earlier test may still be in TIME_WAIT.
        const int descriptor = boundSocket(INADDR_ANY, port);
        if (descriptor < 0)
            continue;
        close(descriptor);
        ports.push_back(port);
    }
    return ports;
}

std::vector<int> freePorts(std::size_t count)
{
    static port_allocator range = reservePorts();
    return range.take(count);
}

bool eventually(const std::function<bool()> &condition)
{
    for (int i = 0; i < maxPolls; ++i) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

process_cluster::process_cluster(std::size_t hosts, const std::vector<upstream_config> &upstreams,
                                 int tokenMs, bool useRelays)
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/goldcrestXXXXXX";
    m_folder = mkdtemp(pattern.data());
    const std::vector<int> ports = freePorts(3 + upstreams.size() + 4 * hosts);
    auto port = ports.begin();
    for (const char *name : {"kv", "rating", "hostlist"})
        m_standinPorts[name] = *port++;
    json_value list = json_value::array();
    for (const upstream_config &upstream : upstreams) {
        m_standinPorts[upstream.name] = *port++;
        json_value versions = json_value::array();
        for (const std::string &version : upstream.versions)
            versions.append(json_value(version));
        json_value entry = json_value::object();
        entry.set("address", "127.0.0.1:" + std::to_string(m_standinPorts[upstream.name]));
        entry.set("domain", upstream.failureDomain);
        entry.set("state", "live");
        entry.set("versions", versions);
        list.append(entry);
    }
    json_value document = json_value::object();
    document.set("hosts", list);
    const std::string hostsFile = m_folder + "/hosts.json";
    std::ofstream(hostsFile) << document.dump();
    startStandin("kv", {"kv"});
    startStandin("rating", {"rating"});
    startStandin("hostlist", {"hostlist", "--hosts", hostsFile});
    for (const upstream_config &upstream : upstreams)
        startStandin(upstream.name,
                     {upstream.isService ? "service" : "engine", "--quality",
                      std::to_string(upstream.quality), "--token-ms", std::to_string(tokenMs)});
    for (std::size_t i = 0; i < hosts; ++i) {
        m_httpPorts.push_back(*port++);
        m_peerPorts.push_back(*port++);
    }
    for (std::size_t i = 0; useRelays && i < hosts; ++i) {
        m_peerRelays.push_back(std::make_unique<tcp_relay>(*port++, hostIp(i), m_peerPorts[i]));
        m_storeRelays.push_back(
            std::make_unique<tcp_relay>(*port++, "127.0.0.1", m_standinPorts["kv"]));
    }
    m_hosts.resize(hosts);
    for (std::size_t i = 0; i < hosts; ++i)
        startHost(i);
}

process_cluster::~process_cluster()
{
    m_hosts.clear();
    m_standins.clear();
    std::error_code ignored;
    if (std::getenv("GOLDCREST_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder, ignored);
}

void process_cluster::startStandin(const std::string &name, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), binaryPath("standins"));
    arguments.insert(arguments.end(), {"--port", std::to_string(m_standinPorts.at(name))});
    m_standins[name] = std::make_unique<child_process>(arguments, m_folder + "/" + name + ".log");
}

std::string process_cluster::peerAddress(std::size_t host) const
{
    return hostIp(host) + ":" + std::to_string(m_peerPorts[host]);
}

std::string process_cluster::advertisedAddress(std::size_t host) const
{
    return m_peerRelays.empty() ? peerAddress(host)
                                : "127.0.0.1:" + std::to_string(m_peerRelays[host]->port());
}

std::string process_cluster::storeUrl(std::size_t host) const
{
    return m_storeRelays.empty()
        ? standinUrl("kv")
        : "http://127.0.0.1:" + std::to_string(m_storeRelays[host]->port());
}

void process_cluster::partitionFromPeers(std::size_t host, bool partitioned)
{
    m_peerRelays[host]->setPartitioned(partitioned);
    for (const auto &relay : m_peerRelays)
        relay->setSourcePartitioned(hostIp(host), partitioned);
}

void process_cluster::partitionFromStore(std::size_t host, bool partitioned)
{
    m_storeRelays[host]->setPartitioned(partitioned);
}

void process_cluster::startHost(std::size_t index)
{
    const auto baseUrl = [this](const char *name) {
        return "http://127.0.0.1:" + std::to_string(m_standinPorts.at(name));
    };
    std::string seeds;
    for (std::size_t i = 0; i < m_peerPorts.size(); ++i)
        seeds += (i == 0 ? "" : ",") + advertisedAddress(i);
    const std::string path = m_folder + "/host" + std::to_string(index) + ".ini";
    std::ofstream(path) << "[host]\nname = entry-" << index
                        << "\nfailure_domain = " << failureDomains[index % failureDomains.size()]
                        << "\nhttp_address = 127.0.0.1:" << m_httpPorts[index]
                        << "\npeer_address = " << peerAddress(index)
                        << "\nadvertised_peer_address = " << advertisedAddress(index)
                        << "\nseeds = " << seeds
                        << "\n[platform]\nkey_value_url = " << storeUrl(index)
                        << "\nhost_list_url = " << baseUrl("hostlist")
                        << "\nrating_url = " << baseUrl("rating")
                        << "\n[sessions]\nkeys = 0123456789abcdef0123456789abcdef"
                        << "\n[operators]\ntoken_sha256 = " << sha256Hex(operatorToken)
                        << "\n[limits]\nrequest_deadline_ms = 20000\nmax_body_bytes = 65536"
                        << "\n[policy]\nrating_share = 1\n[stopping]\nbalancer_lag_ms = 500\n";
    m_hosts[index]
        = std::make_unique<child_process>(std::vector<std::string>{binaryPath("goldcrestd"), path},
                                          m_folder + "/host" + std::to_string(index) + ".log");
}

void process_cluster::restartHost(std::size_t index)
{
    m_hosts[index].reset();
    startHost(index);
}

std::string process_cluster::url(std::size_t host) const
{
    return "http://127.0.0.1:" + std::to_string(m_httpPorts[host]);
}

std::string process_cluster::standinUrl(const std::string &name) const
{
    return "http://127.0.0.1:" + std::to_string(m_standinPorts.at(name));
}

bool process_cluster::isReady(std::size_t host)
{
    http_request request;
    request.url = url(host) + "/readyz";
    request.timeout = std::chrono::milliseconds(2000);
    return send(request).status == 200;
}

bool process_cluster::waitAllReady()
{
    return eventually([this] {
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
            if (!isReady(i))
                return false;
        return true;
    });
}

void process_cluster::injectFaults(const std::string &standin, const std::string &faults)
{
    http_request request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(m_standinPorts.at(standin)) + "/fault";
    request.body = faults;
    if (!eventually([&] { return send(request).status == 200; }))
        throw std::runtime_error("stand-in did not accept the faults: " + standin);
}

json_value process_cluster::requestLog(const std::string &upstream)
{
    http_request request;
    request.url = "http://127.0.0.1:" + std::to_string(m_standinPorts.at(upstream)) + "/log";
    return json_value::parse(m_client.send(request).body).get("rows");
}

std::uint64_t process_cluster::storeCalls()
{
    http_request request;
    request.url = "http://127.0.0.1:" + std::to_string(m_standinPorts.at("kv")) + "/stats";
    const json_value stats = json_value::parse(m_client.send(request).body);
    return stats.integer("reads") + stats.integer("writes");
}

void process_cluster::setUpstreamState(const std::string &upstream, const std::string &state)
{
    json_value command = json_value::object();
    command.set("address", "127.0.0.1:" + std::to_string(m_standinPorts.at(upstream)));
    command.set("state", state);
    http_request request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(m_standinPorts.at("hostlist")) + "/set";
    request.body = command.dump();
    m_client.send(request);
}

operator_client process_cluster::operatorClient(std::size_t host) const
{
    return operator_client(url(host), operatorToken);
}

edit_report process_cluster::applyTable(std::size_t host, const std::vector<std::string> &rows)
{
    const std::string header = renderTable({});
    std::string text = header;
    for (const std::string &row : rows) {
        std::vector<std::string> cells;
        std::size_t begin = 0;
        while (begin <= row.size()) {
            const std::size_t comma = std::min(row.find(',', begin), row.size());
            cells.push_back(row.substr(begin, comma - begin));
            begin = comma + 1;
        }
        text += cells.at(0) + ',' + cells.at(1) + ",active," + cells.at(2) + ",100000,100,0.5,1,"
            + cells.at(3) + ',' + sha256Hex("key-" + cells.at(0)) + ",0\n";
    }
    operator_client client = operatorClient(host);
    return client.sendEdits(diffTables(client.readTable().rows, parseTable(text)));
}

edit_report process_cluster::setRowState(std::size_t host, const std::string &workspace,
                                         const std::string &version, const std::string &state)
{
    operator_client client = operatorClient(host);
    const table_snapshot current = client.readTable();
    const table_row *row = findRow(current.rows, workspace, version);
    return client.sendEdits({{row->rowVersion, false, withColumn(*row, "state", state)}});
}

std::string process_cluster::client_response::header(const std::string &name) const
{
    return http_response{status, headers, ""}.header(name);
}

std::string process_cluster::client_response::run() const
{
    try {
        return json_value::parse(body).get("error").string("run");
    } catch (const json_error &) {
        return "";
    }
}

std::string process_cluster::client_response::code() const
{
    try {
        return json_value::parse(body).get("error").string("code");
    } catch (const json_error &) {
        return "";
    }
}

process_cluster::client_response process_cluster::send(const http_request &request)
{
    try {
        const http_response response = m_client.send(request);
        return {response.status, response.body, response.headers};
    } catch (const http_error &) {
        return {};
    }
}

process_cluster::client_response process_cluster::chat(std::size_t host,
                                                       const std::string &workspace,
                                                       const std::string &content, bool stream,
                                                       const std::string &session)
{
    json_value message = json_value::object();
    message.set("role", "user");
    message.set("content", content);
    json_value messages = json_value::array();
    messages.append(message);
    json_value body = json_value::object();
    body.set("model", "auto");
    body.set("stream", stream);
    body.set("messages", messages);
    http_request request;
    request.method = "POST";
    request.url = url(host) + "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer key-" + workspace}};
    if (!session.empty())
        request.headers.push_back({"Goldcrest-Session", session});
    request.body = body.dump();
    request.timeout = std::chrono::milliseconds(30'000);
    request.noRetry = true;
    return send(request);
}

process_cluster::client_response
process_cluster::service(std::size_t host, const std::string &workspace, const std::string &path,
                         const std::string &idempotencyKey, const std::string &body)
{
    http_request request;
    request.method = "POST";
    request.url = url(host) + "/v1/services/" + path;
    request.headers = {{"Authorization", "Bearer key-" + workspace}};
    if (!idempotencyKey.empty())
        request.headers.push_back({"Idempotency-Key", idempotencyKey});
    request.body = body;
    request.timeout = std::chrono::milliseconds(30'000);
    request.noRetry = true;
    return send(request);
}

std::vector<std::string> columnValues(const row_set &rows, const std::string &column)
{
    const auto found = std::find(rows.columns.begin(), rows.columns.end(), column);
    const auto index = static_cast<std::size_t>(found - rows.columns.begin());
    std::vector<std::string> cells;
    for (const auto &row : rows.rows)
        cells.push_back(row.at(index));
    return cells;
}

} // namespace goldcrestdeck
