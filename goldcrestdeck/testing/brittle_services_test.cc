#include "goldcrestdeck/brittle_services.h"

#include <algorithm>
#include <deque>
#include <random>

#include <gtest/gtest.h>

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

instance makeInstance(std::size_t index, unsigned slots)
{
    instance result;
    result.id = "i" + std::to_string(index);
    result.service = "pool";
    result.slots = slots;
    return result;
}

/// What a day of a simulated fleet has come to.
struct fleet_result {
    std::size_t falls = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
};

struct fleet_load {
    std::size_t hosts = 6;
    std::size_t instances = 12;
    unsigned slots = 8;
    double utilization = 0.6; ///< Of all slots, by the requests that arrive.
    double burst = 1;         ///< Factor of the arrivals from 10 s to 15 s.
    double lostFraction = 0;  ///< Of the instances, from 10 s to 20 s.
    bool divided = true;      ///< Whether hosts keep to their places.
};

/// Hosts before instances without a queue, which fall over when they reject more than they bear in
/// a second, and are back 4 s later. A host that is rejected tries one more instance; one without a
/// place hands the request over to one other host.
class brittle_fleet
{
public:
    static constexpr double bearable = 3;
    static constexpr milliseconds step{10};
    static constexpr milliseconds serviceTime{400};
    static constexpr milliseconds fallTime{4000};

    explicit brittle_fleet(const fleet_load &load)
        : m_load(load)
    {
        auto names = std::make_shared<std::set<std::string>>();
        for (std::size_t i = 0; i < load.hosts; ++i)
            names->insert("h" + std::to_string(i));
        for (const std::string &name : *names) {
            m_hosts.emplace_back(name);
            m_hosts.back().setHosts(names);
        }
        for (std::size_t i = 0; i < load.instances; ++i)
            m_instances.push_back({makeInstance(i, load.slots)});
        m_inFlight.assign(load.hosts, std::vector<double>(load.instances, 0));
    }

    fleet_result play(duration time)
    {
        const time_point start = m_time.now();
        std::uniform_int_distribution<std::size_t> anyHost(0, m_load.hosts - 1);
        for (; m_time.now() < start + time; m_time.advance(step)) {
            const duration passed = m_time.now() - start;
            const bool inTrouble = passed >= seconds(10) && passed < seconds(15);
            const auto lost = static_cast<std::size_t>(m_load.lostFraction
                                                       * static_cast<double>(m_load.instances));
            for (std::size_t i = 0; i < lost; ++i)
                if (passed >= seconds(10) && passed < seconds(20))
                    m_instances[i].downUntil = m_time.now() + step;
            finishRequests();
            const double rate = m_load.utilization * (inTrouble ? m_load.burst : 1)
                * static_cast<double>(m_load.instances * m_load.slots)
                * std::chrono::duration<double>(step).count()
                / std::chrono::duration<double>(serviceTime).count();
            const int arrivals = std::poisson_distribution<int>(rate)(m_random);
            for (int i = 0; i < arrivals; ++i)
                request(anyHost(m_random), false);
        }
        return m_result;
    }

private:
    struct simulated_instance {
        instance entry;
        std::size_t running = 0;
        std::deque<time_point> rejections;
        time_point downUntil;
    };
    struct running_request {
        std::size_t host;
        std::size_t target;
        time_point endsAt;
    };

    void finishRequests()
    {
        while (!m_running.empty() && m_running.front().endsAt <= m_time.now()) {
            const running_request done = m_running.front();
            m_running.pop_front();
            --m_inFlight[done.host][done.target];
            simulated_instance &target = m_instances[done.target];
            target.running -= std::min<std::size_t>(target.running, 1);
            if (m_load.divided)
                m_hosts[done.host].recordResponse("pool", bearable, m_time.now() - milliseconds(1),
                                                  m_time.now());
            ++m_result.served;
        }
    }

    void request(std::size_t host, bool isHandedOver)
    {
        std::set<std::size_t> tried;
        for (int attempt = 0; attempt < 2; ++attempt) {
            std::vector<std::size_t> usable;
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                if (m_instances[i].downUntil <= m_time.now() && tried.count(i) == 0
                    && m_hosts[host].maySend(m_instances[i].entry, m_inFlight[host][i],
                                             m_time.now()))
                    usable.push_back(i);
            }
            if (usable.empty() && m_load.divided && !isHandedOver) {
                request(std::uniform_int_distribution<std::size_t>(0, m_load.hosts - 1)(m_random),
                        true);
                return;
            }
            if (usable.empty())
                break;
            const std::size_t chosen = usable[std::uniform_int_distribution<std::size_t>(
                0, usable.size() - 1)(m_random)];
            tried.insert(chosen);
            simulated_instance &target = m_instances[chosen];
            if (target.running < m_load.slots) {
                ++target.running;
                ++m_inFlight[host][chosen];
                m_running.push_back({host, chosen, m_time.now() + serviceTime});
                return;
            }
            reject(host, target);
        }
        ++m_result.refused;
    }

    void reject(std::size_t host, simulated_instance &target)
    {
        if (m_load.divided) {
            m_hosts[host].recordResponse("pool", bearable, m_time.now(), m_time.now());
            m_hosts[host].recordRejection("pool", target.entry.incarnation(), m_load.slots,
                                          m_time.now());
        }
        // The hosts have been told for long enough after the first seconds.
        if (m_time.now() - m_started < seconds(3))
            return;
        target.rejections.push_back(m_time.now());
        while (target.rejections.front() <= m_time.now() - seconds(1))
            target.rejections.pop_front();
        if (static_cast<double>(target.rejections.size()) <= bearable)
            return;
        ++m_result.falls;
        target.rejections.clear();
        target.running = 0;
        target.downUntil = m_time.now() + fallTime;
    }

    fleet_load m_load;
    manual_clock m_time;
    time_point m_started = m_time.now();
    std::mt19937_64 m_random{1};
    std::vector<brittle_services> m_hosts;
    std::vector<simulated_instance> m_instances;
    std::vector<std::vector<double>> m_inFlight; ///< By host and instance.
    std::deque<running_request> m_running;       ///< In the order of their ends.
    fleet_result m_result;
};

class brittle_fleet_fixture : public ::testing::TestWithParam<std::size_t>
{
protected:
    static fleet_load loadOf(std::size_t hosts)
    {
        fleet_load load;
        load.hosts = hosts;
        load.instances = 12 + hosts / 2;
        return load;
    }

    static std::size_t allowedFalls(const fleet_load &load) { return 2 + load.instances / 10; }
};

TEST_P(brittle_fleet_fixture, hosts_that_divide_the_slots_let_few_instances_fall_in_a_burst)
{
    fleet_load load = loadOf(GetParam());
    load.burst = 4;
    const fleet_result result = brittle_fleet(load).play(seconds(30));
    EXPECT_LE(result.falls, allowedFalls(load));
    load.divided = false;
    EXPECT_GT(brittle_fleet(load).play(seconds(30)).falls, allowedFalls(load));
}

TEST_P(brittle_fleet_fixture,
       hosts_that_divide_the_slots_let_few_instances_fall_when_a_third_is_lost)
{
    fleet_load load = loadOf(GetParam());
    load.utilization = 0.7;
    load.lostFraction = 0.34;
    const fleet_result result = brittle_fleet(load).play(seconds(30));
    EXPECT_LE(result.falls, allowedFalls(load));
}

TEST_P(brittle_fleet_fixture, usual_load_is_served)
{
    fleet_load load = loadOf(GetParam());
    load.utilization = 0.3;
    const fleet_result result = brittle_fleet(load).play(seconds(20));
    EXPECT_EQ(0U, result.falls);
    EXPECT_LT(static_cast<double>(result.refused), 0.1 * static_cast<double>(result.served));
}

INSTANTIATE_TEST_SUITE_P(hosts, brittle_fleet_fixture, ::testing::Values(6, 60, 300));

TEST(places_for, places_of_all_hosts_add_up_to_the_slots)
{
    for (const std::size_t hosts : {1, 3, 6, 75, 300}) {
        for (const std::size_t slots : {1, 6, 12, 64}) {
            std::size_t sum = 0;
            for (std::size_t rank = 0; rank < hosts; ++rank)
                sum += placesFor(rank, hosts, slots);
            EXPECT_EQ(slots, sum);
        }
    }
}

/// Three hosts before one instance with a single slot.
class brittle_services_fixture : public ::testing::Test
{
protected:
    brittle_services_fixture()
        : m_services("h0")
    {
        m_services.setHosts(
            std::make_shared<const std::set<std::string>>(std::set<std::string>{"h0"}));
    }

    void name(std::optional<double> rejections)
    {
        m_services.recordResponse("pool", rejections, m_time.now(), m_time.now());
    }
    bool maySend(double inFlight = 0) const
    {
        return m_services.maySend(m_target, inFlight, m_time.now());
    }

    manual_clock m_time;
    instance m_target = makeInstance(0, 2);
    brittle_services m_services;
};

TEST_F(brittle_services_fixture, requests_in_flight_are_bounded_only_while_the_service_is_brittle)
{
    EXPECT_TRUE(maySend(5));
    name(2);
    EXPECT_TRUE(maySend(1));
    EXPECT_FALSE(maySend(2));
    m_time.advance(seconds(1));
    name(std::nullopt);
    EXPECT_TRUE(maySend(5));
}

TEST_F(brittle_services_fixture, response_to_an_earlier_request_does_not_end_it)
{
    const time_point before = m_time.now();
    m_time.advance(seconds(1));
    name(2);
    m_services.recordResponse("pool", std::nullopt, before, m_time.now());
    EXPECT_FALSE(maySend(2));
}

TEST_F(brittle_services_fixture, service_that_is_not_heard_of_is_tried_again)
{
    name(2);
    m_time.advance(seconds(11));
    EXPECT_TRUE(maySend(5));
}

TEST_F(brittle_services_fixture, rejection_closes_the_instance_for_a_while)
{
    name(0.5);
    m_services.recordRejection("pool", m_target.incarnation(), m_target.slots, m_time.now());
    EXPECT_FALSE(maySend());
    m_time.advance(milliseconds(1900));
    EXPECT_FALSE(maySend());
    m_time.advance(milliseconds(200));
    EXPECT_TRUE(maySend());
}

TEST_F(brittle_services_fixture, hosts_with_places_are_those_that_rank_first)
{
    std::set<std::string> names;
    for (int i = 0; i < 40; ++i)
        names.insert("h" + std::to_string(i));
    const auto hosts = std::make_shared<const std::set<std::string>>(names);
    name(2);
    std::set<std::string> withPlace;
    for (const std::string &host : names) {
        brittle_services services(host);
        services.setHosts(hosts);
        services.recordResponse("pool", 2, m_time.now(), m_time.now());
        if (services.maySend(m_target, 0, m_time.now()))
            withPlace.insert(host);
    }
    m_services.setHosts(hosts);
    EXPECT_EQ(2U, withPlace.size());
    EXPECT_EQ(withPlace, m_services.hostsWithPlaces({m_target}));
}

} // namespace
} // namespace goldcrestdeck
