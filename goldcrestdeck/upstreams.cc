#include "goldcrestdeck/upstreams.h"

#include <algorithm>
#include <utility>

#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

/// Weight of the newest sample in the moving average of the time to first byte per queued request.
constexpr double latencySmoothing = 0.1;
/// Size at which the map of prompt prefixes is cleared.
constexpr std::size_t maxPrefixes = 20'000;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

upstream_entry decodeEntry(const json_value &item)
{
    upstream_entry entry;
    entry.address = item.string("address");
    entry.failureDomain = item.string("domain");
    entry.reportedLoad = item.has("load") ? item.number("load") : 0;
    entry.draining = item.string("state") == "leaving";
    const json_value versions = item.get("versions");
    for (std::size_t i = 0; i < versions.size(); ++i)
        entry.versions.push_back(versions.at(i).asString());
    return entry;
}

} // namespace

std::vector<upstream_entry> decodeHostList(const std::string &json)
{
    try {
        const json_value hosts = json_value::parse(json).get("hosts");
        std::vector<upstream_entry> entries;
        for (std::size_t i = 0; i < hosts.size(); ++i)
            entries.push_back(decodeEntry(hosts.at(i)));
        return entries;
    } catch (const json_error &error) {
        throw platform_error(std::string("host list: ") + error.what());
    }
}

upstream::upstream(upstream_entry entry)
    : m_address(entry.address)
    , m_entry(std::move(entry))
{ }

bool upstream::serves(const std::string &version) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::vector<std::string> &versions = m_entry.versions;
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

bool upstream::isAvailable(time_point now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return !m_entry.draining && now >= m_drainingUntil && m_breaker.allows(now);
}

bool upstream::isDraining(time_point now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_entry.draining || now < m_drainingUntil;
}

upstream_load upstream::load(const std::string &ownDomain) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    upstream_load load;
    load.address = m_address;
    load.sameDomain = m_entry.failureDomain == ownDomain;
    load.reported = m_entry.reportedLoad;
    load.sentSinceReport = m_sentSinceReport;
    load.finishedSinceReport = m_finishedSinceReport;
    load.secondsPerRequest = m_secondsPerRequest;
    return load;
}

void upstream::applyHostListEntry(const upstream_entry &entry)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_entry = entry;
    m_sentSinceReport = 0;
    m_finishedSinceReport = 0;
}

void upstream::markDraining(time_point until)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_drainingUntil = std::max(m_drainingUntil, until);
}

void upstream::recordSent(time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_sentSinceReport += 1;
    m_breaker.recordSend(now);
}

void upstream::recordFirstByte(duration timeToFirstByte)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const double queueDepth
        = std::max(1.0, m_entry.reportedLoad + m_sentSinceReport - m_finishedSinceReport);
    const double secondsPerRequest = seconds(timeToFirstByte) / queueDepth;
    m_secondsPerRequest = m_secondsPerRequest == 0
        ? secondsPerRequest
        : m_secondsPerRequest + latencySmoothing * (secondsPerRequest - m_secondsPerRequest);
}

void upstream::recordFinished(bool success, time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_finishedSinceReport += 1;
    if (success)
        m_breaker.recordSuccess();
    else
        m_breaker.recordFailure(now);
}

upstream_registry::upstream_registry(std::string ownDomain)
    : m_ownDomain(std::move(ownDomain))
    , m_random(std::random_device()())
{ }

std::vector<std::string> upstream_registry::update(const std::vector<upstream_entry> &entries)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    upstream_map updated;
    std::vector<std::string> draining;
    for (const upstream_entry &entry : entries) {
        const auto current = m_upstreams.find(entry.address);
        const auto listed
            = current != m_upstreams.end() ? current->second : std::make_shared<upstream>(entry);
        listed->applyHostListEntry(entry);
        updated[entry.address] = listed;
        if (entry.draining)
            draining.push_back(entry.address);
    }
    m_upstreams = std::move(updated);
    return draining;
}

void upstream_registry::markDraining(const std::string &address, time_point until)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto current = m_upstreams.find(address);
    if (current != m_upstreams.end())
        current->second->markDraining(until);
}

std::vector<std::shared_ptr<upstream>>
upstream_registry::availableUpstreams(const std::string &version, time_point now) const
{
    std::vector<std::shared_ptr<upstream>> found;
    for (const auto &[address, candidate] : m_upstreams)
        if (candidate->serves(version) && candidate->isAvailable(now))
            found.push_back(candidate);
    return found;
}

bool upstream_registry::canServe(const std::string &version, time_point now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return !availableUpstreams(version, now).empty();
}

bool upstream_registry::isPrefixLikelyCached(const std::string &address,
                                             std::uint64_t prefixHash) const
{
    const auto sentTo = m_prefixAddresses.find(prefixHash);
    return prefixHash != 0 && sentTo != m_prefixAddresses.end() && sentTo->second == address;
}

std::shared_ptr<upstream> upstream_registry::choose(const std::string &version,
                                                    const std::vector<std::string> &tried,
                                                    double liveHosts, std::uint64_t prefixHash,
                                                    time_point now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::shared_ptr<upstream>> candidates;
    std::vector<upstream_load> loads;
    for (const auto &candidate : availableUpstreams(version, now)) {
        if (std::find(tried.begin(), tried.end(), candidate->address()) != tried.end())
            continue;
        upstream_load load = candidate->load(m_ownDomain);
        load.prefixCached = isPrefixLikelyCached(candidate->address(), prefixHash);
        candidates.push_back(candidate);
        loads.push_back(load);
    }
    if (candidates.empty())
        return nullptr;
    balance_parameters parameters;
    parameters.sendingHosts = liveHosts;
    const auto chosen = candidates[pickUpstream(loads, parameters, m_random)];
    if (prefixHash != 0) {
        if (m_prefixAddresses.size() >= maxPrefixes)
            m_prefixAddresses.clear();
        m_prefixAddresses[prefixHash] = chosen->address();
    }
    return chosen;
}

} // namespace goldcrestdeck
