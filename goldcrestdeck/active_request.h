#ifndef GOLDCRESTDECK_ACTIVE_REQUEST_H_
#define GOLDCRESTDECK_ACTIVE_REQUEST_H_

/// \file
/// One client request in progress. For forwarder and its own files only.
///
/// A send is one attempt to have an instance, or another host, serve the request. Sends are
/// numbered so that late callbacks of an earlier send, which may already be queued when it is
/// cancelled, can be told from those of the current one.
///
/// The functions are defined along the life of a request: active_request.cc has its acceptance, its
/// timers and its end, active_request_send.cc the sends to instances, active_request_response.cc
/// their responses and the cascade of models, and active_request_handover.cc the sends to other
/// hosts.

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/algorithm/string/join.hpp>

#include "goldcrestdeck/forwarder.h"
#include "goldcrestdeck/home_regions.h"
#include "goldcrestdeck/numbered_events.h"
#include "goldcrestdeck/one_shot_timer.h"

namespace goldcrestdeck {

namespace http = boost::beast::http;

/// Retry-After when no instance accepted the request; jittered by up to 50% either way.
constexpr std::chrono::milliseconds busyRetryAfter{600};
/// Code of the refusal in place of a response whose status promises that the request has not run,
/// from an upstream that does not state so.
constexpr const char *unconfirmedRefusalCode = "unconfirmed_refusal";
/// Fraction of the upstream's keep-alive timeout for which an idle connection is reused. Smaller
/// for at-most-once requests, which cannot be retried if the upstream closes the connection
/// meanwhile.
constexpr double atMostOnceIdleFraction = 0.25;
constexpr double repeatableIdleFraction = 0.75;

std::string formatMilliseconds(duration time);
bool isEventStream(const http1_response_head &head);
/// A response of this host in place of an instance's. \a run says whether the request has run.
http1_response makeRefusal(http::status status, const std::string &code, execution_state run,
                           std::optional<std::chrono::milliseconds> retryAfter);

class forwarder::active_request : public std::enable_shared_from_this<forwarder::active_request>
{
public:
    /// \a handover: the state of a request that another host has handed over.
    active_request(forwarder &owner, client_request request,
                   std::shared_ptr<response_writer> writer,
                   std::optional<handover_request> handover)
        : m_owner(owner)
        , m_dependencies(owner.m_dependencies)
        , m_drain(owner.m_drain)
        , m_state(owner.m_dependencies.state)
        , m_request(std::move(request))
        , m_writer(std::move(writer))
        , m_handover(std::move(handover))
        , m_activeRequests(owner.m_activeRequests)
        , m_heldBytes(owner.m_dependencies.memory, "")
        , m_timer(owner.m_dependencies.io.get_executor())
        , m_slowTimer(owner.m_dependencies.io.get_executor())
        , m_started(owner.m_dependencies.time.now())
    { }

    void start();

    void onViewUpdated();

    /// Whether the current send is to an instance in an evacuated failure domain.
    bool isInEvacuatedDomain() const;

    /// When the current send to an instance began, if nothing of its response has arrived.
    std::optional<time_point> waitingSince() const;
    std::string waitingFor() const { return m_chosen.target.incarnation(); }

    /// This host has lost its path to the instances: a request that waits in silence and may be
    /// repeated is sent again.
    void onPathLost();

private:
    enum class response_mode { none, buffered, eventStream };

    time_point now() const { return m_dependencies.time.now(); }

    /// Determines the route and the workspace. An unknown route or API key is refused only if the
    /// configuration is fresh or \a confirmed; otherwise the configuration is confirmed first.
    void resolveRoute(bool confirmed);

    /// Ends this request, which was handled without its body; it is handled anew with its body.
    void awaitBody();

    void refuseUnconfirmed();

    void awaitConfig();

    void accept();

    /// Takes over the state of a request that another host has handed over. \returns whether this
    /// host can serve it; if not, it has been refused.
    bool acceptHandover(const handover_request &handover);

    /// Counts the request once for the retry budget: on the host that first sends it to an
    /// instance.
    void countRequest();

    /// Whether the request may be sent again although an earlier send may have run.
    bool isRepeatable() const;

    /// The model that the router selects; empty if the client specifies it.
    std::string model() const;

    /// Arms the timer for the request deadline or, if a retry is allowed, for the earlier timeout
    /// of the current send.
    void setTimer();

    /// How long to wait for the next event of the current send, or for its response, before the
    /// request is retried on another instance.
    duration sendTimeout() const;

    /// Instances that an upgraded request avoids: that of the current send if it is slow.
    std::set<std::string> slowInstance() const;

    void onTimer();

    placement_request placementRequest() const;

    /// Sends the request, for the first time or as a retry, to the best available instance.
    void send();

    /// Sends the request to another instance if its send has not begun and the failure domain of
    /// the target has been evacuated.
    void leaveEvacuatedDomain();

    /// Updates the metric and the log for the share of requests that leave the failure domain.
    void reportSpillover(time_point time);
    /// Resets what is known of the current send.
    void beginSend(time_point time, const std::string &receiver);

    /// Whether the request goes to another host because this one reaches no instance. A request of
    /// another host is not handed on.
    bool mayHandOver() const { return !m_handover && m_owner.m_path.isLost(); }

    bool isBrittle() const { return m_state.brittleServices().isBrittle(m_service, now()); }

    /// The restriction on regions of the route and the workspace.
    region_restriction regions() const;

    /// \returns a host that may have a place at the brittle instances of the service, or a permit
    /// for its cold ones, where this host has none. One such host is tried at most.
    std::optional<registered_host> hostWithPlace();

    /// Hands the request over to another host.
    void sendToHost(const registered_host &target, const char *reason);

    /// The head of a response from the host that serves the request.
    void onHostHead();

    /// Whether the response of the current send is an instance's that another host passes on, not
    /// that host's own.
    bool isPassedOnByHost() const
    {
        return m_toHost && m_handoverResult && !m_handoverResult->refusedRun;
    }

    /// The end of a response from the host that serves the request, other than of a stream.
    void onHostEnd();

    void onHostFailure(call_failure failure);

    void endHostSend(handover_end end, const std::string &outcome);

    void logSendToLimitedInstance() const;

    bool isOnCandidate() const;

    /// Reports a candidate as slow that has not begun to respond in time; the response may take
    /// very long, or never come.
    void setSlowTimer();

    /// Reports the current send as slow while it is in progress. Slow responses end last, so a
    /// verdict on those that have ended would come from the fast ones.
    void reportSlow();

    void reportOutcome(bool failed, bool slow);

    /// Takes the mean interval between the events of the current stream over its first events, or
    /// over all of them if there are fewer, and compares that of a candidate with the baseline
    /// version's. A stream that has already exceeded the time allowed for so many events is slow at
    /// once.
    void recordEvents(std::size_t count);

    void recordEventInterval();

    void call(const boost::asio::ip::tcp::endpoint &endpoint);

    /// Passes the events of the current send on, and drops those of earlier ones.
    response_observer observer();

    bool isCurrent(unsigned sendNumber) const;

    void onHead(const http1_response_head &head);

    /// Records the limit on its request rate that the instance names in its response.
    void recordRateLimit();

    /// Records whether the instance says in its response that it bears few rejections.
    void recordBrittleness();

    /// Records that the instance says in its response that it leaves.
    void recordLeaving();

    void handleResponseBegun();

    /// \returns the model to resend the request to if the confidence of the response is too low.
    std::optional<std::size_t> largerModel();

    /// Whether an instance is available for the request with another model; the current response
    /// is given up only for that.
    bool canUpgrade(std::size_t modelIndex) const;

    void onBody(std::string piece);

    void onWritable();

    /// Records what the current response holds. \returns whether it may hold more.
    bool updateHeldBytes();

    /// Ends the response at once if its head says that it is larger than what is buffered.
    void endIfDeclaredOverlong();

    /// Ends a response of which more has arrived than may be held.
    void endOverlong(const char *limit);

    void beginStream();

    /// Attempts made on this host.
    unsigned usedAttempts() const { return m_attempts - m_initialAttempts; }

    void onEnd();

    void onStreamEnd();

    /// Records a response whose status promises that the request has not run, from an instance or
    /// a host that does not state so. The client must not get that status.
    void recordUnconfirmedRefusal();

    /// Takes the response that has been buffered.
    http1_response bufferedResponse();

    bool mayRetry();

    void onFailure(call_failure failure);

    /// Retries on another instance after one that has certainly not run the request. The first
    /// delivery does not count against the retry budget.
    void retryUnexecuted(const char *reason);

    /// Ends a request for which no further send is possible.
    void finishFailed(const std::string &code);

    /// Mean Retry-After of a request that has not run. If it is the instances' limits that leave no
    /// place, the time until this host has one, within bounds: another host may have one earlier.
    std::chrono::milliseconds retryAfter() const;

    void refuseQuarantined(const quarantined_segment &segment);

    void onDeadline();

    void endSend(send_result result, const char *outcome);

    /// Ids of the prompt segments that other requests may share: all but the last.
    std::vector<std::string> sharedSegments() const;

    /// What only this request, its repetitions and its session have in common: the last segment of
    /// its prompt, or its digest if it has none.
    std::string ownSegment() const;

    /// Digest of what the repetitions of a request by its client have in common. Empty if it has a
    /// prompt: the last segment tells more.
    const std::string &requestDigest() const;

    std::string sharedSegmentIds() const { return boost::algorithm::join(sharedSegments(), ","); }

    void recordResponseBytes();

    /// Records that the current send ends without a byte of the body. Before the head, the instance
    /// may not have begun with the request: that speaks against its repetitions, not against what
    /// it shares with others.
    void recordUnansweredSend();

    /// Records that the instance has survived the request.
    void recordAnswer();

    /// Adds the end of the current send to the evidence on crashes. \a failure is that of the
    /// connection.
    void recordCrashEvidence(call_failure failure);

    /// Framing of the last response, for the log; empty if there is none.
    const char *framing() const;

    void onClientGone();

    void abortStream(const std::string &code);

    /// Sends a complete response and ends the request. All complete responses go through here: if
    /// the client has the beginning of a stream, the stream is cut off instead.
    void sendResponse(http1_response response, const handover_result &result,
                      const std::string &outcome);

    void deliver(http1_response response, const char *outcome);

    void refuse(http::status status, const std::string &code,
                std::optional<std::chrono::milliseconds> retryAfter);

    void finish(unsigned status, const std::string &outcome);

    forwarder &m_owner;
    forwarder_dependencies &m_dependencies;
    const std::optional<drain_schedule> &m_drain;
    traffic_state &m_state;
    client_request m_request;
    std::shared_ptr<response_writer> m_writer;
    std::optional<handover_request> m_handover; ///< Set if another host has handed it over.
    std::shared_ptr<std::set<std::shared_ptr<active_request>>> m_activeRequests;
    std::string m_receiver; ///< Of the current send: an instance's incarnation, or a host.
    held_bytes m_heldBytes; ///< Of the response to the current send.
    one_shot_timer m_timer;
    one_shot_timer m_slowTimer;
    time_point m_started;
    time_point m_deadline;
    time_point m_sendDeadline;
    time_point m_sentAt;
    duration m_firstByteLatency{0}; ///< Of the current send, once its response has begun.
    time_point m_lastActivityAt;    ///< Start or latest event of the current send.
    std::shared_ptr<const routing_config> m_config; ///< Owns *m_route and *m_workspace.
    const route *m_route = nullptr;
    const workspace_spec *m_workspace = nullptr;
    std::string m_service;
    std::size_t m_modelIndex = 0; ///< Index in m_route->models.
    chosen_instance m_chosen;
    async_client::call_handle m_call;
    std::set<std::string> m_triedIncarnations;
    std::set<std::string> m_failedVersions;
    std::set<std::string> m_everTried; ///< Like m_triedIncarnations, but never cleared.
    std::string m_retryReason;         ///< Label of the next retry in the metrics.
    unsigned m_sends = 0;              ///< Also the number of the current send.
    unsigned m_attempts = 0;   ///< Sends that count against maxAttempts: those that may have run.
    double m_events = 0;       ///< Of all sends.
    unsigned m_deliveries = 0; ///< Sends that reached, or may yet reach, an instance.
    unsigned m_initialAttempts = 0; ///< Of m_attempts, those not made on this host.
    unsigned m_grantedAttempts = 0; ///< Of m_attempts, those left to the host of this send.
    bool m_isCounted = false;       ///< For the retry budget.
    bool m_toHost = false;          ///< The current send hands the request over.
    std::string m_helper;           ///< The host that it was last handed over to.
    std::set<std::string> m_triedHosts;
    std::optional<handover_result> m_handoverResult; ///< Of the current send, with its head.
    unsigned m_rejections = 0; ///< Sends that an instance rejected without running the request.
    unsigned m_connectFailures = 0;
    unsigned m_unansweredBreaks = 0; ///< Sends cut between the head and the body of the response.
    bool m_chargedAsRetry = false;   ///< The current send was charged to the retry budget.
    bool m_finished = false;
    bool m_awaitingConfig = false;
    bool m_sending = false;
    bool m_responseBegun = false;
    mutable std::string m_requestDigest; ///< See requestDigest(); empty until it is asked for.
    bool m_bodyBegun = false; ///< A byte of the current send's response body has arrived.
    /// An instance has begun the body of a response to this request, sent to this host or to
    /// another one. It has survived the request, so a later quarantine does not apply to it.
    bool m_answered = false;
    bool m_slow = false;            ///< The candidate responds much more slowly than the baseline.
    bool m_outcomeReported = false; ///< Of the current send, before its end.
    std::size_t m_eventsInSend = 0;
    bool m_intervalRecorded = false; ///< Of the current send.
    time_point m_firstEventAt;       ///< Of the current send.
    time_point m_lastEventAt;        ///< Of the current send.
    bool m_mayHaveRun = false;       ///< An instance may have begun to run the request.
    bool m_streaming = false;        ///< The response head has been sent to the client.
    bool m_allEventsNumbered = true; ///< Every event so far had an id, as resuming requires.
    response_mode m_mode = response_mode::none;
    http1_response_head m_head;
    response_metadata m_metadata;
    std::string m_body;
    numbered_event_splitter m_splitter;
    std::optional<std::uint64_t> m_lastEventId;
    /// An upstream's error response, returned if the retries get nothing better.
    std::optional<http1_response> m_fallbackResponse;
    std::optional<held_bytes> m_fallbackBytes;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ACTIVE_REQUEST_H_
