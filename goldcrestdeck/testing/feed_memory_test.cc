// A host that hears of changes through another one must know all that it claims to know, whatever
// way each of the two has learned it: by changes, by readings that are no snapshot, after gaps.

#include "goldcrestdeck/feed_memory.h"

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

/// The service: items, and what has happened since it last forgot.
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
    /// The items of one half of the keys: a page.
    std::vector<kv_item> page(bool upper) const
    {
        std::vector<kv_item> items;
        for (const auto &entry : m_items) {
            if ((entry.first >= keyOf(keyCount / 2)) == upper)
                items.push_back(entry.second);
        }
        return items;
    }
    /// The keys whose last change is not behind \a revision, with their values.
    std::map<std::string, std::string> settledAt(std::uint64_t revision) const
    {
        std::map<std::string, std::string> settled;
        std::map<std::string, kv_change> last;
        for (const kv_change &change : m_changes)
            last[change.item.key] = change;
        for (const auto &entry : last) {
            if (entry.second.item.revision <= revision)
                settled[entry.first] = entry.second.deleted ? "" : entry.second.item.value;
        }
        return settled;
    }

private:
    std::map<std::string, kv_item> m_items;
    std::vector<kv_change> m_changes;
    std::uint64_t m_revision = 1;
};

/// What a host knows, beside the memory from which it tells others.
class model_host
{
public:
    void hear(const std::vector<kv_change> &changes, std::uint64_t revision, bool fromService)
    {
        for (const kv_change &change : changes) {
            if (change.deleted) {
                m_known.erase(change.item.key);
                memory.remove(change.item.key, change.item.revision);
            } else {
                m_known[change.item.key] = change.item.value;
                if (fromService)
                    memory.put(change.item);
                else
                    memory.putNews(change.item);
            }
        }
        m_revision = std::max(m_revision, revision);
        memory.setRevision(m_revision);
        m_mayAsk = true;
    }
    void readAll(const std::vector<kv_item> &items, std::uint64_t revision)
    {
        m_known.clear();
        for (const kv_item &item : items)
            m_known[item.key] = item.value;
        m_revision = revision;
        memory.replaceAll(items, revision);
        m_mayAsk = false;
    }
    void ask(const model_host &other)
    {
        if (!m_mayAsk)
            return;
        if (const auto changes = other.memory.after(m_revision))
            hear(changes->changes, changes->revision, false);
    }
    std::uint64_t revision() const { return m_revision; }
    std::string value(const std::string &key) const
    {
        const auto found = m_known.find(key);
        return found == m_known.end() ? "" : found->second;
    }

    feed_memory memory{3, isSameValue};

private:
    std::map<std::string, std::string> m_known;
    std::uint64_t m_revision = 0;
    bool m_mayAsk = false; ///< What it knows lies at m_revision.
};

RC_GTEST_PROP(feed_memory_model, host_knows_all_changes_up_to_its_revision, ())
{
    model_service service;
    std::array<model_host, 3> hosts;
    std::string history; // For a reader of a failure.
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
        const int asked = *rc::gen::inRange(0, 3);
        model_host &host = hosts.at(self);
        const model_host &other = hosts.at(asked);
        const int action = *rc::gen::inRange(0, 6);
        history += "; h" + std::to_string(self) + " action " + std::to_string(action) + " h"
            + std::to_string(asked);
        switch (action) {
        case 0:
            host.hear(service.changesAfter(host.revision()), service.revision(), true);
            break;
        case 1: {
            const std::uint64_t begun = service.revision();
            std::vector<kv_item> items = service.page(false);
            for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
                change();
            const std::vector<kv_item> rest = service.page(true);
            items.insert(items.end(), rest.begin(), rest.end());
            host.readAll(items, begun);
            break;
        }
        case 2:
        case 3:
            if (&host != &other)
                host.ask(other);
            break;
        default:
            change();
        }
        for (const auto &settled : service.settledAt(host.revision()))
            if (host.value(settled.first) != settled.second)
                RC_FAIL(history + ": " + settled.first);
    }
}

TEST(feed_memory, write_that_repeats_what_was_known_is_not_told)
{
    feed_memory memory(10, isSameValue);
    memory.put({"k", "a", 5});
    memory.setRevision(5);
    memory.put({"k", "a", 9});
    memory.setRevision(9);
    const auto told = memory.after(5);
    ASSERT_TRUE(told);
    EXPECT_TRUE(told->changes.empty());
    EXPECT_EQ(9U, told->revision);
}

TEST(feed_memory, deletion_that_is_forgotten_or_was_never_known_is_not_passed_over)
{
    feed_memory memory(1, isSameValue);
    memory.setRevision(1);
    memory.remove("a", 2);
    memory.remove("b", 3);
    memory.setRevision(3);
    EXPECT_FALSE(memory.after(1));
    EXPECT_TRUE(memory.after(2));
    // Between 3 and 8 keys may have come and gone.
    memory.replaceAll({}, 8);
    EXPECT_FALSE(memory.after(8));
    memory.setRevision(8);
    EXPECT_TRUE(memory.after(3));
    EXPECT_FALSE(memory.after(5));
    EXPECT_TRUE(memory.after(8));
    EXPECT_FALSE(memory.after(9));
}

TEST(hosts_before, first_host_of_each_domain_asks_the_service_and_all_others_ask_it_first)
{
    std::map<std::string, feed_host> hosts;
    for (int i = 0; i < 30; ++i) {
        const std::string name = "h" + std::to_string(i);
        hosts[name] = {name, "10.0.0.1:1", "d" + std::to_string(i % 3)};
    }
    std::map<std::string, std::set<std::string>> firsts;
    for (const auto &entry : hosts) {
        const auto before = hostsBefore(entry.second, hosts);
        const feed_host &first = before.empty() ? entry.second : before.front();
        EXPECT_EQ(entry.second.failureDomain, first.failureDomain);
        firsts[entry.second.failureDomain].insert(first.name);
    }
    for (const auto &domain : firsts)
        EXPECT_EQ(1U, domain.second.size()) << domain.first;
}

TEST(hosts_before, small_domains_share_one_first_host_and_nobody_asks_in_a_circle)
{
    std::map<std::string, feed_host> hosts;
    for (int i = 0; i < 24; ++i) {
        const std::string name = "h" + std::to_string(i);
        // Three domains of four hosts and one of twelve.
        hosts[name] = {name, "10.0.0.1:1", i < 12 ? "d" + std::to_string(i % 3) : "large"};
    }
    std::set<std::string> firsts;
    for (const auto &entry : hosts) {
        std::string at = entry.first;
        int steps = 0;
        for (auto before = hostsBefore(hosts[at], hosts); !before.empty();
             before = hostsBefore(hosts[at], hosts)) {
            at = before.front().name;
            ASSERT_LT(++steps, 24);
        }
        firsts.insert(at);
    }
    EXPECT_LE(firsts.size(), 2U);
}

TEST(feed_host, unreadable_registrations_are_rejected)
{
    const feed_host host{"h", "10.0.0.1:7", "d"};
    EXPECT_EQ(host, decodeFeedHost("h", encodeFeedHost(host)));
    for (const char *text : {"", "{}", R"({"address": "x", "failure_domain": "d"})",
                             R"({"address": "10.0.0.1:7"})", R"({"address": 3})"})
        EXPECT_THROW(decodeFeedHost("h", text), json_error) << text;
}

} // namespace
} // namespace goldcrestdeck
