// Route prefixes end with a slash, so only the parts of a path up to each of its slashes can match:
// one lookup per path segment, regardless of the number of routes.

#include "goldcrestdeck/routing_config.h"

#include <boost/algorithm/string/case_conv.hpp>

namespace goldcrestdeck {

const char *toString(request_kind kind)
{
    switch (kind) {
    case request_kind::idempotent:
        return "repeatable";
    case request_kind::at_most_once:
        return "once";
    case request_kind::stream:
        break;
    }
    return "stream";
}

routing_config::routing_config(routing_parts parts)
    : m_parts(std::move(parts))
{
    for (std::size_t i = 0; i < m_parts.routes.size(); ++i) {
        const route &added = m_parts.routes[i];
        m_byHost[boost::algorithm::to_lower_copy(added.host)][added.prefix] = i;
    }
    for (std::size_t i = 0; i < m_parts.workspaces.size(); ++i) {
        for (const std::string &key : m_parts.workspaces[i].keys)
            m_byKey[key] = i;
    }
    for (std::size_t i = 0; i < m_parts.services.size(); ++i)
        m_byService[m_parts.services[i].name] = i;
}

const route *routing_config::match(const std::string &host, const std::string &path) const
{
    const auto found
        = m_byHost.find(boost::algorithm::to_lower_copy(host.substr(0, host.find(':'))));
    if (found == m_byHost.end())
        return nullptr;
    std::size_t end = path.substr(0, path.find('?')).rfind('/');
    while (end != std::string::npos) {
        const auto prefix = found->second.find(path.substr(0, end + 1));
        if (prefix != found->second.end())
            return &m_parts.routes[prefix->second];
        if (end == 0)
            break;
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const workspace_spec *routing_config::workspaceOf(const std::string &key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_parts.workspaces[found->second];
}

const service_spec *routing_config::service(const std::string &name) const
{
    const auto found = m_byService.find(name);
    return found == m_byService.end() ? nullptr : &m_parts.services[found->second];
}

std::string chooseService(const route &matched, double draw)
{
    double total = 0;
    for (const weighted_service &entry : matched.services)
        total += entry.weight;
    double remaining = draw * total;
    for (const weighted_service &entry : matched.services) {
        remaining -= entry.weight;
        if (remaining < 0)
            return entry.service;
    }
    return matched.services.empty() ? std::string() : matched.services.back().service;
}

} // namespace goldcrestdeck
