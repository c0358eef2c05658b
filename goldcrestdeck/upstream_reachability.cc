// A failed connection to one instance is what a crash looks like too; it takes a run of failures of
// instances of different services, without a success in between, to tell a lost path from it.

#include "goldcrestdeck/upstream_reachability.h"

#include <algorithm>

namespace goldcrestdeck {

const char *toString(path_state state)
{
    switch (state) {
    case path_state::intact:
        return "intact";
    case path_state::suspect:
        return "suspect";
    case path_state::lost:
        break;
    }
    return "lost";
}

upstream_reachability::upstream_reachability(reachability_parameters parameters, std::uint64_t seed)
    : m_parameters(parameters)
    , m_random(seed)
{ }

void upstream_reachability::setInstances(
    const std::map<std::string, std::vector<instance>> &instances)
{
    m_instances.clear();
    m_services = 0;
    for (const auto &service : instances) {
        const std::size_t before = m_instances.size();
        for (const instance &entry : service.second) {
            if (!entry.draining)
                m_instances.emplace(entry.incarnation(), entry);
        }
        m_services += m_instances.size() > before ? 1 : 0;
    }
    for (auto i = m_failed.begin(); i != m_failed.end();)
        i = m_instances.count(i->first) == 0 ? m_failed.erase(i) : std::next(i);
    if (m_failed.empty() && m_state == path_state::suspect)
        m_state = path_state::intact;
}

void upstream_reachability::recordConnected(const std::string &incarnation)
{
    if (m_state != path_state::lost) {
        m_failed.clear();
        m_state = path_state::intact;
        return;
    }
    m_connected.insert(incarnation);
    if (m_connected.size() >= std::min(m_parameters.minConnected, m_instances.size())) {
        m_failed.clear();
        m_state = path_state::intact;
    }
}

void upstream_reachability::recordConnectFailed(const std::string &incarnation, time_point now)
{
    if (m_instances.count(incarnation) == 0)
        return;
    m_connected.clear();
    m_failed[incarnation] = now;
    if (m_state == path_state::lost)
        return;
    for (auto i = m_failed.begin(); i != m_failed.end();)
        i = now - i->second > m_parameters.evidenceLifetime ? m_failed.erase(i) : std::next(i);
    m_state = isLost() ? path_state::lost : path_state::suspect;
}

bool upstream_reachability::isSilent(time_point waitingSince, time_point now) const
{
    return now - std::max(waitingSince, m_lastBytesAt) > m_parameters.silence;
}

std::optional<instance> upstream_reachability::trialTarget(const std::string &except)
{
    const std::set<std::string> failedServices = this->failedServices();
    std::vector<const instance *> any;
    std::vector<const instance *> unfailed;
    std::vector<const instance *> ofOtherServices;
    for (const auto &entry : m_instances) {
        if (entry.first == except)
            continue;
        any.push_back(&entry.second);
        if (m_failed.count(entry.first) == 0)
            unfailed.push_back(&entry.second);
        if (failedServices.count(entry.second.service) == 0)
            ofOtherServices.push_back(&entry.second);
    }
    const auto *candidates = &any;
    if (m_state != path_state::lost)
        candidates = ofOtherServices.empty() ? &unfailed : &ofOtherServices;
    if (candidates->empty())
        return std::nullopt;
    return *(*candidates)[std::uniform_int_distribution<std::size_t>(0, candidates->size() - 1)(
        m_random)];
}

bool upstream_reachability::isLost() const
{
    // A single instance cannot be told from the path to it.
    return m_instances.size() > 1
        && m_failed.size() >= std::min(m_parameters.minFailedInstances, m_instances.size())
        && failedServices().size() >= std::min(m_parameters.minFailedServices, m_services);
}

std::set<std::string> upstream_reachability::failedServices() const
{
    std::set<std::string> services;
    for (const auto &entry : m_failed)
        services.insert(m_instances.at(entry.first).service);
    return services;
}

} // namespace goldcrestdeck
