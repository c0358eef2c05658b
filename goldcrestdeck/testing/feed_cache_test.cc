// Guards against a host that misses changes up to the revision it claims to have, after it received
// them from another host. Hosts mix polls of the service, full reads, which are not snapshots, and
// polls of each other, so gaps of one host may propagate.

#include "goldcrestdeck/feed_cache.h"

#include <array>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "goldcrestdeck/json.h"

namespace goldcrestdeck {
namespace {

constexpr int keyCount = 6;

std::string keyOf(int index)
{
    return "k" + std::to_string(index);
}

bool isSameValue(const kv_item &known, const kv_item &next)
{
    return known.value == next.value;
}

/// The key-value service: its items and its change history.
class model_service
{
public:
    void write(int index, const std::string &value)
    {
        m_items[keyOf(index)] = {keyOf(index), value, ++m_revision};
        m_changes.push_back({m_items[keyOf(index)], false});
    }
    void remove(int index)
    {
        if (m_items.erase(keyOf(index)) > 0)
            m_changes.push_back({{keyOf(index), "", ++m_revision}, true});
    }
    std::uint64_t revision() const { return m_revision; }
    std::vector<kv_change> changesAfter(std::uint64_t after) const
    {
        std::vector<kv_change> changes;
        for (const kv_change &change : m_changes) {
            if (change.item.revision > after)
                changes.push_back(change);
        }
        return changes;
    }
    /// One page of a full read: the items of one half of the keys.
    std::vector<kv_item> page(bool upper) const
    {
        std::vector<kv_item> items;
        for (const auto &entry : m_items) {
            if ((entry.first >= keyOf(keyCount / 2)) == upper)
                items.push_back(entry.second);
        }
        return items;
    }
    /// The keys that have not changed after \a revision, with their values; the value of a deleted
    /// key is empty.
    std::map<std::string, std::string> unchangedSince(std::uint64_t revision) const
    {
        std::map<std::string, std::string> unchanged;
        std::map<std::string, kv_change> last;
        for (const kv_change &change : m_changes)
            last[change.item.key] = change;
        for (const auto &entry : last) {
            if (entry.second.item.revision <= revision)
                unchanged[entry.first] = entry.second.deleted ? "" : entry.second.item.value;
        }
        return unchanged;
    }

private:
    std::map<std::string, kv_item> m_items;
    std::vector<kv_change> m_changes;
    std::uint64_t m_revision = 1;
};

/// A host's state, and the copy from which it serves others.
class model_host
{
public:
    void applyChanges(const std::vector<kv_change> &changes, std::uint64_t revision,
                      bool fromService)
    {
        for (const kv_change &change : changes) {
            if (change.deleted) {
                m_known.erase(change.item.key);
                cache.remove(change.item.key, change.item.revision);
            } else {
                m_known[change.item.key] = change.item.value;
                if (fromService)
                    cache.put(change.item);
                else
                    cache.putAsChange(change.item);
            }
        }
        m_revision = std::max(m_revision, revision);
        cache.setRevision(m_revision);
        m_canPoll = true;
    }
    void readAll(const std::vector<kv_item> &items, std::uint64_t revision)
    {
        m_known.clear();
        for (const kv_item &item : items)
            m_known[item.key] = item.value;
        m_revision = revision;
        cache.replaceAll(items, revision);
        m_canPoll = false;
    }
    void poll(const model_host &other)
    {
        if (!m_canPoll)
            return;
        if (const auto changes = other.cache.changesSince(m_revision))
            applyChanges(changes->changes, changes->revision, false);
    }
    std::uint64_t revision() const { return m_revision; }
    std::string value(const std::string &key) const
    {
        const auto found = m_known.find(key);
        return found == m_known.end() ? "" : found->second;
    }

    feed_cache cache{3, isSameValue};

private:
    std::map<std::string, std::string> m_known;
    std::uint64_t m_revision = 0;
    /// False after a full read: the state may contain changes after m_revision.
    bool m_canPoll = false;
};

RC_GTEST_PROP(feed_memory_model, host_knows_all_changes_up_to_its_revision, ())
{
    model_service service;
    std::array<model_host, 3> hosts;
    std::string history; // Printed on failure.
    const auto change = [&] {
        const int key = *rc::gen::inRange(0, keyCount);
        if (*rc::gen::inRange(0, 3) == 0)
            service.remove(key);
        else
            service.write(key, std::string(1, *rc::gen::inRange('a', 'c')));
        history += " change " + keyOf(key) + " at " + std::to_string(service.revision());
    };
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        const int self = *rc::gen::inRange(0, 3);
        const int peer = *rc::gen::inRange(0, 3);
        model_host &host = hosts.at(self);
        const model_host &other = hosts.at(peer);
        const int action = *rc::gen::inRange(0, 6);
        history += "; h" + std::to_string(self) + " action " + std::to_string(action) + " h"
            + std::to_string(peer);
        switch (action) {
        case 0:
            host.applyChanges(service.changesAfter(host.revision()), service.revision(), true);
            break;
        case 1: {
            const std::uint64_t startRevision = service.revision();
            std::vector<kv_item> items = service.page(false);
            for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
                change();
            const std::vector<kv_item> rest = service.page(true);
            items.insert(items.end(), rest.begin(), rest.end());
            host.readAll(items, startRevision);
            break;
        }
        case 2:
        case 3:
            if (&host != &other)
                host.poll(other);
            break;
        default:
            change();
        }
        for (const auto &unchanged : service.unchangedSince(host.revision()))
            if (host.value(unchanged.first) != unchanged.second)
                RC_FAIL(history + ": " + unchanged.first);
    }
}

TEST(feed_cache, write_of_an_unchanged_value_is_not_served)
{
    feed_cache cache(10, isSameValue);
    cache.put({"k", "a", 5});
    cache.setRevision(5);
    cache.put({"k", "a", 9});
    cache.setRevision(9);
    const auto changes = cache.changesSince(5);
    ASSERT_TRUE(changes);
    EXPECT_TRUE(changes->changes.empty());
    EXPECT_EQ(9U, changes->revision);
}

TEST(feed_cache, revision_before_a_pruned_or_unseen_deletion_is_not_served)
{
    feed_cache cache(1, isSameValue);
    cache.setRevision(1);
    cache.remove("a", 2);
    cache.remove("b", 3);
    cache.setRevision(3);
    EXPECT_FALSE(cache.changesSince(1));
    EXPECT_TRUE(cache.changesSince(2));
    // Keys may have been created and deleted between revisions 3 and 8.
    cache.replaceAll({}, 8);
    EXPECT_FALSE(cache.changesSince(8));
    cache.setRevision(8);
    EXPECT_TRUE(cache.changesSince(3));
    EXPECT_FALSE(cache.changesSince(5));
    EXPECT_TRUE(cache.changesSince(8));
    EXPECT_FALSE(cache.changesSince(9));
}

TEST(preferred_feed_sources, hosts_of_a_large_domain_prefer_the_same_host_of_that_domain)
{
    std::map<std::string, registered_host> hosts;
    for (int i = 0; i < 30; ++i) {
        const std::string name = "h" + std::to_string(i);
        hosts[name] = {name, "10.0.0.1:1", "d" + std::to_string(i % 3)};
    }
    std::map<std::string, std::set<std::string>> primaries;
    for (const auto &entry : hosts) {
        const auto sources = preferredFeedSources(entry.second, hosts);
        const registered_host &primary = sources.empty() ? entry.second : sources.front();
        EXPECT_EQ(entry.second.failureDomain, primary.failureDomain);
        primaries[entry.second.failureDomain].insert(primary.name);
    }
    for (const auto &domain : primaries)
        EXPECT_EQ(1U, domain.second.size()) << domain.first;
}

TEST(preferred_feed_sources, small_domains_share_one_primary_and_polling_has_no_cycle)
{
    std::map<std::string, registered_host> hosts;
    for (int i = 0; i < 24; ++i) {
        const std::string name = "h" + std::to_string(i);
        // Three domains of four hosts and one of twelve.
        hosts[name] = {name, "10.0.0.1:1", i < 12 ? "d" + std::to_string(i % 3) : "large"};
    }
    std::set<std::string> primaries;
    for (const auto &entry : hosts) {
        std::string at = entry.first;
        int steps = 0;
        for (auto sources = preferredFeedSources(hosts[at], hosts); !sources.empty();
             sources = preferredFeedSources(hosts[at], hosts)) {
            at = sources.front().name;
            ASSERT_LT(++steps, 24);
        }
        primaries.insert(at);
    }
    EXPECT_LE(primaries.size(), 2U);
}

TEST(registered_host, unreadable_registrations_are_rejected)
{
    const registered_host host{"h", "10.0.0.1:7", "d", "10.0.0.1:8"};
    EXPECT_EQ(host, decodeRegisteredHost("h", encodeRegisteredHost(host)));
    for (const char *text : {"", "{}", R"({"address": "x", "failure_domain": "d"})",
                             R"({"address": "10.0.0.1:7"})", R"({"address": 3})"})
        EXPECT_THROW(decodeRegisteredHost("h", text), json_error) << text;
}

} // namespace
} // namespace goldcrestdeck
