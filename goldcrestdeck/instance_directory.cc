#include "goldcrestdeck/instance_directory.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace goldcrestdeck {

namespace {

/// Number of departed incarnations that are remembered; the oldest are forgotten first.
constexpr std::size_t maxDepartures = 2000;

} // namespace

bool operator==(const instance &a, const instance &b)
{
    const bool isEquallyCold = (a.coldLeft.count() > 0) == (b.coldLeft.count() > 0);
    return isEquallyCold
        && std::tie(a.id, a.startedMs, a.service, a.address, a.failureDomain, a.version, a.slots,
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
    const bool isFromCopy = std::exchange(m_awaitingCopy, false);
    for (const instance &entry : entries) {
        present.insert(entry.id);
        const auto departed = m_departedBeforeRestore.find(entry.incarnation());
        if (isFromCopy && departed != m_departedBeforeRestore.end())
            departed->second = std::max(departed->second, entry.sequence);
        instance current = entry;
        current.draining = current.draining || isOutdated(entry);
        set(current);
    }
    for (auto i = m_entries.begin(); i != m_entries.end();) {
        const auto current = i++;
        if (present.count(current->first) == 0)
            eraseOrKeepMissing(current, now);
    }
}

void instance_directory::put(const instance &entry)
{
    instance current = entry;
    // Without a sequence, the write itself shows that the instance is alive.
    current.draining = current.draining || (entry.sequence != 0 && isOutdated(entry));
    set(current);
}

void instance_directory::set(const instance &entry)
{
    m_entries[entry.id] = {entry, false};
    if (entry.draining) {
        recordDeparture(entry);
    } else {
        m_departed.erase(entry.incarnation());
        m_departedBeforeRestore.erase(entry.incarnation());
    }
}

bool instance_directory::isOutdated(const instance &entry) const
{
    const auto departed = m_departedBeforeRestore.find(entry.incarnation());
    return departed != m_departedBeforeRestore.end() && entry.sequence <= departed->second;
}

void instance_directory::recordDeparture(const instance &entry)
{
    const std::string incarnation = entry.incarnation();
    const auto inserted = m_departed.emplace(incarnation, entry.sequence);
    if (!inserted.second) {
        inserted.first->second = std::max(inserted.first->second, entry.sequence);
        return;
    }
    m_departureOrder.push_back(incarnation);
    while (m_departureOrder.size() > maxDepartures) {
        m_departed.erase(m_departureOrder.front());
        m_departureOrder.pop_front();
    }
}

void instance_directory::handleRestoredRegistry(time_point now)
{
    startRejoinGracePeriod(now);
    m_departedBeforeRestore = m_departed;
    m_awaitingCopy = true;
}

void instance_directory::remove(const std::string &id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    recordDeparture(found->second.value);
    m_entries.erase(found);
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
        const auto current = i++;
        if (!current->second.missing)
            continue;
        removed = true;
        remove(std::string(current->first));
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
        remove(std::string(position->first));
}

} // namespace goldcrestdeck
