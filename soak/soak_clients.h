#ifndef SOAK_SOAK_CLIENTS_H_
#define SOAK_SOAK_CLIENTS_H_

/// \file
/// Callers of all kinds that go on through every fault, and what they hold against the routers.
///
/// Each caller keeps a connection for as long as the host does, sends one request after another and
/// checks every answer by itself; what needs the runners' own record is checked by judge() once no
/// request is under way. A prober for each host watches that its configuration never goes back.

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/soak_world.h"

namespace soak {

/// Answers by kind of request and status; status 0: the connection ended without a whole answer.
using answer_counts = std::map<std::pair<std::string, unsigned>, int>;

class soak_clients
{
public:
    soak_clients(soak_world &world, std::size_t callers);
    ~soak_clients();

    void noteGeneration(int generation) { m_generation = generation; }
    /// Ends all callers and waits for them.
    void stop();

    /// What was found wrong so far, each with the request's id.
    std::vector<std::string> violations();
    answer_counts answers();
    /// Compares what callers were told with what \a world's runners did.
    void judge();

private:
    struct told {
        std::string kind;
        unsigned status = 0;
    };

    void call(std::size_t caller);
    void probe(std::size_t host);
    void check(const std::string &kind, const std::string &id,
               const goldcrestdeck::http1_response &answer);
    void note(const std::string &kind, const std::string &id, unsigned status);
    void violate(const std::string &what);

    soak_world &m_world;
    std::atomic<bool> m_stop{false};
    std::atomic<int> m_generation{1};
    std::mutex m_mutex;
    std::map<std::string, told> m_told; ///< By request id.
    std::vector<std::string> m_violations;
    std::vector<std::thread> m_threads;
};

} // namespace soak

#endif // SOAK_SOAK_CLIENTS_H_
