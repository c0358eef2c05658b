// The settings name another address of the platform's store, and the old one ends later. Machines
// that were told by SIGHUP, or whose file has changed without a signal, stay at the old one.

#include "rig3.hpp"

#include <poll.h>

#include <set>

namespace {

constexpr double oldAddressStays = 10; ///< After the change of the settings, in seconds.
constexpr double contact = 3;          ///< `contact-ms`.
constexpr double configApply = 2;      ///< `config-apply-ms`.
constexpr int requests = 10;           ///< Of each kind, at each machine.

/// Another address of the store.
class address_of_store
{
public:
    address_of_store(int port, int storePort)
        : m_storePort(storePort)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = rig::loopback(port);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || listen(m_listener, 512) != 0)
            throw std::runtime_error("cannot listen");
        std::thread([this] {
            for (;;) {
                const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    return;
                std::thread([this, accepted] { relay(accepted); }).detach();
            }
        }).detach();
    }

    /// Refuses new connections and ends the open ones.
    void end()
    {
        shutdown(m_listener, SHUT_RDWR);
        close(m_listener);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const int fd : m_connections)
            shutdown(fd, SHUT_RDWR);
    }

private:
    void relay(int accepted)
    {
        const int store = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = rig::loopback(m_storePort);
        const int on = 1;
        setsockopt(store, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_connections.insert(accepted);
        }
        bool isOpen
            = connect(store, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        while (isOpen) {
            pollfd ends[] = {{accepted, POLLIN, 0}, {store, POLLIN, 0}};
            poll(ends, 2, -1);
            for (int i = 0; i < 2 && isOpen; ++i) {
                if (ends[i].revents == 0)
                    continue;
                char bytes[65536];
                const ssize_t count = recv(ends[i].fd, bytes, sizeof bytes, 0);
                isOpen = count > 0
                    && send(ends[1 - i].fd, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL)
                        == count;
            }
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_connections.erase(accepted);
        close(accepted);
        close(store);
    }

    int m_storePort;
    int m_listener;
    std::mutex m_mutex;
    std::set<int> m_connections;
};

std::string manifestOf(int version, const std::string &keys, const std::string &moreRoutes)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r-sign","host":"ficu95.example","prefix":"/puxa403/",)"
          R"("kind":"unsafe","timeout-ms":2000,"target-latency-ms":300,"priority":2,)"
          R"("service":"waiver-app","max-attempts":1,"public":false})"
        + moreRoutes
        + R"(],"services":[{"name":"waiver-app","health-path":"/health","max-conns":110}],)"
          R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
          R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
          R"("tenants":[{"name":"hule930","api-keys":[)"
        + keys + R"(],"priority":1}]})";
}

/// \returns the status of the answer; 0 if there is none.
int ask(int port, const std::string &path, const std::string &id, const std::string &key)
{
    const auto peer = rig::channel::open(port);
    if (!peer
        || !peer->send("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id
                       + "\r\nX-Deadline-Ms: 2000\r\nX-Credential: " + key
                       + "\r\nContent-Length: 0\r\n\r\n"))
        return 0;
    const auto answer = peer->receive(4);
    return answer ? answer->status() : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    rig::record record(argv[1]);
    const int ports = rig::freePorts(60);
    const int storePort = ports;
    const int oldPort = ports + 1;
    rig::store store(storePort);
    address_of_store oldAddress(oldPort, storePort);
    const auto work = [&record](const rig::message &request) {
        const std::string id = request.field("x-request-id");
        record.line(id + " runs, " + request.target());
        return rig::response(200, "X-Request-Id: " + id + "\r\nX-Response-Seal: 3e1b.07\r\n",
                             "done");
    };
    rig::runner firstRunner(store, ports + 2, "i-7f3a91c2", "waiver-app", work);
    rig::runner secondRunner(store, ports + 3, "i-8e40b1d3", "waiver-app", work);
    store.put("op/config", manifestOf(3, R"("key-1","key-2")", ""));
    rig::machine first("front-oban-a-1", ports + 5, oldPort, 260);
    rig::machine second("front-oban-a-2", ports + 25, oldPort, 260);
    if (!first.awaitReady(15) || !second.awaitReady(15)) {
        record.summary("could not run: a machine is not ready");
        rig::leave(2, {&first, &second});
    }
    rig::pause(1);
    if (rig::troubled()) {
        first.writeSettings(storePort);
        second.writeSettings(storePort);
        first.signal(SIGHUP);
        record.line("the settings name the store's new address; machine 1 gets SIGHUP");
    }
    rig::pause(oldAddressStays);
    if (rig::troubled()) {
        oldAddress.end();
        record.line("the store's old address has ended");
    }
    rig::pause(contact + 1);
    store.put(
        "op/config",
        manifestOf(5, R"("key-1")",
                   R"(,{"name":"r-new","host":"ficu95.example","prefix":"/lo20/",)"
                   R"("kind":"unsafe","timeout-ms":2000,"target-latency-ms":300,)"
                   R"("priority":2,"service":"waiver-app","max-attempts":1,"public":false})"));
    record.line("version 5 is confirmed: key-2 is withdrawn, /lo20/ is added");
    rig::pause(configApply + 3);
    int stale = 0;
    int current = 0;
    const rig::machine *machines[] = {&first, &second};
    for (int m = 0; m < 2; ++m) {
        for (int i = 0; i < requests; ++i) {
            const std::string id = std::to_string(m + 1) + std::to_string(i);
            const int withdrawn
                = ask(machines[m]->frontPort(), "/puxa403/2f", "b0000000000000" + id, "key-2");
            const int added
                = ask(machines[m]->frontPort(), "/lo20/1", "c0000000000000" + id, "key-1");
            const bool isRefused = added == 401 || added == 403 || added == 404;
            stale += (withdrawn == 200 ? 1 : 0) + (isRefused ? 1 : 0);
            current += (withdrawn == 401 ? 1 : 0) + (added == 200 ? 1 : 0);
            record.line("machine " + std::to_string(m + 1) + ": with the withdrawn key "
                        + std::to_string(withdrawn) + ", on the new route "
                        + std::to_string(added));
        }
        record.line("machine " + std::to_string(m + 1)
                    + (machines[m]->awaitReady(1) ? " says that it is ready" : " is not ready"));
    }
    record.summary("requests handled as only version 3 allows: " + std::to_string(stale)
                   + ", as version 5 says: " + std::to_string(current) + ", of "
                   + std::to_string(4 * requests));
    record.summary(stale > 0 ? "CONFIG: broken" : "CONFIG: held");
    rig::leave(stale > 0 ? 1 : 0, {&first, &second});
}
