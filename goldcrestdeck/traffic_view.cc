#include "goldcrestdeck/traffic_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace goldcrestdeck {

namespace {

/// A longer burst could exceed the limit within one second.
constexpr double limitBurstSeconds = 0.02;

} // namespace

routing_table::routing_table(revision_number revision, std::shared_ptr<const config> value)
    : m_revision(revision)
    , m_config(std::move(value))
{
    for (const table_row &row : m_config->rows)
        m_workspaceByKey[row.keySha256] = row.workspace;
}

const std::string *routing_table::workspaceOf(const std::string &keySha256) const
{
    const auto found = m_workspaceByKey.find(keySha256);
    return found == m_workspaceByKey.end() ? nullptr : &found->second;
}

std::vector<const table_row *> routing_table::rowsOf(const std::string &workspace) const
{
    std::vector<const table_row *> rows;
    for (const table_row &row : m_config->rows)
        if (row.workspace == workspace)
            rows.push_back(&row);
    return rows;
}

bool operator<(const quality_view::key &a, const quality_view::key &b)
{
    return std::tie(a.subject, a.target) < std::tie(b.subject, b.target);
}

quality_view::quality_view(quality_parameters parameters)
    : m_priorEstimate(quality_estimator(0, parameters).estimate(time_point()))
{ }

void quality_view::put(const key &which, const quality_estimate &estimate)
{
    m_estimates[which] = estimate;
}

quality_estimate quality_view::find(const key &which) const
{
    const auto found = m_estimates.find(which);
    return found == m_estimates.end() ? m_priorEstimate : found->second;
}

limit_table::limit_table(double burstSeconds)
    : m_burstSeconds(burstSeconds)
{ }

bool limit_table::take(const std::string &workspace, time_point now, duration &wait)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_requestCounts[workspace] += 1;
    token_bucket &bucket = m_buckets.try_emplace(workspace, m_burstSeconds).first->second;
    if (bucket.take(now))
        return true;
    wait = bucket.waitTime(now);
    return false;
}

void limit_table::setRate(const std::string &workspace, double perSecond, time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_buckets.try_emplace(workspace, m_burstSeconds).first->second.setRate(perSecond, now);
}

std::vector<workspace_rate> limit_table::takeDemand(time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const double seconds = std::chrono::duration<double>(now - m_demandSince).count();
    std::vector<workspace_rate> demand;
    for (const auto &[workspace, count] : m_requestCounts)
        demand.push_back({workspace, seconds > 0 ? count / seconds : 0, 0});
    for (auto &[workspace, count] : m_requestCounts)
        count = 0;
    m_demandSince = now;
    return demand;
}

traffic_view::traffic_view()
    : m_routing(std::make_shared<routing_table>(0, std::make_shared<const config>()))
    , m_quality(std::make_shared<quality_view>(quality_parameters()))
    , m_limits(limitBurstSeconds)
{ }

void traffic_view::setRouting(std::shared_ptr<const routing_table> routing)
{
    std::atomic_store(&m_routing, std::move(routing));
}

void traffic_view::setQuality(std::shared_ptr<const quality_view> quality)
{
    std::atomic_store(&m_quality, std::move(quality));
}

} // namespace goldcrestdeck
