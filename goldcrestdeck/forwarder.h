#ifndef GOLDCRESTDECK_FORWARDER_H_
#define GOLDCRESTDECK_FORWARDER_H_

/// \file
/// Takes clients' requests to upstream instances and their answers back.
///
/// Give handle() to an async_server and tell the forwarder each new view. It promises: a request
/// that is not idempotent is sent again only if it certainly has not run; an answer that broke off
/// never looks whole; every request gets a final answer by its route's time-out; a client that
/// leaves ends its work upstream at once. All on the traffic thread.

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "goldcrestdeck/async_client.h"
#include "goldcrestdeck/drain_policy.h"
#include "goldcrestdeck/router_metrics.h"
#include "goldcrestdeck/store_follower.h"
#include "goldcrestdeck/traffic_state.h"
#include "goldcrestdeck/wire_format.h"

namespace goldcrestdeck {

struct forwarder_parts {
    boost::asio::io_context &io;
    const clock &time;
    async_client &client;
    traffic_state &state;
    router_metrics &counters;
    wire_format wire;
    /// Asks the control thread whether the configuration is still the newest; the answer comes back
    /// on the traffic thread, behind any new view.
    std::function<void(std::function<void(bool)>)> confirm;
    /// Tells the control thread of an answer of a service that is being rolled out.
    std::function<void(const rollout_answer &)> reportAnswer;
};

class forwarder
{
public:
    explicit forwarder(forwarder_parts parts);
    ~forwarder();
    forwarder(const forwarder &) = delete;
    forwarder &operator=(const forwarder &) = delete;

    void handle(http1_request request, std::shared_ptr<http_answer> answer);
    /// The state has a new view: requests that came before the first one go on.
    void noteView();
    /// The process is to stop: from now on, only what can still be served is taken.
    void beginDrain(const drain_times &times);
    std::size_t inProgress() const;

private:
    class job;

    forwarder_parts m_parts;
    std::optional<drain_times> m_drain;
    std::shared_ptr<std::set<std::shared_ptr<job>>> m_jobs;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_FORWARDER_H_
