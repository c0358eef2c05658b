#ifndef GOLDCRESTDECK_EXCHANGE_H_
#define GOLDCRESTDECK_EXCHANGE_H_

/// \file
/// What hosts share besides the configuration and accounts: ratings, and the leases of workspace
/// limits. Both ride on pings. Runs on the control thread.

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

/// Ratings of all hosts, turned into estimates for each target.
class rating_exchange
{
public:
    rating_exchange(const clock &time, std::string source, traffic_view &view);

    void add(const rating_subject &subject, double rating);

    void fillPing(const std::string &address, ping_message &ping) const;
    void fillPong(const ping_message &ping, pong_message &pong) const;
    void onPong(const std::string &address, const pong_message &pong);

    /// Publishes the estimates; called about once a second.
    void publish(const config &current);

private:
    struct known_board {
        std::string board;
        std::uint64_t upTo = 0;
    };

    void feed(const rating_subject &subject, const rating_sums &increment);

    const clock &m_time;
    std::string m_source;
    traffic_view &m_view;
    rating_board m_board;
    std::map<rating_subject, rating_sums> m_totals;
    std::map<std::string, known_board> m_known; ///< By peer address.
    std::map<quality_view::key, quality_estimator> m_estimators;
};

/// Leases of limits: asks each workspace's allocator, and allocates where this host is it.
class limit_exchange
{
public:
    limit_exchange(const clock &time, std::string self, traffic_view &view);

    /// Gives each workspace of \a current its rate; called before requests are routed by it.
    void follow(const config &current);

    /// Measures demand and forgets lapsed leases; called about once a second, after follow().
    void tick(const config &current, const std::vector<host_entry> &live);

    /// Puts into \a ping the demand for the workspaces that the host at \a address allocates.
    void fillPing(const std::string &address, ping_message &ping) const;
    void fillPong(const ping_message &ping, pong_message &pong);
    void onPong(time_point askedAt, const pong_message &pong);
    /// Where demands have to be sent.
    std::vector<std::string> pingTargets() const;

private:
    struct lent {
        double perSecond = 0;
        time_point expires;
    };

    void chooseAllocators(const std::vector<host_entry> &live);
    void keepAllocator(const std::string &workspace, const host_names &voters);
    double heldRate(const std::string &workspace) const;
    workspace_rate demandOf(const std::string &workspace) const;
    double grant(const std::string &workspace, const std::string &host,
                 const workspace_rate &demand);
    void applyRate(const std::string &workspace);

    const clock &m_time;
    std::string m_self;
    traffic_view &m_view;
    limit_parameters m_parameters;
    std::map<std::string, double> m_limits; ///< By workspace, of the table.
    std::set<std::string> m_newWorkspaces;  ///< That came to the table since the last tick.
    std::size_t m_voters = 0;
    bool m_seesMajority = false;
    bool m_started = false;
    std::map<std::string, host_entry> m_allocatorOf;
    std::map<std::string, double> m_demand;
    std::map<std::string, lent> m_leases;
    std::map<std::string, limit_allocator> m_allocating;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_EXCHANGE_H_
