#include "goldcrestdeck/instance_directory.h"

#include <iterator>
#include <set>
#include <tuple>

namespace goldcrestdeck {

bool operator==(const instance &a, const instance &b)
{
    return std::tie(a.id, a.startedMs, a.service, a.address, a.failureDomain, a.version, a.slots,
                    a.draining)
        == std::tie(b.id, b.startedMs, b.service, b.address, b.failureDomain, b.version, b.slots,
                    b.draining);
}

instance_directory::instance_directory(std::chrono::milliseconds rejoinGracePeriod)
    : m_rejoinGracePeriod(rejoinGracePeriod)
{ }

void instance_directory::replaceAll(const std::vector<instance> &entries, time_point now)
{
    std::set<std::string> present;
    for (const instance &entry : entries) {
        present.insert(entry.id);
        put(entry);
    }
    for (auto i = m_entries.begin(); i != m_entries.end();) {
        const auto current = i++;
        if (present.count(current->first) == 0)
            eraseOrKeepMissing(current, now);
    }
}

void instance_directory::put(const instance &entry)
{
    m_entries[entry.id] = {entry, false};
}

void instance_directory::remove(const std::string &id)
{
    m_entries.erase(id);
}

void instance_directory::markMissing(const std::string &id, time_point now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        eraseOrKeepMissing(found, now);
}

void instance_directory::startRejoinGracePeriod(time_point now)
{
    m_rejoinDeadline = now + m_rejoinGracePeriod;
}

bool instance_directory::expire(time_point now)
{
    if (now < m_rejoinDeadline)
        return false;
    bool removed = false;
    for (auto i = m_entries.begin(); i != m_entries.end();) {
        removed = removed || i->second.missing;
        i = i->second.missing ? m_entries.erase(i) : std::next(i);
    }
    return removed;
}

std::vector<instance> instance_directory::list() const
{
    std::vector<instance> result;
    result.reserve(m_entries.size());
    for (const auto &item : m_entries)
        result.push_back(item.second.value);
    return result;
}

void instance_directory::eraseOrKeepMissing(std::map<std::string, entry>::iterator position,
                                            time_point now)
{
    // A draining instance is not expected to register again.
    if (now < m_rejoinDeadline && !position->second.value.draining)
        position->second.missing = true;
    else
        m_entries.erase(position);
}

} // namespace goldcrestdeck
