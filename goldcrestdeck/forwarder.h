#ifndef GOLDCRESTDECK_FORWARDER_H_
#define GOLDCRESTDECK_FORWARDER_H_

/// \file
/// Reverse proxy core: forwards client requests to upstream instances and returns the responses.
///
/// Register handle() as the request handler of an async_server and call onViewUpdated() whenever
/// the routing view changes. Guarantees:
/// - A non-idempotent request is retried only if it is certain that it has not run.
/// - A truncated response is never presented to the client as complete.
/// - Every request gets a final response within its route's timeout.
/// - When the client disconnects, the upstream request is cancelled at once.
/// - While this host has lost its path to the instances, requests are handed over to hosts that
///   have not (handover.h); a request is handed over once at most.
///
/// Not thread-safe: everything runs on the traffic thread.

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "goldcrestdeck/async_client.h"
#include "goldcrestdeck/drain_policy.h"
#include "goldcrestdeck/handover.h"
#include "goldcrestdeck/liveness_check.h"
#include "goldcrestdeck/one_shot_timer.h"
#include "goldcrestdeck/path_watch.h"
#include "goldcrestdeck/response_memory.h"
#include "goldcrestdeck/router_metrics.h"
#include "goldcrestdeck/store_follower.h"
#include "goldcrestdeck/traffic_state.h"
#include "goldcrestdeck/wire_format.h"

namespace goldcrestdeck {

struct forwarder_dependencies {
    boost::asio::io_context &io;
    const clock &time;
    async_client &client;
    traffic_state &state;
    router_metrics &metrics;
    std::shared_ptr<response_memory> memory;
    wire_format wire;
    /// Asks the control thread to confirm that the configuration is current. The callback runs on
    /// the traffic thread after any newer view has been installed; its argument is false if the
    /// store did not confirm.
    std::function<void(std::function<void(bool)>)> confirmConfiguration;
    /// Reports to the control thread the outcome of a request to a service with an active rollout.
    std::function<void(const request_outcome &)> reportOutcome;
    /// Passes this host's evidence on crashes of instances to the control thread, for other hosts.
    std::function<void(const crash_report &)> reportCrashes;
    /// Passes a limit that an instance names, or no longer names, to the control thread, for other
    /// hosts.
    std::function<void(const rate_limit_report &)> reportRateLimit;
};

/// Where a request comes from.
enum class request_origin {
    client,
    host ///< Handed over by another host, which reaches no instance.
};

class forwarder
{
public:
    explicit forwarder(forwarder_dependencies dependencies);
    ~forwarder();
    forwarder(const forwarder &) = delete;
    forwarder &operator=(const forwarder &) = delete;

    void handle(http1_request request, std::shared_ptr<response_writer> writer,
                request_origin origin = request_origin::client);
    /// Whether a request with this head has no route or no known key, as far as this host knows. It
    /// may be passed to handle() without its body, which is read if the request has a route and a
    /// key once the configuration has been confirmed.
    bool refusesHead(const http1_request_head &head) const;
    /// To be called whenever traffic_state has a new view. Resumes requests that are waiting for
    /// the first configuration.
    void onViewUpdated();
    /// Starts draining: from now on, requests are accepted only as drain_policy.h allows.
    void beginDraining(const drain_schedule &times);
    /// The number of requests in progress.
    std::size_t requestsInProgress() const;
    /// Whether this host has lost its path to the instances and hands requests over.
    bool reachesNoInstance() const { return m_path.isLost(); }

private:
    class active_request;

    /// Logs segments that entered or left the quarantine, and arms the timer of the next report.
    void onCrashEvidence();
    /// Checks whether an instance that has cut a send has crashed.
    void checkInstance(const instance &target);
    /// A connection to the instance has failed. That it has crashed is only recorded once the path
    /// to other instances is known to be intact.
    void onConnectFailed(const std::string &incarnation);
    void onPathChanged(bool isLost);
    /// Logs instances that have turned cold or warm since the last call.
    void logColdChanges();
    /// Looks for requests that wait in silence, as long as there are requests.
    void watchSilence();

    forwarder_dependencies m_dependencies;
    std::optional<drain_schedule> m_drain;
    std::shared_ptr<std::set<std::shared_ptr<active_request>>> m_activeRequests;
    one_shot_timer m_reportTimer;
    one_shot_timer m_silenceTimer;
    bool m_watchingSilence = false;
    liveness_check m_livenessCheck;
    path_watch m_path;
    handover_targets m_handoverTargets;
    std::size_t m_handedOverRequests = 0; ///< In progress, of other hosts.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_FORWARDER_H_
