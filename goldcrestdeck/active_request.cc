#include "goldcrestdeck/active_request.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <xxhash.h>

#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

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
/// Upper bound of Retry-After, before its jitter, when the instances' limits leave no place.
constexpr std::chrono::milliseconds maxLimitedRetryAfter{3000};
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

} // namespace

std::string formatMilliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
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

void forwarder::active_request::start()
{
    m_activeRequests->insert(shared_from_this());
    m_owner.m_handedOverRequests += m_handover ? 1 : 0;
    m_writer->setCallbacks([self = shared_from_this()] { self->onClientGone(); },
                           [self = shared_from_this()] { self->onWritable(); });
    resolveRoute(false);
}

void forwarder::active_request::onViewUpdated()
{
    leaveEvacuatedDomain();
    if (!m_awaitingConfig || m_finished || !m_state.view()->config)
        return;
    m_awaitingConfig = false;
    m_timer.cancel();
    resolveRoute(false);
}

void forwarder::active_request::resolveRoute(bool confirmed)
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
        if (m_writer->isBodyUnread())
            awaitBody();
        else
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
    m_timer.set(confirmationTimeout, [self = shared_from_this()] { self->refuseUnconfirmed(); });
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

void forwarder::active_request::awaitBody()
{
    m_finished = true;
    m_timer.cancel();
    m_activeRequests->erase(shared_from_this());
    m_writer->readBody();
}

void forwarder::active_request::refuseUnconfirmed()
{
    if (!m_finished)
        refuse(http::status::service_unavailable, "configuration_unconfirmed", notReadyRetryAfter);
}

void forwarder::active_request::awaitConfig()
{
    m_awaitingConfig = true;
    m_timer.set(initialConfigTimeout, [self = shared_from_this()] {
        if (!self->m_finished && self->m_awaitingConfig)
            self->refuse(http::status::service_unavailable, "no_configuration", notReadyRetryAfter);
    });
}

void forwarder::active_request::accept()
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

void forwarder::active_request::countRequest()
{
    if (m_isCounted)
        return;
    m_isCounted = true;
    m_state.recordRequest(m_service, now());
}

bool forwarder::active_request::isRepeatable() const
{
    return m_route->kind == request_kind::idempotent
        || (m_route->kind == request_kind::stream && m_route->resumable);
}

std::string forwarder::active_request::model() const
{
    return m_request.specifiesModel ? std::string() : m_route->models[m_modelIndex];
}

void forwarder::active_request::setTimer()
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

duration forwarder::active_request::sendTimeout() const
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

void forwarder::active_request::onTimer()
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

void forwarder::active_request::finishFailed(const std::string &code)
{
    if (m_fallbackResponse) {
        deliver(*m_fallbackResponse, "upstream_failure");
    } else if (m_mayHaveRun) {
        refuse(http::status::bad_gateway, code, std::nullopt);
    } else {
        const double jitter = 0.5 + m_state.draw();
        // Clients retry on another host, which may well have its path.
        const auto mean = code == pathLostCode ? drainingRetryAfter : retryAfter();
        refuse(http::status::service_unavailable, code,
               std::chrono::milliseconds(std::lround(jitter * static_cast<double>(mean.count()))));
    }
}

std::chrono::milliseconds forwarder::active_request::retryAfter() const
{
    const placement_request placement = placementRequest();
    const auto next = m_state.nextSendAt(placement, now());
    if (!next || !(m_state.isRateLimited(placement) || m_state.hasColdInstances(placement, now())))
        return busyRetryAfter;
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(*next - now()),
                      busyRetryAfter, maxLimitedRetryAfter);
}

void forwarder::active_request::refuseQuarantined(const quarantined_segment &segment)
{
    const bool isShared = segment.segment != ownSegment();
    const char *code = isShared ? "segment_quarantined" : "request_quarantined";
    if (m_deliveries > 0)
        refuse(http::status::bad_gateway, code, std::nullopt);
    else
        refuse(http::status::service_unavailable, code,
               std::chrono::duration_cast<std::chrono::milliseconds>(segment.until - now()));
}

void forwarder::active_request::onDeadline()
{
    if (m_sending) {
        m_mayHaveRun = true;
        m_call.cancel();
        endSend(send_result::cancelled, "deadline");
    }
    if (m_mayHaveRun)
        refuse(http::status::gateway_timeout, "deadline", std::nullopt);
    else
        finishFailed("deadline");
}

std::vector<std::string> forwarder::active_request::sharedSegments() const
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i + 1 < m_request.promptSegments.size(); ++i)
        ids.push_back(m_request.promptSegments[i].id);
    return ids;
}

std::string forwarder::active_request::ownSegment() const
{
    return m_request.promptSegments.empty() ? requestDigest() : m_request.promptSegments.back().id;
}

const std::string &forwarder::active_request::requestDigest() const
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

const char *forwarder::active_request::framing() const
{
    return m_mode == response_mode::none ? "" : toString(bodyFraming(m_head));
}

void forwarder::active_request::onClientGone()
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

void forwarder::active_request::abortStream(const std::string &code)
{
    m_writer->abort();
    finish(0, code);
}

void forwarder::active_request::sendResponse(http1_response response, const handover_result &result,
                                             const std::string &outcome)
{
    if (m_streaming) {
        // Its bytes would be read as part of the stream's body.
        abortStream(outcome);
        return;
    }
    if (m_handover)
        encodeHandoverResult(result, response);
    const auto writer = m_writer;
    finish(response.result_int(), outcome);
    writer->send(std::move(response));
}

void forwarder::active_request::deliver(http1_response response, const char *outcome)
{
    sendResponse(std::move(response), {usedAttempts(), std::nullopt, ""}, outcome);
}

void forwarder::active_request::refuse(http::status status, const std::string &code,
                                       std::optional<std::chrono::milliseconds> retryAfter)
{
    const execution_state run = m_mayHaveRun ? execution_state::unknown : execution_state::no;
    sendResponse(makeRefusal(status, code, run, retryAfter), {usedAttempts(), run, code}, code);
}

void forwarder::active_request::finish(unsigned status, const std::string &outcome)
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
    logEvent(log_level::info, "request_done",
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
              {"stream_begun", m_streaming ? "yes" : "no"},
              {"last_event", m_lastEventId ? std::to_string(*m_lastEventId) : ""},
              {"unfinished_bytes", std::to_string(m_splitter.partial().size())},
              {"config", m_config ? std::to_string(m_config->version()) : ""},
              {"view_age_ms", formatMilliseconds(now() - m_state.confirmedAt())},
              {"ms", formatMilliseconds(time)}});
    m_owner.m_handedOverRequests -= m_handover ? 1 : 0;
    m_activeRequests->erase(shared_from_this());
}

} // namespace goldcrestdeck
