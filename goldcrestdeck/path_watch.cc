#include "goldcrestdeck/path_watch.h"

#include <utility>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

/// Trial connections at a time while the path is suspect: with the failure that made it so, enough
/// to find it lost.
constexpr std::size_t suspectTrials = 2;
/// Shortest time between two suspicions that are tested, so that crashes of many instances cost few
/// connections.
constexpr std::chrono::milliseconds suspicionInterval{250};
/// Shortest time between two tests because of silence.
constexpr std::chrono::milliseconds silenceTestInterval{1000};
/// Interval between trial connections while the path is lost.
constexpr std::chrono::milliseconds lostPathTrialInterval{250};

liveness_parameters trialParameters()
{
    liveness_parameters parameters;
    parameters.delay = std::chrono::milliseconds(0);
    return parameters;
}

} // namespace

path_watch::path_watch(boost::asio::io_context &io, const clock &time, std::uint64_t seed,
                       listener onChange)
    : m_clock(time)
    , m_reachability(reachability_parameters(), seed)
    , m_trials(io, time, trialParameters())
    , m_trialTimer(io.get_executor())
    , m_onChange(std::move(onChange))
{ }

void path_watch::setInstances(const std::map<std::string, std::vector<instance>> &instances)
{
    m_reachability.setInstances(instances);
}

void path_watch::recordConnected(const std::string &incarnation, time_point openedAt)
{
    m_reachability.recordConnected(incarnation);
    std::vector<waiting_check> waiting;
    for (waiting_check &check : std::exchange(m_checks, {})) {
        if (check.incarnation != incarnation && check.since <= openedAt)
            check.done(true);
        else
            waiting.push_back(std::move(check));
    }
    m_checks.insert(m_checks.end(), std::make_move_iterator(waiting.begin()),
                    std::make_move_iterator(waiting.end()));
    updateState();
}

void path_watch::recordConnectFailed(const std::string &incarnation)
{
    m_reachability.recordConnectFailed(incarnation, m_clock.now());
    updateState();
}

void path_watch::recordBytes()
{
    m_reachability.recordBytes(m_clock.now());
}

bool path_watch::isSilent(time_point waitingSince) const
{
    return m_reachability.isSilent(waitingSince, m_clock.now());
}

void path_watch::testSilence()
{
    const time_point now = m_clock.now();
    if (isLost() || now - m_lastSilenceTestAt < silenceTestInterval)
        return;
    m_lastSilenceTestAt = now;
    startTrials(1, "");
}

void path_watch::awaitPath(const std::string &incarnation, std::function<void(bool)> done)
{
    if (isLost()) {
        done(false);
        return;
    }
    if (!m_reachability.trialTarget(incarnation)) {
        done(true);
        return;
    }
    m_checks.push_back({incarnation, m_clock.now(), std::move(done)});
    startTrials(1, incarnation);
}

void path_watch::updateState()
{
    const bool lost = isLost();
    if (lost != m_reportedLost) {
        m_reportedLost = lost;
        logEvent(lost ? log_level::warning : log_level::info, lost ? "path_lost" : "path_regained",
                 {{"failed_instances", std::to_string(m_reachability.failedCount())},
                  {"last_bytes_ms_ago",
                   std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                                      m_clock.now() - m_reachability.lastBytesAt())
                                      .count())}});
        if (lost) {
            finishChecks(true);
            testLostPath();
        } else {
            m_trialTimer.cancel();
        }
        m_onChange(lost);
        return;
    }
    if (m_reachability.state() == path_state::suspect
        && m_clock.now() - m_lastClearedAt > suspicionInterval)
        startTrials(suspectTrials, "");
}

void path_watch::startTrials(std::size_t count, const std::string &except)
{
    while (m_trialsInProgress < count) {
        const auto target = m_reachability.trialTarget(except);
        if (!target)
            return;
        const std::string incarnation = target->incarnation();
        const bool started
            = m_trials.start(parseEndpoint(target->address), incarnation,
                             [this, incarnation](liveness state, time_point openedAt) {
                                 --m_trialsInProgress;
                                 if (state == liveness::accepting) {
                                     m_lastClearedAt = m_clock.now();
                                     recordConnected(incarnation, openedAt);
                                 } else {
                                     recordConnectFailed(incarnation);
                                 }
                                 // A check that has waited since this trial began needs another
                                 // one.
                                 if (!m_checks.empty())
                                     startTrials(1, m_checks.front().incarnation);
                             });
        if (!started)
            return;
        ++m_trialsInProgress;
    }
}

void path_watch::finishChecks(bool isLost)
{
    for (const waiting_check &check : std::exchange(m_checks, {}))
        check.done(!isLost);
}

void path_watch::testLostPath()
{
    m_trialTimer.set(lostPathTrialInterval, [this] {
        if (!isLost())
            return;
        startTrials(1, "");
        testLostPath();
    });
}

} // namespace goldcrestdeck
