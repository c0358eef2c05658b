// Network partitions between hosts, and between hosts and the key-value service, with real
// processes.

#include <gtest/gtest.h>

#include <thread>

#include "goldcrestdeck/testing/process_cluster.h"

namespace goldcrestdeck {
namespace {

class partition_fixture : public testing::Test
{
protected:
    partition_fixture() { start(); }

    void start()
    {
        ASSERT_TRUE(cluster.waitAllReady());
        ASSERT_EQ(cluster
                      .applyTable(0,
                                  {"mill,husk@1,100,completion", "mill,status@1,100,idempotent",
                                   "mill,dispatch@1,100,at_most_once"})
                      .status,
                  "accepted");
        for (std::size_t host = 0; host < 3; ++host)
            ASSERT_TRUE(eventually(
                [&] { return cluster.service(host, "mill", "status/get", "").status == 200; }));
    }

    std::size_t requestCount() { return cluster.requestLog("engine").size(); }

    process_cluster cluster{3,
                            {{"engine", "north-a", {"husk@1"}, 0.9, false},
                             {"service", "north-b", {"status@1", "dispatch@1"}, 0.9, true}},
                            1,
                            true};
};

TEST_F(partition_fixture, isolated_host_does_not_use_a_version_withdrawn_meanwhile)
{
    cluster.partitionFromPeers(2, true);
    cluster.partitionFromStore(2, true);
    EXPECT_EQ(cluster.setRowState(0, "mill", "husk@1", "withdrawn").status, "accepted");
    const std::size_t before = requestCount();
    for (int i = 0; i < 20; ++i) {
        const auto refusal = cluster.chat(2, "mill", "draft");
        EXPECT_EQ(refusal.run(), "no") << refusal.status;
    }
    EXPECT_EQ(requestCount(), before);
    EXPECT_FALSE(cluster.isReady(2));
    cluster.partitionFromPeers(2, false);
    cluster.partitionFromStore(2, false);
    EXPECT_TRUE(
        eventually([&] { return cluster.chat(2, "mill", "draft").code() == "no_upstream"; }));
    EXPECT_EQ(requestCount(), before);
}

TEST_F(partition_fixture, host_partitioned_from_the_store_only_keeps_serving_through_its_peers)
{
    cluster.partitionFromStore(2, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(4000));
    EXPECT_EQ(cluster.chat(2, "mill", "draft").status, 200);
    EXPECT_EQ(cluster.setRowState(0, "mill", "husk@1", "withdrawn").status, "accepted");
    EXPECT_EQ(cluster.chat(2, "mill", "draft").code(), "no_upstream");
    const auto refusal = cluster.service(2, "mill", "dispatch/go", "k");
    EXPECT_EQ(refusal.code(), "ledger_unavailable");
    EXPECT_EQ(refusal.run(), "no");
}

TEST_F(partition_fixture, hosts_partitioned_from_each_other_keep_serving_through_the_store)
{
    for (std::size_t host = 0; host < 3; ++host)
        cluster.partitionFromPeers(host, true);
    std::this_thread::sleep_for(std::chrono::milliseconds(5000));
    for (std::size_t host = 0; host < 3; ++host) {
        EXPECT_EQ(cluster.chat(host, "mill", "draft").status, 200);
        EXPECT_EQ(cluster.service(host, "mill", "dispatch/go", "k").status, 200);
    }
    // No peer can acknowledge the change, so it must not be reported as accepted.
    EXPECT_EQ(cluster.setRowState(0, "mill", "husk@1", "withdrawn").status, "stored");
    for (std::size_t host = 0; host < 3; ++host)
        cluster.partitionFromPeers(host, false);
    EXPECT_TRUE(eventually(
        [&] { return cluster.setRowState(1, "mill", "husk@1", "barred").status == "accepted"; }));
}

TEST_F(partition_fixture, hosts_without_store_and_peers_stop_admitting_and_report_not_run)
{
    cluster.injectFaults("kv", R"({"down":true})");
    for (std::size_t host = 0; host < 3; ++host)
        cluster.partitionFromPeers(host, true);
    for (std::size_t host = 0; host < 3; ++host)
        EXPECT_TRUE(eventually([&] { return !cluster.isReady(host); }));
    const std::size_t before = requestCount();
    for (std::size_t host = 0; host < 3; ++host) {
        const auto refusal = cluster.chat(host, "mill", "draft");
        EXPECT_EQ(refusal.code(), "host_not_in_touch");
        EXPECT_EQ(refusal.run(), "no");
    }
    EXPECT_EQ(requestCount(), before);
    for (std::size_t host = 0; host < 3; ++host)
        cluster.partitionFromPeers(host, false);
    // The store is still down. The hosts kept running, so they still form a quorum among
    // themselves.
    EXPECT_TRUE(cluster.waitAllReady());
    EXPECT_EQ(cluster.chat(0, "mill", "draft").status, 200);
}

} // namespace
} // namespace goldcrestdeck
