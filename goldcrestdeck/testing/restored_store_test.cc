// What is known of roll-outs, instances and epochs when the key-value service comes back from an
// older copy, without a network.

#include <memory>
#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "goldcrestdeck/instance_directory.h"
#include "goldcrestdeck/rollout_member.h"
#include "goldcrestdeck/store_epoch.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds reconcilePeriod{6000};

/// The order and the record of one service's roll-out in the store.
struct rollout_contents {
    std::uint64_t revision = 10;
    std::optional<rollout_order> order;
    std::optional<rollout_record> record;
    std::uint64_t recordRevision = 0;
};

struct rollout_host {
    explicit rollout_host(const std::string &name)
        : member(name, rollout_parameters())
    { }

    rollout_member member;
    std::uint64_t epoch = 0;
    std::optional<time_point> reconcileUntil;
    std::optional<rollout_stage> stage; ///< The latest seen.
};

/// Hosts that roll out v2 of "engine" and poll a store that is restored from copies.
class restored_rollout
{
public:
    explicit restored_rollout(int hosts)
    {
        for (int i = 0; i < hosts; ++i)
            m_hosts.push_back(makeHost(i));
        m_contents.order = rollout_order{"engine", "v2", seconds(24), ++m_contents.revision};
        m_copy = m_contents;
    }

    void takeCopy() { m_copy = m_contents; }

    /// The operator writes its order again if the copy does not have it.
    void restore(bool copyHasOrder)
    {
        m_contents = m_copy;
        ++m_epoch;
        if (!copyHasOrder)
            m_contents.order = rollout_order{"engine", "v2", seconds(24), m_contents.revision += 2};
    }

    void restart(std::size_t host) { m_hosts[host] = makeHost(static_cast<int>(host)); }

    /// The host sees a response of the candidate.
    void respond(std::size_t host, bool isBad)
    {
        rollout_member &member = m_hosts[host]->member;
        const time_point now = m_time.now();
        const std::uint64_t order = member.view(now)["engine"].order.revision;
        member.recordOutcome({"engine", "r", order, version_side::candidate, isBad, false}, now);
        member.recordOutcome({"engine", "r", order, version_side::baseline, false, false}, now);
    }

    void poll(std::size_t index)
    {
        rollout_host &host = *m_hosts[index];
        const time_point now = m_time.now();
        if (host.epoch != 0 && host.epoch != m_epoch) {
            host.member.handleRestoredStore(now);
            host.reconcileUntil = now + reconcilePeriod;
        }
        host.epoch = m_epoch;
        if (m_contents.order)
            host.member.updateOrder(*m_contents.order);
        if (m_contents.record)
            host.member.updateRecord("engine", *m_contents.record, m_contents.recordRevision, now);
        if (host.reconcileUntil && *host.reconcileUntil <= now) {
            host.reconcileUntil.reset();
            host.member.finishReconciliation();
        }
        const rollout_actions actions
            = host.member.advance(now, [](const rollout_order &) { return 2U; });
        for (const record_write &write : actions.recordWrites)
            execute(host, write);
        checkStage(host);
    }

    void advance(milliseconds time) { m_time.advance(time); }

    std::size_t hostCount() const { return m_hosts.size(); }
    const std::optional<rollout_record> &storedRecord() const { return m_contents.record; }
    /// \returns the furthest stage that any host has seen.
    rollout_stage furthestStage() const
    {
        rollout_stage furthest = rollout_stage::canary;
        for (const auto &host : m_hosts)
            furthest = std::max(furthest, host->stage.value_or(rollout_stage::canary));
        return furthest;
    }

private:
    static std::unique_ptr<rollout_host> makeHost(int index)
    {
        return std::make_unique<rollout_host>("host-" + std::to_string(index));
    }

    void execute(rollout_host &host, const record_write &write)
    {
        const bool isWritten
            = write.expectedRevision == (m_contents.record ? m_contents.recordRevision : 0);
        if (isWritten) {
            m_contents.record = write.record;
            m_contents.recordRevision = ++m_contents.revision;
        }
        host.member.finishWrite("engine", !isWritten, m_time.now());
        if (isWritten)
            host.member.updateRecord("engine", write.record, m_contents.recordRevision,
                                     m_time.now());
    }

    /// The stage that a host acts on never goes back as long as it runs.
    void checkStage(rollout_host &host)
    {
        const auto rollouts = host.member.view(m_time.now());
        const auto known = rollouts.find("engine");
        if (known == rollouts.end()) {
            RC_ASSERT(!host.stage);
            return;
        }
        if (!known->second.seenAt.time_since_epoch().count())
            return;
        const rollout_record &record = known->second.record;
        // Before the first record, the view says that the candidate gets nothing.
        if (!host.stage && record.stage == rollout_stage::rolledBack && !m_contents.record)
            return;
        if (host.stage)
            RC_ASSERT(record.stage >= *host.stage);
        host.stage = record.stage;
    }

    manual_clock m_time;
    std::uint64_t m_epoch = 1;
    rollout_contents m_contents;
    rollout_contents m_copy;
    std::vector<std::unique_ptr<rollout_host>> m_hosts;
};

RC_GTEST_PROP(restored_store_model, stage_of_a_rollout_survives_with_any_host_that_knows_it, ())
{
    restored_rollout rollout(*rc::gen::inRange(1, 5));
    const std::size_t hosts = rollout.hostCount();
    const bool copyHasOrder = *rc::gen::arbitrary<bool>();
    const int steps = *rc::gen::inRange(10, 150);
    for (int step = 0; step < steps; ++step) {
        const std::size_t host = *rc::gen::inRange<std::size_t>(0, hosts);
        switch (*rc::gen::weightedElement<int>({{8, 0}, {6, 1}, {1, 2}, {1, 3}, {1, 4}})) {
        case 0:
            rollout.poll(host);
            break;
        case 1:
            rollout.advance(milliseconds(*rc::gen::inRange(10, 1500)));
            break;
        case 2:
            rollout.respond(host, *rc::gen::weightedElement<bool>({{5, false}, {1, true}}));
            break;
        case 3:
            rollout.takeCopy();
            break;
        default:
            rollout.restore(copyHasOrder);
        }
    }
    const rollout_stage furthest = rollout.furthestStage();
    for (int round = 0; round < 20; ++round) {
        rollout.advance(milliseconds(500));
        for (std::size_t host = 0; host < hosts; ++host)
            rollout.poll(host);
    }
    RC_ASSERT(rollout.storedRecord().has_value());
    RC_ASSERT(rollout.storedRecord()->stage >= furthest);
}

RC_GTEST_PROP(restored_store_model, verdict_survives_restarts_of_all_hosts_but_one, ())
{
    restored_rollout rollout(3);
    rollout.takeCopy();
    rollout.poll(0);
    for (int i = 0; i < 40; ++i)
        rollout.respond(0, true);
    for (int i = 0; i < 6; ++i) {
        rollout.advance(milliseconds(1000));
        for (std::size_t host = 0; host < 3; ++host)
            rollout.poll(host);
    }
    RC_ASSERT(rollout.furthestStage() == rollout_stage::rolledBack);
    const int returns = *rc::gen::inRange(1, 4);
    const bool copyHasOrder = *rc::gen::arbitrary<bool>();
    for (int i = 0; i < returns; ++i) {
        rollout.restore(copyHasOrder);
        rollout.restart(0);
        rollout.restart(1);
        // A host that starts now knows only the copy; it may write first.
        for (int turn = 0; turn < 6; ++turn) {
            rollout.poll(*rc::gen::inRange<std::size_t>(0, 3));
            rollout.advance(milliseconds(*rc::gen::inRange(10, 1000)));
        }
        for (int turn = 0; turn < 10; ++turn) {
            rollout.poll(2);
            rollout.advance(milliseconds(500));
        }
        RC_ASSERT(rollout.storedRecord()->stage == rollout_stage::rolledBack);
    }
}

class store_epoch_fixture : public ::testing::Test
{
protected:
    store_epoch_fixture()
    {
        m_epoch.setListener([this](std::uint64_t previous) { m_rises.push_back(previous); });
    }

    store_epoch m_epoch;
    std::vector<std::uint64_t> m_rises;
};

TEST_F(store_epoch_fixture, first_epoch_is_no_rise_and_answers_of_earlier_ones_are_not_used)
{
    EXPECT_TRUE(m_epoch.observe(0));
    EXPECT_TRUE(m_epoch.observe(3));
    EXPECT_TRUE(m_rises.empty());
    EXPECT_TRUE(m_epoch.observe(5));
    EXPECT_EQ(std::vector<std::uint64_t>{3}, m_rises);
    EXPECT_FALSE(m_epoch.observe(3));
    EXPECT_TRUE(m_epoch.observe(5));
    EXPECT_TRUE(m_epoch.observe(0)); // Unknown: the service does not tell.
    EXPECT_EQ(5U, m_epoch.current());
    EXPECT_EQ(1U, m_rises.size());
}

class restored_directory_fixture : public ::testing::Test
{
protected:
    static instance makeInstance(const std::string &id, std::uint64_t sequence, bool draining)
    {
        instance result;
        result.id = id;
        result.startedMs = 1;
        result.sequence = sequence;
        result.draining = draining;
        return result;
    }

    bool isUsable(const std::string &id) const
    {
        for (const instance &entry : m_directory.list()) {
            if (entry.id == id)
                return !entry.draining;
        }
        return false;
    }

    manual_clock m_time;
    instance_directory m_directory{milliseconds(2200)};
};

TEST_F(restored_directory_fixture, departed_instance_in_the_copy_is_unused_until_it_writes_again)
{
    m_directory.put(makeInstance("leaving", 5, true));
    m_directory.put(makeInstance("gone", 5, false));
    m_directory.remove("gone");
    m_directory.handleRestoredRegistry(m_time.now());
    // Heartbeats that this host has not seen count as older than the copy.
    m_directory.replaceAll({makeInstance("leaving", 4, false), makeInstance("gone", 8, false)},
                           m_time.now());
    EXPECT_FALSE(isUsable("leaving"));
    EXPECT_FALSE(isUsable("gone"));
    m_directory.put(makeInstance("gone", 8, false));
    EXPECT_FALSE(isUsable("gone"));
    m_directory.put(makeInstance("leaving", 6, false));
    m_directory.put(makeInstance("gone", 9, false));
    EXPECT_TRUE(isUsable("leaving"));
    EXPECT_TRUE(isUsable("gone"));
}

TEST_F(restored_directory_fixture, instance_missing_in_the_copy_is_used_for_the_grace_period)
{
    m_directory.put(makeInstance("new", 1, false));
    m_directory.put(makeInstance("lost", 1, false));
    m_directory.handleRestoredRegistry(m_time.now());
    m_directory.replaceAll({}, m_time.now());
    m_time.advance(milliseconds(2000));
    m_directory.expire(m_time.now());
    EXPECT_TRUE(isUsable("lost"));
    m_directory.put(makeInstance("new", 2, false));
    m_time.advance(milliseconds(300));
    m_directory.expire(m_time.now());
    EXPECT_TRUE(isUsable("new"));
    EXPECT_FALSE(isUsable("lost"));
}

} // namespace
} // namespace goldcrestdeck
