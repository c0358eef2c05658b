#ifndef GOLDCRESTDECK_DOMAIN_EVACUATION_H_
#define GOLDCRESTDECK_DOMAIN_EVACUATION_H_

/// \file
/// Failure domains that the operator has evacuated: their instances get no requests until the order
/// is withdrawn.
///
/// The owner passes in single changes and full reads of the orders, each with its revision in the
/// key-value service, and publishes snapshot(). An order stays in force until its key is known to
/// be deleted: no outage ends it. After the key-value service has come back from an older copy, an
/// order that the copy lacks stays in force until finishReconciliation(). Performs no I/O.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

/// The order to evacuate one failure domain.
struct domain_evacuation {
    std::uint64_t revision = 0; ///< Of the order in the key-value service.
    time_point learnedAt;       ///< When this host learned of it.
};

/// By failure domain.
using evacuation_map = std::map<std::string, domain_evacuation>;

class domain_evacuations
{
public:
    /// The order to evacuate \a domain was written. \returns whether the domain was not evacuated
    /// before.
    bool order(const std::string &domain, std::uint64_t revision, time_point now);
    /// The order was deleted at \a revision; without effect on one that was written later.
    /// \returns whether the domain was evacuated.
    bool withdraw(const std::string &domain, std::uint64_t revision);
    /// A full read that began at \a revision has shown orders for these \a domains only; order()
    /// has been called for each of them. \returns the domains whose orders this ends.
    std::set<std::string> retain(const std::set<std::string> &domains, std::uint64_t revision);
    /// The key-value service has come back from an older copy, and its revisions begin again.
    void handleRestoredStore();
    /// \returns the domains whose orders were not read since handleRestoredStore(); they end.
    std::set<std::string> finishReconciliation();

    /// Never null; the same object as long as nothing changes.
    const std::shared_ptr<const evacuation_map> &snapshot() const { return m_orders; }

private:
    void setOrders(evacuation_map orders);

    std::shared_ptr<const evacuation_map> m_orders = std::make_shared<const evacuation_map>();
    /// Domains among m_orders whose orders were not read since handleRestoredStore().
    std::set<std::string> m_unseen;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_DOMAIN_EVACUATION_H_
