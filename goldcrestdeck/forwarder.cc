#include "goldcrestdeck/forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "goldcrestdeck/active_request.h"
#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

/// Interval between searches for requests that wait in silence.
constexpr std::chrono::milliseconds silenceCheckInterval{250};
/// Instances without a response that make silence a reason to test the path. A single one may be
/// busy with a long prompt.
constexpr std::size_t minSilentInstances = 2;

} // namespace

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

bool forwarder::refusesHead(const http1_request_head &head) const
{
    const auto &view = m_dependencies.state.view();
    if (!view || !view->config)
        return false;
    const request_target target = m_dependencies.wire.decodeTarget(head);
    const route *matched = view->config->match(target.host, target.path);
    return matched == nullptr
        || (view->config->requiresKeys() && !matched->isPublic
            && view->config->workspaceOf(target.key) == nullptr);
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
            if (since && !active->isInEvacuatedDomain() && m_path.isSilent(*since))
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
    if (view->emptiedDomains->empty()) {
        m_path.setInstances(view->instances);
    } else {
        // An evacuated domain may be failing: it says nothing of this host's path.
        auto instances = view->instances;
        for (auto &service : instances) {
            auto &list = service.second;
            list.erase(std::remove_if(list.begin(), list.end(),
                                      [this](const instance &entry) {
                                          return m_dependencies.state.isEvacuated(
                                              entry.failureDomain);
                                      }),
                       list.end());
        }
        m_path.setInstances(instances);
    }
    m_dependencies.metrics.emptiedDomains.Set(static_cast<double>(view->emptiedDomains->size()));
    m_handoverTargets.setHosts(view->hostAddresses);
    onCrashEvidence();
    logColdChanges();
    // A copy, because a request that finishes removes itself from the set.
    const auto activeRequests = *m_activeRequests;
    for (const auto &active : activeRequests)
        active->onViewUpdated();
}

void forwarder::logColdChanges()
{
    cold_instances &coldInstances = m_dependencies.state.coldInstances();
    for (const cold_change &change : coldInstances.takeChanges(m_dependencies.time.now())) {
        if (change.reason)
            logEvent(log_level::info, "instance_cold",
                     {{"instance", change.incarnation},
                      {"domain", change.failureDomain},
                      {"reason", toString(*change.reason)}});
        else
            logEvent(log_level::info, "instance_warm",
                     {{"instance", change.incarnation}, {"domain", change.failureDomain}});
    }
    m_dependencies.metrics.coldInstances.Set(static_cast<double>(coldInstances.coldCount()));
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
