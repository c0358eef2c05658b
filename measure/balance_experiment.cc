// Time to first token with twelve runners, as in Reisbruch's deployment. The runners differ in
// speed and one of them is slow. Each of eight hosts knows only its own requests and delayed load
// reports. A runner prefills one prompt at a time.

#include <algorithm>
#include <queue>
#include <random>

#include "goldcrestdeck/balance.h"
#include "goldcrestdeck/upstreams.h"
#include "measure/figures.h"

namespace measure {

using namespace goldcrestdeck;

namespace {

constexpr std::size_t runnerCount = 12;
constexpr std::size_t hostCount = 8;
constexpr double simulatedSeconds = 400;
constexpr double warmUpSeconds = 40;
constexpr double reportIntervalSeconds = 0.5;
constexpr int seedCount = 5;

enum class selection_method { two_choices, random_choice, least_reported };

/// Completion of one prefill, an event of the simulation.
struct completion_event {
    double at = 0;
    std::size_t runner = 0;
    std::size_t host = 0;
    double sentAt = 0;
};

bool operator>(const completion_event &a, const completion_event &b)
{
    return a.at > b.at;
}

time_point at(double seconds)
{
    return time_point(
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(1000 + seconds)));
}

class balance_model
{
public:
    balance_model(selection_method method, double reportLag, double utilisation, unsigned seed)
        : m_method(method)
        , m_reportLag(reportLag)
        , m_random(seed)
    {
        double capacity = 0;
        for (std::size_t i = 0; i < runnerCount; ++i) {
            const double mean
                = i + 1 == runnerCount ? 0.150 : 0.020 * static_cast<double>(1 + i % 3);
            m_meanServiceTime.push_back(mean);
            capacity += 1 / mean;
        }
        m_arrivalRate = capacity * utilisation;
        m_freeAt.assign(runnerCount, 0);
        m_queueLength.assign(runnerCount, 0);
        for (std::size_t host = 0; host < hostCount; ++host)
            for (std::size_t i = 0; i < runnerCount; ++i)
                m_upstreams.push_back(std::make_unique<upstream>(makeEntry(i, 0)));
    }

    /// \returns the 95th percentile of the time to the first token.
    double run()
    {
        double nextReport = 0;
        for (double time = 0; time < simulatedSeconds;) {
            time += std::exponential_distribution<double>(m_arrivalRate)(m_random);
            for (; nextReport <= time; nextReport += reportIntervalSeconds) {
                completeUntil(nextReport);
                reportAt(nextReport);
            }
            completeUntil(time);
            send(time);
        }
        return percentile(m_latencies, 0.95);
    }

private:
    static upstream_entry makeEntry(std::size_t runner, double load)
    {
        upstream_entry entry;
        entry.address = std::to_string(runner);
        entry.reportedLoad = load;
        return entry;
    }

    upstream &upstreamSeenBy(std::size_t host, std::size_t runner)
    {
        return *m_upstreams[host * runnerCount + runner];
    }

    /// Records the queue lengths and gives the hosts those of m_reportLag ago.
    void reportAt(double time)
    {
        m_history.push_back({time, m_queueLength});
        while (m_history.size() > 1 && m_history[1].first <= time - m_reportLag)
            m_history.erase(m_history.begin());
        for (std::size_t host = 0; host < hostCount; ++host)
            for (std::size_t i = 0; i < runnerCount; ++i)
                upstreamSeenBy(host, i).applyHostListEntry(
                    makeEntry(i, m_history.front().second[i]));
    }

    void send(double time)
    {
        const std::size_t host = m_random() % hostCount;
        std::vector<upstream_load> loads;
        for (std::size_t i = 0; i < runnerCount; ++i)
            loads.push_back(upstreamSeenBy(host, i).load("d"));
        const std::size_t runner = choose(loads);
        const double serviceTime
            = std::exponential_distribution<double>(1 / m_meanServiceTime[runner])(m_random);
        const double end = std::max(time, m_freeAt[runner]) + serviceTime;
        m_freeAt[runner] = end;
        ++m_queueLength[runner];
        upstreamSeenBy(host, runner).recordSent(at(time));
        m_events.push({end, runner, host, time});
    }

    std::size_t choose(const std::vector<upstream_load> &loads)
    {
        if (m_method == selection_method::random_choice)
            return m_random() % runnerCount;
        if (m_method == selection_method::least_reported)
            return pickLeastReported(loads);
        balance_parameters parameters;
        parameters.sendingHosts = hostCount;
        return pickUpstream(loads, parameters, m_random);
    }

    void completeUntil(double time)
    {
        while (!m_events.empty() && m_events.top().at <= time) {
            const completion_event done = m_events.top();
            m_events.pop();
            --m_queueLength[done.runner];
            const double latency = done.at - done.sentAt;
            upstreamSeenBy(done.host, done.runner)
                .recordFirstByte(
                    std::chrono::duration_cast<duration>(std::chrono::duration<double>(latency)));
            upstreamSeenBy(done.host, done.runner).recordFinished(true, at(done.at));
            if (done.sentAt > warmUpSeconds)
                m_latencies.push_back(latency);
        }
    }

    selection_method m_method;
    double m_reportLag; ///< Seconds.
    std::mt19937_64 m_random;
    double m_arrivalRate = 0; ///< Per second.
    std::vector<double> m_meanServiceTime;
    std::vector<double> m_freeAt;
    std::vector<double> m_queueLength;
    std::vector<std::unique_ptr<upstream>> m_upstreams;
    /// Queue lengths by time of report, from the one that the hosts see now to the newest one.
    std::vector<std::pair<double, std::vector<double>>> m_history;
    std::priority_queue<completion_event, std::vector<completion_event>,
                        std::greater<completion_event>>
        m_events;
    std::vector<double> m_latencies;
};

} // namespace

void measureBalance(report &out)
{
    // Random choice overloads the slow runner at 70 % utilisation, but not at 20 %.
    for (double utilisation : {0.2, 0.7})
        for (double lag : {0.0, 1.0, 5.0}) {
            std::vector<double> twoChoices;
            std::vector<double> ratios;
            std::vector<double> randomChoice;
            std::vector<double> leastReported;
            for (unsigned seed = 1; seed <= seedCount; ++seed) {
                const double twoChoicesP95
                    = balance_model(selection_method::two_choices, lag, utilisation, seed).run();
                const double randomP95
                    = balance_model(selection_method::random_choice, lag, utilisation, seed).run();
                const double leastReportedP95
                    = balance_model(selection_method::least_reported, lag, utilisation, seed).run();
                twoChoices.push_back(twoChoicesP95);
                randomChoice.push_back(randomP95);
                leastReported.push_back(leastReportedP95);
                ratios.push_back(twoChoicesP95 / std::min(randomP95, leastReportedP95));
            }
            const std::string suffix = "_lag" + std::to_string(static_cast<int>(lag)) + "s_load"
                + std::to_string(static_cast<int>(utilisation * 100));
            out.add("first_token_p95" + suffix, twoChoices, "s");
            out.add("first_token_p95_random" + suffix, randomChoice, "s");
            out.add("first_token_p95_least_reported" + suffix, leastReported, "s");
            if (lag == 1.0)
                out.addAtMost("first_token_p95_ratio" + suffix, ratios, "ratio", 0.8);
            else
                out.add("first_token_p95_ratio" + suffix, ratios, "ratio");
        }
}

} // namespace measure
