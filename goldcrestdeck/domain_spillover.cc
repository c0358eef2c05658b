#include "goldcrestdeck/domain_spillover.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestdeck {

namespace {

/// Bound of a single relative latency, so that one slow response decides nothing.
constexpr double maxRelative = 10;
/// Relative latency that a refusal stands for. Instances queue about twice as many requests as they
/// process, so one without room would have made the request wait for two others.
constexpr double refusedRelative = 3;
/// Weight, in responses, of the assumption that a domain is as fast as usual and of the variance
/// of a single response that goes with it.
constexpr double priorWeight = 1;
constexpr double priorVariance = 0.25;
/// If fewer responses than these come in evidenceTime, evidence decays over the time that they
/// take.
constexpr double evidenceResponses = 4;
/// Weight of one interval between responses in their mean interval.
constexpr double intervalWeight = 0.1;
/// Responses that the own domain has to have given recently, before the share may grow.
constexpr double minOwnWeight = 2;
/// Time constants with which the usual latency follows a higher and a lower one. It follows a
/// higher one slowly, so that a burst or a wave of demand does not become usual.
constexpr double usualRiseSeconds = 60;
constexpr double usualFallSeconds = 15;
/// Responses of the own domain from which the usual latency is first learned, and the least weight
/// of one of them. The share stays zero until then, also because the expected latency is not known
/// well yet.
constexpr double minOwnResponses = 40;
constexpr double warmUpWeight = 0.05;
/// Weight of one response in the mean latency without load.
constexpr double expectedWeight = 0.05;
/// Longest interval that one update accounts for; longer ones hold no requests and no evidence.
constexpr double maxUpdateSeconds = 1;
/// Shares below this are taken for zero.
constexpr double minShare = 0.005;
/// A change of the share is logged if it is this large or ends at zero, once in changeInterval.
constexpr double loggedChange = 0.1;
constexpr std::chrono::seconds changeInterval{10};

double toSeconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

domain_spillover::domain_spillover(std::string ownDomain, spillover_parameters parameters)
    : m_ownDomain(std::move(ownDomain))
    , m_parameters(parameters)
{ }

void domain_spillover::setOwnDomain(const std::string &domain)
{
    if (domain == m_ownDomain)
        return;
    m_ownDomain = domain;
    m_services.clear();
}

void domain_spillover::recordLatency(const std::string &service, const std::string &domain,
                                     duration latency, duration expected, time_point now)
{
    if (m_ownDomain.empty() || expected <= duration(0))
        return;
    service_state &state = m_services[service];
    const double seconds = toSeconds(expected);
    state.expected += (state.expected > 0 ? expectedWeight : 1) * (seconds - state.expected);
    record(state, domain, std::clamp(toSeconds(latency) / seconds, 0.0, maxRelative), now);
}

void domain_spillover::recordRefusal(const std::string &service, const std::string &domain,
                                     time_point now)
{
    if (m_ownDomain.empty())
        return;
    service_state &state = m_services[service];
    record(state, domain, std::max(state.usual, 1.0) * refusedRelative, now);
}

void domain_spillover::recordLoss(const std::string &service, const std::string &domain,
                                  time_point now)
{
    if (!m_ownDomain.empty() && domain != m_ownDomain)
        record(m_services[service], domain, maxRelative, now);
}

void domain_spillover::discardLosses()
{
    for (auto &entry : m_services) {
        for (auto &known : entry.second.domains) {
            if (known.first != m_ownDomain)
                known.second = evidence();
        }
    }
}

double domain_spillover::update(const std::string &service, const std::set<std::string> &domains,
                                time_point now)
{
    const auto found = m_services.find(service);
    if (m_ownDomain.empty() || found == m_services.end())
        return 0;
    // A request that has tried the own domain's only instance says nothing about the share.
    if (domains.count(m_ownDomain) == 0)
        return 0;
    service_state &state = found->second;
    const double elapsed = std::clamp(toSeconds(now - state.updatedAt), 0.0, maxUpdateSeconds);
    state.updatedAt = now;
    const double target = targetShare(state, domains, now);
    state.share
        += (target - state.share) * (1 - std::exp(-elapsed / toSeconds(m_parameters.adjustTime)));
    if (target == 0 && state.share < minShare)
        state.share = 0;
    return state.destinations.empty() ? 0 : state.share;
}

double domain_spillover::targetShare(service_state &state, const std::set<std::string> &domains,
                                     time_point now)
{
    evidence &ownEvidence = state.domains[m_ownDomain];
    age(state, ownEvidence, now);
    const estimate own = estimateOf(ownEvidence, state.usual);
    state.ownLatency = own.mean;
    const double cost = m_parameters.minSaving * std::max(state.usual, 1.0)
        + toSeconds(m_parameters.pathCost) / std::max(state.expected, 1e-6);
    const estimate other = selectDestinations(state, domains, own, cost, now);
    state.otherLatency = 0;
    state.saving = 0;
    if (state.destinations.empty())
        return 0;
    state.otherLatency = other.mean;
    state.saving = own.mean - other.mean;
    if (ownEvidence.weight < minOwnWeight || state.ownResponses <= minOwnResponses)
        return 0;
    const double margin = m_parameters.confidence * std::sqrt(own.variance + other.variance);
    const double excess = state.saving - cost - margin;
    return std::clamp(m_parameters.sharePerSaving * excess, 0.0, m_parameters.maxShare);
}

domain_spillover::estimate
domain_spillover::selectDestinations(service_state &state, const std::set<std::string> &domains,
                                     const estimate &own, double cost, time_point now)
{
    state.destinations.clear();
    double latencies = 0;
    double variances = 0;
    for (const std::string &domain : domains) {
        if (domain == m_ownDomain)
            continue;
        evidence &known = state.domains[domain];
        age(state, known, now);
        const estimate other = estimateOf(known, state.usual);
        if (own.mean - other.mean <= cost)
            continue;
        state.destinations.insert(domain);
        latencies += other.mean;
        variances += other.variance;
    }
    if (state.destinations.empty())
        return estimate();
    const auto count = static_cast<double>(state.destinations.size());
    return {latencies / count, variances / (count * count)};
}

const std::set<std::string> &domain_spillover::destinations(const std::string &service) const
{
    static const std::set<std::string> none;
    const service_state *state = find(service);
    return state != nullptr ? state->destinations : none;
}

double domain_spillover::saving(const std::string &service) const
{
    const service_state *state = find(service);
    return state != nullptr ? state->saving : 0;
}

double domain_spillover::share(const std::string &service) const
{
    const service_state *state = find(service);
    return state != nullptr ? state->share : 0;
}

std::optional<spillover_change> domain_spillover::takeChange(const std::string &service,
                                                             time_point now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return std::nullopt;
    service_state &state = found->second;
    const bool isChange = std::abs(state.share - state.loggedShare) >= loggedChange
        || (state.share == 0 && state.loggedShare > 0);
    if (!isChange || (state.loggedAt && now - *state.loggedAt < changeInterval))
        return std::nullopt;
    const spillover_change change{service, state.share, state.loggedShare, state.ownLatency,
                                  state.otherLatency};
    state.loggedShare = state.share;
    state.loggedAt = now;
    return change;
}

void domain_spillover::record(service_state &state, const std::string &domain, double relative,
                              time_point now)
{
    if (domain == m_ownDomain) {
        const double interval = std::clamp(toSeconds(now - state.ownResponseAt), 0.0,
                                           toSeconds(m_parameters.maxEvidenceTime));
        state.ownResponseAt = now;
        state.interval += intervalWeight * (interval - state.interval);
        const double elapsed = std::min(interval, maxUpdateSeconds);
        const double time = relative > state.usual ? usualRiseSeconds : usualFallSeconds;
        state.ownResponses += 1;
        const double weight = state.ownResponses <= minOwnResponses
            ? std::max(1 / state.ownResponses, warmUpWeight)
            : elapsed / time;
        state.usual += weight * (relative - state.usual);
    }
    evidence &known = state.domains[domain];
    age(state, known, now);
    known.weight += 1;
    known.sum += relative;
    known.squares += relative * relative;
}

void domain_spillover::age(const service_state &state, evidence &known, time_point now) const
{
    const double evidenceSeconds
        = std::clamp(evidenceResponses * state.interval, toSeconds(m_parameters.evidenceTime),
                     toSeconds(m_parameters.maxEvidenceTime));
    const double elapsed = std::max(0.0, toSeconds(now - known.at));
    const double factor = std::exp(-elapsed / evidenceSeconds);
    known.weight *= factor;
    known.sum *= factor;
    known.squares *= factor;
    known.at = std::max(known.at, now);
}

domain_spillover::estimate domain_spillover::estimateOf(const evidence &known, double usual)
{
    const double weight = known.weight + priorWeight;
    estimate result;
    result.mean = (known.sum + priorWeight * usual) / weight;
    const double squares = known.squares + priorWeight * usual * usual * (1 + priorVariance);
    result.variance = std::max(0.0, squares / weight - result.mean * result.mean) / weight;
    return result;
}

const domain_spillover::service_state *domain_spillover::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace goldcrestdeck
