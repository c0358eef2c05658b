#ifndef SOAK_SOAK_CLIENTS_H_
#define SOAK_SOAK_CLIENTS_H_

/// \file
/// Clients that send requests of every kind while faults are injected, and the invariants that they
/// check.
///
/// Each client reuses its connection until the host closes it, sends one request at a time and
/// validates every response. Invariants that need the runners' execution counts are checked by
/// checkExecutions() once no request is in flight. One prober per host checks that its
/// configuration never reverts to an older one.

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_cluster.h"

namespace soak {

/// Number of responses by kind of request and status. Status 0: the connection failed before a
/// complete response.
using answer_counts = std::map<std::pair<std::string, unsigned>, int>;

class soak_clients
{
public:
    soak_clients(soak_cluster &cluster, std::size_t clientCount);
    ~soak_clients();

    /// Sets the newest configuration, which the probers expect.
    void setGeneration(int generation) { m_generation = generation; }
    /// Stops all clients and probers and joins their threads.
    void stop();

    /// Violations found so far. Those of a request give its id.
    std::vector<std::string> violations();
    answer_counts answers();
    /// Checks the recorded responses against the runners' execution counts. Call after stop().
    void checkExecutions();

private:
    struct outcome {
        std::string kind;
        unsigned status = 0;
    };

    void sendRequests(std::size_t clientIndex);
    void probe(std::size_t host);
    void check(const std::string &kind, const std::string &id,
               const goldcrestdeck::http1_response &answer);
    void recordOutcome(const std::string &kind, const std::string &id, unsigned status);
    void addViolation(const std::string &what);

    soak_cluster &m_cluster;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_generation{1};
    std::mutex m_mutex;
    std::map<std::string, outcome> m_outcomes; ///< By request id.
    std::vector<std::string> m_violations;
    std::vector<std::thread> m_threads;
};

} // namespace soak

#endif // SOAK_SOAK_CLIENTS_H_
