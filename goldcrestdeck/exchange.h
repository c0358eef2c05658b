#ifndef GOLDCRESTDECK_EXCHANGE_H_
#define GOLDCRESTDECK_EXCHANGE_H_

/// \file
/// Exchange of quality ratings and of leases of workspace limits between hosts. Both are carried by
/// pings and pongs. Runs on the control thread.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/config_sync.h"
#include "goldcrestdeck/control.h"
#include "goldcrestdeck/quality.h"
#include "goldcrestdeck/traffic_view.h"

namespace goldcrestdeck {

/// Merges the ratings of all hosts and estimates quality for each quality target.
class rating_exchange
{
public:
    rating_exchange(const clock &time, std::string source, traffic_view &view);

    /// Adds a rating that was made on this host.
    void add(const rating_subject &subject, double rating);

    void fillPing(const std::string &address, ping_message &ping) const;
    void fillPong(const ping_message &ping, pong_message &pong) const;
    void onPong(const std::string &address, const pong_message &pong);

    /// Publishes the estimates to the traffic view; called about once per second.
    void publishEstimates(const config &current);

private:
    /// Position in a peer's replica: the source and the latest change received from it.
    struct peer_position {
        std::string source;
        std::uint64_t upTo = 0;
    };

    void addIncrement(const rating_subject &subject, const rating_sums &increment);

    const clock &m_time;
    std::string m_source;
    traffic_view &m_view;
    rating_replica m_replica;
    std::map<rating_subject, rating_sums> m_totals;
    std::map<std::string, peer_position> m_peerPositions; ///< By peer address.
    std::map<quality_view::key, quality_estimator> m_estimators;
};

/// Leases shares of the workspaces' rate limits from their allocators; grants leases for the
/// workspaces whose allocator is this host.
class limit_exchange
{
public:
    limit_exchange(const clock &time, std::string self, traffic_view &view);

    /// Sets the rate of each workspace of \a current; called before requests are routed by it.
    void applyConfig(const config &current);

    /// Measures demand, reassigns allocators and drops expired leases from the applied rates;
    /// called about once per second, after applyConfig().
    void tick(const config &current, const std::vector<host_entry> &live);

    /// Adds to \a ping the demand for the workspaces whose allocator is the host at \a address.
    void fillPing(const std::string &address, ping_message &ping) const;
    void fillPong(const ping_message &ping, pong_message &pong);
    /// \a sentAt is the time at which the ping was sent; the granted leases last from then on.
    void onPong(time_point sentAt, const pong_message &pong);
    /// \returns the peer addresses of the allocators, to which demands have to be sent.
    std::vector<std::string> pingTargets() const;

private:
    struct rate_lease {
        double perSecond = 0;
        time_point expires;
    };

    void chooseAllocators(const std::vector<host_entry> &live);
    void updateAllocator(const std::string &workspace, const host_names &voters);
    double leasedRate(const std::string &workspace) const;
    workspace_rate demandOf(const std::string &workspace) const;
    double grant(const std::string &workspace, const std::string &host,
                 const workspace_rate &demand);
    void applyRate(const std::string &workspace);

    const clock &m_time;
    std::string m_self;
    traffic_view &m_view;
    limit_parameters m_parameters;
    std::map<std::string, double> m_limits; ///< By workspace, from the configuration's table.
    std::set<std::string> m_newWorkspaces;  ///< Added to the table since the last tick.
    std::size_t m_voters = 0;
    bool m_seesMajority = false;
    bool m_started = false;
    std::map<std::string, host_entry> m_allocatorOf;
    std::map<std::string, double> m_demand;
    std::map<std::string, rate_lease> m_leases;
    std::map<std::string, limit_allocator> m_allocators;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_EXCHANGE_H_
