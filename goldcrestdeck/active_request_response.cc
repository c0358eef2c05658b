#include "goldcrestdeck/active_request.h"

#include <cstdlib>
#include <utility>

#include "goldcrestdeck/log.h"
#include "goldcrestdeck/model_cascade.h"

namespace goldcrestdeck {

namespace {

/// Response bytes buffered for a slow client before reading from the upstream is paused.
constexpr std::size_t maxUnsentBytes = 256 * 1024;
/// Maximum size of a buffered (non-streaming) response; larger ones are treated as malformed.
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;
/// An upgraded request avoids the instance that answered if it is slower than this.
constexpr double avoidedSlowness = 1.5;

} // namespace

void forwarder::active_request::onHead(const http1_response_head &head)
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
    if (m_metadata.coldLeft && !m_metadata.wrongInstance)
        m_state.coldInstances().recordColdLeft(m_chosen.target, *m_metadata.coldLeft, now());
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
        m_triedIncarnations = slowInstance();
        send();
    }
}

void forwarder::active_request::recordRateLimit()
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
    if (!m_state.rateLimits().recordResponse(incarnation, m_metadata.rateLimit, m_sentAt, now()))
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

void forwarder::active_request::recordBrittleness()
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

void forwarder::active_request::recordLeaving()
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

void forwarder::active_request::handleResponseBegun()
{
    m_responseBegun = true;
    m_mayHaveRun = true;
    recordResponseBytes();
    const duration latency = now() - m_sentAt;
    m_firstByteLatency = latency;
    m_state.coldInstances().recordAccepted(m_chosen.target, m_sentAt, now());
    const bool isUsable = m_head.result_int() / 100 == 2 && m_metadata.isComplete
        && (m_route->kind != request_kind::stream || isEventStream(m_head));
    // An instance that fails at once is not a fast one.
    if (!isUsable)
        m_state.completionTime().suspend(m_chosen.sendNumber);
    m_state.recordFirstByte(m_chosen, latency, now());
    const version_side side = isOnCandidate() ? version_side::candidate : version_side::baseline;
    if (m_state.recordLatency(m_route->name, model(), side, latency))
        reportSlow();
    m_dependencies.metrics.firstByteSeconds(toString(m_route->kind))
        .Observe(std::chrono::duration<double>(latency).count());
}

std::optional<std::size_t> forwarder::active_request::largerModel()
{
    if (m_request.specifiesModel)
        return std::nullopt;
    cascade_state state;
    state.model = m_modelIndex;
    state.modelCount = m_route->models.size();
    state.confidence = m_metadata.confidence;
    state.promptTokens = static_cast<double>(m_request.promptTokens);
    state.outputTokens
        = static_cast<double>(m_request.estimatedOutputTokens.value_or(m_request.maxOutputTokens));
    state.elapsed = now() - m_started;
    if (!m_route->models.empty()) {
        const std::string &largest = m_route->models.back();
        state.largestModelLatency = m_state.expectedLatency(m_service, largest, state.promptTokens);
        state.slowness = m_state.slowness(m_service, largest);
        expected_work work = m_chosen.work;
        work.kind = expectedKind(m_route->name, m_service, largest);
        state.largestModelEnd = m_state.completionTime().wholeResponse(work);
        state.timeLeft = m_deadline - now();
    }
    state.targetLatency = m_route->targetLatency;
    state.attemptsLeft = m_route->maxAttempts - std::min(m_route->maxAttempts, m_attempts);
    state.mayRetry = isRepeatable() && m_state.mayRetry(m_service, retry_reason::upgrade, now());
    return nextModel(state, cascade_parameters());
}

bool forwarder::active_request::canUpgrade(std::size_t modelIndex) const
{
    placement_request placement = placementRequest();
    placement.model = m_route->models[modelIndex];
    placement.triedIncarnations = slowInstance();
    const auto chosen = m_state.choose(placement, now());
    return chosen && (!chosen->expectedEnd || now() + *chosen->expectedEnd <= m_deadline);
}

std::set<std::string> forwarder::active_request::slowInstance() const
{
    const std::string incarnation = m_chosen.target.incarnation();
    const instance_pace pace = m_state.completionTime().paceOf(incarnation, now());
    if (pace.slowness < avoidedSlowness && !pace.overdue)
        return {};
    return {incarnation};
}

void forwarder::active_request::onBody(std::string piece)
{
    if (!m_toHost) {
        m_owner.m_path.recordBytes();
        recordResponseBytes();
    }
    if (!m_bodyBegun) {
        m_bodyBegun = true;
        if (!m_toHost)
            recordAnswer();
        else if (isPassedOnByHost())
            m_answered = true;
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
    else if (!mayHoldMore || unsentBytes > maxUnsentBytes) {
        if (!m_toHost)
            m_state.completionTime().suspend(m_chosen.sendNumber);
        m_call.pause();
    }
}

void forwarder::active_request::onWritable()
{
    if (m_finished)
        return;
    updateHeldBytes();
    m_call.resume();
}

bool forwarder::active_request::updateHeldBytes()
{
    return m_heldBytes.set(m_body.size() + m_splitter.partial().size()
                           + (m_streaming ? m_writer->unsentBytes() : 0));
}

void forwarder::active_request::endIfDeclaredOverlong()
{
    const std::string length(m_head[http::field::content_length]);
    const bool hasBody = m_request.message.method() != http::verb::head;
    if (m_mode == response_mode::buffered && hasBody
        && std::strtoull(length.c_str(), nullptr, 10) > maxResponseBytes)
        endOverlong("response_limit");
}

void forwarder::active_request::endOverlong(const char *limit)
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

void forwarder::active_request::beginStream()
{
    if (m_streaming)
        return;
    m_streaming = true;
    m_fallbackResponse.reset();
    m_fallbackBytes.reset();
    http1_response_head head = m_head;
    removeHopByHopFields(head);
    if (m_handover)
        encodeHandoverResult({usedAttempts(), std::nullopt, ""}, head);
    m_writer->begin(head);
}

void forwarder::active_request::onEnd()
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
    const bool unconfirmedRefusal = promisesNotRun(m_head.result_int());
    endSend(failure ? send_result::failed : send_result::answered, failure ? "failed" : "answered");
    if (unconfirmedRefusal)
        recordUnconfirmedRefusal();
    if (m_streaming) {
        // The attempt to resume the stream got a response that is not an event stream.
        abortStream("resume_failed");
        return;
    }
    if ((failure || unconfirmedRefusal) && mayRetry()) {
        m_retryReason = "failed";
        if (!unconfirmedRefusal) {
            m_fallbackResponse = bufferedResponse();
            m_fallbackBytes = std::move(m_heldBytes);
        }
        send();
        return;
    }
    if (unconfirmedRefusal) {
        finishFailed(unconfirmedRefusalCode);
        return;
    }
    deliver(bufferedResponse(), failure ? "upstream_failure" : "served");
}

void forwarder::active_request::onStreamEnd()
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

void forwarder::active_request::recordUnconfirmedRefusal()
{
    const unsigned status = m_head.result_int();
    m_dependencies.metrics.unconfirmedRefusals(status).Increment();
    logEvent(log_level::warning, "refusal_unconfirmed",
             {{"request", m_request.id},
              {"sender", m_receiver},
              {"status", std::to_string(status)},
              {"send", std::to_string(m_sends)}});
}

http1_response forwarder::active_request::bufferedResponse()
{
    http1_response response;
    response.base() = m_head;
    removeHopByHopFields(response);
    response.body() = std::exchange(m_body, std::string());
    return response;
}

} // namespace goldcrestdeck
