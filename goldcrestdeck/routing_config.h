#ifndef GOLDCRESTDECK_ROUTING_CONFIG_H_
#define GOLDCRESTDECK_ROUTING_CONFIG_H_

/// \file
/// The operator's routing configuration. It maps a request to a route, a route to services, and an
/// API key to a workspace.
///
/// It is built from decoded parts and immutable afterwards, so any thread can read it. A newer
/// configuration is a new object.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/async_server.h"

namespace goldcrestdeck {

enum class request_kind {
    idempotent,
    at_most_once, ///< Not idempotent: executed at most once.
    stream        ///< Answered by an event stream.
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
    request_kind kind = request_kind::idempotent;
    std::chrono::milliseconds timeout{30'000};
    std::chrono::milliseconds targetLatency{1000}; ///< For streams, to the first event.
    std::chrono::milliseconds targetGap{0}; ///< Between events of a stream; 0 if none is set.
    unsigned priority = 5;                  ///< 0 is the most urgent.
    unsigned maxAttempts = 1;
    std::vector<std::string> models; ///< Smallest first; empty if the client chooses the model.
    std::vector<weighted_service> services;
    bool isPublic = false; ///< Requests need no API key.
    bool resumable = false;
    std::vector<std::string> allowedRegions; ///< Of instances; empty if any region is allowed.
};

struct model_cost {
    std::string name;
    double costPerKiloToken = 0;
};

struct service_spec {
    std::string name;
    unsigned maxConnections = 0;
    unsigned slots = 0; ///< Of an inference engine; 0 for a plain service.
    std::vector<model_cost> models;
    /// How long an instance is cold after its start; 0 if instances are never cold.
    std::chrono::milliseconds coldPeriod{0};
    /// Requests per second that a cold instance accepts; 0 if it has no limit.
    double coldRequestsPerSecond = 0;
};

struct workspace_spec {
    std::string name;
    std::vector<std::string> keys;
    std::optional<unsigned> priority;        ///< Overrides the route's.
    std::vector<std::string> allowedRegions; ///< Of instances; empty if any region is allowed.
};

struct routing_parts {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_spec> services;
    std::vector<workspace_spec> workspaces;
    bool requiresKeys = false;
    request_limits limits;
};

class routing_config
{
public:
    explicit routing_config(routing_parts parts);

    std::uint64_t version() const { return m_parts.version; }
    const request_limits &limits() const { return m_parts.limits; }
    const std::vector<route> &routes() const { return m_parts.routes; }
    bool requiresKeys() const { return m_parts.requiresKeys; }

    /// \returns the route of \a host with the longest matching prefix of \a path, or nullptr. The
    /// port in \a host and the query in \a path are ignored.
    const route *match(const std::string &host, const std::string &path) const;
    const workspace_spec *workspaceOf(const std::string &key) const;
    const service_spec *service(const std::string &name) const;

private:
    routing_parts m_parts;
    std::map<std::string, std::map<std::string, std::size_t>>
        m_byHost; ///< Index of the route, by host and prefix.
    std::map<std::string, std::size_t> m_byKey;
    std::map<std::string, std::size_t> m_byService;
};

/// Selects one of the services by weight. \a draw is a uniform random number in [0, 1). \returns an
/// empty string if the route has no services.
std::string chooseService(const route &matched, double draw);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROUTING_CONFIG_H_
