// Sends are spaced rather than counted per window, with the times of all recent sends, so that the
// bound also holds in the second in which an instance turns cold.

#include "goldcrestdeck/cold_instances.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "goldcrestdeck/brittle_services.h"
#include "goldcrestdeck/placement.h"

namespace goldcrestdeck {

namespace {

/// Time in which a host sends at most one request per permit: the second of the bound, and 100 ms,
/// the period of CPU quotas, by which a request may leave later than it was recorded.
constexpr std::chrono::milliseconds permitInterval{1100};
/// Sends remembered for each instance, and thus the most permits that a host uses for one.
constexpr std::size_t maxPermits = 64;
/// Time for which a host without a permit sends nothing to an instance that refused a connection,
/// and the time added for each group of hosts that ranks before it. A group has as many hosts as
/// there are permits, so that at most that many come back to the instance in the same second.
constexpr std::chrono::milliseconds refusalMemory{10'000};
constexpr std::chrono::milliseconds refusalStagger{1000};
/// Upper bound of a time left that an instance states; a larger one is an error of its writer.
constexpr std::chrono::milliseconds maxColdLeft{60'000};
/// Entries kept before all are computed or learned anew.
constexpr std::size_t maxRanks = 10'000;
constexpr std::size_t maxDeparted = 10'000;
/// Changes kept between two calls of takeChanges(); further ones are not reported.
constexpr std::size_t maxChanges = 1000;
/// Interval between removals of sends that no longer matter.
constexpr std::chrono::milliseconds sweepInterval{1000};

} // namespace

const char *toString(cold_reason reason)
{
    switch (reason) {
    case cold_reason::registration:
        return "registration";
    case cold_reason::response:
        return "response";
    case cold_reason::returned:
        return "returned";
    case cold_reason::refused:
        return "refused";
    case cold_reason::domainRestored:
        break;
    }
    return "domain_restored";
}

std::optional<cold_bound> coldBound(const service_spec *service, const router_settings &settings)
{
    if (service == nullptr || !(service->coldRequestsPerSecond > 0) || !(settings.coldOverage > 0))
        return std::nullopt;
    const double requests
        = service->coldRequestsPerSecond * settings.coldOverage + settings.coldSlack;
    constexpr double maxRequests = 1e6;
    const auto whole = static_cast<std::size_t>(std::clamp(requests, 0.0, maxRequests));
    return cold_bound{whole / 2, service->coldPeriod};
}

cold_instances::cold_instances(const router_settings &settings)
    : m_settings(settings)
{ }

void cold_instances::setView(std::shared_ptr<const routing_view> view)
{
    const std::shared_ptr<const routing_view> previous = std::exchange(m_view, std::move(view));
    if (!previous)
        m_firstViewAt = m_view->publishedAt;
    else if (previous->hosts != m_view->hosts)
        m_ranks.clear();
    if (!m_view->config || !(m_settings.coldOverage > 0)) {
        m_present.reset();
        return;
    }
    const time_point now = m_view->publishedAt;
    std::set<std::string> present;
    for (const auto &service : m_view->instances) {
        const bool isBounded = boundOf(service.first).has_value();
        for (const instance &entry : service.second) {
            const std::string incarnation = entry.incarnation();
            present.insert(incarnation);
            const bool hasReturned = m_departed.erase(incarnation) > 0;
            if (!isBounded)
                continue;
            // The first registration of a new incarnation says itself whether it is cold.
            if (hasReturned)
                inferCold(entry, now, cold_reason::returned);
            if (m_present && previous->emptiedDomains->count(entry.failureDomain) > 0
                && m_view->emptiedDomains->count(entry.failureDomain) == 0)
                inferCold(entry, now, cold_reason::domainRestored);
            readRegistration(entry, now);
        }
    }
    if (m_departed.size() > maxDeparted)
        m_departed.clear();
    if (m_present)
        std::set_difference(m_present->begin(), m_present->end(), present.begin(), present.end(),
                            std::inserter(m_departed, m_departed.end()));
    m_present = std::move(present);
}

void cold_instances::readRegistration(const instance &target, time_point now)
{
    const time_point until = target.readAt + std::min(target.coldLeft, maxColdLeft);
    if (target.coldLeft.count() == 0 || until <= now)
        return;
    cold_state &state = markCold(target, now, cold_reason::registration);
    state.statedUntil = std::max(state.statedUntil, until);
}

cold_instances::cold_state &cold_instances::markCold(const instance &target, time_point now,
                                                     cold_reason reason)
{
    const auto inserted = m_states.emplace(target.incarnation(), cold_state());
    cold_state &state = inserted.first->second;
    if ((inserted.second || state.until() <= now) && m_changes.size() < maxChanges)
        m_changes.push_back({target.incarnation(), target.failureDomain, reason});
    state.failureDomain = target.failureDomain;
    return state;
}

void cold_instances::inferCold(const instance &target, time_point now, cold_reason reason)
{
    const auto bound = boundOf(target.service);
    if (!bound || bound->period.count() == 0)
        return;
    cold_state &state = markCold(target, now, reason);
    state.inferredUntil = std::max<time_point>(state.inferredUntil, now + bound->period);
}

void cold_instances::recordColdLeft(const instance &target, std::chrono::milliseconds left,
                                    time_point now)
{
    if (left.count() == 0 || !boundOf(target.service))
        return;
    cold_state &state = markCold(target, now, cold_reason::response);
    state.statedUntil = std::max<time_point>(state.statedUntil, now + std::min(left, maxColdLeft));
}

void cold_instances::recordRefusal(const instance &target, time_point now)
{
    const auto bound = boundOf(target.service);
    if (!bound || bound->period.count() == 0)
        return;
    const std::size_t group
        = rankFor(target.incarnation()) / std::max<std::size_t>(bound->permits, 1);
    const duration memory = refusalMemory + static_cast<duration::rep>(group) * refusalStagger;
    cold_state &state = markCold(target, now, cold_reason::refused);
    state.refusedAt = now;
    state.refusedUntil = now + std::max<duration>(memory, bound->period);
    state.awaitsResponse = true;
}

void cold_instances::recordAccepted(const instance &target, time_point sentAt, time_point now)
{
    if (m_states.empty())
        return;
    const auto known = m_states.find(target.incarnation());
    if (known == m_states.end() || sentAt < known->second.refusedAt
        || !std::exchange(known->second.awaitsResponse, false))
        return;
    const auto bound = boundOf(target.service);
    known->second.refusedUntil = now + (bound ? bound->period : std::chrono::milliseconds(0));
}

void cold_instances::discardRefusals()
{
    for (auto &entry : m_states) {
        if (std::exchange(entry.second.awaitsResponse, false))
            entry.second.refusedUntil = time_point();
    }
}

void cold_instances::recordSend(const instance &target, time_point now)
{
    if (!boundOf(target.service))
        return;
    std::deque<time_point> &sends = m_sends[target.incarnation()];
    sends.push_back(now);
    while (sends.size() > maxPermits)
        sends.pop_front();
}

void cold_instances::recordDelayedSend(const std::string &incarnation, time_point now)
{
    const auto known = m_sends.find(incarnation);
    if (known != m_sends.end() && !known->second.empty())
        known->second.back() = std::max(known->second.back(), now);
}

bool cold_instances::isCold(const std::string &incarnation, time_point now) const
{
    const auto known = m_states.find(incarnation);
    return known != m_states.end() && now < known->second.until();
}

bool cold_instances::maySend(const instance &target, time_point now) const
{
    return m_states.empty() || nextSendAt(target, now) <= now;
}

time_point cold_instances::nextSendAt(const instance &target, time_point now) const
{
    const std::string incarnation = target.incarnation();
    const auto known = m_states.find(incarnation);
    if (known == m_states.end() || known->second.until() <= now)
        return now;
    const time_point warmAt = known->second.until();
    const auto bound = boundOf(target.service);
    if (!bound)
        return now;
    const std::size_t permits = permitsFor(incarnation, bound->permits);
    if (permits == 0)
        return warmAt;
    // The host may have been restarted right after sends that it no longer knows of.
    const time_point firstAt = m_firstViewAt + permitInterval;
    const auto sent = m_sends.find(incarnation);
    if (sent == m_sends.end() || sent->second.empty())
        return std::clamp(firstAt, now, warmAt);
    const std::deque<time_point> &sends = sent->second;
    time_point next = sends.back() + permitInterval / static_cast<duration::rep>(permits);
    if (sends.size() >= permits)
        next = std::max<time_point>(next, sends[sends.size() - permits] + permitInterval);
    return std::clamp(std::max(next, firstAt), now, warmAt);
}

std::set<std::string>
cold_instances::hostsWithPermits(const std::vector<const instance *> &instances) const
{
    std::set<std::string> result;
    if (!m_view)
        return result;
    for (const instance *entry : instances) {
        const auto bound = boundOf(entry->service);
        if (!bound)
            continue;
        const std::uint64_t key = rendezvousRank(0, entry->incarnation());
        std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
        ranked.reserve(m_view->hosts->size());
        for (const std::string &host : *m_view->hosts)
            ranked.emplace_back(rendezvousRank(key, host), &host);
        const std::size_t count = std::min(ranked.size(), bound->permits);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                          ranked.end(), std::greater<>());
        for (std::size_t i = 0; i < count; ++i)
            result.insert(*ranked[i].second);
    }
    return result;
}

std::vector<cold_change> cold_instances::takeChanges(time_point now)
{
    for (auto i = m_states.begin(); i != m_states.end();) {
        if (now < i->second.until()) {
            ++i;
            continue;
        }
        if (m_changes.size() < maxChanges)
            m_changes.push_back({i->first, i->second.failureDomain, std::nullopt});
        i = m_states.erase(i);
    }
    if (now - m_lastSweepAt >= sweepInterval) {
        m_lastSweepAt = now;
        for (auto i = m_sends.begin(); i != m_sends.end();)
            i = now - i->second.back() > permitInterval ? m_sends.erase(i) : std::next(i);
    }
    return std::exchange(m_changes, {});
}

std::optional<cold_bound> cold_instances::boundOf(const std::string &service) const
{
    if (!m_view || !m_view->config)
        return std::nullopt;
    return coldBound(m_view->config->service(service), m_settings);
}

std::size_t cold_instances::permitsFor(const std::string &incarnation, std::size_t permits) const
{
    if (m_view->hosts->count(m_settings.name) == 0)
        return 0;
    return std::min(placesFor(rankFor(incarnation), m_view->hosts->size(), permits), maxPermits);
}

std::size_t cold_instances::rankFor(const std::string &incarnation) const
{
    const auto known = m_ranks.find(incarnation);
    if (known != m_ranks.end())
        return known->second;
    if (m_ranks.size() >= maxRanks)
        m_ranks.clear();
    const std::uint64_t key = rendezvousRank(0, incarnation);
    const std::uint64_t own = rendezvousRank(key, m_settings.name);
    const std::size_t rank
        = std::count_if(m_view->hosts->begin(), m_view->hosts->end(),
                        [&](const std::string &host) { return rendezvousRank(key, host) > own; });
    return m_ranks.emplace(incarnation, rank).first->second;
}

} // namespace goldcrestdeck
