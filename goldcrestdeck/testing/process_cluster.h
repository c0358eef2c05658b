#ifndef GOLDCRESTDECK_TESTING_PROCESS_CLUSTER_H_
#define GOLDCRESTDECK_TESTING_PROCESS_CLUSTER_H_

/// \file
/// The whole system as processes on loopback: stand-ins and hosts, started, frozen and killed by
/// tests.

#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "goldcrestdeck/http_client.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/operator_client.h"
#include "goldcrestdeck/testing/tcp_relay.h"

namespace goldcrestdeck {

/// A child process; killed when the object goes.
class child_process
{
public:
    /// Standard error goes to \a logFile, standard output to \a outputFile.
    child_process(const std::vector<std::string> &arguments, const std::string &logFile,
                  const std::string &outputFile = "/dev/null");
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const;
    pid_t id() const { return m_pid; }
    /// Waits for the end. \returns the exit code, or minus the signal.
    int wait();
    /// Whether it has ended; wait() then gives its code at once.
    bool hasEnded();

private:
    void noteEnd(int status);

    pid_t m_pid = 0;
    bool m_ended = false;
    int m_result = 0;
};

/// Ports that were free a moment ago.
std::vector<int> freePorts(std::size_t count);

/// Calls \a condition until it holds, for at most a generous time. \returns whether it held.
bool eventually(const std::function<bool()> &condition);

struct engine_plan {
    std::string name;
    std::string failureDomain;
    std::vector<std::string> versions;
    double quality = 0.9;
    bool isService = false;
};

class process_cluster
{
public:
    /// Starts the platform, \a upstreams, and \a hosts hosts over three failure domains.
    /// Engines take \a tokenMs for each token. With \a links, hosts reach each other and the
    /// key-value service through relays, so that a host can be cut off.
    process_cluster(std::size_t hosts, const std::vector<engine_plan> &upstreams, int tokenMs = 1,
                    bool links = false);
    ~process_cluster();
    process_cluster(const process_cluster &) = delete;
    process_cluster &operator=(const process_cluster &) = delete;

    std::string url(std::size_t host) const;
    std::string standinUrl(const std::string &name) const;
    std::size_t hostCount() const { return m_hosts.size(); }
    child_process &host(std::size_t index) { return *m_hosts.at(index); }
    /// Starts a host again under its name and addresses.
    void restartHost(std::size_t index);
    bool isReady(std::size_t host);
    bool waitAllReady();

    /// Cuts a host off from its peers, or from the key-value service, or heals the link.
    void cutFromPeers(std::size_t host, bool cut);
    void cutFromStore(std::size_t host, bool cut);

    /// Orders a stand-in ("kv", "rating", "hostlist" or an upstream's name) to misbehave.
    void fault(const std::string &standin, const std::string &order);
    /// What an upstream logged, as rows of id, version, key and outcome.
    json_value logOf(const std::string &upstream);
    std::uint64_t storeCalls();
    void setUpstreamState(const std::string &upstream, const std::string &state);

    operator_client operators(std::size_t host) const;
    /// Applies rows of "workspace,version,weight,calls"; the workspace's key is "key-WORKSPACE".
    edit_report apply(std::size_t host, const std::vector<std::string> &rows);
    edit_report setState(std::size_t host, const std::string &workspace, const std::string &version,
                         const std::string &state);

    /// A caller's request. Status 0: no whole answer came.
    struct answer {
        long status = 0;
        std::string body;
        std::vector<http_header> headers;

        std::string header(const std::string &name) const;
        /// The "run" of a refusal, or "".
        std::string run() const;
        std::string code() const;
    };
    answer chat(std::size_t host, const std::string &workspace, const std::string &content,
                bool stream = false, const std::string &session = "");
    answer service(std::size_t host, const std::string &workspace, const std::string &path,
                   const std::string &key, const std::string &body = "{}");
    answer send(const http_request &request);

private:
    void startStandin(const std::string &name, std::vector<std::string> arguments);
    void startHost(std::size_t index);
    std::string peerAddress(std::size_t host) const;
    std::string advertisedAddress(std::size_t host) const;
    std::string storeUrl(std::size_t host) const;

    std::string m_folder;
    http_client m_client;
    std::map<std::string, int> m_ports; ///< Of the stand-ins.
    std::map<std::string, std::unique_ptr<child_process>> m_standins;
    std::vector<int> m_httpPorts;
    std::vector<int> m_peerPorts;
    std::vector<std::unique_ptr<tcp_relay>> m_peerRelays;  ///< In front of each host.
    std::vector<std::unique_ptr<tcp_relay>> m_storeRelays; ///< Between each host and the service.
    std::vector<std::unique_ptr<child_process>> m_hosts;
};

/// The rows of the account with a column, read through \a client.
std::vector<std::string> columnOf(const row_set &rows, const std::string &column);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_PROCESS_CLUSTER_H_
