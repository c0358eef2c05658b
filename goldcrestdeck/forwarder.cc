// Each client request is handled by one active_request. A send is one attempt to have an instance
// serve it. Sends are numbered so that late callbacks of an earlier send, which may already be
// queued when it is cancelled, can be told from those of the current one.

#include "goldcrestdeck/forwarder.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include <boost/algorithm/string/join.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <xxhash.h>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/log.h"
#include "goldcrestdeck/model_cascade.h"
#include "goldcrestdeck/numbered_events.h"
#include "goldcrestdeck/one_shot_timer.h"

namespace goldcrestdeck {

namespace http = boost::beast::http;

namespace {

/// How long a request waits for the first configuration after start-up. Loading it takes some tens
/// of milliseconds when the key-value service is available.
constexpr std::chrono::milliseconds initialConfigTimeout{500};
/// How long a request waits for the configuration to be confirmed. The key-value service may be
/// sending a large one for longer.
constexpr std::chrono::milliseconds confirmationTimeout{1000};
/// Retry-After while this host has no confirmed configuration.
constexpr std::chrono::milliseconds notReadyRetryAfter{1000};
/// Retry-After while this host is draining; short, because clients retry on another host.
constexpr std::chrono::milliseconds drainingRetryAfter{50};
/// Retry-After when no instance accepted the request; jittered by up to 50% either way.
constexpr std::chrono::milliseconds busyRetryAfter{600};
/// Upper bound of Retry-After, before its jitter, when the instances' limits leave no place.
constexpr std::chrono::milliseconds maxLimitedRetryAfter{3000};
/// Maximum number of instances that may reject a request unexecuted before the client is refused.
constexpr unsigned maxRejections = 4;
/// Maximum number of connection failures per request. Higher than maxRejections because a failed
/// connection puts no load on any instance; it only delays this client.
constexpr unsigned maxConnectFailures = 16;
/// Response bytes buffered for a slow client before reading from the upstream is paused.
constexpr std::size_t maxUnsentBytes = 256 * 1024;
/// Maximum size of a buffered (non-streaming) response; larger ones are treated as malformed.
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;
/// Fraction of the upstream's keep-alive timeout for which an idle connection is reused. Smaller
/// for at-most-once requests, which cannot be retried if the upstream closes the connection
/// meanwhile.
constexpr double atMostOnceIdleFraction = 0.25;
constexpr double repeatableIdleFraction = 0.75;
/// An idempotent request is retried on another instance after this multiple of its target latency.
constexpr int latencyTimeoutFactor = 2;
/// A resumable stream is moved to another instance when its first event takes longer than both its
/// target latency and this multiple of the expected latency. The expected latency grows under load,
/// so queued streams are not moved merely because the instance is busy.
constexpr int firstEventTimeoutFactor = 6;
/// After the first event, the stream is moved when the next one takes longer than this multiple of
/// the target gap, but at least minEventTimeout.
constexpr double gapTimeoutFactor = 1.5;
constexpr std::chrono::milliseconds minEventTimeout{1200};
/// A request whose response was cut off this often before the first byte of its body, each time by
/// another instance, is not sent again: it may be what crashes them.
constexpr unsigned maxUnansweredBreaks = 2;
/// Events of a stream whose mean interval is compared with that of the baseline version; fewer if
/// the stream is shorter, but not less than the second number.
constexpr std::size_t eventsForInterval = 16;
constexpr std::size_t minEventsForInterval = 4;
/// Hosts that a request is handed over to one after the other, if they cannot help.
constexpr unsigned maxHandoverTries = 3;
/// Requests of other hosts that this host serves at a time.
constexpr std::size_t maxHandedOverRequests = 256;
/// By this much the deadline at the other host is earlier, so that its response arrives in time.
constexpr std::chrono::milliseconds handoverMargin{20};
/// Interval between searches for requests that wait in silence.
constexpr std::chrono::milliseconds silenceCheckInterval{250};
/// Instances without a response that make silence a reason to test the path. A single one may be
/// busy with a long prompt.
constexpr std::size_t minSilentInstances = 2;
/// The numerically largest, least urgent priority that instances accept.
constexpr unsigned maxPriorityValue = 9;

std::string formatMilliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

send_result resultOf(call_failure failure)
{
    switch (failure) {
    case call_failure::notSent:
        return send_result::unreachable;
    case call_failure::malformed:
        return send_result::failed;
    case call_failure::broken:
    case call_failure::timeout:
        break;
    }
    return send_result::broken;
}

bool isEventStream(const http1_response_head &head)
{
    const auto type = head[http::field::content_type];
    return type.empty() || boost::algorithm::istarts_with(type, "text/event-stream");
}

http1_response makeRefusal(http::status status, const std::string &code, execution_state run,
                           std::optional<std::chrono::milliseconds> retryAfter)
{
    http1_response response(status, 11);
    json_value body = json_value::object();
    body.set("code", code);
    body.set("run", toString(run));
    response.set(http::field::content_type, "application/json");
    if (retryAfter) {
        // Seconds with three decimals.
        const std::string decimals = std::to_string(1000 + retryAfter->count() % 1000).substr(1);
        response.set(http::field::retry_after,
                     std::to_string(retryAfter->count() / 1000) + '.' + decimals);
    }
    response.body() = body.dump();
    return response;
}

} // namespace

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

    void start()
    {
        m_activeRequests->insert(shared_from_this());
        m_owner.m_handedOverRequests += m_handover ? 1 : 0;
        m_writer->setCallbacks([self = shared_from_this()] { self->onClientGone(); },
                               [self = shared_from_this()] { self->onWritable(); });
        resolveRoute(false);
    }

    void onViewUpdated()
    {
        if (!m_awaitingConfig || m_finished || !m_state.view()->config)
            return;
        m_awaitingConfig = false;
        m_timer.cancel();
        resolveRoute(false);
    }

    /// When the current send to an instance began, if nothing of its response has arrived.
    std::optional<time_point> waitingSince() const
    {
        if (!m_sending || m_toHost || m_responseBegun)
            return std::nullopt;
        return m_sentAt;
    }
    std::string waitingFor() const { return m_chosen.target.incarnation(); }

    /// This host has lost its path to the instances: a request that waits in silence and may be
    /// repeated is sent again.
    void onPathLost()
    {
        const time_point time = now();
        if (m_finished || !waitingSince() || m_sentAt <= m_owner.m_path.lastBytesAt()
            || !isRepeatable() || m_attempts >= m_route->maxAttempts
            || !m_state.mayRetry(m_service, retry_reason::failure, time))
            return;
        m_call.cancel();
        m_mayHaveRun = true;
        endSend(send_result::cancelled, "path_lost");
        m_retryReason = "path_lost";
        send();
    }

private:
    enum class response_mode { none, buffered, eventStream };

    time_point now() const { return m_dependencies.time.now(); }

    /// Determines the route and the workspace. An unknown route or API key is refused only if the
    /// configuration is fresh or \a confirmed; otherwise the configuration is confirmed first.
    void resolveRoute(bool confirmed)
    {
        m_config = m_state.view() ? m_state.view()->config : nullptr;
        if (!m_config) {
            awaitConfig();
            return;
        }
        const routing_config &config = *m_config;
        if (m_handover && config.version() < m_handover->configVersion) {
            refuse(http::status::service_unavailable, olderConfigCode, notReadyRetryAfter);
            return;
        }
        m_route = config.match(m_request.host, m_request.path);
        if (m_route != nullptr && config.requiresKeys() && !m_route->isPublic)
            m_workspace = config.workspaceOf(m_request.key);
        const bool keyUnknown = m_route != nullptr && config.requiresKeys() && !m_route->isPublic
            && m_workspace == nullptr;
        if (m_route != nullptr && !keyUnknown) {
            accept();
            return;
        }
        if (confirmed || m_state.isFresh(now())) {
            if (keyUnknown)
                refuse(http::status::unauthorized, "unknown_key", std::nullopt);
            else
                refuse(http::status::not_found, "no_route", std::nullopt);
            return;
        }
        m_timer.set(confirmationTimeout,
                    [self = shared_from_this()] { self->refuseUnconfirmed(); });
        m_dependencies.confirmConfiguration([self = shared_from_this()](bool storeConfirmed) {
            if (self->m_finished)
                return;
            self->m_timer.cancel();
            if (storeConfirmed)
                self->resolveRoute(true);
            else
                self->refuseUnconfirmed();
        });
    }

    void refuseUnconfirmed()
    {
        if (!m_finished)
            refuse(http::status::service_unavailable, "configuration_unconfirmed",
                   notReadyRetryAfter);
    }

    void awaitConfig()
    {
        m_awaitingConfig = true;
        m_timer.set(initialConfigTimeout, [self = shared_from_this()] {
            if (!self->m_finished && self->m_awaitingConfig)
                self->refuse(http::status::service_unavailable, "no_configuration",
                             notReadyRetryAfter);
        });
    }

    void accept()
    {
        const auto timeout
            = m_request.timeout ? std::min(*m_request.timeout, m_route->timeout) : m_route->timeout;
        m_deadline = m_started + timeout;
        if (m_drain && (m_handover || !acceptsWhileDraining(*m_drain, timeout, now()))) {
            refuse(http::status::service_unavailable, stoppingCode, drainingRetryAfter);
            return;
        }
        m_service = chooseService(*m_route, m_state.draw());
        if (m_handover && !acceptHandover(*m_handover))
            return;
        if (!m_request.specifiesModel && m_route->models.empty()) {
            refuse(http::status::bad_request, "no_model", std::nullopt);
            return;
        }
        setTimer();
        send();
    }

    /// Takes over the state of a request that another host has handed over. \returns whether this
    /// host can serve it; if not, it has been refused.
    bool acceptHandover(const handover_request &handover)
    {
        const char *refusal = nullptr;
        if (m_owner.m_path.isLost())
            refusal = pathLostCode;
        else if (m_owner.m_handedOverRequests > maxHandedOverRequests)
            refusal = handoverLimitCode;
        if (refusal != nullptr) {
            refuse(http::status::service_unavailable, refusal, busyRetryAfter);
            return false;
        }
        m_deadline = std::min<time_point>(m_deadline, m_started + handover.remainingTime);
        for (const auto &service : m_route->services) {
            if (service.service == handover.service)
                m_service = handover.service;
        }
        m_attempts = m_route->maxAttempts - std::min(m_route->maxAttempts, handover.maxAttempts);
        m_initialAttempts = m_attempts;
        m_deliveries = handover.deliveries;
        m_isCounted = handover.isCounted;
        m_lastEventId = handover.lastEventId;
        if (!m_route->models.empty())
            m_modelIndex = std::min(handover.modelIndex, m_route->models.size() - 1);
        return true;
    }

    /// Counts the request once for the retry budget: on the host that first sends it to an
    /// instance.
    void countRequest()
    {
        if (m_isCounted)
            return;
        m_isCounted = true;
        m_state.recordRequest(m_service, now());
    }

    /// Whether the request may be sent again although an earlier send may have run.
    bool isRepeatable() const
    {
        return m_route->kind == request_kind::idempotent
            || (m_route->kind == request_kind::stream && m_route->resumable);
    }

    /// The model that the router selects; empty if the client specifies it.
    std::string model() const
    {
        return m_request.specifiesModel ? std::string() : m_route->models[m_modelIndex];
    }

    /// Arms the timer for the request deadline or, if a retry is allowed, for the earlier timeout
    /// of the current send.
    void setTimer()
    {
        time_point expiry = m_deadline;
        m_sendDeadline = m_deadline;
        if (m_sending && !m_toHost && isRepeatable() && m_attempts < m_route->maxAttempts)
            m_sendDeadline = std::min(m_deadline, m_lastActivityAt + sendTimeout());
        expiry = std::min(expiry, m_sendDeadline);
        m_timer.set(std::max<duration>(expiry - now(), duration(0)), [self = shared_from_this()] {
            if (!self->m_finished)
                self->onTimer();
        });
    }

    /// How long to wait for the next event of the current send, or for its response, before the
    /// request is retried on another instance.
    duration sendTimeout() const
    {
        if (m_route->kind == request_kind::idempotent)
            return latencyTimeoutFactor * m_route->targetLatency;
        if (m_streaming)
            return std::max<duration>(
                std::chrono::duration_cast<duration>(gapTimeoutFactor * m_route->targetGap),
                minEventTimeout);
        return std::max<duration>(
            m_route->targetLatency,
            firstEventTimeoutFactor
                * m_state.expectedLatency(m_service, model(), m_chosen.uncachedTokens));
    }

    void onTimer()
    {
        const time_point time = now();
        if (time >= m_deadline) {
            onDeadline();
            return;
        }
        // A host that serves the request for this one looks after its sends itself.
        const bool canRetry = m_sending && !m_toHost && isRepeatable()
            && m_attempts < m_route->maxAttempts && !(m_streaming && !m_allEventsNumbered);
        if (canRetry && time < m_lastActivityAt + sendTimeout()) {
            setTimer();
            return;
        }
        if (canRetry && m_state.mayRetry(m_service, retry_reason::failure, time)
            && (mayHandOver() || m_state.choose(placementRequest(), time))) {
            m_call.cancel();
            m_mayHaveRun = true;
            endSend(send_result::broken, "slow");
            m_retryReason = "silent";
            send();
            return;
        }
        m_sendDeadline = m_deadline;
        m_timer.set(m_deadline - time, [self = shared_from_this()] {
            if (!self->m_finished)
                self->onDeadline();
        });
    }

    placement_request placementRequest() const
    {
        placement_request placement;
        placement.service = m_service;
        placement.hasSession = !m_request.session.empty();
        placement.sessionKey = placement.hasSession ? m_request.session : m_request.id;
        placement.model = m_request.specifiesModel ? std::string() : m_route->models[m_modelIndex];
        placement.prompt = &m_request.promptSegments;
        placement.promptTokens = static_cast<double>(m_request.promptTokens);
        placement.triedIncarnations = m_triedIncarnations;
        placement.failedVersions = m_failedVersions;
        return placement;
    }

    /// Sends the request, for the first time or as a retry, to the best available instance.
    void send()
    {
        const time_point time = now();
        if (!m_answered) {
            if (const auto segment
                = m_state.quarantine().find(sharedSegments(), ownSegment(), time)) {
                refuseQuarantined(*segment);
                return;
            }
        }
        if (mayHandOver()) {
            const auto target = m_triedHosts.size() < maxHandoverTries
                ? m_owner.m_handoverTargets.choose(m_triedHosts, time)
                : std::nullopt;
            if (target)
                sendToHost(*target, pathLostCode);
            else
                finishFailed(pathLostCode);
            return;
        }
        const placement_request placement = placementRequest();
        const auto chosen = m_state.choose(placement, time);
        if (!chosen) {
            const auto target = hostWithPlace();
            if (target)
                sendToHost(*target, "no_place");
            else
                finishFailed(m_state.isRateLimited(m_service) || isBrittle() ? "instances_at_limit"
                                                                             : "no_instance");
            return;
        }
        const boost::asio::ip::tcp::endpoint endpoint = parseEndpoint(chosen->target.address);
        m_chosen = *chosen;
        m_triedIncarnations.insert(chosen->target.incarnation());
        m_chargedAsRetry = m_deliveries > 0;
        if (m_chargedAsRetry) {
            m_state.recordRetry(m_service, time);
            m_dependencies.metrics.retries(m_retryReason).Increment();
        }
        countRequest();
        ++m_deliveries;
        ++m_attempts;
        m_state.recordSend(placement, m_chosen, time);
        beginSend(time, chosen->target.incarnation());
        m_toHost = false;
        logSendToLimitedInstance();
        setTimer();
        setSlowTimer();
        call(endpoint);
    }

    /// Resets what is known of the current send.
    void beginSend(time_point time, const std::string &receiver)
    {
        ++m_sends;
        m_receiver = receiver;
        m_sentAt = time;
        m_lastActivityAt = time;
        m_sending = true;
        m_responseBegun = false;
        m_bodyBegun = false;
        m_mode = response_mode::none;
        std::string().swap(m_body); // Unlike clear(), releases its memory.
        m_splitter.discardPartial();
        m_heldBytes = held_bytes(m_dependencies.memory, m_receiver);
        updateHeldBytes();
        m_eventsInSend = 0;
        m_intervalRecorded = false;
        m_slow = false;
        m_outcomeReported = false;
    }

    /// Whether the request goes to another host because this one reaches no instance. A request of
    /// another host is not handed on.
    bool mayHandOver() const { return !m_handover && m_owner.m_path.isLost(); }

    bool isBrittle() const { return m_state.brittleServices().isBrittle(m_service, now()); }

    /// \returns a host that may have a place at the brittle instances of the service, at which this
    /// host has none. One such host is tried at most.
    std::optional<registered_host> hostWithPlace()
    {
        if (m_handover || !m_triedHosts.empty() || !isBrittle())
            return std::nullopt;
        const std::set<std::string> hosts = m_state.hostsWithPlaces(m_service);
        return m_owner.m_handoverTargets.choose(m_triedHosts, now(), &hosts);
    }

    /// Hands the request over to another host.
    void sendToHost(const registered_host &target, const char *reason)
    {
        const time_point time = now();
        m_helper = target.name;
        m_triedHosts.insert(m_helper);
        m_owner.m_handoverTargets.recordBegin(m_helper);
        const unsigned attemptsLeft
            = m_route->maxAttempts - std::min(m_route->maxAttempts, m_attempts);
        // One attempt is kept for another host, should this one break off.
        m_grantedAttempts
            = std::max(1U, isRepeatable() && attemptsLeft > 1 ? attemptsLeft - 1 : attemptsLeft);
        handover_request handover;
        handover.remainingTime = std::max(std::chrono::milliseconds(1),
                                          std::chrono::duration_cast<std::chrono::milliseconds>(
                                              m_deadline - time - handoverMargin));
        handover.maxAttempts = m_grantedAttempts;
        handover.deliveries = m_deliveries;
        handover.isCounted = m_isCounted;
        handover.service = m_service;
        handover.modelIndex = m_modelIndex;
        handover.lastEventId = m_lastEventId;
        handover.configVersion = m_config->version();
        m_attempts += m_grantedAttempts;
        ++m_deliveries;
        beginSend(time, "host " + m_helper + ' ' + target.handoverAddress);
        m_toHost = true;
        logEvent(log_level::info, "request_handed_over",
                 {{"request", m_request.id},
                  {"host", m_helper},
                  {"reason", reason},
                  {"remaining_ms", std::to_string(handover.remainingTime.count())},
                  {"attempts", std::to_string(handover.maxAttempts)},
                  {"deliveries", std::to_string(handover.deliveries)},
                  {"try", std::to_string(m_triedHosts.size())}});
        setTimer();
        http1_request message = m_request.message;
        removeHopByHopFields(message);
        message.version(11);
        if (!message.body().empty() || message.has_content_length())
            message.content_length(message.body().size());
        encodeHandover(handover, message);
        call_options options;
        options.maxIdleFraction = isRepeatable() ? repeatableIdleFraction : atMostOnceIdleFraction;
        options.memory = m_dependencies.memory;
        m_call = m_dependencies.client.call(parseEndpoint(target.handoverAddress), m_receiver,
                                            message, observer(), std::move(options));
    }

    /// The head of a response from the host that serves the request.
    void onHostHead()
    {
        const auto result = takeHandoverResult(m_head);
        m_handoverResult = result;
        if (!result)
            logEvent(log_level::warning, "handover_result_malformed",
                     {{"request", m_request.id}, {"host", m_helper}});
        else
            m_attempts = m_attempts - m_grantedAttempts + result->attempts;
        m_grantedAttempts = 0;
        m_responseBegun = true;
        m_firstByteLatency = now() - m_sentAt;
        const bool isStream = m_route->kind == request_kind::stream
            && m_head.result_int() / 100 == 2 && m_metadata.isComplete && isEventStream(m_head);
        if (isStream)
            m_mode = response_mode::eventStream;
    }

    /// The end of a response from the host that serves the request, other than of a stream.
    void onHostEnd()
    {
        if (!m_handoverResult) {
            // The host has not understood the request, or another process listens there.
            endHostSend(handover_end::unreachable, "malformed");
            m_mayHaveRun = true;
            finishFailed("handover_malformed");
            return;
        }
        const handover_result result = *m_handoverResult;
        const bool notRun = result.refusedRun == execution_state::no;
        if (notRun && mayOtherHostServe(result.refusalCode)) {
            endHostSend(result.refusalCode == pathLostCode ? handover_end::pathLost
                                                           : handover_end::refused,
                        result.refusalCode);
            --m_deliveries;
            send();
            return;
        }
        endHostSend(handover_end::served, result.refusedRun ? result.refusalCode : "served");
        if (m_streaming) {
            abortStream("resume_failed");
            return;
        }
        if (result.refusedRun && m_mayHaveRun) {
            // It has not run there, but it may have before.
            finishFailed(result.refusalCode);
            return;
        }
        if (!result.refusedRun && m_head.result_int() / 100 == 2 && !m_metadata.isComplete) {
            m_mayHaveRun = true;
            finishFailed(toString(call_failure::malformed));
            return;
        }
        deliver(bufferedResponse(), "handed_over");
    }

    void onHostFailure(call_failure failure)
    {
        endHostSend(handover_end::unreachable, toString(failure));
        if (failure == call_failure::notSent) {
            m_attempts -= std::exchange(m_grantedAttempts, 0);
            --m_deliveries;
            send();
            return;
        }
        m_mayHaveRun = true;
        if (m_streaming && (!m_allEventsNumbered || !m_lastEventId)) {
            abortStream("stream_broken");
            return;
        }
        if (mayRetry()) {
            m_retryReason = m_streaming ? "resume" : "broken";
            send();
            return;
        }
        finishFailed(toString(failure));
    }

    void endHostSend(handover_end end, const std::string &outcome)
    {
        m_sending = false;
        m_owner.m_handoverTargets.recordEnd(m_helper, end, now());
        m_dependencies.metrics.handovers(outcome).Increment();
        logEvent(log_level::info, "handover_ended",
                 {{"request", m_request.id},
                  {"host", m_helper},
                  {"outcome", outcome},
                  {"response_begun", m_responseBegun ? "yes" : "no"},
                  {"ms", formatMilliseconds(now() - m_sentAt)}});
    }

    void logSendToLimitedInstance() const
    {
        const std::string incarnation = m_chosen.target.incarnation();
        const auto limit = m_state.rateLimits().limitOf(incarnation);
        if (limit)
            logEvent(log_level::info, "sent_to_limited_instance",
                     {{"request", m_request.id},
                      {"instance", incarnation},
                      {"per_second", std::to_string(*limit)},
                      {"send", std::to_string(m_sends)},
                      {"reason", m_sends > 1 ? m_retryReason : "first"}});
    }

    bool isOnCandidate() const
    {
        return m_chosen.inRollout && m_chosen.side == version_side::candidate;
    }

    /// Reports a candidate as slow that has not begun to respond in time; the response may take
    /// very long, or never come.
    void setSlowTimer()
    {
        m_slowTimer.cancel();
        if (!isOnCandidate())
            return;
        const auto limit = m_state.slowLatency(m_route->name, model());
        if (!limit)
            return;
        const unsigned sendNumber = m_sends;
        m_slowTimer.set(*limit, [self = shared_from_this(), sendNumber] {
            if (!self->isCurrent(sendNumber) || self->m_responseBegun)
                return;
            if (self->m_owner.m_path.lastBytesAt() > self->m_sentAt) {
                self->reportSlow();
                return;
            }
            // Nothing has arrived from any instance: it may be this host's path.
            self->m_owner.m_path.awaitPath(self->waitingFor(), [self, sendNumber](bool isIntact) {
                if (isIntact && self->isCurrent(sendNumber) && !self->m_responseBegun)
                    self->reportSlow();
            });
        });
    }

    /// Reports the current send as slow while it is in progress. Slow responses end last, so a
    /// verdict on those that have ended would come from the fast ones.
    void reportSlow()
    {
        m_slow = true;
        if (m_outcomeReported)
            return;
        m_outcomeReported = true;
        reportOutcome(false, true);
    }

    void reportOutcome(bool failed, bool slow)
    {
        m_dependencies.reportOutcome(
            {m_service, m_route->name, m_chosen.orderRevision, m_chosen.side, failed, slow});
    }

    /// Takes the mean interval between the events of the current stream over its first events, or
    /// over all of them if there are fewer, and compares that of a candidate with the baseline
    /// version's. A stream that has already exceeded the time allowed for so many events is slow at
    /// once.
    void recordEvents(std::size_t count)
    {
        if (m_toHost)
            return;
        if (m_eventsInSend == 0)
            m_firstEventAt = now();
        m_eventsInSend += count;
        m_lastEventAt = now();
        if (m_eventsInSend >= eventsForInterval)
            recordEventInterval();
        else if (isOnCandidate() && !m_intervalRecorded) {
            const auto limit = m_state.slowEventInterval(m_route->name, model());
            if (limit && m_lastEventAt - m_firstEventAt > *limit * (eventsForInterval - 1))
                recordEventInterval();
        }
    }

    void recordEventInterval()
    {
        if (m_intervalRecorded || m_eventsInSend < minEventsForInterval)
            return;
        m_intervalRecorded = true;
        const duration interval
            = (m_lastEventAt - m_firstEventAt) / static_cast<duration::rep>(m_eventsInSend - 1);
        if (!isOnCandidate()) {
            m_state.recordEventInterval(m_route->name, model(), interval);
            return;
        }
        const auto limit = m_state.slowEventInterval(m_route->name, model());
        if (limit && interval > *limit)
            reportSlow();
    }

    void call(const boost::asio::ip::tcp::endpoint &endpoint)
    {
        attempt_options options;
        options.instanceId = m_chosen.target.id;
        options.remainingTime
            = std::max(std::chrono::milliseconds(1),
                       std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now()));
        options.model = model();
        if (m_workspace != nullptr)
            options.workspace = m_workspace->name;
        options.priority
            = std::min(maxPriorityValue,
                       m_workspace != nullptr && m_workspace->priority ? *m_workspace->priority
                                                                       : m_route->priority);
        if (m_lastEventId)
            options.lastEventId = std::to_string(*m_lastEventId);
        call_options callOptions;
        callOptions.maxIdleFraction
            = isRepeatable() ? repeatableIdleFraction : atMostOnceIdleFraction;
        // A response of this instance to an earlier send would name the same request.
        if (!m_everTried.insert(m_chosen.target.incarnation()).second)
            callOptions.maxIdleFraction = 0;
        callOptions.isOwnResponse = [wire = m_dependencies.wire, id = m_request.id](
                                        const http1_response_head &head, bool isReused) {
            const std::string requestId = wire.decodeResponse(head).requestId;
            return requestId == id || (requestId.empty() && !isReused);
        };
        callOptions.onConnected = [self = shared_from_this(), openedAt = m_sentAt,
                                   incarnation = m_chosen.target.incarnation()] {
            self->m_owner.m_path.recordConnected(incarnation, openedAt);
        };
        callOptions.memory = m_dependencies.memory;
        m_call = m_dependencies.client.call(endpoint, m_receiver,
                                            m_dependencies.wire.encodeRequest(m_request, options),
                                            observer(), std::move(callOptions));
    }

    /// Passes the events of the current send on, and drops those of earlier ones.
    response_observer observer()
    {
        const unsigned sendNumber = m_sends;
        const auto self = shared_from_this();
        response_observer observer;
        observer.onHead = [self, sendNumber](const http1_response_head &head) {
            if (self->isCurrent(sendNumber))
                self->onHead(head);
        };
        observer.onBody = [self, sendNumber](std::string piece) {
            if (self->isCurrent(sendNumber))
                self->onBody(std::move(piece));
        };
        observer.onEnd = [self, sendNumber] {
            if (self->isCurrent(sendNumber))
                self->onEnd();
        };
        observer.onFailure = [self, sendNumber](call_failure failure) {
            if (self->isCurrent(sendNumber))
                self->onFailure(failure);
        };
        return observer;
    }

    bool isCurrent(unsigned sendNumber) const
    {
        return !m_finished && m_sending && sendNumber == m_sends;
    }

    void onHead(const http1_response_head &head)
    {
        m_head = head;
        m_metadata = m_dependencies.wire.decodeResponse(head);
        m_mode = response_mode::buffered;
        if (m_toHost) {
            onHostHead();
            endIfDeclaredOverlong();
            return;
        }
        m_owner.m_path.recordBytes();
        recordRateLimit();
        recordBrittleness();
        recordLeaving();
        if (!m_metadata.notExecuted)
            handleResponseBegun();
        if (m_metadata.notExecuted || m_route->kind != request_kind::stream
            || head.result_int() / 100 != 2 || !m_metadata.isComplete || !isEventStream(head)) {
            endIfDeclaredOverlong();
            return;
        }
        m_mode = response_mode::eventStream;
        // The client has events of this model already, from this host or the one that handed over.
        if (m_streaming || (m_handover && m_handover->lastEventId))
            return;
        const auto next = largerModel();
        if (next && canUpgrade(*next)) {
            m_call.cancel();
            recordUnansweredSend();
            endSend(send_result::answered, "unsure");
            m_retryReason = "upgrade";
            m_modelIndex = *next;
            m_triedIncarnations.clear();
            send();
        }
    }

    /// Records the limit on its request rate that the instance names in its response.
    void recordRateLimit()
    {
        // Another process may be listening at the address.
        if (m_metadata.wrongInstance)
            return;
        const std::string incarnation = m_chosen.target.incarnation();
        if (m_metadata.malformedRateLimit) {
            logEvent(log_level::warning, "instance_limit_malformed",
                     {{"request", m_request.id},
                      {"instance", incarnation},
                      {"text", *m_metadata.malformedRateLimit}});
            return;
        }
        if (!m_state.rateLimits().recordResponse(incarnation, m_metadata.rateLimit, m_sentAt,
                                                 now()))
            return;
        m_dependencies.metrics.limitedInstances.Set(
            static_cast<double>(m_state.rateLimits().limitedCount()));
        logEvent(log_level::info,
                 m_metadata.rateLimit ? "instance_limit_named" : "instance_limit_lifted",
                 {{"request", m_request.id},
                  {"instance", incarnation},
                  {"per_second", m_metadata.rateLimit ? std::to_string(*m_metadata.rateLimit) : ""},
                  {"sent_ms_ago", formatMilliseconds(now() - m_sentAt)}});
        m_dependencies.reportRateLimit({incarnation, m_metadata.rateLimit});
    }

    /// Records whether the instance says in its response that it bears few rejections.
    void recordBrittleness()
    {
        if (m_metadata.wrongInstance)
            return;
        const std::string incarnation = m_chosen.target.incarnation();
        if (m_metadata.malformedBearableRejections) {
            logEvent(log_level::warning, "instance_brittleness_malformed",
                     {{"request", m_request.id},
                      {"instance", incarnation},
                      {"text", *m_metadata.malformedBearableRejections}});
            return;
        }
        const auto &named = m_metadata.bearableRejections;
        if (!m_state.brittleServices().recordResponse(m_service, named, m_sentAt, now()))
            return;
        m_dependencies.metrics.brittleServices.Set(
            static_cast<double>(m_state.brittleServices().brittleCount()));
        logEvent(log_level::info, named ? "service_brittle" : "service_not_brittle",
                 {{"request", m_request.id},
                  {"service", m_service},
                  {"instance", incarnation},
                  {"rejections_per_second", named ? std::to_string(*named) : ""}});
    }

    /// Records that the instance says in its response that it leaves.
    void recordLeaving()
    {
        if (!m_metadata.leaving || m_metadata.wrongInstance)
            return;
        const std::string incarnation = m_chosen.target.incarnation();
        if (m_state.recordLeaving(incarnation, now()))
            logEvent(log_level::info, "instance_leaving",
                     {{"request", m_request.id},
                      {"instance", incarnation},
                      {"view_age_ms", formatMilliseconds(now() - m_state.confirmedAt())}});
    }

    void handleResponseBegun()
    {
        m_responseBegun = true;
        recordResponseBytes();
        const duration latency = now() - m_sentAt;
        m_firstByteLatency = latency;
        m_state.recordFirstByte(m_chosen, latency);
        const version_side side
            = isOnCandidate() ? version_side::candidate : version_side::baseline;
        if (m_state.recordLatency(m_route->name, model(), side, latency))
            reportSlow();
        m_dependencies.metrics.firstByteSeconds(toString(m_route->kind))
            .Observe(std::chrono::duration<double>(latency).count());
    }

    /// \returns the model to resend the request to if the confidence of the response is too low.
    std::optional<std::size_t> largerModel()
    {
        if (m_request.specifiesModel)
            return std::nullopt;
        cascade_state state;
        state.model = m_modelIndex;
        state.modelCount = m_route->models.size();
        state.confidence = m_metadata.confidence;
        state.promptTokens = static_cast<double>(m_request.promptTokens);
        state.outputTokens = static_cast<double>(
            m_request.estimatedOutputTokens.value_or(m_request.maxOutputTokens));
        state.elapsed = now() - m_started;
        if (!m_route->models.empty()) {
            const std::string &largest = m_route->models.back();
            state.largestModelLatency
                = m_state.expectedLatency(m_service, largest, state.promptTokens);
            state.slowness = m_state.slowness(m_service, largest);
        }
        state.targetLatency = m_route->targetLatency;
        state.attemptsLeft = m_route->maxAttempts - std::min(m_route->maxAttempts, m_attempts);
        state.mayRetry
            = isRepeatable() && m_state.mayRetry(m_service, retry_reason::upgrade, now());
        return nextModel(state, cascade_parameters());
    }

    /// Whether an instance is available for the request with another model; the current response
    /// is given up only for that.
    bool canUpgrade(std::size_t modelIndex) const
    {
        placement_request placement = placementRequest();
        placement.model = m_route->models[modelIndex];
        placement.triedIncarnations.clear();
        return m_state.choose(placement, now()).has_value();
    }

    void onBody(std::string piece)
    {
        if (!m_toHost) {
            m_owner.m_path.recordBytes();
            recordResponseBytes();
        }
        if (!m_bodyBegun) {
            m_bodyBegun = true;
            if (!m_toHost)
                recordAnswer();
        }
        if (m_mode != response_mode::eventStream) {
            m_body += piece;
            if (m_body.size() > maxResponseBytes)
                endOverlong("response_limit");
            else if (!updateHeldBytes())
                endOverlong("memory_limit");
            return;
        }
        const std::vector<numbered_event> events = m_splitter.feed(piece);
        if (!events.empty())
            recordEvents(events.size());
        for (const numbered_event &event : events) {
            if (m_lastEventId && event.id && *event.id <= *m_lastEventId) {
                // Already sent: the instance did not continue after the last event.
                m_call.cancel();
                onFailure(call_failure::malformed);
                return;
            }
            beginStream();
            m_writer->write(event.text);
            m_lastActivityAt = now();
            if (event.id)
                m_lastEventId = event.id;
            else
                m_allEventsNumbered = false;
        }
        const bool mayHoldMore = updateHeldBytes();
        const std::size_t unsentBytes = m_writer->unsentBytes();
        if (m_splitter.isOverlong())
            endOverlong("event_limit");
        else if (!mayHoldMore && unsentBytes == 0)
            endOverlong("memory_limit");
        else if (!mayHoldMore || unsentBytes > maxUnsentBytes)
            m_call.pause();
    }

    void onWritable()
    {
        if (m_finished)
            return;
        updateHeldBytes();
        m_call.resume();
    }

    /// Records what the current response holds. \returns whether it may hold more.
    bool updateHeldBytes()
    {
        return m_heldBytes.set(m_body.size() + m_splitter.partial().size()
                               + (m_streaming ? m_writer->unsentBytes() : 0));
    }

    /// Ends the response at once if its head says that it is larger than what is buffered.
    void endIfDeclaredOverlong()
    {
        const std::string length(m_head[http::field::content_length]);
        const bool hasBody = m_request.message.method() != http::verb::head;
        if (m_mode == response_mode::buffered && hasBody
            && std::strtoull(length.c_str(), nullptr, 10) > maxResponseBytes)
            endOverlong("response_limit");
    }

    /// Ends a response of which more has arrived than may be held.
    void endOverlong(const char *limit)
    {
        logEvent(log_level::warning, "response_overlong",
                 {{"request", m_request.id},
                  {"sender", m_receiver},
                  {"limit", limit},
                  {"held_bytes", std::to_string(m_heldBytes.bytes())},
                  {"held_of_sender", std::to_string(m_dependencies.memory->heldBy(m_receiver))},
                  {"held_of_all", std::to_string(m_dependencies.memory->total())}});
        m_call.cancel();
        // What the head says of the execution is true however the body goes on.
        if (m_metadata.notExecuted && !m_toHost)
            onEnd();
        else
            onFailure(call_failure::malformed);
    }

    void beginStream()
    {
        if (m_streaming)
            return;
        m_streaming = true;
        http1_response_head head = m_head;
        removeHopByHopFields(head);
        if (m_handover)
            encodeHandoverResult({usedAttempts(), std::nullopt, ""}, head);
        m_writer->begin(head);
    }

    /// Attempts made on this host.
    unsigned usedAttempts() const { return m_attempts - m_initialAttempts; }

    void onEnd()
    {
        if (m_toHost && m_mode != response_mode::eventStream) {
            onHostEnd();
            return;
        }
        if (m_metadata.notExecuted) {
            endSend(send_result::refused, "refused");
            --m_attempts;
            ++m_rejections;
            retryUnexecuted("refused");
            return;
        }
        if (m_mode == response_mode::eventStream) {
            onStreamEnd();
            return;
        }
        const bool success = m_head.result_int() / 100 == 2;
        if (success && !m_metadata.isComplete) {
            onFailure(call_failure::malformed);
            return;
        }
        if (!m_bodyBegun)
            recordAnswer();
        const bool failure = m_head.result_int() >= 500;
        endSend(failure ? send_result::failed : send_result::answered,
                failure ? "failed" : "answered");
        if (m_streaming) {
            // The attempt to resume the stream got a response that is not an event stream.
            abortStream("resume_failed");
            return;
        }
        if (failure && mayRetry()) {
            m_retryReason = "failed";
            m_fallbackResponse = bufferedResponse();
            m_fallbackBytes = std::move(m_heldBytes);
            send();
            return;
        }
        deliver(bufferedResponse(), failure ? "upstream_failure" : "served");
    }

    void onStreamEnd()
    {
        const bool isTruncated = m_splitter.isInsideEvent();
        m_dependencies.metrics.streamEnds(toString(bodyFraming(m_head)), isTruncated).Increment();
        if (isTruncated) {
            onFailure(call_failure::broken);
            return;
        }
        beginStream();
        if (!m_toHost)
            recordEventInterval();
        m_writer->write(m_splitter.partial());
        endSend(send_result::answered, "answered");
        m_writer->end();
        finish(m_head.result_int(), "served");
    }

    /// Takes the response that has been buffered.
    http1_response bufferedResponse()
    {
        http1_response response;
        response.base() = m_head;
        removeHopByHopFields(response);
        response.body() = std::exchange(m_body, std::string());
        return response;
    }

    bool mayRetry()
    {
        return isRepeatable() && m_attempts < m_route->maxAttempts && now() < m_deadline
            && m_state.mayRetry(m_service, retry_reason::failure, now());
    }

    void onFailure(call_failure failure)
    {
        if (m_toHost) {
            onHostFailure(failure);
            return;
        }
        const bool notDelivered = failure == call_failure::notSent;
        recordCrashEvidence(failure);
        endSend(resultOf(failure), toString(failure));
        if (notDelivered) {
            --m_attempts;
            --m_deliveries;
            ++m_connectFailures;
            if (m_chargedAsRetry)
                m_state.refundRetry(m_service, m_sentAt);
            retryUnexecuted("unreachable");
            return;
        }
        m_mayHaveRun = true;
        if (m_streaming && (!m_allEventsNumbered || !m_lastEventId)) {
            abortStream("stream_broken");
            return;
        }
        if (m_unansweredBreaks < maxUnansweredBreaks && mayRetry()) {
            m_retryReason = m_streaming ? "resume" : "broken";
            send();
            return;
        }
        finishFailed(toString(failure));
    }

    /// Retries on another instance after one that has certainly not run the request. The first
    /// delivery does not count against the retry budget.
    void retryUnexecuted(const char *reason)
    {
        m_retryReason = reason;
        const bool isWithinBudget
            = m_deliveries == 0 || m_state.mayRetry(m_service, retry_reason::failure, now());
        if (m_rejections < maxRejections && m_connectFailures < maxConnectFailures
            && now() < m_deadline && isWithinBudget) {
            send();
            return;
        }
        finishFailed("all_busy");
    }

    /// Ends a request for which no further send is possible.
    void finishFailed(const std::string &code)
    {
        if (m_streaming) {
            abortStream(code);
        } else if (m_fallbackResponse) {
            deliver(*m_fallbackResponse, "upstream_failure");
        } else if (m_mayHaveRun) {
            refuse(http::status::bad_gateway, code, std::nullopt);
        } else {
            const double jitter = 0.5 + m_state.draw();
            // Clients retry on another host, which may well have its path.
            const auto mean = code == pathLostCode ? drainingRetryAfter : retryAfter();
            refuse(
                http::status::service_unavailable, code,
                std::chrono::milliseconds(std::lround(jitter * static_cast<double>(mean.count()))));
        }
    }

    /// Mean Retry-After of a request that has not run. If it is the instances' limits that leave no
    /// place, the time until this host has one, within bounds: another host may have one earlier.
    std::chrono::milliseconds retryAfter() const
    {
        const auto next = m_state.nextSendAt(m_service, now());
        if (!next || !m_state.isRateLimited(m_service))
            return busyRetryAfter;
        return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(*next - now()),
                          busyRetryAfter, maxLimitedRetryAfter);
    }

    void refuseQuarantined(const quarantined_segment &segment)
    {
        const bool isShared = segment.segment != ownSegment();
        const char *code = isShared ? "segment_quarantined" : "request_quarantined";
        if (m_deliveries > 0)
            refuse(http::status::bad_gateway, code, std::nullopt);
        else
            refuse(http::status::service_unavailable, code,
                   std::chrono::duration_cast<std::chrono::milliseconds>(segment.until - now()));
    }

    void onDeadline()
    {
        if (m_sending) {
            m_mayHaveRun = true;
            m_call.cancel();
            endSend(send_result::cancelled, "deadline");
        }
        if (m_streaming)
            abortStream("deadline");
        else if (m_mayHaveRun)
            refuse(http::status::gateway_timeout, "deadline", std::nullopt);
        else
            finishFailed("deadline");
    }

    void endSend(send_result result, const char *outcome)
    {
        if (m_toHost) {
            endHostSend(handover_end::served, outcome);
            return;
        }
        m_sending = false;
        const unsigned earlierBrokenSends
            = m_state.recordEnd(m_chosen, m_responseBegun, result, now());
        m_dependencies.metrics.sends(outcome).Increment();
        const bool failed = result == send_result::failed;
        if (failed || result == send_result::broken)
            m_failedVersions.insert(m_chosen.target.version);
        if (m_chosen.inRollout && (failed || result == send_result::answered)) {
            if (!m_outcomeReported)
                reportOutcome(failed, m_slow);
            for (unsigned i = 0; i < earlierBrokenSends; ++i)
                reportOutcome(true, false);
        }
        m_slowTimer.cancel();
        if (result != send_result::answered)
            logEvent(log_level::info, "send_ended",
                     {{"request", m_request.id},
                      {"instance", m_chosen.target.incarnation()},
                      {"version", m_chosen.target.version},
                      {"outcome", outcome},
                      {"response_begun", m_responseBegun ? "yes" : "no"},
                      {"shared_segments", sharedSegmentIds()},
                      {"request_digest", requestDigest()},
                      {"framing", framing()},
                      {"unfinished_bytes", std::to_string(m_splitter.partial().size())},
                      {"ms", formatMilliseconds(now() - m_sentAt)}});
    }

    /// Ids of the prompt segments that other requests may share: all but the last.
    std::vector<std::string> sharedSegments() const
    {
        std::vector<std::string> ids;
        for (std::size_t i = 0; i + 1 < m_request.promptSegments.size(); ++i)
            ids.push_back(m_request.promptSegments[i].id);
        return ids;
    }

    /// What only this request, its repetitions and its session have in common: the last segment of
    /// its prompt, or its digest if it has none.
    std::string ownSegment() const
    {
        return m_request.promptSegments.empty() ? requestDigest()
                                                : m_request.promptSegments.back().id;
    }

    /// Digest of what the repetitions of a request by its client have in common. Empty if it has a
    /// prompt: the last segment tells more.
    const std::string &requestDigest() const
    {
        if (m_requestDigest.empty() && m_request.promptSegments.empty()) {
            const http1_request &message = m_request.message;
            std::string content;
            for (const std::string &part : {std::string(message.method_string()), m_request.host,
                                            m_request.path, m_request.key, message.body()})
                content += std::to_string(part.size()) + ' ' + part;
            std::ostringstream digest;
            digest << "request-" << std::hex << XXH3_64bits(content.data(), content.size());
            m_requestDigest = digest.str();
        }
        return m_requestDigest;
    }

    std::string sharedSegmentIds() const { return boost::algorithm::join(sharedSegments(), ","); }

    void recordResponseBytes()
    {
        if (m_state.quarantine().hasEvidence())
            m_state.quarantine().recordResponseBytes(m_chosen.target.incarnation(), now());
    }

    /// Records that the current send ends without a byte of the body. Before the head, the instance
    /// may not have begun with the request: that speaks against its repetitions, not against what
    /// it shares with others.
    void recordUnansweredSend()
    {
        m_state.quarantine().recordUnansweredSend(
            {m_chosen.target.incarnation(),
             m_request.id,
             m_responseBegun ? sharedSegments() : std::vector<std::string>(),
             {},
             ownSegment()},
            now());
    }

    /// Records that the instance has survived the request.
    void recordAnswer()
    {
        m_answered = true;
        m_state.quarantine().recordAnswered(sharedSegments(), ownSegment(), now());
        m_owner.onCrashEvidence();
    }

    /// Adds the end of the current send to the evidence on crashes. \a failure is that of the
    /// connection.
    void recordCrashEvidence(call_failure failure)
    {
        const std::string incarnation = m_chosen.target.incarnation();
        if (failure == call_failure::notSent) {
            m_owner.onConnectFailed(incarnation);
        } else if (failure == call_failure::broken && !m_owner.m_path.isLost()) {
            if (m_responseBegun && !m_bodyBegun)
                ++m_unansweredBreaks;
            if (!m_bodyBegun)
                recordUnansweredSend();
            m_state.quarantine().recordConnectionLost(incarnation, m_sentAt, now());
            if (m_state.quarantine().isUnverified(incarnation))
                m_owner.checkInstance(m_chosen.target);
        }
        m_owner.onCrashEvidence();
    }

    /// Framing of the last response, for the log; empty if there is none.
    const char *framing() const
    {
        return m_mode == response_mode::none ? "" : toString(bodyFraming(m_head));
    }

    void onClientGone()
    {
        if (m_finished)
            return;
        if (m_sending) {
            m_call.cancel();
            endSend(send_result::cancelled, "client_gone");
        }
        m_dependencies.metrics.disconnectedClients.Increment();
        finish(0, "client_gone");
    }

    void abortStream(const std::string &code)
    {
        m_writer->abort();
        finish(0, code);
    }

    void deliver(http1_response response, const char *outcome)
    {
        const unsigned status = response.result_int();
        const auto writer = m_writer;
        if (m_handover)
            encodeHandoverResult({usedAttempts(), std::nullopt, ""}, response);
        finish(status, outcome);
        writer->send(std::move(response));
    }

    void refuse(http::status status, const std::string &code,
                std::optional<std::chrono::milliseconds> retryAfter)
    {
        const execution_state run = m_mayHaveRun ? execution_state::unknown : execution_state::no;
        const auto writer = m_writer;
        http1_response response = makeRefusal(status, code, run, retryAfter);
        if (m_handover)
            encodeHandoverResult({usedAttempts(), run, code}, response);
        finish(static_cast<unsigned>(status), code);
        writer->send(std::move(response));
    }

    void finish(unsigned status, const std::string &outcome)
    {
        m_finished = true;
        m_heldBytes.set(0);
        m_fallbackBytes.reset();
        m_timer.cancel();
        const duration time = now() - m_started;
        const std::string kind = m_route != nullptr ? toString(m_route->kind) : "none";
        m_dependencies.metrics.responses(kind, status, outcome).Increment();
        m_dependencies.metrics.responseSeconds(kind).Observe(
            std::chrono::duration<double>(time).count());
        logEvent(
            log_level::info, "request_done",
            {{"request", m_request.id},
             {"session", m_request.session},
             {"route", m_route != nullptr ? m_route->name : ""},
             {"workspace", m_workspace != nullptr ? m_workspace->name : ""},
             {"status", std::to_string(status)},
             {"outcome", outcome},
             {"instance", m_everTried.empty() ? "" : m_chosen.target.incarnation()},
             {"version", m_everTried.empty() ? "" : m_chosen.target.version},
             {"model", m_route != nullptr && !m_route->models.empty() ? model() : ""},
             {"confidence", m_metadata.confidence ? std::to_string(*m_metadata.confidence) : ""},
             {"sends", std::to_string(m_sends)},
             {"origin", m_handover ? "host" : "client"},
             {"helper", m_helper},
             {"shared_segments", sharedSegmentIds()},
             {"first_byte_ms", m_responseBegun ? formatMilliseconds(m_firstByteLatency) : ""},
             {"framing", framing()},
             {"last_event", m_lastEventId ? std::to_string(*m_lastEventId) : ""},
             {"unfinished_bytes", std::to_string(m_splitter.partial().size())},
             {"config", m_config ? std::to_string(m_config->version()) : ""},
             {"view_age_ms", formatMilliseconds(now() - m_state.confirmedAt())},
             {"ms", formatMilliseconds(time)}});
        m_owner.m_handedOverRequests -= m_handover ? 1 : 0;
        m_activeRequests->erase(shared_from_this());
    }

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
    bool m_bodyBegun = false;       ///< A byte of the current send's response body has arrived.
    bool m_answered = false;        ///< A byte of some response body has arrived.
    bool m_slow = false;            ///< The candidate responds much more slowly than the baseline.
    bool m_outcomeReported = false; ///< Of the current send, before its end.
    std::size_t m_eventsInSend = 0;
    bool m_intervalRecorded = false; ///< Of the current send.
    time_point m_firstEventAt;       ///< Of the current send.
    time_point m_lastEventAt;        ///< Of the current send.
    bool m_mayHaveRun = false;
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

forwarder::forwarder(forwarder_dependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_activeRequests(std::make_shared<std::set<std::shared_ptr<active_request>>>())
    , m_reportTimer(m_dependencies.io.get_executor())
    , m_silenceTimer(m_dependencies.io.get_executor())
    , m_livenessCheck(m_dependencies.io, m_dependencies.time, liveness_parameters())
    , m_path(m_dependencies.io, m_dependencies.time, m_dependencies.state.drawSeed(),
             [this](bool isLost) { onPathChanged(isLost); })
    , m_handoverTargets(m_dependencies.state.hostName(), m_dependencies.state.drawSeed())
{ }

forwarder::~forwarder() = default;

void forwarder::handle(http1_request request, std::shared_ptr<response_writer> writer,
                       request_origin origin)
{
    try {
        std::optional<handover_request> handover;
        if (origin == request_origin::host)
            handover = takeHandover(request);
        client_request decoded = m_dependencies.wire.decodeRequest(std::move(request));
        const auto active = std::make_shared<active_request>(
            *this, std::move(decoded), std::move(writer), std::move(handover));
        active->start();
        watchSilence();
    } catch (const request_error &error) {
        logEvent(log_level::info, "request_malformed", {{"error", error.what()}});
        m_dependencies.metrics.responses("none", 400, "malformed").Increment();
        writer->send(makeRefusal(http::status::bad_request, "malformed_request",
                                 execution_state::no, std::nullopt));
    }
}

void forwarder::checkInstance(const instance &target)
{
    m_livenessCheck.start(
        parseEndpoint(target.address), target.incarnation(),
        [this, incarnation = target.incarnation()](liveness state, time_point openedAt) {
            logEvent(log_level::info, "instance_checked",
                     {{"instance", incarnation}, {"state", toString(state)}});
            segment_quarantine &quarantine = m_dependencies.state.quarantine();
            if (state == liveness::accepting) {
                quarantine.recordConnectionAccepted(incarnation, openedAt);
                m_path.recordConnected(incarnation, openedAt);
            } else if (state == liveness::refusing) {
                onConnectFailed(incarnation);
            } else {
                m_path.recordConnectFailed(incarnation);
            }
            onCrashEvidence();
        });
}

void forwarder::onConnectFailed(const std::string &incarnation)
{
    m_path.recordConnectFailed(incarnation);
    if (!m_dependencies.state.quarantine().isUnverified(incarnation))
        return;
    m_path.awaitPath(incarnation, [this, incarnation](bool isIntact) {
        if (!isIntact) {
            logEvent(log_level::info, "crash_evidence_dropped",
                     {{"instance", incarnation}, {"reason", pathLostCode}});
            return;
        }
        m_dependencies.state.quarantine().recordConnectionRefused(incarnation,
                                                                  m_dependencies.time.now());
        onCrashEvidence();
    });
}

void forwarder::onPathChanged(bool isLost)
{
    m_dependencies.metrics.pathLost.Set(isLost ? 1 : 0);
    // What was seen of the instances meanwhile is due to the path.
    m_dependencies.state.discardFailures();
    if (!isLost)
        return;
    m_dependencies.client.closeAllIdleConnections();
    const time_point now = m_dependencies.time.now();
    const auto &view = m_dependencies.state.view();
    for (const auto &service : view->instances) {
        for (const instance &entry : service.second)
            m_dependencies.state.quarantine().recordConnectionAccepted(entry.incarnation(), now);
    }
    onCrashEvidence();
    // Not at once: the cause may be a failure that a request is about to handle.
    boost::asio::post(m_dependencies.io, [activeRequests = m_activeRequests] {
        // A copy, because a request that finishes removes itself from the set.
        const auto waiting = *activeRequests;
        for (const auto &active : waiting)
            active->onPathLost();
    });
}

void forwarder::watchSilence()
{
    if (std::exchange(m_watchingSilence, true))
        return;
    m_silenceTimer.set(silenceCheckInterval, [this] {
        m_watchingSilence = false;
        if (m_activeRequests->empty())
            return;
        std::set<std::string> silentInstances;
        for (const auto &active : *m_activeRequests) {
            const auto since = active->waitingSince();
            if (since && m_path.isSilent(*since))
                silentInstances.insert(active->waitingFor());
        }
        if (silentInstances.size() >= minSilentInstances)
            m_path.testSilence();
        watchSilence();
    });
}

void forwarder::onCrashEvidence()
{
    segment_quarantine &quarantine = m_dependencies.state.quarantine();
    const time_point now = m_dependencies.time.now();
    const quarantine_changes changes = quarantine.takeChanges(now);
    for (const quarantined_segment &added : changes.added)
        logEvent(log_level::warning, "segment_quarantined",
                 {{"segment", added.segment},
                  {"crashes", std::to_string(added.crashes)},
                  {"requests", std::to_string(added.requests)},
                  {"for_ms", formatMilliseconds(added.until - now)}});
    for (const std::string &removed : changes.removed)
        logEvent(log_level::info, "segment_released", {{"segment", removed}});
    m_dependencies.metrics.quarantinedSegments.Set(
        static_cast<double>(quarantine.quarantinedCount()));
    if (!quarantine.reportDueAt())
        return;
    m_reportTimer.set(std::max<duration>(*quarantine.reportDueAt() - now, duration(0)), [this] {
        const auto report = m_dependencies.state.quarantine().takeReport(m_dependencies.time.now());
        if (report)
            m_dependencies.reportCrashes(*report);
        onCrashEvidence();
    });
}

void forwarder::onViewUpdated()
{
    const auto &view = m_dependencies.state.view();
    m_path.setInstances(view->instances);
    m_handoverTargets.setHosts(view->hostAddresses);
    onCrashEvidence();
    // A copy, because a request that finishes removes itself from the set.
    const auto activeRequests = *m_activeRequests;
    for (const auto &active : activeRequests)
        active->onViewUpdated();
}

void forwarder::beginDraining(const drain_schedule &times)
{
    m_drain = times;
}

std::size_t forwarder::requestsInProgress() const
{
    return m_activeRequests->size();
}

} // namespace goldcrestdeck
