// Pairs of overlapping failures under load. Each run draws two failures from its seed, injects both
// while clients of all kinds send requests, and recovers from them. It then checks the system's
// guarantees against the upstreams' request logs, the recorded bills and refusals, and the
// responses that clients received. GOLDCREST_SEEDS="7 8 9" runs other seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "goldcrestdeck/testing/process_cluster.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;

enum class failure {
    host_killed,
    host_frozen,
    store_down,
    store_replies_lost,
    store_slow,
    engine_turns_away,
    engine_cuts,
    service_reply_lost,
    host_replaced,
    operators_race,
    count
};

const char *failureName(failure kind)
{
    static const std::array<const char *, static_cast<std::size_t>(failure::count)> names
        = {"host_killed",   "host_frozen",       "store_down",  "store_replies_lost",
           "store_slow",    "engine_turns_away", "engine_cuts", "service_reply_lost",
           "host_replaced", "operators_race"};
    return names[static_cast<std::size_t>(kind)];
}

/// A request as its client saw it.
struct client_request {
    std::string workspace;
    std::string key;     ///< Idempotency key, or "".
    std::string session; ///< Version that the session is pinned to, or "".
    std::string content;
    bool afterWithdrawal = false; ///< Sent after the withdrawal was accepted.
    process_cluster::client_response response;
};

class failure_pair_fixture : public testing::TestWithParam<int>
{
protected:
    failure_pair_fixture()
        : m_random(static_cast<unsigned>(GetParam()))
    { }

    /// Applies the table and starts a session pinned to husk@2.
    void prepare()
    {
        ASSERT_TRUE(m_cluster.waitAllReady());
        std::vector<std::string> rows
            = {"mill,husk@1,100,completion", "mill,status@1,100,idempotent",
               "mill,dispatch@1,100,at_most_once", "kayak,husk@2,100,completion",
               "loch,husk@2,100,completion"};
        ASSERT_EQ(m_cluster.applyTable(0, rows).status, "accepted");
        for (std::size_t host = 0; host < 3; ++host)
            ASSERT_TRUE(eventually(
                [&] { return m_cluster.service(host, "mill", "status/get", "").status == 200; }));
        // Starts the session while husk@2 is the only version, so that it is pinned to it.
        const auto response = m_cluster.chat(0, "loch", "start");
        m_requests.push_back({"loch", "", "", "start", false, response});
        m_sessionToken = response.header("Goldcrest-Session");
        ASSERT_EQ(response.header("Goldcrest-Version"), "husk@2");
        rows.push_back("loch,husk@1,100,completion");
        ASSERT_EQ(m_cluster.applyTable(0, rows).status, "accepted");
    }

    void startClients()
    {
        for (int c = 0; c < 9; ++c)
            m_clientThreads.emplace_back([this, c] {
                std::mt19937 random(static_cast<unsigned>(GetParam() * 100 + c));
                for (int i = 0; !m_stop; ++i) {
                    sendRequest(c, i, random() % 3);
                    std::this_thread::sleep_for(milliseconds(5));
                }
            });
    }

    void sendRequest(int client, int number, std::size_t host)
    {
        client_request sent;
        sent.content = "c" + std::to_string(client) + " n" + std::to_string(number);
        sent.workspace = client % 3 == 1 ? "kayak" : client % 3 == 2 ? "loch" : "mill";
        sent.afterWithdrawal = m_withdrawalAccepted;
        if (client == 0) {
            sent.key = "k" + std::to_string(number);
            sent.response = m_cluster.service(host, "mill", "dispatch/go", sent.key);
        } else if (client == 3) {
            // Sends the same operations as client 0, at about the same time, to another host.
            sent.key = "k" + std::to_string(number);
            sent.response = m_cluster.service((host + 1) % 3, "mill", "dispatch/go", sent.key);
        } else if (client == 5) {
            sent.session = "husk@2";
            sent.response = m_cluster.chat(host, "loch", sent.content, false, m_sessionToken);
        } else {
            sent.response = m_cluster.chat(host, sent.workspace, sent.content, number % 2 == 0);
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_requests.push_back(std::move(sent));
    }

    void inject(failure kind, std::size_t host)
    {
        switch (kind) {
        case failure::host_killed:
            m_cluster.host(host).signal(SIGKILL);
            break;
        case failure::host_frozen:
            m_cluster.host(host).signal(SIGSTOP);
            break;
        case failure::store_down:
            m_cluster.injectFaults("kv", R"({"down":true})");
            break;
        case failure::store_replies_lost:
            m_cluster.injectFaults("kv", R"({"lose_replies":12})");
            break;
        case failure::store_slow:
            m_cluster.injectFaults("kv", R"({"slow_ms":900})");
            break;
        case failure::engine_turns_away:
            m_cluster.injectFaults("engine-b", R"({"turn_away":true})");
            break;
        case failure::engine_cuts:
            m_cluster.injectFaults("engine-a", R"({"cut_after":2})");
            break;
        case failure::service_reply_lost:
            m_cluster.injectFaults("service", R"({"lose_replies":5})");
            break;
        case failure::host_replaced:
            m_cluster.host(host).signal(SIGTERM);
            break;
        case failure::operators_race:
            editConcurrently();
            break;
        case failure::count:
            break;
        }
    }

    void recover(failure kind, std::size_t host)
    {
        if (kind == failure::host_killed || kind == failure::host_replaced) {
            m_cluster.host(host).wait();
            m_cluster.restartHost(host);
        }
        if (kind == failure::host_frozen)
            m_cluster.host(host).signal(SIGCONT);
        for (const char *standin : {"kv", "engine-a", "engine-b", "service"})
            m_cluster.injectFaults(standin, "{}");
    }

    /// Two operators edit the same row concurrently. Stores the cost of the accepted edit.
    void editConcurrently()
    {
        std::vector<std::thread> operators;
        for (std::size_t host = 0; host < 2; ++host)
            operators.emplace_back([this, host] {
                try {
                    operator_client client = m_cluster.operatorClient(host);
                    const table rows = client.readTable().rows;
                    const table_row row = *findRow(rows, "kayak", "husk@2");
                    const auto report = client.sendEdits(
                        {{row.rowVersion, false,
                          withColumn(row, "cost_micros", std::to_string(200 + host))}});
                    if (report.status == "accepted")
                        m_acceptedCost = 200 + host;
                } catch (const operator_error &) {
                    // The host is down, or the key-value service does not respond.
                }
            });
        for (std::thread &thread : operators)
            thread.join();
    }

    void withdraw()
    {
        try {
            if (m_cluster.setRowState(1, "loch", "husk@2", "withdrawn").status == "accepted")
                m_withdrawalAccepted = true;
        } catch (const operator_error &) {
            // Without an acknowledgement of the withdrawal there is no guarantee to check.
        }
    }

    void stopClients()
    {
        m_stop = true;
        for (std::thread &thread : m_clientThreads)
            thread.join();
        m_clientThreads.clear();
    }

    /// Reads the upstreams' request logs.
    void readRequestLogs()
    {
        for (const char *name : {"engine-a", "engine-b", "engine-c", "service"}) {
            const json_value log = m_cluster.requestLog(name);
            for (std::size_t i = 0; i < log.size(); ++i) {
                const json_value row = log.at(i);
                m_loggedIds.insert(row.string("id"));
                if (row.string("outcome") == "whole" && std::string(name) != "service")
                    ++m_completedByVersion[row.string("version")];
                if (!row.string("key").empty())
                    ++m_runsByKey[row.string("key")];
            }
        }
    }

    std::map<std::string, std::uint64_t> readBills()
    {
        std::map<std::string, std::uint64_t> billed;
        const row_set rows
            = m_cluster.operatorClient(0).readRows("/admin/v1/bills", {"version", "requests"});
        for (const auto &row : rows.rows)
            billed[row[0]] += std::stoull(row[1]);
        return billed;
    }

    void checkResponses()
    {
        for (const client_request &sent : m_requests) {
            const std::string version = sent.response.header("Goldcrest-Version");
            if (sent.response.status == 200 && sent.key.empty()) {
                EXPECT_NE(sent.response.body.find(sent.content.substr(0, sent.content.find(' '))),
                          std::string::npos)
                    << "response to another request";
                if (sent.workspace != "loch") {
                    EXPECT_EQ(version, sent.workspace == "mill" ? "husk@1" : "husk@2");
                }
                if (!sent.session.empty()) {
                    EXPECT_EQ(version, sent.session) << "session changed its version";
                } else if (sent.workspace == "loch" && sent.afterWithdrawal) {
                    EXPECT_EQ(version, "husk@1") << "withdrawn version served a new request";
                }
            }
            if (sent.response.run() == "no") {
                EXPECT_EQ(m_loggedIds.count(sent.response.header("X-Request-Id")), 0U)
                    << "refused as not run, but an upstream logged it: " << sent.response.body;
            }
        }
        for (const auto &[key, runs] : m_runsByKey)
            EXPECT_EQ(runs, 1) << key << " ran more than once";
    }

    void checkBillsAndRefusals()
    {
        std::map<std::string, std::uint64_t> received; // Complete responses by version.
        std::set<std::string> refused;
        for (const client_request &sent : m_requests) {
            if (sent.response.status == 200 && sent.key.empty())
                ++received[sent.response.header("Goldcrest-Version")];
            else if (!sent.response.code().empty())
                refused.insert(sent.response.header("X-Request-Id"));
        }
        std::vector<std::string> recorded;
        // Replicas write buffered refusals with a delay.
        EXPECT_TRUE(eventually([&] {
            recorded = columnValues(
                m_cluster.operatorClient(0).readRows("/admin/v1/refusals", {"request_id"}),
                "request_id");
            const std::set<std::string> recordedIds(recorded.begin(), recorded.end());
            return std::includes(recordedIds.begin(), recordedIds.end(), refused.begin(),
                                 refused.end());
        }));
        std::sort(recorded.begin(), recorded.end());
        EXPECT_EQ(std::adjacent_find(recorded.begin(), recorded.end()), recorded.end())
            << "refusal recorded twice";
        std::map<std::string, std::uint64_t> billed;
        EXPECT_TRUE(eventually([&] {
            billed = readBills();
            return billed["husk@1"] >= received["husk@1"] && billed["husk@2"] >= received["husk@2"];
        }));
        // Replicas write the bills they hold after a delay; a duplicate would appear within it.
        std::this_thread::sleep_for(milliseconds(4000));
        billed = readBills();
        // A response that an upstream completed but its client did not receive may be billed or
        // not.
        for (const char *version : {"husk@1", "husk@2"}) {
            EXPECT_GE(billed[version], received[version]) << version;
            EXPECT_LE(billed[version], m_completedByVersion[version]) << version;
        }
        m_summary << " refused " << refused.size() << " complete "
                  << received["husk@1"] + received["husk@2"] << " billed "
                  << billed["husk@1"] + billed["husk@2"] << " whole "
                  << m_completedByVersion["husk@1"] + m_completedByVersion["husk@2"];
    }

    void checkTable()
    {
        std::set<std::string> tables; // The distinct tables of the hosts.
        EXPECT_TRUE(eventually([&] {
            tables.clear();
            for (std::size_t host = 0; host < 3; ++host)
                tables.insert(renderTable(m_cluster.operatorClient(host).readTable().rows));
            return tables.size() == 1;
        }));
        const table rows = m_cluster.operatorClient(0).readTable().rows;
        if (m_withdrawalAccepted) {
            EXPECT_EQ(findRow(rows, "loch", "husk@2")->state, row_state::withdrawn);
        }
        if (m_acceptedCost != 0) {
            EXPECT_EQ(findRow(rows, "kayak", "husk@2")->costMicros, m_acceptedCost.load());
        }
    }

    std::mt19937 m_random;
    process_cluster m_cluster{3,
                              {{"engine-a", "north-a", {"husk@1"}, 0.9, false},
                               {"engine-b", "north-b", {"husk@1", "husk@2"}, 0.9, false},
                               {"engine-c", "north-c", {"husk@2"}, 0.9, false},
                               {"service", "north-a", {"status@1", "dispatch@1"}, 0.9, true}}};
    std::string m_sessionToken;
    std::atomic<bool> m_stop{false};
    std::atomic<bool> m_withdrawalAccepted{false};
    std::atomic<std::uint64_t> m_acceptedCost{0};
    std::mutex m_mutex;
    std::vector<client_request> m_requests;
    std::vector<std::thread> m_clientThreads;
    std::set<std::string> m_loggedIds; ///< Ids of the requests that reached an upstream.
    std::map<std::string, std::uint64_t> m_completedByVersion; ///< Complete responses.
    std::map<std::string, int> m_runsByKey;                    ///< By idempotency key.
    std::ostringstream m_summary;
};

TEST_P(failure_pair_fixture, any_two_overlapping_failures_violate_no_guarantee)
{
    prepare();
    if (HasFatalFailure())
        return;
    constexpr int failureCount = static_cast<int>(failure::count);
    const auto first = static_cast<failure>(m_random() % failureCount);
    const auto second = static_cast<failure>(m_random() % failureCount);
    startClients();
    std::this_thread::sleep_for(milliseconds(500));
    inject(first, 2);
    std::thread withdrawal([this] { withdraw(); });
    std::this_thread::sleep_for(milliseconds(m_random() % 1500));
    inject(second, 0);
    std::this_thread::sleep_for(milliseconds(3500));
    recover(first, 2);
    recover(second, 0);
    withdrawal.join();
    ASSERT_TRUE(m_cluster.waitAllReady());
    std::this_thread::sleep_for(milliseconds(1500));
    stopClients();
    readRequestLogs();
    checkResponses();
    checkBillsAndRefusals();
    checkTable();
    std::cout << "seed " << GetParam() << " failures " << failureName(first) << "+"
              << failureName(second) << " sent " << m_requests.size() << m_summary.str()
              << " withdrawn " << (m_withdrawalAccepted ? "accepted" : "not accepted") << '\n';
}

std::vector<int> seeds()
{
    const char *configured = std::getenv("GOLDCREST_SEEDS");
    std::istringstream list(configured == nullptr ? "1 2 3 4 5 6" : configured);
    std::vector<int> numbers;
    for (int seed = 0; list >> seed;)
        numbers.push_back(seed);
    return numbers;
}

INSTANTIATE_TEST_SUITE_P(seeds, failure_pair_fixture, testing::ValuesIn(seeds()));

} // namespace
} // namespace goldcrestdeck
