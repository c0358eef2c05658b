// No separate change log is kept: each item carries the revision of its last write, so only
// deletions have to be recorded in addition.

#include "goldcrestdeck/feed_cache.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include <xxhash.h>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/json.h"
#include "goldcrestdeck/placement.h"

namespace goldcrestdeck {

namespace {

/// Smaller failure domains use the fleet-wide order and poll across domains: a primary of their own
/// would save few calls to the service beyond those it makes itself.
constexpr long minDomainSize = 8;

} // namespace

feed_cache::feed_cache(std::size_t maxDeletions, equivalence_test isEquivalent)
    : m_maxDeletions(maxDeletions)
    , m_isEquivalent(std::move(isEquivalent))
{ }

void feed_cache::put(const kv_item &item)
{
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && m_isEquivalent(known->second, item))
        return;
    m_items[item.key] = item;
    m_deletedAt.erase(item.key);
    m_absentKeys.erase(item.key);
}

void feed_cache::putAsChange(const kv_item &item)
{
    m_items.erase(item.key);
    put(item);
}

void feed_cache::remove(const std::string &key, std::uint64_t revision)
{
    m_items.erase(key);
    m_absentKeys.erase(key);
    recordDeletion(key, revision);
}

void feed_cache::replaceAll(const std::vector<kv_item> &items, std::uint64_t revision)
{
    // Another host whose revision lies in the gap that this read skips may know keys that were
    // never seen here and have been deleted since. Only the latest gap is stored, so revisions
    // before the end of the previous one are no longer served.
    if (std::exchange(m_isCaughtUp, false)) {
        m_prunedUpTo = std::max(m_prunedUpTo, m_gapTo);
        m_gapFrom = m_revision;
    }
    m_gapTo = revision;
    std::set<std::string> present;
    for (const kv_item &item : items)
        present.insert(item.key);
    std::vector<std::string> absent;
    for (const auto &known : m_items) {
        if (present.count(known.first) == 0)
            absent.push_back(known.first);
    }
    for (const std::string &key : absent) {
        m_items.erase(key);
        m_absentKeys.insert(key);
    }
    for (const kv_item &item : items) {
        if (item.revision > revision)
            putAsChange(item);
        else
            put(item);
    }
    m_revision = std::max(m_revision, revision);
}

void feed_cache::reset()
{
    *this = feed_cache(m_maxDeletions, std::move(m_isEquivalent));
}

void feed_cache::setRevision(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
    m_isCaughtUp = true;
    for (const std::string &key : std::exchange(m_absentKeys, {}))
        recordDeletion(key, m_revision);
}

std::optional<kv_changes> feed_cache::changesSince(std::uint64_t after) const
{
    const bool isInGap = after > m_gapFrom && after < m_gapTo;
    if (!m_isCaughtUp || after < m_prunedUpTo || after > m_revision || isInGap)
        return std::nullopt;
    kv_changes changes;
    changes.outcome = kv_outcome::done;
    changes.revision = m_revision;
    for (const auto &known : m_items) {
        // Items that a full read found beyond its revision are served once all changes before them
        // are known.
        if (known.second.revision > after && known.second.revision <= m_revision)
            changes.changes.push_back({known.second, false});
    }
    for (const auto &deleted : m_deletedAt) {
        if (deleted.second > after)
            changes.changes.push_back({{deleted.first, "", deleted.second}, true});
    }
    std::sort(
        changes.changes.begin(), changes.changes.end(),
        [](const kv_change &a, const kv_change &b) { return a.item.revision < b.item.revision; });
    return changes;
}

std::optional<std::vector<kv_item>> feed_cache::completeItems() const
{
    if (!m_isCaughtUp)
        return std::nullopt;
    std::vector<kv_item> items;
    items.reserve(m_items.size());
    for (const auto &known : m_items) {
        // The value that the key had at revision() is not known.
        if (known.second.revision > m_revision)
            return std::nullopt;
        items.push_back(known.second);
    }
    return items;
}

void feed_cache::recordDeletion(const std::string &key, std::uint64_t revision)
{
    m_deletedAt[key] = revision;
    if (m_deletedAt.size() <= m_maxDeletions)
        return;
    const auto oldest
        = std::min_element(m_deletedAt.begin(), m_deletedAt.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    m_prunedUpTo = std::max(m_prunedUpTo, oldest->second);
    m_deletedAt.erase(oldest);
}

bool operator==(const registered_host &a, const registered_host &b)
{
    return std::tie(a.name, a.address, a.failureDomain, a.handoverAddress)
        == std::tie(b.name, b.address, b.failureDomain, b.handoverAddress);
}

std::string encodeRegisteredHost(const registered_host &host)
{
    json_value document = json_value::object();
    document.set("address", host.address);
    document.set("failure_domain", host.failureDomain);
    if (!host.handoverAddress.empty())
        document.set("handover_address", host.handoverAddress);
    return document.dump();
}

registered_host decodeRegisteredHost(const std::string &name, const std::string &text)
{
    const json_value document = json_value::parse(text);
    registered_host host{name, document.string("address"), document.string("failure_domain"), ""};
    // Hosts of an earlier release have none.
    if (document.has("handover_address"))
        host.handoverAddress = document.string("handover_address");
    try {
        parseEndpoint(host.address);
        if (!host.handoverAddress.empty())
            parseEndpoint(host.handoverAddress);
    } catch (const peer_error &error) {
        throw json_error(error.what());
    }
    return host;
}

std::vector<registered_host>
preferredFeedSources(const registered_host &self,
                     const std::map<std::string, registered_host> &hosts)
{
    const auto isSameDomain
        = [&self](const registered_host &host) { return host.failureDomain == self.failureDomain; };
    const auto sameDomainCount = std::count_if(
        hosts.begin(), hosts.end(), [&](const auto &entry) { return isSameDomain(entry.second); });
    const bool isFleetWide = sameDomainCount < minDomainSize;
    const std::string group = isFleetWide ? "" : self.failureDomain;
    const std::uint64_t key = XXH3_64bits(group.data(), group.size());
    const auto rankOf = [key](const registered_host &host) {
        return std::make_pair(rendezvousRank(key, host.name), host.name);
    };
    std::vector<registered_host> sources;
    for (const auto &entry : hosts) {
        const registered_host &host = entry.second;
        if (host.name != self.name && (isFleetWide || isSameDomain(host))
            && rankOf(host) > rankOf(self))
            sources.push_back(host);
    }
    std::sort(
        sources.begin(), sources.end(),
        [&](const registered_host &a, const registered_host &b) { return rankOf(a) > rankOf(b); });
    return sources;
}

} // namespace goldcrestdeck
