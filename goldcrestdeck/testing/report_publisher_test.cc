// What hosts report to each other: how it is written, and how much of it there is in a fleet.

#include "goldcrestdeck/report_publisher.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

#include <gtest/gtest.h>

#include "goldcrestdeck/segment_quarantine.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A key-value service that responds at once, or not at all while it is away.
class counting_store
{
public:
    struct entry {
        std::string value;
        std::uint64_t revision = 0;
    };

    async_kv_store functions()
    {
        async_kv_store store;
        store.transact = [this](const kv_transaction &transaction,
                                const std::function<void(kv_transaction_result)> &done) {
            ++m_transactions;
            if (m_isAway) {
                done({kv_outcome::unknown, 0});
                return;
            }
            if (m_leases.count(transaction.lease) == 0) {
                done({kv_outcome::refused, 0});
                return;
            }
            for (const kv_item &write : transaction.writes)
                m_entries[write.key] = {write.value, ++m_revision};
            done({kv_outcome::done, m_revision});
        };
        store.grantLease = [this](milliseconds, const std::function<void(std::uint64_t)> &done) {
            ++m_grants;
            if (!m_isAway)
                m_leases.insert(++m_lastLease);
            done(m_isAway ? 0 : m_lastLease);
        };
        store.renewLease
            = [this](std::uint64_t lease, const std::function<void(kv_outcome)> &done) {
                  ++m_renewals;
                  done(m_isAway                    ? kv_outcome::unknown
                           : m_leases.count(lease) ? kv_outcome::done
                                                   : kv_outcome::conflict);
              };
        return store;
    }

    std::size_t calls() const { return m_transactions + m_grants; }

    std::map<std::string, entry> m_entries;
    std::set<std::uint64_t> m_leases;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_revision = 0;
    std::size_t m_transactions = 0;
    std::size_t m_grants = 0;
    std::size_t m_renewals = 0;
    bool m_isAway = false;
};

class report_publisher_fixture : public ::testing::Test
{
protected:
    void publish(const std::string &key, const std::string &value)
    {
        m_publisher.publish(
            key, [value] { return value; },
            [this](kv_outcome outcome) { m_outcomes.push_back(outcome); });
    }

    manual_clock m_time;
    counting_store m_store;
    std::vector<kv_outcome> m_outcomes;
    report_publisher m_publisher{m_store.functions(), m_time, report_parameters()};
};

TEST_F(report_publisher_fixture, reports_share_one_lease)
{
    for (int i = 0; i < 20; ++i) {
        publish("k" + std::to_string(i % 3), std::to_string(i));
        m_time.advance(seconds(1));
    }
    EXPECT_EQ(1U, m_store.m_grants);
    EXPECT_EQ(20U, m_store.m_transactions);
    EXPECT_EQ("19", m_store.m_entries["k1"].value);
}

TEST_F(report_publisher_fixture,
       reports_that_wait_are_written_together_and_only_the_latest_of_a_key)
{
    publish("a", "1");
    publish("a", "2");
    publish("a", "3");
    publish("b", "4");
    publish("c", "5");
    m_publisher.withdraw("c");
    EXPECT_EQ(1U, m_store.m_transactions);
    m_time.advance(seconds(1));
    m_publisher.flush();
    EXPECT_EQ(2U, m_store.m_transactions);
    EXPECT_EQ("3", m_store.m_entries["a"].value);
    EXPECT_EQ("4", m_store.m_entries["b"].value);
    EXPECT_EQ(0U, m_store.m_entries.count("c"));
}

TEST_F(report_publisher_fixture, rate_of_all_hosts_together_stays_below_the_bound)
{
    m_publisher.setFleetSize(300);
    for (int i = 0; i < 30'000; i += 100) {
        publish("k", std::to_string(i));
        m_publisher.flush();
        m_time.advance(milliseconds(100));
    }
    // 30 s at 100/300 transactions a second.
    EXPECT_LE(m_store.m_transactions, 11U);
    EXPECT_GE(m_store.m_transactions, 9U);
}

TEST_F(report_publisher_fixture, lease_is_renewed_before_it_ends)
{
    publish("a", "1");
    m_time.advance(std::chrono::minutes(5));
    publish("a", "2");
    EXPECT_EQ(1U, m_store.m_grants);
    EXPECT_EQ(1U, m_store.m_renewals);
    m_store.m_leases.clear();
    m_time.advance(std::chrono::minutes(11));
    publish("a", "3");
    EXPECT_EQ(2U, m_store.m_grants);
    EXPECT_EQ("3", m_store.m_entries["a"].value);
}

TEST_F(report_publisher_fixture, report_is_written_after_an_outage)
{
    m_store.m_isAway = true;
    publish("a", "1");
    m_time.advance(seconds(1));
    publish("a", "2");
    EXPECT_TRUE(m_store.m_entries.empty());
    m_store.m_isAway = false;
    m_time.advance(seconds(1));
    m_publisher.flush();
    EXPECT_EQ("2", m_store.m_entries["a"].value);
    EXPECT_EQ(kv_outcome::done, m_outcomes.back());
}

TEST_F(report_publisher_fixture, lease_that_is_lost_with_the_store_is_replaced)
{
    publish("a", "1");
    m_store.m_leases.clear();
    m_store.m_entries.clear();
    m_publisher.handleRestoredStore();
    m_time.advance(seconds(1));
    publish("a", "1");
    EXPECT_EQ("1", m_store.m_entries["a"].value);
    // A lease that ended unnoticed: the write is repeated under a new one.
    m_store.m_leases.clear();
    m_time.advance(seconds(1));
    publish("a", "2");
    m_time.advance(seconds(1));
    m_publisher.flush();
    EXPECT_EQ("2", m_store.m_entries["a"].value);
}

/// Hosts that send requests to instances, tell each other about crashes through the store, and poll
/// it. Every request shares its first prompt segment, and one in twenty its second.
class report_fleet : public ::testing::TestWithParam<int>
{
protected:
    struct host {
        segment_quarantine quarantine{quarantine_parameters()};
        std::unique_ptr<report_publisher> publisher;
        time_point nextPoll;
        time_point lastPoll;
        std::map<std::string, std::uint64_t> seen; ///< Revisions of the reports, by host.
    };

    static constexpr milliseconds pollInterval{1500};
    static constexpr milliseconds step{50};
    static constexpr double requestsPerHostAndStep = 0.25;
    static constexpr int topics = 20;
    /// Requests that an instance executes at a time, each from another host, and how many of them
    /// it has just begun to respond to.
    static constexpr int slots = 12;
    static constexpr int begun = 2;

    report_fleet()
    {
        for (int i = 0; i < GetParam(); ++i) {
            m_hosts.push_back(std::make_unique<host>());
            host &added = *m_hosts.back();
            added.quarantine.setAnswerDelay(suppressionDelay(draw(), m_hosts.size(), seconds(3)));
            added.publisher = std::make_unique<report_publisher>(m_store.functions(), m_time,
                                                                 report_parameters());
            added.publisher->setFleetSize(GetParam());
            added.nextPoll
                = m_time.now() + milliseconds(static_cast<int>(draw() * pollInterval.count()));
            added.lastPoll = m_time.now();
        }
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    int drawInt(int below) { return static_cast<int>(draw() * below); }
    host &randomHost() { return *m_hosts[drawInt(GetParam())]; }
    std::vector<std::string> randomPrompt()
    {
        return {"common", "topic-" + std::to_string(drawInt(topics))};
    }

    void run(milliseconds length, const std::function<void()> &onStep)
    {
        for (milliseconds time{0}; time < length; time += step) {
            m_time.advance(step);
            onStep();
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                if (draw() < requestsPerHostAndStep)
                    sendRequest(*m_hosts[i]);
                report(i);
                if (m_time.now() >= m_hosts[i]->nextPoll)
                    poll(i);
            }
        }
    }

    void sendRequest(host &sender)
    {
        const auto prompt = randomPrompt();
        if (sender.quarantine.find(prompt, "", m_time.now()))
            ++m_refused;
        else
            sender.quarantine.recordAnswered(prompt, "", m_time.now());
        ++m_requests;
    }

    /// The instance resets a response and goes on.
    void loseResponse()
    {
        host &sender = randomHost();
        const std::string instance = "i" + std::to_string(drawInt(80));
        cut(sender, instance, true);
        sender.quarantine.recordConnectionAccepted(instance, m_time.now());
    }

    void crashInstance()
    {
        const std::string instance = "crashed-" + std::to_string(++m_lastInstance);
        for (int i = 0; i < slots; ++i) {
            host &sender = randomHost();
            cut(sender, instance, i < begun);
            sender.quarantine.recordConnectionRefused(instance, m_time.now());
        }
    }

    void cut(host &sender, const std::string &instance, bool hasBegun)
    {
        const std::string request = "r" + std::to_string(++m_lastRequest);
        sender.quarantine.recordUnansweredSend(
            {instance,
             request,
             hasBegun ? randomPrompt() : std::vector<std::string>(),
             {},
             request},
            m_time.now());
        sender.quarantine.recordConnectionLost(instance, m_time.now() - milliseconds(10),
                                               m_time.now());
        ++m_cuts;
    }

    void report(std::size_t index)
    {
        host &reporter = *m_hosts[index];
        const auto dueAt = reporter.quarantine.reportDueAt();
        if (!dueAt || *dueAt > m_time.now())
            return;
        const auto made = reporter.quarantine.takeReport(m_time.now());
        if (made)
            reporter.publisher->publish(
                std::to_string(index), [made] { return encodeCrashReport(*made); },
                [](kv_outcome) {});
    }

    void poll(std::size_t index)
    {
        host &reader = *m_hosts[index];
        for (const auto &entry : m_store.m_entries) {
            std::uint64_t &seen = reader.seen[entry.first];
            if (seen == entry.second.revision || entry.first == std::to_string(index))
                continue;
            seen = entry.second.revision;
            ++m_decoded;
            reader.quarantine.merge(decodeCrashReport(entry.second.value), report_origin::otherHost,
                                    reader.lastPoll);
        }
        reader.lastPoll = m_time.now();
        reader.nextPoll = m_time.now() + pollInterval;
        reader.publisher->flush();
    }

    manual_clock m_time;
    counting_store m_store;
    std::mt19937 m_random{1};
    std::vector<std::unique_ptr<host>> m_hosts;
    int m_lastInstance = 0;
    int m_lastRequest = 0;
    std::size_t m_requests = 0;
    std::size_t m_refused = 0;
    std::size_t m_cuts = 0;
    std::size_t m_decoded = 0;
};

TEST_P(report_fleet, calm_costs_no_calls)
{
    run(seconds(20), [] {});
    EXPECT_EQ(0U, m_store.calls());
}

TEST_P(report_fleet, lost_responses_cost_no_calls_and_refuse_nothing)
{
    run(seconds(20), [&] {
        for (int i = 0; i < GetParam() / 20 + 1; ++i)
            loseResponse();
    });
    EXPECT_GT(m_cuts, 300U);
    EXPECT_EQ(0U, m_store.calls());
    EXPECT_EQ(0U, m_refused);
}

TEST_P(report_fleet, crashes_cost_calls_for_what_they_cut_and_none_for_traffic)
{
    int count = 0;
    run(seconds(10), [&] {
        if (++count % 10 == 0)
            crashInstance();
    });
    const std::size_t callsInCrashes = m_store.calls();
    // A lease and a transaction for each cut at most, and few for the answers.
    EXPECT_LE(callsInCrashes, 2 * m_cuts + m_hosts.size());
    run(seconds(10), [] {});
    const std::size_t callsAtEnd = m_store.calls();
    // The traffic goes on for long after the crashes.
    run(seconds(30), [] {});
    EXPECT_EQ(callsAtEnd, m_store.calls());
    // Requests are sound, so next to none may be refused.
    EXPECT_LE(m_refused, m_requests / 100);
}

TEST_P(report_fleet, outage_costs_one_attempt_a_poll_and_the_reports_arrive_after_it)
{
    m_store.m_isAway = true;
    int count = 0;
    run(seconds(9), [&] {
        if (++count % 20 == 0)
            crashInstance();
    });
    const double polls = 9.0 * GetParam() / (static_cast<double>(pollInterval.count()) / 1000);
    EXPECT_LE(static_cast<double>(m_store.calls()), polls + static_cast<double>(m_cuts));
    m_store.m_isAway = false;
    run(seconds(5), [] {});
    EXPECT_GT(m_store.m_entries.size(), 0U);
    EXPECT_GT(m_decoded, 0U);
}

INSTANTIATE_TEST_SUITE_P(hosts, report_fleet, ::testing::Values(6, 60, 300));

} // namespace
} // namespace goldcrestdeck
