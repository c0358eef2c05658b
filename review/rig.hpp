#ifndef REVIEW_RIG_HPP_
#define REVIEW_RIG_HPP_

/// \file
/// Runs goldcrest_routerd processes on loopback against the project's stand-in for the platform's
/// store and against runners that a case defines. Runners and clients send raw bytes.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "standins/platform_store.h"
#include "standins/raw_server.h"

namespace rig {

using goldcrestdeck::http1_request;
using std::chrono::milliseconds;
using connection_ptr = std::shared_ptr<standins::raw_connection>;

constexpr int broken = 1;
constexpr int held = 0;
constexpr int notRun = 2;

inline bool isTrouble()
{
    const char *value = getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Writes record.txt; each line begins with the milliseconds since the start.
class record
{
public:
    explicit record(const std::string &path)
        : m_file(fopen(path.c_str(), "w"))
        , m_start(std::chrono::steady_clock::now())
    {
        if (m_file == nullptr)
            throw std::runtime_error("cannot write " + path);
    }
    ~record() { fclose(m_file); }
    long ms() const
    {
        return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_start)
            .count();
    }
    void operator()(const char *format, ...)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        fprintf(m_file, "%7ld  ", ms());
        va_list list;
        va_start(list, format);
        vfprintf(m_file, format, list);
        va_end(list);
        fputc('\n', m_file);
        fflush(m_file);
    }

private:
    FILE *m_file;
    std::chrono::steady_clock::time_point m_start;
    std::mutex m_mutex;
};

inline sockaddr_in address(const std::string &ip, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

inline bool isFree(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in where = address(ip, port);
    const bool free = bind(fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) == 0;
    close(fd);
    return free;
}

struct response {
    int status = 0;
    std::string head;
    std::string body;
    bool whole = false;
    bool resetOrClosed = false;

    std::string field(const std::string &name) const
    {
        std::istringstream lines(head);
        std::string line;
        while (std::getline(lines, line)) {
            if (strncasecmp(line.c_str(), (name + ":").c_str(), name.size() + 1) == 0) {
                std::string value = line.substr(name.size() + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                value.erase(value.find_last_not_of(" \t\r") + 1);
                return value;
            }
        }
        return "";
    }
};

/// A blocking client connection.
class client
{
public:
    client(const std::string &ip, int port, int receiveBuffer = 0)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0)
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const sockaddr_in where = address(ip, port);
        m_open = connect(m_fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) == 0;
    }
    ~client() { end(); }
    client(const client &) = delete;
    client &operator=(const client &) = delete;

    bool isOpen() const { return m_open; }
    void end()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }
    void halfClose() { shutdown(m_fd, SHUT_WR); }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// Reads once; returns what arrived, "" at the end of the channel or after the time.
    std::string some(int timeoutMs, std::size_t most = 65536, bool *ended = nullptr)
    {
        pollfd waiting{m_fd, POLLIN, 0};
        if (poll(&waiting, 1, timeoutMs) <= 0)
            return "";
        std::string bytes(most, '\0');
        const ssize_t n = recv(m_fd, &bytes[0], most, 0);
        if (n <= 0) {
            if (ended != nullptr)
                *ended = true;
            m_error = n < 0 ? errno : 0;
            return "";
        }
        bytes.resize(static_cast<std::size_t>(n));
        return bytes;
    }
    int error() const { return m_error; }

    /// Reads one response with a length, chunks, or up to the end of the channel.
    response read(int timeoutMs, bool isHead = false)
    {
        response result;
        const auto until = std::chrono::steady_clock::now() + milliseconds(timeoutMs);
        bool ended = false;
        while (!parse(result, isHead, ended)) {
            if (ended)
                break;
            const auto left = std::chrono::duration_cast<milliseconds>(
                until - std::chrono::steady_clock::now());
            if (left.count() <= 0)
                break;
            m_buffer += some(static_cast<int>(left.count()), 65536, &ended);
        }
        result.resetOrClosed = ended;
        return result;
    }
    const std::string &buffered() const { return m_buffer; }

private:
    bool parse(response &result, bool isHead, bool ended)
    {
        const std::size_t end = m_buffer.find("\r\n\r\n");
        if (end == std::string::npos)
            return false;
        result.head = m_buffer.substr(0, end + 2);
        result.status = atoi(result.head.c_str() + 9);
        const std::string rest = m_buffer.substr(end + 4);
        if (isHead || result.status / 100 == 1 || result.status == 204 || result.status == 304) {
            result.whole = true;
            m_buffer = rest;
            return true;
        }
        if (result.field("Transfer-Encoding") == "chunked") {
            result.body.clear();
            std::size_t at = 0;
            while (true) {
                const std::size_t line = rest.find("\r\n", at);
                if (line == std::string::npos)
                    return false;
                const std::size_t size = strtoul(rest.c_str() + at, nullptr, 16);
                if (rest.size() < line + 2 + size + 2)
                    return false;
                result.body += rest.substr(line + 2, size);
                at = line + 2 + size + 2;
                if (size == 0) {
                    result.whole = true;
                    m_buffer = rest.substr(at);
                    return true;
                }
            }
        }
        const std::string length = result.field("Content-Length");
        if (!length.empty()) {
            const std::size_t size = strtoul(length.c_str(), nullptr, 10);
            result.body = rest.substr(0, size);
            if (rest.size() < size)
                return false;
            result.whole = true;
            m_buffer = rest.substr(size);
            return true;
        }
        result.body = rest;
        result.whole = ended;
        return false;
    }

    int m_fd = -1;
    bool m_open = false;
    int m_error = 0;
    std::string m_buffer;
};

/// A goldcrest_routerd process.
struct router {
    std::string name;
    std::string ip;
    int front = 0;
    int ready = 0;
    int control = 0;
    int internal = 0;
    std::string zone;
    std::string settings;
    pid_t pid = 0;
    int graceSeconds = 8;
    std::string extra; ///< Further members of the settings.
};

class cluster
{
public:
    explicit cluster(record &log)
        : m_log(log)
    {
        char name[] = "/tmp/review-2-XXXXXX";
        m_folder = mkdtemp(name);
        m_store = std::make_unique<standins::platform_store>(
            m_io, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        m_thread = std::thread([this] {
            const auto guard = boost::asio::make_work_guard(m_io);
            m_io.run();
        });
    }
    ~cluster()
    {
        for (router &each : m_routers)
            kill(each, SIGKILL);
        m_io.stop();
        m_thread.join();
        const std::string command = "rm -rf " + m_folder;
        if (getenv("KEEP") == nullptr && system(command.c_str()) != 0)
            m_log("cannot remove the temporary folder");
    }

    template<typename Work>
    auto onLoop(Work work) -> decltype(work())
    {
        std::packaged_task<decltype(work())()> task(std::move(work));
        auto result = task.get_future();
        boost::asio::post(m_io, [&task] { task(); });
        return result.get();
    }

    void put(const std::string &key, const std::string &value)
    {
        onLoop([&] { m_store->put(key, value); });
    }
    void removeKey(const std::string &key)
    {
        onLoop([&] { m_store->remove(key); });
    }
    std::string value(const std::string &key)
    {
        return onLoop([&] { return m_store->value(key); });
    }
    standins::platform_store &store() { return *m_store; }
    int storePort() const { return m_store->address().port(); }

    /// Starts a runner and registers it. \a handle runs on the loop's thread.
    int addRunner(const std::string &id, const std::string &service, const std::string &version,
                  const std::string &zone, standins::raw_connection::handler handle)
    {
        const int port = onLoop([&]() -> int {
            m_runners.push_back(std::make_unique<standins::raw_server>(
                m_io, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
                std::move(handle)));
            return m_runners.back()->address().port();
        });
        registerRunner(id, service, version, zone, port, "ready");
        return port;
    }
    void registerRunner(const std::string &id, const std::string &service,
                        const std::string &version, const std::string &zone, int port,
                        const std::string &state)
    {
        put("servers/" + id,
            "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + std::to_string(port)
                + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
                + "\",\"slots\":64,\"state\":\"" + state
                + "\",\"cold-left-ms\":0,\"born\":1796600000000,\"seq\":"
                + std::to_string(++m_sequence) + "}");
    }

    router &addRouter(const std::string &zone, const std::string &extra = "")
    {
        const int index = static_cast<int>(m_routers.size());
        router added;
        added.name = "front-" + zone + '-' + std::to_string(index + 1);
        // Addresses of its own, so that several scripts can run at the same time.
        added.ip = "127." + std::to_string(1 + getpid() % 200) + '.'
            + std::to_string(getpid() / 200 % 250) + '.' + std::to_string(index + 1);
        added.zone = zone;
        added.extra = extra;
        if (m_ports == 0)
            m_ports = 20000;
        for (; !areFree(added.ip, m_ports); m_ports += 32) { }
        added.front = m_ports;
        added.ready = m_ports + 1;
        added.control = m_ports + 2;
        added.internal = m_ports + 8;
        m_routers.reserve(64);
        m_routers.push_back(added);
        router &result = m_routers.back();
        writeSettings(result);
        return result;
    }
    void writeSettings(router &of)
    {
        of.settings = m_folder + '/' + of.name + ".json";
        std::ostringstream text;
        const auto at = [&](int port) { return '"' + of.ip + ':' + std::to_string(port) + '"'; };
        text << "{\"node-name\":\"" << of.name
             << R"(","role":"router","machine-class":"front","serves":["front","control"],"ip":")"
             << of.ip << "\",\"zone\":\"" << of.zone
             << R"(","region":"north","zones":{"za":"north","zb":"north","zc":"north"},)"
             << "\"listen\":{\"front\":" << at(of.front) << ",\"ready\":" << at(of.ready)
             << ",\"control\":" << at(of.control) << "},\"internal-ports\":[" << of.internal << ','
             << of.internal + 15 << "],\"seeds\":[\"" << m_routers.front().ip << ':' << of.control
             << R"("],"first-start":true,"limits":{"cpu-share":0.25,"cores":1,"memory-mb":260,)"
             << R"("max-fds":4200,"link-mbps":1000.0,"disk-mb":0},"data-dir":null,)"
             << R"("discovery":"platform","entry":"vip","heartbeat-ms":1200,"bounds":{)"
             << R"("contact-ms":3000,"drain-ms":2000,"loss-slack-ms":200,"grace-s":)"
             << of.graceSeconds << ','
             << R"("config-apply-ms":2000,"rollback-slack-ms":250,"max-skew-ms":5000,)"
             << R"("retry-budget-ratio":0.9,"budget-window-s":10,"retry-budget-slack":52,)"
             << R"("exposure-share":0.15,"exposure-slack":30,"rollback-ms":5000,"recovery-s":12,)"
             << R"("session-s":5},"platform":{"address":"127.0.0.1:)" << storePort()
             << R"(","form":"kv","writes-per-s":400,"reads-per-s":2000,"history-s":20,)"
             << R"("value-bytes":1048576,"ttl-min-ms":1000})" << of.extra << '}';
        const std::string draft = of.settings + ".new";
        std::ofstream(draft) << text.str();
        rename(draft.c_str(), of.settings.c_str());
    }
    void start(router &of)
    {
        const std::string logPath = m_folder + '/' + of.name + ".log";
        of.pid = fork();
        if (of.pid == 0) {
            // If the script is killed, its processes end too.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("GOLDCRESTDECK_CONFIG", of.settings.c_str(), 1);
            const int fd = open(logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execl("target/goldcrest_routerd", "target/goldcrest_routerd", nullptr);
            _exit(127);
        }
        m_log("started %s (pid %d) at %s:%d", of.name.c_str(), of.pid, of.ip.c_str(), of.front);
    }
    std::string logText(const router &of)
    {
        std::ifstream file(m_folder + '/' + of.name + ".log");
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }
    bool isReady(const router &of)
    {
        client asked(of.ip, of.ready);
        return asked.isOpen() && asked.send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            && asked.read(1000).status == 200;
    }
    bool awaitReady(const router &of, int timeoutMs = 10000)
    {
        for (int waited = 0; waited < timeoutMs; waited += 50) {
            if (isReady(of))
                return true;
            pause(50);
        }
        return false;
    }
    void signal(const router &of, int number)
    {
        m_log("signal %d to %s", number, of.name.c_str());
        ::kill(of.pid, number);
    }
    /// \returns the exit code, minus the signal that ended it, or -1000 after the time.
    int awaitExit(router &of, int timeoutMs)
    {
        for (int waited = 0; waited <= timeoutMs; waited += 20) {
            int status = 0;
            if (of.pid > 0 && waitpid(of.pid, &status, WNOHANG) == of.pid) {
                of.pid = 0;
                const int code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
                m_log("%s ended with %d", of.name.c_str(), code);
                return code;
            }
            pause(20);
        }
        return -1000;
    }
    bool isAlive(router &of)
    {
        int status = 0;
        return of.pid > 0 && waitpid(of.pid, &status, WNOHANG) == 0;
    }
    void kill(router &of, int number)
    {
        if (of.pid <= 0)
            return;
        ::kill(of.pid, SIGCONT);
        ::kill(of.pid, number);
        int status = 0;
        waitpid(of.pid, &status, 0);
        of.pid = 0;
    }
    std::vector<router> &routers() { return m_routers; }
    const std::string &folder() const { return m_folder; }

private:
    static bool areFree(const std::string &ip, int first)
    {
        for (int port = first; port < first + 24; ++port) {
            if (!isFree(ip, port))
                return false;
        }
        return true;
    }

    record &m_log;
    std::string m_folder;
    boost::asio::io_context m_io{1};
    std::unique_ptr<standins::platform_store> m_store;
    std::vector<std::unique_ptr<standins::raw_server>> m_runners;
    std::vector<router> m_routers;
    std::thread m_thread;
    int m_ports = 0;
    int m_sequence = 0;
};

/// A manifest with /safe/ and /once/ on the service "app" and /stream/ on the service "llm".
inline std::string manifest(int version, const std::string &moreRoutes = "",
                            const std::string &limits
                            = R"({"max-header-bytes":16384,"max-body-bytes":4194304,)"
                              R"("header-timeout-ms":3000,"idle-timeout-ms":15000})")
{
    return "{\"version\":" + std::to_string(version)
        + R"(,"routes":[{"name":"r-safe","host":"a.example","prefix":"/safe/","kind":"safe",)"
          R"("timeout-ms":25000,"target-latency-ms":3000,"priority":2,"service":"app",)"
          R"("max-attempts":3,"public":false,"sticky":false},)"
          R"({"name":"r-once","host":"a.example","prefix":"/once/","kind":"unsafe",)"
          R"("timeout-ms":25000,"target-latency-ms":3000,"priority":2,"service":"app",)"
          R"("max-attempts":3,"public":false,"sticky":false},)"
          R"({"name":"r-stream","host":"a.example","prefix":"/stream/","kind":"streaming",)"
          R"("timeout-ms":25000,"target-latency-ms":1500,"priority":0,"service":"llm",)"
          R"("max-attempts":3,"public":false,"sticky":true,"resumable":true,)"
          R"("target-gap-ms":1000})"
        + moreRoutes
        + R"(],"services":[{"name":"app","health-path":"/health","max-conns":110},)"
          R"({"name":"llm","health-path":"/health","max-conns":370,"engine":{"slots":64,)"
          R"("kv-capacity":739301,"models":[{"name":"m0","cost":0.016}]}}],"limits":)"
        + limits
        + R"(,"tenants":[{"name":"t1","api-keys":["key-1"]},)"
          R"({"name":"t2","api-keys":["key-2"]}]})";
}

inline std::string request(const std::string &method, const std::string &path,
                           const std::string &id, const std::string &fields = "",
                           const std::string &body = "")
{
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
        + "\r\nX-Credential: key-1\r\n" + fields;
    if (fields.find("X-Deadline-Ms") == std::string::npos)
        text += "X-Deadline-Ms: 25000\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string answer(int status, const std::string &id, const std::string &body,
                          const std::string &fields = "", bool seal = true)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Request-Id: " + id + "\r\n"
        + (seal ? "X-Response-Seal: seal-" + id + "\r\n" : std::string()) + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace rig

#endif // REVIEW_RIG_HPP_
