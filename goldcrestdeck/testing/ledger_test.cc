#include "goldcrestdeck/ledger_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <set>
#include <thread>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/testing/fake_store.h"

namespace goldcrestdeck {
namespace {

constexpr const char *prefix = "ops/";

ledger_entry claimOf(const std::string &key, const std::string &attempt,
                     const std::string &payload = "p")
{
    ledger_entry claim;
    claim.operation = operationHash("w", key);
    claim.payload = payload;
    claim.attempt = attempt;
    return claim;
}

ledger_entry doneOf(const ledger_entry &claim, const std::string &response)
{
    ledger_entry done = claim;
    done.event = ledger_event::done;
    done.status = 200;
    done.responseBody = response;
    done.responseHash = sha256Hex(response);
    return done;
}

class operation_ledger_fixture : public testing::Test
{
protected:
    fake_store store;
    operation_ledger first{store.asKvStore(), prefix};
    operation_ledger second{store.asKvStore(), prefix};
};

TEST_F(operation_ledger_fixture, second_attempt_of_a_claimed_operation_may_have_run)
{
    EXPECT_EQ(first.claim(claimOf("k", "a1")).verdict, claim_verdict::won);
    EXPECT_EQ(second.claim(claimOf("k", "a2")).verdict, claim_verdict::may_have_run);
}

TEST_F(operation_ledger_fixture, done_operation_is_replayed_with_its_response)
{
    const ledger_entry claim = claimOf("k", "a1");
    first.claim(claim);
    first.append(doneOf(claim, "answer"));
    const claim_result again = second.claim(claimOf("k", "a2"));
    EXPECT_EQ(again.verdict, claim_verdict::replay);
    EXPECT_EQ(again.state.responseBody, "answer");
    EXPECT_EQ(again.state.status, 200);
}

TEST_F(operation_ledger_fixture, host_that_has_read_the_claim_still_replays_the_done_operation)
{
    const ledger_entry claim = claimOf("k", "a1");
    first.claim(claim);
    EXPECT_EQ(second.claim(claimOf("k", "a2")).verdict, claim_verdict::may_have_run);
    first.append(doneOf(claim, "answer"));
    EXPECT_EQ(second.claim(claimOf("k", "a3")).verdict, claim_verdict::replay);
}

TEST_F(operation_ledger_fixture, same_key_with_another_payload_is_a_conflict)
{
    first.claim(claimOf("k", "a1", "one"));
    EXPECT_EQ(second.claim(claimOf("k", "a2", "two")).verdict, claim_verdict::payload_conflict);
}

TEST_F(operation_ledger_fixture, released_operation_can_be_claimed_again)
{
    ledger_entry claim = claimOf("k", "a1");
    first.claim(claim);
    claim.event = ledger_event::release;
    first.append(claim);
    EXPECT_EQ(second.claim(claimOf("k", "a2")).verdict, claim_verdict::won);
}

TEST_F(operation_ledger_fixture, claim_whose_reply_was_lost_is_resolved_by_reading_back)
{
    first.claim(claimOf("other", "a0"));
    store.planFaults({store_fault::lost_reply});
    EXPECT_EQ(first.claim(claimOf("k", "a1")).verdict, claim_verdict::won);
    EXPECT_EQ(second.claim(claimOf("k", "a2")).verdict, claim_verdict::may_have_run);
}

TEST_F(operation_ledger_fixture, claim_while_the_store_is_down_throws_and_is_released_later)
{
    first.claim(claimOf("other", "a0"));
    store.planFaults({store_fault::lost_reply, store_fault::lost_request});
    store.setDown(true);
    EXPECT_THROW(first.claim(claimOf("k", "a1")), platform_error);
    store.setDown(false);
    store.planFaults({});
    first.appendDeferred();
    EXPECT_EQ(second.claim(claimOf("k", "a2")).verdict, claim_verdict::won);
}

TEST_F(operation_ledger_fixture, ledger_that_outgrows_a_page_keeps_every_claim)
{
    const std::string payload(3000, 'x');
    constexpr int count = 300;
    for (int i = 0; i < count; ++i)
        first.claim(claimOf("k" + std::to_string(i), "a" + std::to_string(i), payload));
    operation_ledger fresh(store.asKvStore(), prefix);
    for (int i = 0; i < count; ++i)
        EXPECT_EQ(fresh.claim(claimOf("k" + std::to_string(i), "b", payload)).verdict,
                  claim_verdict::may_have_run)
            << i;
}

TEST_F(operation_ledger_fixture, many_threads_on_two_hosts_win_each_operation_once)
{
    constexpr int threads = 8;
    constexpr int keys = 20;
    std::array<std::atomic<int>, keys> wins{};
    std::vector<std::thread> workers;
    workers.reserve(threads);
    for (int t = 0; t < threads; ++t)
        workers.emplace_back([&, t] {
            operation_ledger &ledger = t % 2 == 0 ? first : second;
            for (int k = 0; k < keys; ++k) {
                const auto claim
                    = claimOf(std::to_string(k), std::to_string(t) + "/" + std::to_string(k));
                try {
                    if (ledger.claim(claim).verdict == claim_verdict::won)
                        ++wins[static_cast<std::size_t>(k)];
                } catch (const platform_error &) {
                    // Too many conflicts: this attempt sends nothing.
                }
            }
        });
    for (std::thread &worker : workers)
        worker.join();
    for (const auto &count : wins)
        EXPECT_LE(count.load(), 1);
}

/// Random attempts by three hosts on a few keys, with lost requests, lost replies and releases. The
/// oracle is the set of operations that an attempt was told it had won and has not released.
RC_GTEST_PROP(operation_ledger_model, no_operation_is_won_twice_without_a_release, ())
{
    fake_store store;
    std::vector<std::unique_ptr<operation_ledger>> hosts;
    hosts.reserve(3);
    for (int i = 0; i < 3; ++i)
        hosts.push_back(std::make_unique<operation_ledger>(store.asKvStore(), prefix));
    std::map<std::string, ledger_entry> won;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(0, 5),
                       rc::gen::inRange(0, 9)));
    int attempts = 0;
    for (const auto &[host, key, action, faults] : steps) {
        std::deque<store_fault> plan;
        for (int digit = faults; digit > 0; digit /= 3)
            plan.push_back(static_cast<store_fault>(digit % 3));
        store.planFaults(plan);
        const std::string name = "k" + std::to_string(key);
        operation_ledger &ledger = *hosts[static_cast<std::size_t>(host)];
        if (action == 0 && won.count(name) > 0) {
            ledger_entry release = won.at(name);
            release.event = ledger_event::release;
            won.erase(name);
            ledger.append(release);
            continue;
        }
        const ledger_entry claim = claimOf(name, "a" + std::to_string(++attempts));
        try {
            if (ledger.claim(claim).verdict != claim_verdict::won)
                continue;
            RC_ASSERT(won.count(name) == 0U);
            won[name] = claim;
        } catch (const platform_error &) {
            // The outcome is unknown: the attempt sends nothing.
        }
        if (action == 1) {
            store.planFaults({});
            ledger.appendDeferred();
        }
    }
}

RC_GTEST_PROP(ledger_page_codec, any_page_decodes_to_itself, (std::vector<int> kinds))
{
    ledger_page page;
    page.number = kinds.size();
    for (int kind : kinds) {
        ledger_entry entry = claimOf("k" + std::to_string(kind), "a", "p" + std::to_string(kind));
        if (kind % 3 == 1)
            entry = doneOf(entry, std::string(1, static_cast<char>(kind)));
        if (kind % 3 == 2)
            entry.event = ledger_event::release;
        if (entry.event != ledger_event::claim)
            entry.payload.clear();
        page.entries.push_back(entry);
    }
    ledger_page decoded;
    decode(encode(page), decoded);
    RC_ASSERT(decoded == page);
}

account_batch batchOf(const std::string &source, std::uint64_t sequence, std::uint64_t cost)
{
    account_batch batch;
    batch.id = {source, sequence};
    batch.bills[{"w" + std::to_string(cost % 3), "husk@1"}] = {1, cost};
    refusal_record refused;
    refused.workspace = "w";
    refused.requestId = source + "/" + std::to_string(sequence);
    refused.code = "limit_exceeded";
    batch.refusals.push_back(refused);
    return batch;
}

/// Batches are written in any order, by several hosts and repeatedly, with lost requests and
/// replies. The oracle applies each batch once.
RC_GTEST_PROP(account_store_model, account_holds_each_batch_exactly_once, ())
{
    fake_store store;
    std::vector<std::unique_ptr<account_store>> writers;
    writers.reserve(3);
    for (int i = 0; i < 3; ++i)
        writers.push_back(std::make_unique<account_store>(store.asKvStore(), "account/"));
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 2), rc::gen::inRange(1, 12),
                       rc::gen::inRange(0, 27)));
    std::set<std::pair<int, int>> written;
    for (const auto &[writer, source, sequence, faults] : steps) {
        std::deque<store_fault> plan;
        for (int digit = faults; digit > 0; digit /= 3)
            plan.push_back(static_cast<store_fault>(digit % 3));
        store.planFaults(plan);
        const account_batch batch
            = batchOf("s" + std::to_string(source), static_cast<std::uint64_t>(sequence),
                      static_cast<std::uint64_t>(sequence) * 10);
        written.insert({source, sequence});
        try {
            writers[static_cast<std::size_t>(writer)]->write({batch});
        } catch (const platform_error &) {
            // The outcome is unknown: another host writes the batch again.
            store.planFaults({});
            writers[static_cast<std::size_t>((writer + 1) % 3)]->write({batch});
        }
    }
    store.planFaults({});
    account_page expected;
    for (const auto &[source, sequence] : written)
        applyBatch(expected,
                   batchOf("s" + std::to_string(source), static_cast<std::uint64_t>(sequence),
                           static_cast<std::uint64_t>(sequence) * 10));
    const account_page found = writers[0]->readAll();
    RC_ASSERT(found.totals == expected.totals);
    RC_ASSERT(found.applied == expected.applied);
    RC_ASSERT(found.refusals.size() == expected.refusals.size());
}

TEST(account_store, account_that_outgrows_a_page_keeps_totals_and_refusals)
{
    fake_store store;
    account_store writer(store.asKvStore(), "account/");
    constexpr std::uint64_t batches = 6;
    constexpr std::uint64_t refusalsEach = 1000;
    for (std::uint64_t sequence = 1; sequence <= batches; ++sequence) {
        account_batch batch = batchOf("s", sequence, 3);
        batch.refusals.assign(refusalsEach, batch.refusals.front());
        writer.write({batch});
    }
    account_store reader(store.asKvStore(), "account/");
    const account_page all = reader.readAll();
    EXPECT_GT(all.number, 0U);
    EXPECT_EQ(all.refusals.size(), batches * refusalsEach);
    EXPECT_EQ(all.totals.at({"w0", "husk@1"}).requests, batches);
}

TEST(account_store, outage_backlog_is_written_in_bounded_steps)
{
    fake_store store;
    account_store writer(store.asKvStore(), "account/");
    std::vector<account_batch> backlog;
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        account_batch batch = batchOf("s", sequence, 3);
        batch.refusals.assign(1000, batch.refusals.front());
        backlog.push_back(batch);
    }
    int calls = 0;
    while (writer.write(backlog)["s"].floor < 20) {
        ASSERT_LT(++calls, 40);
        EXPECT_LT(encode(writer.readAll()).size(), 20 * maxValueBytes);
    }
    EXPECT_EQ(writer.readAll().refusals.size(), 20'000U);
}

RC_GTEST_PROP(journal_model, batches_hold_every_record_until_it_is_written, ())
{
    journal records("s", {1'000'000});
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    std::uint64_t added = 0;
    std::uint64_t written = 0;
    applied_set applied;
    for (int action : steps) {
        if (action == 0) {
            records.addBill({"w", "v"}, 1);
            ++added;
        } else if (action == 1) {
            records.closeBatch();
        } else if (!records.unwritten().empty()) {
            const auto &batch
                = action == 2 ? *records.unwritten().begin() : *records.unwritten().rbegin();
            for (const auto &[key, sum] : batch.second.bills)
                written += sum.requests;
            applied.add(batch.first);
            records.removeWritten(applied);
        }
    }
    std::uint64_t left = 0;
    records.closeBatch();
    for (const auto &[sequence, batch] : records.unwritten())
        for (const auto &[key, sum] : batch.bills)
            left += sum.requests;
    RC_ASSERT(added == written + left);
}

TEST(journal, full_journal_has_no_room_and_drops_nothing)
{
    journal records("s", {2});
    records.addRefusal({});
    EXPECT_TRUE(records.hasRoom());
    records.addRefusal({});
    EXPECT_FALSE(records.hasRoom());
    applied_set applied;
    applied.add(records.closeBatch().id.sequence);
    records.removeWritten(applied);
    EXPECT_TRUE(records.hasRoom());
}

TEST(batch_store, full_store_rejects_another_batch)
{
    batch_store held(3);
    EXPECT_TRUE(held.hold(batchOf("s", 1, 1), time_point()));
    EXPECT_FALSE(held.hold(batchOf("s", 2, 1), time_point()));
    EXPECT_TRUE(held.hold(batchOf("s", 1, 1), time_point()));
    applied_set applied;
    applied.add(1);
    held.removeWritten({{"s", applied}});
    EXPECT_TRUE(held.hold(batchOf("s", 2, 1), time_point()));
}

} // namespace
} // namespace goldcrestdeck
