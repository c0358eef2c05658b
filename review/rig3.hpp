// Shared by the cases of the third review: the platform's store, runners and requesters as small
// stand-ins on loopback, and the router as a separate process, started with the command of
// deploy/system.toml. Blocking sockets, one thread a connection.

#ifndef REVIEW_RIG3_HPP_
#define REVIEW_RIG3_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <jansson.h>

namespace rig {

using steady = std::chrono::steady_clock;

inline double now()
{
    static const steady::time_point start = steady::now();
    return std::chrono::duration<double>(steady::now() - start).count();
}

inline void pause(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Writes what was sent, answered and run to record.txt in the case's folder.
class record
{
public:
    explicit record(const std::string &folder)
        : m_file(folder + "/record.txt")
    { }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f s  ", now());
        m_file << stamp << text << '\n' << std::flush;
    }

    void summary(const std::string &text)
    {
        line(text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k)
            value = value << 8
                | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? digits[value >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// \returns \a count consecutive free ports on loopback.
inline int freePorts(int count)
{
    std::srand(static_cast<unsigned>(getpid()) ^ static_cast<unsigned>(time(nullptr)));
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int first = 12000 + std::rand() % 18000;
        std::vector<int> sockets;
        for (int i = 0; i < count; ++i) {
            const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = loopback(first + i);
            sockets.push_back(fd);
            if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
                break;
            if (i + 1 == count) {
                for (const int open : sockets)
                    close(open);
                return first;
            }
        }
        for (const int open : sockets)
            close(open);
    }
    throw std::runtime_error("no free ports");
}

struct message {
    std::string first;                         ///< Request or status line.
    std::map<std::string, std::string> fields; ///< Names in lower case.
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    std::string target() const
    {
        const std::size_t begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const { return std::atoi(first.substr(first.find(' ') + 1, 3).c_str()); }
};

/// One side of a TCP connection that carries HTTP/1.1 messages.
class channel
{
public:
    explicit channel(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    channel(const channel &) = delete;
    channel &operator=(const channel &) = delete;
    ~channel() { shut(); }

    static std::unique_ptr<channel> open(int port)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            close(fd);
            return nullptr;
        }
        return std::make_unique<channel>(fd);
    }

    void shut()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0)
            close(fd);
    }

    bool send(const std::string &bytes)
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t count
                = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// \returns nullopt if the channel ended, or stayed silent for \a seconds, before the message
    /// was complete.
    std::optional<message> receive(double seconds)
    {
        timeval limit{};
        limit.tv_sec = static_cast<time_t>(seconds);
        limit.tv_usec
            = static_cast<suseconds_t>((seconds - static_cast<double>(limit.tv_sec)) * 1e6);
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return std::nullopt;
        }
        message result;
        std::istringstream head(m_buffer.substr(0, end + 2));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(head, result.first);
        while (std::getline(head, line)) {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), ::tolower);
            const std::size_t begin = line.find_first_not_of(' ', colon + 1);
            result.fields[name]
                = begin == std::string::npos ? "" : line.substr(begin, line.find('\r') - begin);
        }
        if (result.field("transfer-encoding") == "chunked")
            return chunks(result) ? std::optional<message>(result) : std::nullopt;
        const auto length = static_cast<std::size_t>(
            std::strtoull(result.field("content-length").c_str(), nullptr, 10));
        while (m_buffer.size() < length) {
            if (!more())
                return std::nullopt;
        }
        result.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return result;
    }

private:
    bool more()
    {
        char bytes[65536];
        const ssize_t count = recv(m_fd, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool chunks(message &result)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!more())
                    return false;
            }
            const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!more())
                    return false;
            }
            result.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    std::atomic<int> m_fd;
    std::string m_buffer;
};

/// Accepts connections on a loopback port and serves each on a thread of its own.
class listener
{
public:
    using handler = std::function<void(channel &)>;

    listener(int port, handler serve)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(port);
        if (bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen");
        std::thread([fd = m_fd, serve = std::move(serve)] {
            for (;;) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([accepted, serve] {
                    channel peer(accepted);
                    serve(peer);
                }).detach();
            }
        }).detach();
    }

private:
    int m_fd;
};

inline std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store, as PROTOCOL.md says: linearizable, one revision counter, leases.
class store
{
public:
    explicit store(int port)
        : m_listener(port, [this](channel &peer) { serve(peer); })
    { }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        write(key, base64(value), 0);
    }

private:
    struct item {
        std::string value; ///< As base64 text.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        item value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct lease {
        double lifetime = 0;
        double ends = 0;
    };

    void serve(channel &peer)
    {
        while (const auto request = peer.receive(3600)) {
            pause(0.004); // An answer takes 4 ms on the sheet.
            std::string body;
            int status = 200;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                expire();
                status = handle(*request, body);
            }
            if (!peer.send(response(status, "Content-Type: application/json\r\n", body)))
                return;
        }
    }

    static std::string unescape(const std::string &text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result
                    += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                result += text[i];
            }
        }
        return result;
    }

    static std::string query(const std::string &target, const std::string &name)
    {
        const std::size_t mark = target.find('?');
        std::istringstream list(mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string part;
        while (std::getline(list, part, '&')) {
            if (part.compare(0, name.size() + 1, name + '=') == 0)
                return unescape(part.substr(name.size() + 1));
        }
        return {};
    }

    void write(const std::string &key, const std::string &value, std::uint64_t owner)
    {
        item &entry = m_items[key];
        ++m_revision;
        entry = {value, m_revision, entry.created == 0 ? m_revision : entry.created, owner};
        m_events.push_back({key, entry, m_revision, false});
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0)
            m_events.push_back({key, {}, ++m_revision, true});
    }

    void expire()
    {
        for (auto i = m_leases.begin(); i != m_leases.end();) {
            if (i->second.ends > now()) {
                ++i;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto &entry : m_items) {
                if (entry.second.lease == i->first)
                    keys.push_back(entry.first);
            }
            for (const std::string &key : keys)
                erase(key);
            i = m_leases.erase(i);
        }
    }

    static std::string itemText(const std::string &key, const item &entry)
    {
        return "{\"key\":\"" + key + "\",\"value\":\"" + entry.value + "\",\"revision\":"
            + std::to_string(entry.revision) + ",\"created\":" + std::to_string(entry.created)
            + ",\"lease\":" + std::to_string(entry.lease) + "}";
    }

    int handle(const message &request, std::string &body)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/api/kv-range")
            return range(target, body);
        if (path == "/api/kv-watch")
            return watch(target, body);
        if (path == "/api/kv-txn")
            return transact(request.body, body);
        if (path == "/api/kv-lease") {
            json_t *document = json_loads(request.body.c_str(), 0, nullptr);
            const auto lifetime = json_integer_value(json_object_get(document, "ttl-ms"));
            json_decref(document);
            const double seconds = static_cast<double>(lifetime) / 1000;
            m_leases[++m_lastLease] = {seconds, now() + seconds};
            body = "{\"lease\":" + std::to_string(m_lastLease)
                + ",\"ttl-ms\":" + std::to_string(lifetime) + "}";
            return 200;
        }
        const std::string keep = "/api/kv-keep/";
        if (path.compare(0, keep.size(), keep) == 0) {
            const auto found
                = m_leases.find(std::strtoull(path.c_str() + keep.size(), nullptr, 10));
            body = "{}";
            if (found == m_leases.end())
                return 404;
            found->second.ends = now() + found->second.lifetime;
            return 200;
        }
        body = "{}";
        return 404;
    }

    int range(const std::string &target, std::string &body) const
    {
        const std::string prefix = query(target, "prefix");
        const std::string after = query(target, "after");
        std::string list;
        for (const auto &entry : m_items) {
            if (entry.first.compare(0, prefix.size(), prefix) == 0 && entry.first > after)
                list += (list.empty() ? "" : ",") + itemText(entry.first, entry.second);
        }
        body = "{\"items\":[" + list
            + "],\"has-more\":false,\"store-revision\":" + std::to_string(m_revision) + "}";
        return 200;
    }

    int watch(const std::string &target, std::string &body) const
    {
        const std::string prefix = query(target, "prefix");
        const std::uint64_t after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
        std::string list;
        for (const event &change : m_events) {
            if (change.revision <= after || change.key.compare(0, prefix.size(), prefix) != 0)
                continue;
            list += (list.empty() ? "" : ",")
                + (change.deleted ? "{\"key\":\"" + change.key + "\",\"revision\":"
                           + std::to_string(change.revision) + ",\"deleted\":true}"
                                  : itemText(change.key, change.value));
        }
        body = "{\"events\":[" + list + "],\"store-revision\":" + std::to_string(m_revision) + "}";
        return 200;
    }

    int transact(const std::string &text, std::string &body)
    {
        json_t *document = json_loads(text.c_str(), 0, nullptr);
        const int status = apply(document, body);
        json_decref(document);
        return status;
    }

    int apply(json_t *document, std::string &body)
    {
        std::size_t index = 0;
        json_t *row = nullptr;
        body = "{\"items\":[]}";
        json_array_foreach(json_object_get(document, "expected"), index, row)
        {
            const auto found = m_items.find(json_string_value(json_object_get(row, "key")));
            const auto expected = json_integer_value(json_object_get(row, "revision"));
            if ((found == m_items.end() ? 0 : found->second.revision)
                != static_cast<std::uint64_t>(expected))
                return 412;
        }
        json_array_foreach(json_object_get(document, "set-keys"), index, row)
        {
            const auto owner = json_integer_value(json_object_get(row, "lease"));
            if (owner != 0 && m_leases.count(static_cast<std::uint64_t>(owner)) == 0)
                return 404;
        }
        json_array_foreach(json_object_get(document, "set-keys"), index, row)
        {
            write(json_string_value(json_object_get(row, "key")),
                  json_string_value(json_object_get(row, "value")),
                  static_cast<std::uint64_t>(json_integer_value(json_object_get(row, "lease"))));
        }
        json_array_foreach(json_object_get(document, "remove"), index, row)
            erase(json_string_value(row));
        body = "{\"revision\":" + std::to_string(m_revision) + "}";
        return 200;
    }

    std::mutex m_mutex;
    std::map<std::string, item> m_items;
    std::vector<event> m_events;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    listener m_listener;
};

/// A sound runner: serves one request at a time on a channel, registers itself every heartbeat.
class runner
{
public:
    /// Runs a request and \returns its response.
    using work = std::function<std::string(const message &)>;

    runner(store &registry, int port, std::string id, const std::string &service, work run)
        : m_id(std::move(id))
        , m_listener(port, [this, run = std::move(run)](channel &peer) {
            while (const auto request = peer.receive(3600)) {
                const std::string expected = request->field("x-expect-instance");
                const std::string requestId = request->field("x-request-id");
                const bool isOther = !expected.empty() && expected != m_id;
                const std::string answer = isOther
                    ? response(421, "X-Request-Id: " + requestId + "\r\n", "")
                    : run(*request);
                if (!peer.send(answer))
                    return;
            }
        })
    {
        std::thread([this, &registry, port, service] {
            const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch());
            for (int sequence = 1;; ++sequence) {
                registry.put("servers/" + m_id,
                             "{\"service\":\"" + service
                                 + "\",\"address\":\"127.0.0.1:" + std::to_string(port)
                                 + R"(","zone":"oban-a","version":"v1","slots":64,"state":"ready",)"
                                 + R"("cold-left-ms":0,"seq":)" + std::to_string(sequence)
                                 + ",\"born\":" + std::to_string(born.count()) + "}");
                pause(1.2);
            }
        }).detach();
    }

private:
    std::string m_id;
    listener m_listener;
};

/// One front machine: the router as deploy/system.toml starts it, with its settings file.
class machine
{
public:
    /// Uses ports from \a firstPort: front, ready, control and 16 internal ones.
    machine(const std::string &name, int firstPort, int storePort, int memoryMb)
        : m_name(name)
        , m_frontPort(firstPort)
        , m_readyPort(firstPort + 1)
        , m_memoryMb(memoryMb)
    {
        char folder[] = "/tmp/review3-XXXXXX";
        if (mkdtemp(folder) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_folder = folder;
        writeSettings(storePort);
        start();
    }

    /// Puts the settings with the store's address at their place.
    void writeSettings(int storePort) const
    {
        const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::ofstream(m_folder + "/next.json")
            << R"({"node-name":")" << m_name
            << R"(","role":"router","machine-class":"front","serves":["front","control"],)"
            << R"("ip":"127.0.0.1","zone":"oban-a","region":"scot-west",)"
            << R"("zones":{"oban-a":"scot-west"},"listen":{"front":)" << address(m_frontPort)
            << R"(,"ready":)" << address(m_frontPort + 1) << R"(,"control":)"
            << address(m_frontPort + 2) << R"(},"internal-ports":[)" << m_frontPort + 3 << ','
            << m_frontPort + 18 << R"(],"seeds":[)" << address(m_frontPort + 2)
            << R"(],"first-start":true,"counts-as-loss":false,"limits":{"cpu-share":0.25,"cores":1,)"
            << R"("memory-mb":)" << m_memoryMb
            << R"(,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0},"data-dir":null,)"
            << R"("discovery":"platform","entry":"vip","heartbeat-ms":1200,)"
            << R"("contracts":["base","drain","config","cost","retry","recover","engine","stream",)"
            << R"("tenants","platform","rollout"],)"
            << R"("fault-tolerance":{"machines":2,"zones":0,"regions":0},"bounds":{"seed-lag-s":3,)"
            << R"("reuse-after-s":2,"contact-ms":3000,"ack-ms":4000,"catch-up-s":4,)"
            << R"("drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-apply-ms":2000,)"
            << R"("rollback-slack-ms":250,"max-skew-ms":5000,"strict-revoke":false,)"
            << R"("revoke-ms":5000,"retry-budget-ratio":0.9,"budget-window-s":10,)"
            << R"("retry-budget-slack":56,"exposure-share":0.15,"exposure-slack":30,)"
            << R"("rollback-ms":5000,"recovery-s":12,"pass-ms":120,"reuse-window-s":10,)"
            << R"("session-s":5},"platform":{"address":)" << address(storePort)
            << R"(,"form":"kv","writes-per-s":400,"reads-per-s":2000,"history-s":20,)"
            << R"("value-bytes":1048576,"ttl-min-ms":1000}})";
        if (std::rename((m_folder + "/next.json").c_str(), (m_folder + "/local.json").c_str()) != 0)
            throw std::runtime_error("no settings");
    }
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;
    ~machine() { remove(); }

    /// Ends the process, and removes its files.
    void remove()
    {
        stop(SIGKILL);
        unlink((m_folder + "/local.json").c_str());
        unlink((m_folder + "/log").c_str());
        rmdir(m_folder.c_str());
    }

    void start()
    {
        std::vector<std::string> words = command();
        std::vector<char *> arguments;
        for (std::string &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        std::string settings = "GOLDCRESTDECK_CONFIG=" + m_folder + "/local.json";
        std::string path = std::string("PATH=") + std::getenv("PATH");
        char *environment[] = {settings.data(), path.data(), nullptr};
        const int log = ::open((m_folder + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        m_process = fork();
        if (m_process == 0) {
            dup2(log, 1);
            dup2(log, 2);
            execve(arguments[0], arguments.data(), environment);
            _exit(127);
        }
        close(log);
    }

    void signal(int number) const
    {
        if (m_process > 0)
            kill(m_process, number);
    }

    /// Sends a signal and waits for the end of the process.
    void stop(int number)
    {
        if (m_process <= 0)
            return;
        kill(m_process, number);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }

    bool hasEnded() const { return m_process <= 0 || waitpid(m_process, nullptr, WNOHANG) != 0; }

    /// \returns whether the machine reported itself ready within \a seconds.
    bool awaitReady(double seconds) const
    {
        for (const double end = now() + seconds; now() < end; pause(0.05)) {
            const auto probe = channel::open(m_readyPort);
            if (!probe || !probe->send("GET /api/ready HTTP/1.1\r\nHost: front\r\n\r\n"))
                continue;
            const auto answer = probe->receive(1);
            if (answer && answer->status() == 200)
                return true;
        }
        return false;
    }

    /// \returns the resident memory of the process in MB.
    double memoryMb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.compare(0, 6, "VmRSS:") == 0)
                return std::strtod(line.c_str() + 6, nullptr) / 1024;
        }
        return 0;
    }

    int frontPort() const { return m_frontPort; }

private:
    /// The words of `run` of the role in deploy/system.toml; the working folder is the repository.
    static std::vector<std::string> command()
    {
        std::ifstream file("deploy/system.toml");
        std::string line;
        while (std::getline(file, line)) {
            if (line.compare(0, 5, "run =") != 0)
                continue;
            const std::size_t begin = line.find('"') + 1;
            std::istringstream words(line.substr(begin, line.find('"', begin) - begin));
            std::vector<std::string> result;
            for (std::string word; words >> word;)
                result.push_back(word);
            return result;
        }
        throw std::runtime_error("deploy/system.toml has no run command");
    }

    std::string m_name;
    int m_frontPort;
    int m_readyPort;
    int m_memoryMb;
    std::string m_folder;
    pid_t m_process = 0;
};

/// Ends the machines and this process; its threads use objects of main() until then.
[[noreturn]] inline void leave(int code, const std::vector<machine *> &machines)
{
    for (machine *ended : machines)
        ended->remove();
    std::_Exit(code);
}

/// A manifest with one key, `key-1`, of the tenant `hule930`.
inline std::string manifest(const std::string &routes, const std::string &services)
{
    return R"({"version":3,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
        + R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
        + R"("tenants":[{"name":"hule930","api-keys":["key-1"],"priority":1}]})";
}

inline std::string requestHead(const std::string &method, const std::string &path,
                               const std::string &id, int deadlineMs)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nX-Credential: key-1\r\n";
}

} // namespace rig

#endif // REVIEW_RIG3_HPP_
