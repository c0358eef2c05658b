#include "goldcrestdeck/domain_evacuation.h"

#include <utility>

namespace goldcrestdeck {

bool domain_evacuations::order(const std::string &domain, std::uint64_t revision, time_point now)
{
    m_unseen.erase(domain);
    const auto known = m_orders->find(domain);
    const bool isNew = known == m_orders->end();
    if (!isNew && known->second.revision >= revision)
        return false;
    evacuation_map next = *m_orders;
    domain_evacuation &entry = next[domain];
    entry.revision = revision;
    if (isNew)
        entry.learnedAt = now;
    setOrders(std::move(next));
    return isNew;
}

bool domain_evacuations::withdraw(const std::string &domain, std::uint64_t revision)
{
    const auto known = m_orders->find(domain);
    if (known == m_orders->end() || known->second.revision > revision)
        return false;
    m_unseen.erase(domain);
    evacuation_map next = *m_orders;
    next.erase(domain);
    setOrders(std::move(next));
    return true;
}

std::set<std::string> domain_evacuations::retain(const std::set<std::string> &domains,
                                                 std::uint64_t revision)
{
    std::set<std::string> ended;
    for (const auto &entry : *m_orders) {
        if (domains.count(entry.first) == 0 && m_unseen.count(entry.first) == 0
            && entry.second.revision <= revision)
            ended.insert(entry.first);
    }
    for (const std::string &domain : ended)
        withdraw(domain, revision);
    return ended;
}

void domain_evacuations::handleRestoredStore()
{
    evacuation_map next = *m_orders;
    for (auto &entry : next) {
        entry.second.revision = 0;
        m_unseen.insert(entry.first);
    }
    setOrders(std::move(next));
}

std::set<std::string> domain_evacuations::finishReconciliation()
{
    std::set<std::string> ended = std::exchange(m_unseen, {});
    evacuation_map next = *m_orders;
    for (const std::string &domain : ended)
        next.erase(domain);
    if (!ended.empty())
        setOrders(std::move(next));
    return ended;
}

void domain_evacuations::setOrders(evacuation_map orders)
{
    m_orders = std::make_shared<const evacuation_map>(std::move(orders));
}

} // namespace goldcrestdeck
