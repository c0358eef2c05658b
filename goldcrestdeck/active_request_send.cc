#include "goldcrestdeck/active_request.h"

#include <algorithm>
#include <utility>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

/// Maximum number of instances that may reject a request unexecuted before the client is refused.
constexpr unsigned maxRejections = 4;
/// Maximum number of connection failures per request. Higher than maxRejections because a failed
/// connection puts no load on any instance; it only delays this client.
constexpr unsigned maxConnectFailures = 16;
/// A request whose response was cut off this often before the first byte of its body, each time by
/// another instance, is not sent again: it may be what crashes them.
constexpr unsigned maxUnansweredBreaks = 2;
/// Events of a stream whose mean interval is compared with that of the baseline version; fewer if
/// the stream is shorter, but not less than the second number.
constexpr std::size_t eventsForInterval = 16;
constexpr std::size_t minEventsForInterval = 4;
/// Hosts that a request is handed over to one after the other, if they cannot help.
constexpr unsigned maxHandoverTries = 3;
/// The numerically largest, least urgent priority that instances accept.
constexpr unsigned maxPriorityValue = 9;

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

} // namespace

std::optional<time_point> forwarder::active_request::waitingSince() const
{
    if (!m_sending || m_toHost || m_responseBegun)
        return std::nullopt;
    return m_sentAt;
}

void forwarder::active_request::onPathLost()
{
    const time_point time = now();
    if (m_finished || !waitingSince() || m_sentAt <= m_owner.m_path.lastBytesAt() || !isRepeatable()
        || m_attempts >= m_route->maxAttempts
        || !m_state.mayRetry(m_service, retry_reason::failure, time))
        return;
    m_call.cancel();
    m_mayHaveRun = true;
    endSend(send_result::cancelled, "path_lost");
    m_retryReason = "path_lost";
    send();
}

bool forwarder::active_request::isInEvacuatedDomain() const
{
    return m_sending && !m_toHost && m_state.isEvacuated(m_chosen.target.failureDomain);
}

void forwarder::active_request::leaveEvacuatedDomain()
{
    if (m_finished || !isInEvacuatedDomain() || !m_call.isUnsent())
        return;
    m_call.cancel();
    endSend(send_result::cancelled, "domain_emptied");
    --m_attempts;
    --m_deliveries;
    if (m_chargedAsRetry)
        m_state.refundRetry(m_service, m_sentAt);
    else
        m_retryReason = "domain_emptied";
    send();
}

region_restriction forwarder::active_request::regions() const
{
    static const std::vector<std::string> anywhere;
    return restrictRegions(m_route->allowedRegions,
                           m_workspace != nullptr ? m_workspace->allowedRegions : anywhere);
}

placement_request forwarder::active_request::placementRequest() const
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
    const region_restriction restriction = regions();
    placement.regionsBind = restriction.binds;
    placement.allowedRegions = restriction.allowed;
    placement.route = m_route->name;
    placement.outputTokens = static_cast<double>(m_request.estimatedOutputTokens.value_or(0));
    placement.eventsDone = m_events;
    const time_point time = now();
    if (!m_streaming && time < m_started + m_route->targetLatency)
        placement.timeToTarget = m_started + m_route->targetLatency - time;
    placement.timeLeft = m_deadline - time;
    return placement;
}

void forwarder::active_request::send()
{
    const time_point time = now();
    m_owner.logColdChanges();
    if (const auto segment = m_state.quarantine().find(sharedSegments(), ownSegment(), time)) {
        if (!m_answered) {
            refuseQuarantined(*segment);
            return;
        }
        logEvent(log_level::info, "quarantine_not_applied",
                 {{"request", m_request.id}, {"segment", segment->segment}});
    }
    if (mayHandOver()) {
        const auto allowed = m_state.hostsForBody(placementRequest());
        const auto target = m_triedHosts.size() < maxHandoverTries
            ? m_owner.m_handoverTargets.choose(m_triedHosts, time, allowed ? &*allowed : nullptr)
            : std::nullopt;
        if (target)
            sendToHost(*target, pathLostCode);
        else
            finishFailed(pathLostCode);
        return;
    }
    const placement_request placement = placementRequest();
    const auto chosen = m_state.choose(placement, time);
    reportSpillover(time);
    if (!chosen) {
        if (m_state.hasColdInstances(placement, time))
            m_dependencies.metrics.sendsWithoutPermit.Increment();
        const auto target = hostWithPlace();
        if (target)
            sendToHost(*target, "no_place");
        else
            finishFailed(m_state.noInstanceReason(placement, time));
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

void forwarder::active_request::reportSpillover(time_point time)
{
    domain_spillover &spillover = m_state.spillover();
    m_dependencies.metrics.spilloverShare(m_service).Set(spillover.share(m_service));
    if (const auto change = spillover.takeChange(m_service, time))
        logEvent(log_level::info, "spillover_changed",
                 {{"service", change->service},
                  {"share", std::to_string(change->share)},
                  {"previous_share", std::to_string(change->previousShare)},
                  {"own_latency", std::to_string(change->ownLatency)},
                  {"other_latency", std::to_string(change->otherLatency)}});
}

void forwarder::active_request::beginSend(time_point time, const std::string &receiver)
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

void forwarder::active_request::logSendToLimitedInstance() const
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

bool forwarder::active_request::isOnCandidate() const
{
    return m_chosen.inRollout && m_chosen.side == version_side::candidate;
}

void forwarder::active_request::setSlowTimer()
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

void forwarder::active_request::reportSlow()
{
    m_slow = true;
    if (m_outcomeReported)
        return;
    m_outcomeReported = true;
    reportOutcome(false, true);
}

void forwarder::active_request::reportOutcome(bool failed, bool slow)
{
    m_dependencies.reportOutcome(
        {m_service, m_route->name, m_chosen.orderRevision, m_chosen.side, failed, slow});
}

void forwarder::active_request::recordEvents(std::size_t count)
{
    if (m_toHost)
        return;
    if (m_eventsInSend == 0)
        m_firstEventAt = now();
    m_eventsInSend += count;
    m_events += static_cast<double>(count);
    m_state.completionTime().recordEvents(m_chosen.sendNumber, count, now());
    m_lastEventAt = now();
    if (m_eventsInSend >= eventsForInterval)
        recordEventInterval();
    else if (isOnCandidate() && !m_intervalRecorded) {
        const auto limit = m_state.slowEventInterval(m_route->name, model());
        if (limit && m_lastEventAt - m_firstEventAt > *limit * (eventsForInterval - 1))
            recordEventInterval();
    }
}

void forwarder::active_request::recordEventInterval()
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

void forwarder::active_request::call(const boost::asio::ip::tcp::endpoint &endpoint)
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
    callOptions.maxIdleFraction = isRepeatable() ? repeatableIdleFraction : atMostOnceIdleFraction;
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
        self->m_state.coldInstances().recordDelayedSend(incarnation, self->now());
    };
    callOptions.memory = m_dependencies.memory;
    m_call = m_dependencies.client.call(endpoint, m_receiver,
                                        m_dependencies.wire.encodeRequest(m_request, options),
                                        observer(), std::move(callOptions));
}

response_observer forwarder::active_request::observer()
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

bool forwarder::active_request::isCurrent(unsigned sendNumber) const
{
    return !m_finished && m_sending && sendNumber == m_sends;
}

bool forwarder::active_request::mayRetry()
{
    return isRepeatable() && m_attempts < m_route->maxAttempts && now() < m_deadline
        && m_state.mayRetry(m_service, retry_reason::failure, now());
}

void forwarder::active_request::onFailure(call_failure failure)
{
    if (m_toHost) {
        onHostFailure(failure);
        return;
    }
    // What the head says of the execution is true however the body ends.
    if (m_mode != response_mode::none && m_metadata.notExecuted) {
        onEnd();
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

void forwarder::active_request::retryUnexecuted(const char *reason)
{
    m_retryReason = reason;
    const bool isWithinBudget
        = m_deliveries == 0 || m_state.mayRetry(m_service, retry_reason::failure, now());
    if (m_rejections < maxRejections && m_connectFailures < maxConnectFailures && now() < m_deadline
        && isWithinBudget) {
        send();
        return;
    }
    finishFailed("all_busy");
}

void forwarder::active_request::endSend(send_result result, const char *outcome)
{
    if (m_toHost) {
        endHostSend(handover_end::served, outcome);
        return;
    }
    m_sending = false;
    const unsigned earlierBrokenSends = m_state.recordEnd(m_chosen, m_responseBegun, result, now());
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
    const bool hasHead = m_mode != response_mode::none;
    if (result != send_result::answered)
        logEvent(
            log_level::info, "send_ended",
            {{"request", m_request.id},
             {"instance", m_chosen.target.incarnation()},
             {"version", m_chosen.target.version},
             {"outcome", outcome},
             {"response_begun", m_responseBegun ? "yes" : "no"},
             {"status", hasHead ? std::to_string(m_head.result_int()) : ""},
             {"not_executed", hasHead && m_metadata.notExecuted ? "yes" : "no"},
             {"shared_segments", sharedSegmentIds()},
             {"request_digest", requestDigest()},
             {"framing", framing()},
             {"unfinished_bytes", std::to_string(m_splitter.partial().size())},
             {"expected_ms", m_chosen.expectedEnd ? formatMilliseconds(*m_chosen.expectedEnd) : ""},
             {"ms", formatMilliseconds(now() - m_sentAt)}});
}

void forwarder::active_request::recordResponseBytes()
{
    if (m_state.quarantine().hasEvidence())
        m_state.quarantine().recordResponseBytes(m_chosen.target.incarnation(), now());
}

void forwarder::active_request::recordUnansweredSend()
{
    m_state.quarantine().recordUnansweredSend(
        {m_chosen.target.incarnation(),
         m_request.id,
         m_responseBegun ? sharedSegments() : std::vector<std::string>(),
         {},
         ownSegment()},
        now());
}

void forwarder::active_request::recordAnswer()
{
    m_answered = true;
    m_state.quarantine().recordAnswered(sharedSegments(), ownSegment(), now());
    m_owner.onCrashEvidence();
}

void forwarder::active_request::recordCrashEvidence(call_failure failure)
{
    const std::string incarnation = m_chosen.target.incarnation();
    if (failure == call_failure::notSent || failure == call_failure::broken)
        m_state.coldInstances().recordRefusal(m_chosen.target, now());
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

} // namespace goldcrestdeck
