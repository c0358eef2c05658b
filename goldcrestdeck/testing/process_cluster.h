#ifndef GOLDCRESTDECK_TESTING_PROCESS_CLUSTER_H_
#define GOLDCRESTDECK_TESTING_PROCESS_CLUSTER_H_

/// \file
/// Runs a complete cluster as processes on loopback: the hosts and the stand-ins for the services
/// that they depend on. Tests start, suspend and kill the processes.

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

/// A child process; the destructor kills it if it is still running.
class child_process
{
public:
    /// Appends standard error to \a logFile and standard output to \a outputFile.
    child_process(const std::vector<std::string> &arguments, const std::string &logFile,
                  const std::string &outputFile = "/dev/null");
    ~child_process();
    child_process(const child_process &) = delete;
    child_process &operator=(const child_process &) = delete;

    void signal(int number) const;
    pid_t id() const { return m_pid; }
    /// Waits for the process to exit. \returns its exit code, or the negated number of the signal
    /// that terminated it.
    int wait();
    /// Checks without blocking. \returns whether the process has exited; wait() then returns its
    /// exit code immediately.
    bool hasExited();

private:
    void recordExit(int status);

    pid_t m_pid = 0;
    bool m_exited = false;
    int m_exitCode = 0;
};

/// Hands out the free TCP ports of a range one after the other, beginning again at its end.
class port_allocator
{
public:
    port_allocator(int first, std::size_t size);
    /// \throws std::runtime_error if fewer are free.
    std::vector<int> take(std::size_t count);

private:
    int m_first;
    std::size_t m_size;
    std::size_t m_next = 0;
};

/// \returns \a count distinct TCP ports that were free during the call. They are not reserved:
/// another process may bind them first.
std::vector<int> freePorts(std::size_t count);

/// Polls \a condition until it holds, for about 30 s at most. \returns whether it held.
bool eventually(const std::function<bool()> &condition);

/// A stand-in upstream: an engine or, if isService, a plain service.
struct upstream_config {
    std::string name;
    std::string failureDomain;
    std::vector<std::string> versions;
    double quality = 0.9;
    bool isService = false;
};

/// Its directory of settings and log files is removed at the end, unless the environment variable
/// GOLDCREST_KEEP_LOGS is set.
class process_cluster
{
public:
    /// Starts the platform stand-ins, \a upstreams, and \a hosts hosts spread over three failure
    /// domains. Engines take \a tokenMs milliseconds per token. With \a useRelays, hosts reach
    /// each other and the key-value service through relays, so that tests can partition them.
    process_cluster(std::size_t hosts, const std::vector<upstream_config> &upstreams,
                    int tokenMs = 1, bool useRelays = false);
    ~process_cluster();
    process_cluster(const process_cluster &) = delete;
    process_cluster &operator=(const process_cluster &) = delete;

    std::string url(std::size_t host) const;
    std::string standinUrl(const std::string &name) const;
    std::size_t hostCount() const { return m_hosts.size(); }
    child_process &host(std::size_t index) { return *m_hosts.at(index); }
    /// Restarts a host with the same name and addresses.
    void restartHost(std::size_t index);
    bool isReady(std::size_t host);
    bool waitAllReady();

    /// Starts or ends a network partition between a host and its peers, or the key-value service.
    /// Requires a cluster with relays.
    void partitionFromPeers(std::size_t host, bool partitioned);
    void partitionFromStore(std::size_t host, bool partitioned);

    /// Replaces the faults of a stand-in ("kv", "rating", "hostlist" or an upstream's name) by the
    /// JSON object \a faults; "{}" clears them.
    void injectFaults(const std::string &standin, const std::string &faults);
    /// \returns the request log of an upstream: rows of id, version, key and outcome.
    json_value requestLog(const std::string &upstream);
    /// \returns the number of reads and writes counted by the key-value service.
    std::uint64_t storeCalls();
    void setUpstreamState(const std::string &upstream, const std::string &state);

    operator_client operatorClient(std::size_t host) const;
    /// Replaces the table by \a rows, each "workspace,version,weight,calls", through edits. The API
    /// key of a workspace is "key-WORKSPACE".
    edit_report applyTable(std::size_t host, const std::vector<std::string> &rows);
    /// Edits the state of one row of the table.
    edit_report setRowState(std::size_t host, const std::string &workspace,
                            const std::string &version, const std::string &state);

    /// What a client received for a request. Status 0 means that no complete response arrived.
    struct client_response {
        long status = 0;
        std::string body;
        std::vector<http_header> headers;

        std::string header(const std::string &name) const;
        /// \returns the "run" field of a refusal (whether the request may have run), or "".
        std::string run() const;
        /// \returns the "code" field of a refusal, or "".
        std::string code() const;
    };
    /// Sends a chat completion request. \a session is the session's token; "" starts a new session.
    client_response chat(std::size_t host, const std::string &workspace, const std::string &content,
                         bool stream = false, const std::string &session = "");
    /// Calls a service. An empty \a idempotencyKey is not sent.
    client_response service(std::size_t host, const std::string &workspace, const std::string &path,
                            const std::string &idempotencyKey, const std::string &body = "{}");
    /// Sends \a request. A connection failure gives a response with status 0.
    client_response send(const http_request &request);

private:
    void startStandin(const std::string &name, std::vector<std::string> arguments);
    void startHost(std::size_t index);
    std::string peerAddress(std::size_t host) const;
    std::string advertisedAddress(std::size_t host) const;
    std::string storeUrl(std::size_t host) const;

    std::string m_folder;
    http_client m_client;
    std::map<std::string, int> m_standinPorts; ///< By name of the stand-in.
    std::map<std::string, std::unique_ptr<child_process>> m_standins;
    std::vector<int> m_httpPorts;
    std::vector<int> m_peerPorts;
    std::vector<std::unique_ptr<tcp_relay>> m_peerRelays;  ///< In front of each host.
    std::vector<std::unique_ptr<tcp_relay>> m_storeRelays; ///< One per host.
    std::vector<std::unique_ptr<child_process>> m_hosts;
};

/// \returns the values of \a column in all \a rows.
std::vector<std::string> columnValues(const row_set &rows, const std::string &column);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_PROCESS_CLUSTER_H_
