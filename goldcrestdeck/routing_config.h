#ifndef GOLDCRESTDECK_ROUTING_CONFIG_H_
#define GOLDCRESTDECK_ROUTING_CONFIG_H_

/// \file
/// The operator's routing configuration: which route a request belongs to, which services it may go
/// to, and which workspace a key belongs to.
///
/// Build it from decoded parts; it never changes afterwards, so it can be read from any thread. A
/// newer configuration is a new object.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/async_server.h"

namespace goldcrestdeck {

enum class request_kind {
    repeatable, ///< Idempotent.
    once,       ///< Not idempotent: it may run at most once.
    stream      ///< Answered by a stream of events.
};

const char *toString(request_kind kind);

struct weighted_service {
    std::string service;
    unsigned weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::repeatable;
    std::chrono::milliseconds timeout{30'000};
    std::chrono::milliseconds targetLatency{1000}; ///< To the first event, for streams.
    std::chrono::milliseconds targetGap{0};        ///< Between events; 0 where none is set.
    unsigned priority = 5;                         ///< 0 is the most urgent.
    unsigned maxAttempts = 1;
    std::vector<std::string> models; ///< Smallest first; empty if the client names the model.
    std::vector<weighted_service> services;
    bool isPublic = false; ///< No key is asked for.
    bool resumable = false;
};

struct model_cost {
    std::string name;
    double costPerKiloToken = 0;
};

struct service_spec {
    std::string name;
    unsigned maxConnections = 0;
    unsigned slots = 0; ///< Of an engine; 0 for a plain service.
    std::vector<model_cost> models;
};

struct workspace_spec {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority; ///< Goes before the route's.
};

struct routing_parts {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_spec> services;
    std::vector<workspace_spec> workspaces;
    bool asksForKeys = false;
    client_limits limits;
};

class routing_config
{
public:
    explicit routing_config(routing_parts parts);

    std::uint64_t version() const { return m_parts.version; }
    const client_limits &limits() const { return m_parts.limits; }
    const std::vector<route> &routes() const { return m_parts.routes; }
    bool asksForKeys() const { return m_parts.asksForKeys; }

    /// The route of \a host with the longest prefix of \a path, or nullptr. A port in \a host and
    /// a query in \a path are ignored.
    const route *match(const std::string &host, const std::string &path) const;
    const workspace_spec *workspaceOf(const std::string &key) const;
    const service_spec *service(const std::string &name) const;

private:
    routing_parts m_parts;
    std::map<std::string, std::map<std::string, std::size_t>> m_byHost; ///< Prefix to route.
    std::map<std::string, std::size_t> m_byKey;
    std::map<std::string, std::size_t> m_byService;
};

/// The service that \a draw, uniform in [0, 1), falls on; empty if the route has none.
std::string chooseService(const route &matched, double draw);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROUTING_CONFIG_H_
