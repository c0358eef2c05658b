// The items themselves serve as the log of changes: each carries its last revision, and deletions
// are the only history that is kept beside them.

#include "goldcrestdeck/feed_memory.h"

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

/// Hosts of a failure domain from which they have a first host of their own. Fewer would save
/// little beside the calls of that host, and ask across domains instead.
constexpr long leastGroup = 8;

} // namespace

feed_memory::feed_memory(std::size_t maxDeletions, repeat_test isRepeat)
    : m_maxDeletions(maxDeletions)
    , m_isRepeat(std::move(isRepeat))
{ }

void feed_memory::put(const kv_item &item)
{
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && m_isRepeat(known->second, item))
        return;
    m_items[item.key] = item;
    m_deletedAt.erase(item.key);
    m_missing.erase(item.key);
}

void feed_memory::putNews(const kv_item &item)
{
    m_items.erase(item.key);
    put(item);
}

void feed_memory::remove(const std::string &key, std::uint64_t revision)
{
    m_items.erase(key);
    m_missing.erase(key);
    noteDeletion(key, revision);
}

void feed_memory::replaceAll(const std::vector<kv_item> &items, std::uint64_t revision)
{
    // Who heard of changes in the gap may know keys that this host never did, now deleted.
    if (std::exchange(m_isComplete, false)) {
        m_forgottenUpTo = std::max(m_forgottenUpTo, m_gapTo);
        m_gapFrom = m_revision;
    }
    m_gapTo = revision;
    std::set<std::string> kept;
    for (const kv_item &item : items)
        kept.insert(item.key);
    std::vector<std::string> gone;
    for (const auto &known : m_items) {
        if (kept.count(known.first) == 0)
            gone.push_back(known.first);
    }
    for (const std::string &key : gone) {
        m_items.erase(key);
        m_missing.insert(key);
    }
    for (const kv_item &item : items) {
        if (item.revision > revision)
            putNews(item);
        else
            put(item);
    }
    m_revision = std::max(m_revision, revision);
}

void feed_memory::setRevision(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
    m_isComplete = true;
    for (const std::string &key : std::exchange(m_missing, {}))
        noteDeletion(key, m_revision);
}

std::optional<kv_changes> feed_memory::after(std::uint64_t after) const
{
    const bool isInGap = after > m_gapFrom && after < m_gapTo;
    if (!m_isComplete || after < m_forgottenUpTo || after > m_revision || isInGap)
        return std::nullopt;
    kv_changes changes;
    changes.outcome = kv_outcome::done;
    changes.revision = m_revision;
    for (const auto &known : m_items) {
        // What a reading found beyond its revision is told once all changes before it are known.
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

void feed_memory::noteDeletion(const std::string &key, std::uint64_t revision)
{
    m_deletedAt[key] = revision;
    if (m_deletedAt.size() <= m_maxDeletions)
        return;
    const auto oldest
        = std::min_element(m_deletedAt.begin(), m_deletedAt.end(),
                           [](const auto &a, const auto &b) { return a.second < b.second; });
    m_forgottenUpTo = std::max(m_forgottenUpTo, oldest->second);
    m_deletedAt.erase(oldest);
}

bool operator==(const feed_host &a, const feed_host &b)
{
    return std::tie(a.name, a.address, a.failureDomain)
        == std::tie(b.name, b.address, b.failureDomain);
}

std::string encodeFeedHost(const feed_host &host)
{
    json_value document = json_value::object();
    document.set("address", host.address);
    document.set("failure_domain", host.failureDomain);
    return document.dump();
}

feed_host decodeFeedHost(const std::string &name, const std::string &text)
{
    const json_value document = json_value::parse(text);
    feed_host host{name, document.string("address"), document.string("failure_domain")};
    try {
        parseEndpoint(host.address);
    } catch (const peer_error &error) {
        throw json_error(error.what());
    }
    return host;
}

std::vector<feed_host> hostsBefore(const feed_host &self,
                                   const std::map<std::string, feed_host> &hosts)
{
    const auto isNear
        = [&self](const feed_host &host) { return host.failureDomain == self.failureDomain; };
    const auto near = std::count_if(hosts.begin(), hosts.end(),
                                    [&](const auto &entry) { return isNear(entry.second); });
    const bool isAlone = near < leastGroup;
    const std::string group = isAlone ? "" : self.failureDomain;
    const std::uint64_t key = XXH3_64bits(group.data(), group.size());
    const auto rankOf = [key](const feed_host &host) {
        return std::make_pair(rendezvousRank(key, host.name), host.name);
    };
    std::vector<feed_host> before;
    for (const auto &entry : hosts) {
        const feed_host &host = entry.second;
        if (host.name != self.name && (isAlone || isNear(host)) && rankOf(host) > rankOf(self))
            before.push_back(host);
    }
    std::sort(before.begin(), before.end(),
              [&](const feed_host &a, const feed_host &b) { return rankOf(a) > rankOf(b); });
    return before;
}

} // namespace goldcrestdeck
