#ifndef SOAK_SOAK_CLIENTS_H_
#define SOAK_SOAK_CLIENTS_H_

/// \file
/// Clients that send requests of every kind while faults are injected, and the invariants that they
/// check.
///
/// Each client sends one request at a time and validates every response. It reuses its connection
/// until the host closes it or, at random, until it changes to another host. Invariants that need
/// the instances' execution counts are checked by checkExecutions() once no request is in flight.
/// One prober per host checks that the host's configuration never reverts to an older one.

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_cluster.h"

namespace soak {

/// Number of responses by kind of request and status. Status 0: the connection failed before a
/// complete response arrived.
using response_counts = std::map<std::pair<std::string, unsigned>, int>;

class soak_clients
{
public:
    soak_clients(soak_cluster &cluster, std::size_t clientCount);
    ~soak_clients();

    /// Sets the generation of the newest configuration, which the probers ask for.
    void setGeneration(int generation) { m_generation = generation; }
    /// Stops all clients and probers and joins their threads.
    void stop();

    /// \returns descriptions of the violations found so far. Those of a request give its id.
    std::vector<std::string> violations();
    response_counts responseCounts();
    /// Checks the recorded responses against the instances' execution counts. Call after stop().
    void checkExecutions();

private:
    struct outcome {
        std::string kind;
        unsigned status = 0;
    };

    void sendRequests(std::size_t clientIndex);
    void probeConfiguration(std::size_t host);
    void checkResponse(const std::string &kind, const std::string &id,
                       const goldcrestdeck::http1_response &response);
    void recordOutcome(const std::string &kind, const std::string &id, unsigned status);
    void addViolation(const std::string &description);

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
