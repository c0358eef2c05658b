#ifndef REVIEW_RAW_RUNNER_HPP_
#define REVIEW_RAW_RUNNER_HPP_

/// \file
/// A runner with one thread for each channel. Unlike the project's raw_server it takes heads of up
/// to 64 KiB. It serves whole, sealed answers after a fixed working time, and drops a request whose
/// channel closes.

#include <atomic>
#include <functional>
#include <list>

#include "rig.hpp"

namespace rig {

/// Counts that the threads of a case share.
struct run_log {
    std::mutex mutex;
    std::map<std::string, int> begun; ///< By request id.
    std::map<std::string, int> ended;

    void begin(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ++begun[id];
    }
    void end(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ++ended[id];
    }
    int begunOf(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto found = begun.find(id);
        return found == begun.end() ? 0 : found->second;
    }
    int endedOf(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto found = ended.find(id);
        return found == ended.end() ? 0 : found->second;
    }
};

class raw_runner
{
public:
    /// \a work gives the time in ms for which a request with this path is worked on, \a body the
    /// body of its answer, and \a status the status of an answer once the request has been run.
    raw_runner(
        std::string id, run_log &runs, std::function<int(const std::string &)> work,
        std::function<std::string(const std::string &)> body,
        std::function<int()> status = [] { return 200; })
        : m_id(std::move(id))
        , m_runs(runs)
        , m_work(std::move(work))
        , m_body(std::move(body))
        , m_status(std::move(status))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in where = address("127.0.0.1", 0);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0
            || listen(m_listener, 256) != 0)
            throw std::runtime_error("cannot listen");
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &size);
        m_port = ntohs(bound.sin_port);
        m_accepting = std::thread([this] { accept(); });
    }
    ~raw_runner()
    {
        m_stopped = true;
        shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const int fd : m_open)
                shutdown(fd, SHUT_RDWR);
        }
        for (std::thread &each : m_threads)
            each.join();
        close(m_listener);
    }
    int port() const { return m_port; }

private:
    void accept()
    {
        while (!m_stopped) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_open.insert(fd);
            m_threads.emplace_back([this, fd] {
                serve(fd);
                const std::lock_guard<std::mutex> closing(m_mutex);
                m_open.erase(fd);
                close(fd);
            });
        }
    }

    static std::string field(const std::string &head, const std::string &name)
    {
        response parsed;
        parsed.head = head;
        return parsed.field(name);
    }

    void serve(int fd)
    {
        std::string buffer;
        std::string chunk(65536, '\0');
        while (!m_stopped) {
            const std::size_t end = buffer.find("\r\n\r\n");
            const std::string head = end == std::string::npos ? "" : buffer.substr(0, end + 2);
            const std::size_t length
                = head.empty() ? 0 : strtoul(field(head, "Content-Length").c_str(), nullptr, 10);
            if (head.empty() || buffer.size() < end + 4 + length) {
                const ssize_t n = recv(fd, &chunk[0], chunk.size(), 0);
                if (n <= 0)
                    return;
                buffer.append(chunk, 0, static_cast<std::size_t>(n));
                continue;
            }
            buffer.erase(0, end + 4 + length);
            const std::string id = field(head, "X-Request-Id");
            if (field(head, "X-Expect-Instance") != m_id) {
                send(fd, answer(421, id, "", "X-Instance-Id: " + m_id + "\r\n", false));
                continue;
            }
            const std::size_t pathBegin = head.find(' ') + 1;
            const std::string path = head.substr(pathBegin, head.find(' ', pathBegin) - pathBegin);
            m_runs.begin(id);
            if (!isKept(fd, m_work(path)))
                return;
            m_runs.end(id);
            if (!send(fd, answer(m_status(), id, m_body(path))))
                return;
        }
    }

    /// Works for \a ms. \returns false if the channel closes meanwhile.
    static bool isKept(int fd, int ms)
    {
        pollfd waiting{fd, POLLRDHUP, 0};
        return poll(&waiting, 1, ms) == 0;
    }

    static bool send(int fd, const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    std::string m_id;
    run_log &m_runs;
    std::function<int(const std::string &)> m_work;
    std::function<std::string(const std::string &)> m_body;
    std::function<int()> m_status;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_stopped{false};
    std::thread m_accepting;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::list<std::thread> m_threads;
};

} // namespace rig

#endif // REVIEW_RAW_RUNNER_HPP_
