#include "goldcrestdeck/active_request.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

/// Requests of other hosts that this host serves at a time.
constexpr std::size_t maxHandedOverRequests = 256;
/// By this much the deadline at the other host is earlier, so that its response arrives in time.
constexpr std::chrono::milliseconds handoverMargin{20};

} // namespace

bool forwarder::active_request::acceptHandover(const handover_request &handover)
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
    m_answered = handover.lastEventId.has_value(); // The client has events of an instance.
    if (!m_route->models.empty())
        m_modelIndex = std::min(handover.modelIndex, m_route->models.size() - 1);
    return true;
}

std::optional<registered_host> forwarder::active_request::hostWithPlace()
{
    if (m_handover || !m_triedHosts.empty())
        return std::nullopt;
    const placement_request placement = placementRequest();
    std::set<std::string> hosts = isBrittle() ? m_state.hostsWithPlaces(placement)
                                              : m_state.hostsWithPermits(placement, now());
    if (const auto allowed = m_state.hostsForBody(placement)) {
        for (auto i = hosts.begin(); i != hosts.end();)
            i = allowed->count(*i) == 0 ? hosts.erase(i) : std::next(i);
    }
    if (hosts.empty())
        return std::nullopt;
    return m_owner.m_handoverTargets.choose(m_triedHosts, now(), &hosts);
}

void forwarder::active_request::sendToHost(const registered_host &target, const char *reason)
{
    const time_point time = now();
    m_helper = target.name;
    m_triedHosts.insert(m_helper);
    m_owner.m_handoverTargets.recordBegin(m_helper);
    const unsigned attemptsLeft = m_route->maxAttempts - std::min(m_route->maxAttempts, m_attempts);
    // One attempt is kept for another host, should this one break off.
    m_grantedAttempts
        = std::max(1U, isRepeatable() && attemptsLeft > 1 ? attemptsLeft - 1 : attemptsLeft);
    handover_request handover;
    handover.remainingTime = std::max(
        std::chrono::milliseconds(1),
        std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - time - handoverMargin));
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
    m_call = m_dependencies.client.call(parseEndpoint(target.handoverAddress), m_receiver, message,
                                        observer(), std::move(options));
}

void forwarder::active_request::onHostHead()
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
    const bool isStream = m_route->kind == request_kind::stream && m_head.result_int() / 100 == 2
        && m_metadata.isComplete && isEventStream(m_head);
    if (isStream)
        m_mode = response_mode::eventStream;
}

void forwarder::active_request::onHostEnd()
{
    if (!m_handoverResult) {
        // The host has not understood the request, or another process listens there.
        endHostSend(handover_end::unreachable, "malformed");
        m_mayHaveRun = true;
        finishFailed("handover_malformed");
        return;
    }
    const handover_result result = *m_handoverResult;
    // Some builds state that a request has not run although an instance has begun to respond to it.
    // The count of attempts includes that instance.
    const bool notRun = result.refusedRun == execution_state::no && result.attempts == 0;
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
    if (promisesNotRun(m_head.result_int()) && !notRun) {
        // Some builds pass on an instance's status as it is.
        m_mayHaveRun = true;
        recordUnconfirmedRefusal();
        finishFailed(result.refusedRun ? result.refusalCode : unconfirmedRefusalCode);
        return;
    }
    if (!result.refusedRun && m_head.result_int() / 100 == 2 && !m_metadata.isComplete) {
        m_mayHaveRun = true;
        finishFailed(toString(call_failure::malformed));
        return;
    }
    deliver(bufferedResponse(), "handed_over");
}

void forwarder::active_request::onHostFailure(call_failure failure)
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

void forwarder::active_request::endHostSend(handover_end end, const std::string &outcome)
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

} // namespace goldcrestdeck
