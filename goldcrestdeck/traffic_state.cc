#include "goldcrestdeck/traffic_state.h"

#include <algorithm>
#include <iterator>
#include <limits>

#include "goldcrestdeck/home_regions.h"

namespace goldcrestdeck {

namespace {

/// Time for which an instance that refused a request is chosen only after all others.
constexpr std::chrono::milliseconds refusalBackOff{150};
/// Ejection time of an unreachable instance; doubled with each consecutive connection failure.
constexpr std::chrono::milliseconds unreachableEjectionTime{500};
constexpr int maxEjectionDoublings = 3;
/// Ejection time of an instance with a high failure rate.
constexpr std::chrono::milliseconds failureEjectionTime{2000};
/// Smoothed failure rate above which an instance is ejected, and number of outcomes required for
/// that.
constexpr double ejectionFailureRate = 0.4;
constexpr double minOutcomes = 5;
/// Weight of one outcome in the smoothed failure rate.
constexpr double failureWeight = 0.2;
/// Ejections are ignored if less than this fraction of the instances would stay in use.
constexpr double minInUseFraction = 0.5;
/// Maximum age of the view with which requests are sent to a candidate version under evaluation.
constexpr std::chrono::milliseconds maxRolloutViewAge{2500};
/// Time for which an instance is expected to keep a prompt in its cache.
constexpr std::chrono::milliseconds promptCacheLifetime{20'000};
/// Time for which it is remembered that an instance leaves: longer than an outage of the registry
/// may show it as ready.
constexpr std::chrono::minutes leavingMemory{30};
/// Interval between removals of expired state.
constexpr std::chrono::milliseconds sweepInterval{1000};
/// A response is slow if its latency exceeds slowRatio times that of the baseline version by
/// more than slowSeconds.
constexpr double slowRatio = 3;
constexpr double slowSeconds = 0.25;
/// A stream of the candidate is slow if the mean interval between its events exceeds
/// slowIntervalRatio times the given quantile of the baseline version's by more than
/// slowIntervalSeconds. An idle candidate that is several times slower can still be faster than a
/// loaded baseline's slowest streams, but not than most of them.
constexpr double intervalQuantile = 0.9;
constexpr double slowIntervalRatio = 1.2;
constexpr double slowIntervalSeconds = 0.002;
/// Streams of the baseline version that the quantile is taken from, at least and at most.
constexpr std::size_t minIntervals = 8;
constexpr std::size_t maxIntervals = 64;
constexpr double latencyWeight = 0.1;
/// Weight of one response in a model's baseline latency when latency rises; the baseline follows a
/// lower latency at once.
constexpr double baselineWeight = 0.005;
/// Weight of one response in an instance's slowness, and bounds of a single ratio. If latencies of
/// even instances vary by a third, a single response must not decide (model spillover_fleet).
constexpr double slownessWeight = 0.2;
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 4;
/// Factor applied at each sweep to the deviation of an instance's slowness from 1.
constexpr double slownessDecay = 0.8;
/// Added to both latencies of a ratio, in seconds, so that jitter of short ones does not count.
constexpr double latencyJitter = 0.005;
/// Fraction of a shared prompt prefix assumed to be cached, through requests of other hosts, at the
/// instance that ranks first for it.
constexpr double remotelyCachedFraction = 0.5;

/// Longest time for which this host waits for another one to report an answer that clears a prompt
/// segment; a few times what a report takes to reach the other hosts.
constexpr std::chrono::milliseconds maxAnswerDelay{3000};

/// \returns a uniform random number in [0, 1) that no other draw from \a seed repeats.
double drawOnce(std::uint64_t seed)
{
    std::seed_seq sequence{seed & 0xffffffffU, seed >> 32U, std::uint64_t{1}};
    std::mt19937_64 random(sequence);
    return std::uniform_real_distribution<double>(0, 1)(random);
}

duration scaled(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(factor * std::chrono::duration<double>(time));
}

/// The side of an order to \a target that \a version is on.
version_side sideOf(const std::string &version, const std::string &target)
{
    return version == target ? version_side::candidate : version_side::baseline;
}

} // namespace

traffic_state::traffic_state(const router_settings &settings, std::uint64_t seed,
                             spillover_parameters spillover)
    : m_settings(settings)
    , m_random(seed)
    , m_prefixIndex(promptCacheLifetime)
    , m_quarantine(quarantine_parameters())
    , m_rateLimits(settings.name, seed)
    , m_brittleServices(settings.name)
    , m_coldInstances(settings)
    , m_spillover(settings.failureDomain, spillover)
    , m_answerDraw(drawOnce(seed))
{ }

void traffic_state::setSettings(const router_settings &settings)
{
    m_settings = settings;
    m_coldInstances.setSettings(settings);
    m_spillover.setOwnDomain(settings.failureDomain);
}

void traffic_state::setView(std::shared_ptr<const routing_view> view)
{
    const auto isKnown = [](const auto &previous, const auto &entry) {
        const auto known = previous.find(entry.first);
        return known != previous.end() && known->second == entry.second;
    };
    for (const auto &entry : view->crashReports) {
        const received_crash_report &received = *entry.second;
        if (!m_view || !isKnown(m_view->crashReports, entry))
            m_quarantine.merge(received.report, received.origin, received.receivedAt);
    }
    for (const auto &entry : view->rollouts) {
        const rollout_order &order = entry.second.order;
        const auto meter = m_exposureMeters.find(entry.first);
        if (meter != m_exposureMeters.end() && order.previousRevision != 0
            && meter->second.first == order.previousRevision)
            meter->second.first = order.revision;
    }
    m_quarantine.setAnswerDelay(suppressionDelay(m_answerDraw, view->fleetSize, maxAnswerDelay));
    m_rateLimits.setHosts(view->hosts, view->fleetSize);
    m_brittleServices.setHosts(view->hosts);
    m_coldInstances.setView(view);
    for (const auto &entry : view->rateLimits) {
        if (!m_view || !isKnown(m_view->rateLimits, entry))
            m_rateLimits.recordReport(entry.second->report, entry.second->receivedAt);
    }
    m_view = std::move(view);
    for (auto &entry : m_allowances)
        entry.second.setHosts(m_view->fleetSize);
}

std::optional<chosen_instance> traffic_state::choose(const placement_request &request,
                                                     time_point now)
{
    expire(now);
    version_side side = version_side::baseline;
    std::string target;
    bool inRollout = false;
    const auto rollout = m_view->rollouts.find(request.service);
    if (rollout != m_view->rollouts.end()) {
        inRollout = true;
        target = rollout->second.order.target;
        side = chooseVersion(request, rollout->second, now);
    }
    std::vector<const instance *> eligibleInstances
        = instancesOf(request, side, target, !inRollout);
    if (eligibleInstances.empty() && inRollout) {
        side = side == version_side::baseline ? version_side::candidate : version_side::baseline;
        eligibleInstances = instancesOf(request, side, target, false);
    }
    if (inRollout)
        removeRejected(eligibleInstances, rollout->second.rejectedVersions);
    removeLimited(eligibleInstances, now);
    // Limits never move a request to the candidate, nor a session off its version.
    if (eligibleInstances.empty() && side == version_side::candidate
        && lastSideOf(request, target, now) != version_side::candidate) {
        side = version_side::baseline;
        eligibleInstances = instancesOf(request, side, target, false);
        removeRejected(eligibleInstances, rollout->second.rejectedVersions);
        removeLimited(eligibleInstances, now);
    }
    if (eligibleInstances.empty())
        return std::nullopt;
    removeUnpromising(eligibleInstances, request, now);
    static const std::vector<prompt_segment> noPrompt;
    const std::vector<prompt_segment> &prompt
        = request.prompt != nullptr ? *request.prompt : noPrompt;
    const double weight = modelWeight(request.service, request.model);
    // Requests without a shared prefix need no affinity: ties are broken at random.
    const std::uint64_t affinity
        = prompt.size() > 1 ? sharedPrefixHash(prompt, request.model) : m_random();
    double sharedTokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        sharedTokens += static_cast<double>(prompt[i].tokens);
    std::size_t topRanked = 0;
    for (std::size_t i = 1; i < eligibleInstances.size(); ++i) {
        if (rendezvousRank(affinity, eligibleInstances[i]->incarnation())
            > rendezvousRank(affinity, eligibleInstances[topRanked]->incarnation()))
            topRanked = i;
    }
    expected_work work;
    work.kind = expectedKind(request.route, request.service, request.model);
    work.outputTokens = request.outputTokens;
    work.eventsDone = request.eventsDone;
    placement_parameters parameters;
    const std::set<std::string> preferred
        = preferredDomains(request, eligibleInstances, now, parameters);
    std::vector<placement_option> options;
    options.reserve(eligibleInstances.size());
    for (const instance *entry : eligibleInstances) {
        const std::string incarnation = entry->incarnation();
        const instance_state &state = m_instances[incarnation];
        placement_option option;
        option.incarnation = incarnation;
        option.inFlight = state.inFlight;
        option.slots = entry->slots;
        option.pendingPromptTokens = state.pendingPromptTokens;
        double cached = m_prefixIndex.cachedTokens(prompt, request.model, incarnation, now);
        if (entry == eligibleInstances[topRanked])
            cached = std::max(cached, remotelyCachedFraction * sharedTokens);
        option.uncachedTokens = weight * std::max(0.0, request.promptTokens - cached);
        option.load = state.load;
        const instance_pace pace = m_completionTime.paceOf(incarnation, now);
        option.slowness = state.slowness;
        option.overdue = pace.overdue;
        option.fixedTokens = request.promptTokens > 0 ? weight * fixedLatencyTokens : 0;
        work.promptTokens = option.uncachedTokens / weight;
        option.endsLate = endsLate(request, work, pace.slowness);
        option.sameDomain = preferred.count(entry->failureDomain) > 0;
        option.recentlyRefused = now < state.refusedUntil;
        options.push_back(std::move(option));
    }
    const std::size_t best = place(options, affinity, parameters);
    chosen_instance chosen;
    chosen.target = *eligibleInstances[best];
    chosen.side = side;
    if (inRollout) {
        chosen.orderRevision = rollout->second.order.revision;
        chosen.inRollout = rollout->second.record.stage != rollout_stage::completed;
    }
    chosen.model = request.model;
    chosen.weight = weight;
    chosen.uncachedTokens = options[best].uncachedTokens / weight;
    if (request.hasSession)
        chosen.session = request.sessionKey;
    chosen.sendNumber = ++m_choices;
    work.promptTokens = chosen.uncachedTokens;
    chosen.work = work;
    chosen.pace = m_completionTime.paceOf(options[best].incarnation, now);
    const auto first = m_completionTime.firstEvent(work);
    if (first) {
        const auto end = m_completionTime.wholeResponse(work);
        chosen.expectedFirstEvent = scaled(*first, chosen.pace.slowness);
        chosen.expectedEnd = scaled(*end, chosen.pace.slowness);
    }
    chosen.chosenAt = now;
    return chosen;
}

void traffic_state::recordSend(const placement_request &request, const chosen_instance &chosen,
                               time_point now)
{
    const std::string incarnation = chosen.target.incarnation();
    instance_state &state = m_instances[incarnation];
    state.inFlight += 1;
    state.load += chosen.weight;
    m_rateLimits.recordSend(incarnation, now);
    m_coldInstances.recordSend(chosen.target, now);
    m_completionTime.recordSend(chosen.sendNumber, incarnation, chosen.work, now);
    state.pendingPromptTokens += chosen.weight * chosen.uncachedTokens;
    if (request.prompt != nullptr)
        m_prefixIndex.recordPrompt(*request.prompt, request.model, incarnation, now);
    if (!chosen.session.empty()) {
        session_entry &session = m_sessions[{request.service, chosen.session}];
        session = {chosen.target.version, now, session.inFlight + 1};
    }
    const auto rollout = m_view->rollouts.find(request.service);
    if (rollout == m_view->rollouts.end())
        return;
    rollout_parameters parameters = rolloutParameters(m_settings);
    parameters.hosts = m_view->fleetSize;
    const std::uint64_t order = rollout->second.order.revision;
    auto meter = m_exposureMeters.find(request.service);
    if (meter == m_exposureMeters.end() || meter->second.first != order)
        meter = m_exposureMeters
                    .insert_or_assign(request.service,
                                      std::make_pair(order, exposure_meter(parameters)))
                    .first;
    meter->second.second.recordSend(chosen.side);
}

void traffic_state::recordFirstByte(const chosen_instance &chosen, duration latency, time_point now)
{
    instance_state &state = m_instances[chosen.target.incarnation()];
    state.pendingPromptTokens
        = std::max(0.0, state.pendingPromptTokens - chosen.weight * chosen.uncachedTokens);
    const double seconds = std::chrono::duration<double>(latency).count();
    const double perToken = seconds / (chosen.uncachedTokens + fixedLatencyTokens);
    token_latency &tokenLatency = m_tokenLatencies
                                      .emplace(chosen.target.service + ' ' + chosen.model,
                                               token_latency{perToken, perToken})
                                      .first->second;
    const double usual = tokenLatency.recent * (chosen.uncachedTokens + fixedLatencyTokens);
    const double ratio
        = std::clamp((seconds + latencyJitter) / (usual + latencyJitter), minSlowness, maxSlowness);
    state.slowness += slownessWeight * (ratio - state.slowness);
    tokenLatency.recent += latencyWeight * (perToken - tokenLatency.recent);
    tokenLatency.baseline = std::min(
        tokenLatency.baseline + baselineWeight * (tokenLatency.recent - tokenLatency.baseline),
        tokenLatency.recent);
    m_completionTime.recordFirstEvent(chosen.sendNumber, now);
    m_spillover.recordLatency(
        chosen.target.service, chosen.target.failureDomain, latency,
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            tokenLatency.baseline * (chosen.uncachedTokens + fixedLatencyTokens))),
        now);
}

bool traffic_state::endsLate(const placement_request &request, const expected_work &work,
                             double slowness) const
{
    if (slowness <= 1 || (!request.timeToTarget && !request.timeLeft))
        return false;
    const auto first = m_completionTime.firstEvent(work);
    const auto end = m_completionTime.wholeResponse(work);
    const auto isLateHereOnly = [&](const auto &usual, const auto &limit) {
        return usual && limit && *usual <= *limit && scaled(*usual, slowness) > *limit;
    };
    return isLateHereOnly(first, request.timeToTarget) || isLateHereOnly(end, request.timeLeft);
}

duration traffic_state::expectedLatency(const std::string &service, const std::string &model,
                                        double uncachedTokens) const
{
    const auto known = m_tokenLatencies.find(service + ' ' + model);
    const double perToken = known == m_tokenLatencies.end() ? 0 : known->second.recent;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(perToken * (uncachedTokens + fixedLatencyTokens)));
}

double traffic_state::slowness(const std::string &service, const std::string &model) const
{
    const auto known = m_tokenLatencies.find(service + ' ' + model);
    return known == m_tokenLatencies.end()
        ? 1
        : known->second.recent / std::max(known->second.baseline, 1e-9);
}

unsigned traffic_state::recordEnd(const chosen_instance &chosen, bool responseBegun,
                                  send_result result, time_point now)
{
    const auto session = m_sessions.find({chosen.target.service, chosen.session});
    if (session != m_sessions.end()) {
        session->second.lastActivity = now;
        --session->second.inFlight;
    }
    m_completionTime.recordEnd(chosen.sendNumber, result == send_result::answered, now);
    instance_state &state = m_instances[chosen.target.incarnation()];
    state.inFlight = std::max(0.0, state.inFlight - 1);
    state.load = state.inFlight > 0 ? std::max(0.0, state.load - chosen.weight) : 0;
    if (!responseBegun)
        state.pendingPromptTokens
            = std::max(0.0, state.pendingPromptTokens - chosen.weight * chosen.uncachedTokens);
    if (result == send_result::refused)
        m_spillover.recordRefusal(chosen.target.service, chosen.target.failureDomain, now);
    else if (result == send_result::broken || result == send_result::unreachable)
        m_spillover.recordLoss(chosen.target.service, chosen.target.failureDomain, now);
    switch (result) {
    case send_result::refused:
        state.refusedUntil = now + refusalBackOff;
        m_brittleServices.recordRejection(chosen.target.service, chosen.target.incarnation(),
                                          chosen.target.slots, now);
        state.connectFailures = 0;
        return 0;
    case send_result::unreachable:
        state.ejectedUntil = now
            + unreachableEjectionTime
                * (1 << std::min(state.connectFailures, maxEjectionDoublings));
        ++state.connectFailures;
        return 0;
    case send_result::cancelled:
        return 0;
    case send_result::answered:
    case send_result::failed:
    case send_result::broken:
        break;
    }
    state.connectFailures = 0;
    const unsigned survivedBrokenSends = result == send_result::broken ? 0 : state.brokenSends;
    state.brokenSends = result == send_result::broken ? state.brokenSends + 1 : 0;
    const double failed = result == send_result::answered ? 0 : 1;
    state.outcomes += 1;
    state.failureRate += failureWeight * (failed - state.failureRate);
    if (state.outcomes >= minOutcomes && state.failureRate > ejectionFailureRate) {
        state.ejectedUntil = now + failureEjectionTime;
        // After the ejection, fewer failures suffice to eject the instance again.
        state.failureRate = ejectionFailureRate / 2;
    }
    return survivedBrokenSends;
}

void traffic_state::recordRequest(const std::string &service, time_point now)
{
    retryAllowance(service).recordRequest(now);
}

bool traffic_state::mayRetry(const std::string &service, retry_reason reason, time_point now)
{
    return retryAllowance(service).mayRetry(reason, now);
}

void traffic_state::recordRetry(const std::string &service, time_point now)
{
    retryAllowance(service).recordRetry(now);
}

void traffic_state::refundRetry(const std::string &service, time_point countedAt)
{
    retryAllowance(service).refundRetry(countedAt);
}

bool traffic_state::recordLatency(const std::string &route, const std::string &model,
                                  version_side side, duration latency)
{
    if (side == version_side::candidate) {
        const auto limit = slowLatency(route, model);
        return limit && latency > *limit;
    }
    const double seconds = std::chrono::duration<double>(latency).count();
    const auto known = m_routeLatencies.emplace(route + ' ' + model, seconds).first;
    known->second += latencyWeight * (seconds - known->second);
    return false;
}

std::optional<duration> traffic_state::slowLatency(const std::string &route,
                                                   const std::string &model) const
{
    const auto known = m_routeLatencies.find(route + ' ' + model);
    if (known == m_routeLatencies.end())
        return std::nullopt;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(slowRatio * known->second + slowSeconds));
}

void traffic_state::recordEventInterval(const std::string &route, const std::string &model,
                                        duration interval)
{
    m_eventIntervals.emplace(route + ' ' + model, recent_values(maxIntervals))
        .first->second.add(std::chrono::duration<double>(interval).count());
}

std::optional<duration> traffic_state::slowEventInterval(const std::string &route,
                                                         const std::string &model) const
{
    const auto known = m_eventIntervals.find(route + ' ' + model);
    if (known == m_eventIntervals.end() || known->second.count() < minIntervals)
        return std::nullopt;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
        slowIntervalRatio * known->second.quantile(intervalQuantile) + slowIntervalSeconds));
}

void traffic_state::discardFailures()
{
    m_coldInstances.discardRefusals();
    m_completionTime.discardEvidence();
    m_spillover.discardLosses();
    for (auto &entry : m_instances) {
        instance_state &state = entry.second;
        state.failureRate = 0;
        state.outcomes = 0;
        state.connectFailures = 0;
        state.brokenSends = 0;
        state.ejectedUntil = time_point();
    }
}

bool traffic_state::recordLeaving(const std::string &incarnation, time_point now)
{
    return m_leaving.emplace(incarnation, now).second;
}

std::vector<std::uint64_t> traffic_state::baselineSessions(const rollout_order &order,
                                                           time_point now) const
{
    const rollout_parameters parameters = rolloutParameters(m_settings);
    const double share = parameters.exposureShare * parameters.canaryFraction;
    std::vector<std::uint64_t> digests;
    for (const auto &known : m_sessions) {
        if (known.first.first == order.service && isRecent(known.second, now)
            && sideOf(known.second.version, order.target) == version_side::baseline
            && sessionPosition(order.service, order.target, known.first.second) < share)
            digests.push_back(sessionDigest(order.service, known.first.second));
    }
    return digests;
}

std::size_t traffic_state::instanceCount(const std::string &service) const
{
    const auto found = m_view->instances.find(service);
    return found == m_view->instances.end() ? 0 : found->second.size();
}

double traffic_state::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

bool traffic_state::isInUsableDomain(const instance &entry, const placement_request &request) const
{
    return !isEvacuated(entry.failureDomain)
        && (!request.regionsBind
            || isDomainAllowed({true, request.allowedRegions}, m_settings.regionOfDomain,
                               entry.failureDomain));
}

std::vector<const instance *> traffic_state::instancesOf(const placement_request &request,
                                                         version_side side,
                                                         const std::string &target,
                                                         bool anyVersion) const
{
    std::vector<const instance *> usable;
    const auto found = m_view->instances.find(request.service);
    if (found == m_view->instances.end())
        return usable;
    for (const instance &entry : found->second) {
        if (!entry.draining && m_leaving.count(entry.incarnation()) == 0
            && (anyVersion || sideOf(entry.version, target) == side)
            && isInUsableDomain(entry, request))
            usable.push_back(&entry);
    }
    return usable;
}

void traffic_state::removeRejected(std::vector<const instance *> &instances,
                                   const std::set<std::string> &rejectedVersions)
{
    const auto isRejected
        = [&](const instance *entry) { return rejectedVersions.count(entry->version) > 0; };
    if (!std::all_of(instances.begin(), instances.end(), isRejected))
        instances.erase(std::remove_if(instances.begin(), instances.end(), isRejected),
                        instances.end());
}

void traffic_state::removeLimited(std::vector<const instance *> &instances, time_point now) const
{
    if (m_rateLimits.limitedCount() == 0 && m_brittleServices.brittleCount() == 0
        && m_coldInstances.coldCount() == 0)
        return;
    const auto isLimited = [&](const instance *entry) {
        const auto next = m_rateLimits.nextSendAt(entry->incarnation(), now);
        if (!next || *next > now || !m_coldInstances.maySend(*entry, now))
            return true;
        const auto state = m_instances.find(entry->incarnation());
        const double inFlight = state == m_instances.end() ? 0 : state->second.inFlight;
        return !m_brittleServices.maySend(*entry, inFlight, now);
    };
    instances.erase(std::remove_if(instances.begin(), instances.end(), isLimited), instances.end());
}

void traffic_state::removeUnpromising(std::vector<const instance *> &instances,
                                      const placement_request &request, time_point now) const
{
    // Excludes the matching instances unless none, or a fraction below minFraction, would remain.
    const auto exclude = [&](const auto &isExcluded, double minFraction) {
        std::vector<const instance *> remaining;
        std::copy_if(instances.begin(), instances.end(), std::back_inserter(remaining),
                     [&](const instance *entry) { return !isExcluded(*entry); });
        if (!remaining.empty()
            && static_cast<double>(remaining.size())
                >= minFraction * static_cast<double>(instances.size()))
            instances = std::move(remaining);
    };
    exclude(
        [&](const instance &entry) {
            const auto state = m_instances.find(entry.incarnation());
            return state != m_instances.end() && now < state->second.ejectedUntil;
        },
        minInUseFraction);
    exclude(
        [&](const instance &entry) {
            return request.triedIncarnations.count(entry.incarnation()) > 0;
        },
        0);
}

std::vector<const instance *> traffic_state::coldInstancesOf(const placement_request &request,
                                                             time_point now) const
{
    std::vector<const instance *> result;
    const auto found = m_view->instances.find(request.service);
    if (found == m_view->instances.end() || m_coldInstances.coldCount() == 0)
        return result;
    for (const instance &entry : found->second) {
        const std::string incarnation = entry.incarnation();
        if (!entry.draining && m_leaving.count(incarnation) == 0 && isInUsableDomain(entry, request)
            && m_coldInstances.isCold(incarnation, now))
            result.push_back(&entry);
    }
    return result;
}

bool traffic_state::hasColdInstances(const placement_request &request, time_point now) const
{
    return !coldInstancesOf(request, now).empty();
}

std::set<std::string> traffic_state::hostsWithPermits(const placement_request &request,
                                                      time_point now) const
{
    std::set<std::string> hosts = m_coldInstances.hostsWithPermits(coldInstancesOf(request, now));
    if (hosts.count(m_settings.name) > 0)
        hosts.clear();
    return hosts;
}

std::set<std::string> traffic_state::hostsWithPlaces(const placement_request &request) const
{
    const auto found = m_view->instances.find(request.service);
    if (found == m_view->instances.end())
        return {};
    std::vector<instance> usable;
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(usable),
                 [&](const instance &entry) { return isInUsableDomain(entry, request); });
    return m_brittleServices.hostsWithPlaces(usable);
}

std::optional<std::set<std::string>>
traffic_state::hostsForBody(const placement_request &request) const
{
    if (!request.regionsBind)
        return std::nullopt;
    std::set<std::string> hosts;
    for (const registered_host &host : *m_view->hostAddresses) {
        if (mayHandBodyTo({true, request.allowedRegions}, m_settings.regionOfDomain,
                          m_settings.region, host.failureDomain))
            hosts.insert(host.name);
    }
    return hosts;
}

const char *traffic_state::noInstanceReason(const placement_request &request, time_point now) const
{
    bool isAnyInUse = false;
    bool isAnyOutsideEvacuations = false;
    bool isAnyUsable = false;
    const auto found = m_view->instances.find(request.service);
    if (found != m_view->instances.end()) {
        for (const instance &entry : found->second) {
            if (entry.draining || m_leaving.count(entry.incarnation()) > 0)
                continue;
            isAnyInUse = true;
            isAnyOutsideEvacuations = isAnyOutsideEvacuations || !isEvacuated(entry.failureDomain);
            isAnyUsable = isAnyUsable || isInUsableDomain(entry, request);
        }
    }
    if (isAnyInUse && !isAnyOutsideEvacuations)
        return "domains_emptied";
    if (isAnyInUse && !isAnyUsable)
        return "no_home";
    return isRateLimited(request) || m_brittleServices.isBrittle(request.service, now)
            || hasColdInstances(request, now)
        ? "instances_at_limit"
        : "no_instance";
}

std::optional<time_point> traffic_state::nextSendAt(const placement_request &request,
                                                    time_point now) const
{
    std::optional<time_point> earliest;
    const auto found = m_view->instances.find(request.service);
    if (found == m_view->instances.end())
        return earliest;
    for (const instance &entry : found->second) {
        if (entry.draining || m_leaving.count(entry.incarnation()) > 0
            || !isInUsableDomain(entry, request))
            continue;
        auto next = m_rateLimits.nextSendAt(entry.incarnation(), now);
        if (next)
            next = std::max(*next, m_coldInstances.nextSendAt(entry, now));
        if (next && (!earliest || *next < *earliest))
            earliest = next;
    }
    return earliest;
}

bool traffic_state::isRateLimited(const placement_request &request) const
{
    const auto found = m_view->instances.find(request.service);
    return found != m_view->instances.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const instance &entry) {
               return isInUsableDomain(entry, request)
                   && m_rateLimits.limitOf(entry.incarnation()).has_value();
           });
}

version_side traffic_state::chooseVersion(const placement_request &request,
                                          const service_rollout &rollout, time_point now)
{
    rollout_record record = rollout.record;
    if (rollout.judgedBad)
        record.stage = rollout_stage::rolledBack;
    const rollout_stage stage = record.stage;
    session_history history;
    history.lastSide = lastSideOf(request, rollout.order.target, now);
    history.wasOnBaseline = rollout.baselineSessions
        && rollout.baselineSessions->count(sessionDigest(request.service, request.sessionKey)) > 0;
    const bool isViewCurrent = now - m_confirmedAt < maxRolloutViewAge;
    const auto meter = m_exposureMeters.find(request.service);
    const bool isWithinExposureBound = meter == m_exposureMeters.end()
        || meter->second.first != rollout.order.revision || meter->second.second.mayExpose();
    const bool hasFailedOnCandidate = request.failedVersions.count(rollout.order.target) > 0;
    const bool mayExpose = isViewCurrent && !hasFailedOnCandidate
        && (stage != rollout_stage::canary || isWithinExposureBound);
    const rollout_parameters parameters = rolloutParameters(m_settings);
    const double share
        = sessionShare(record, rollout.elapsed(now), rollout.order.duration, parameters);
    const double position
        = sessionPosition(request.service, rollout.order.target, request.sessionKey);
    return chooseSide(stage, share, position, history, mayExpose);
}

std::optional<version_side> traffic_state::lastSideOf(const placement_request &request,
                                                      const std::string &target,
                                                      time_point now) const
{
    const auto session = m_sessions.find({request.service, request.sessionKey});
    if (session == m_sessions.end() || !isRecent(session->second, now))
        return std::nullopt;
    return sideOf(session->second.version, target);
}

double traffic_state::modelWeight(const std::string &service, const std::string &model) const
{
    const service_spec *spec = m_view->config ? m_view->config->service(service) : nullptr;
    if (spec == nullptr)
        return 1;
    double cost = 0;
    double highestCost = 0;
    for (const model_cost &entry : spec->models) {
        highestCost = std::max(highestCost, entry.costPerKiloToken);
        if (entry.name == model)
            cost = entry.costPerKiloToken;
    }
    return cost > 0 ? cost / highestCost : 1;
}

std::set<std::string>
traffic_state::preferredDomains(const placement_request &request,
                                const std::vector<const instance *> &instances, time_point now,
                                placement_parameters &parameters)
{
    std::set<std::string> domains;
    for (const instance *entry : instances)
        domains.insert(entry->failureDomain);
    // Without a share, no random number is drawn: the choice is the same as without spillover.
    const double share = m_spillover.update(request.service, domains, now);
    if (share == 0 || draw() >= share)
        return {m_settings.failureDomain};
    parameters.otherDomainPenaltyTokens
        = std::max(parameters.otherDomainPenaltyTokens,
                   m_spillover.saving(request.service) * fixedLatencyTokens);
    return m_spillover.destinations(request.service);
}

retry_allowance &traffic_state::retryAllowance(const std::string &service)
{
    const auto found = m_allowances.find(service);
    if (found != m_allowances.end())
        return found->second;
    retry_parameters parameters;
    parameters.ratio = m_settings.retryRatio;
    parameters.slack = m_settings.retrySlack;
    parameters.window = m_settings.retryWindow;
    parameters.hosts = m_view->fleetSize;
    return m_allowances.emplace(service, retry_allowance(parameters)).first->second;
}

bool traffic_state::isRecent(const session_entry &entry, time_point now) const
{
    return entry.inFlight > 0 || now - entry.lastActivity < m_settings.sessionIdleTimeout;
}

void traffic_state::expire(time_point now)
{
    if (now - m_lastSweepAt < sweepInterval)
        return;
    m_lastSweepAt = now;
    m_prefixIndex.expire(now);
    for (auto i = m_sessions.begin(); i != m_sessions.end();)
        i = isRecent(i->second, now) ? std::next(i) : m_sessions.erase(i);
    for (auto &entry : m_instances)
        entry.second.slowness = 1 + slownessDecay * (entry.second.slowness - 1);
    std::set<std::string> known;
    for (const auto &service : m_view->instances) {
        for (const instance &entry : service.second)
            known.insert(entry.incarnation());
    }
    m_rateLimits.retain(known);
    m_completionTime.retain(known);
    for (auto i = m_leaving.begin(); i != m_leaving.end();)
        i = now - i->second > leavingMemory ? m_leaving.erase(i) : std::next(i);
    for (auto i = m_instances.begin(); i != m_instances.end();)
        i = i->second.inFlight == 0 && known.count(i->first) == 0 ? m_instances.erase(i)
                                                                  : std::next(i);
}

} // namespace goldcrestdeck
