#ifndef GOLDCRESTDECK_TRAFFIC_VIEW_H_
#define GOLDCRESTDECK_TRAFFIC_VIEW_H_

/// \file
/// The traffic threads' view of the control state: immutable snapshots that the control thread
/// replaces atomically.

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/config.h"
#include "goldcrestdeck/limits.h"
#include "goldcrestdeck/peer_message.h"
#include "goldcrestdeck/policy.h"

namespace goldcrestdeck {

/// The active configuration, indexed for request lookups.
class routing_table
{
public:
    routing_table(revision_number revision, std::shared_ptr<const config> value);

    revision_number revision() const { return m_revision; }
    const table &rows() const { return m_config->rows; }
    /// \returns the workspace of the API key with this SHA-256, or nullptr.
    const std::string *workspaceOf(const std::string &keySha256) const;
    std::vector<const table_row *> rowsOf(const std::string &workspace) const;

private:
    revision_number m_revision;
    std::shared_ptr<const config> m_config;
    std::unordered_map<std::string, std::string> m_workspaceByKey;
};

/// A snapshot of the quality estimates. A subject without ratings has the prior estimate.
class quality_view
{
public:
    struct key {
        rating_subject subject;
        double target = 0;
    };

    explicit quality_view(quality_parameters parameters);
    void put(const key &which, const quality_estimate &estimate);
    quality_estimate find(const key &which) const;

private:
    quality_estimate m_priorEstimate;
    std::map<key, quality_estimate> m_estimates;
};

bool operator<(const quality_view::key &a, const quality_view::key &b);

/// Token buckets and request counts by workspace.
class limit_table
{
public:
    /// \a burstSeconds is the burst size in seconds of the rate.
    explicit limit_table(double burstSeconds);

    /// \returns whether a request of the workspace is admitted now. If not, \a wait is set to the
    /// time until the next one is.
    bool take(const std::string &workspace, time_point now, duration &wait);
    void setRate(const std::string &workspace, double perSecond, time_point now);
    /// \returns the rate of requests, admitted or not, since the previous call.
    std::vector<workspace_rate> takeDemand(time_point now);

private:
    double m_burstSeconds;
    std::mutex m_mutex;
    std::map<std::string, token_bucket> m_buckets;
    std::map<std::string, double> m_requestCounts;
    time_point m_demandSince;
};

class traffic_view
{
public:
    traffic_view();

    std::shared_ptr<const routing_table> routing() const { return std::atomic_load(&m_routing); }
    std::shared_ptr<const quality_view> quality() const { return std::atomic_load(&m_quality); }
    bool mayAdmit(time_point now) const
    {
        return now.time_since_epoch().count() < m_admitUntil.load();
    }
    /// Whether accounting has room for the records of further requests.
    bool hasAccountCapacity() const { return m_hasAccountCapacity.load(); }
    double liveHosts() const { return m_liveHosts.load(); }
    limit_table &limits() { return m_limits; }

    // Called by the control thread.
    void setRouting(std::shared_ptr<const routing_table> routing);
    void setQuality(std::shared_ptr<const quality_view> quality);
    void setAdmitUntil(time_point until) { m_admitUntil = until.time_since_epoch().count(); }
    void setHasAccountCapacity(bool hasCapacity) { m_hasAccountCapacity = hasCapacity; }
    void setLiveHosts(std::size_t count) { m_liveHosts = static_cast<double>(count); }

private:
    std::shared_ptr<const routing_table> m_routing;
    std::shared_ptr<const quality_view> m_quality;
    std::atomic<std::int64_t> m_admitUntil{0};
    std::atomic<bool> m_hasAccountCapacity{true};
    std::atomic<double> m_liveHosts{1};
    limit_table m_limits;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TRAFFIC_VIEW_H_
