#ifndef GOLDCRESTDECK_PATH_WATCH_H_
#define GOLDCRESTDECK_PATH_WATCH_H_

/// \file
/// Watches this host's network path to the upstream instances (upstream_reachability.h) and tests
/// it with trial connections.
///
/// Report the connections of requests, and responses that stay away; the listener is told when the
/// path is lost and when it is regained. A suspicion is tested at once with a few trial
/// connections, a lost path with one at a time until it is regained. awaitPath() tells a crash of
/// an instance from a cut of this host. Not thread-safe: all calls and callbacks take place on the
/// thread that runs the io_context.

#include <functional>
#include <vector>

#include "goldcrestdeck/liveness_check.h"
#include "goldcrestdeck/one_shot_timer.h"
#include "goldcrestdeck/upstream_reachability.h"

namespace goldcrestdeck {

class path_watch
{
public:
    /// Gets whether the path is lost now.
    using listener = std::function<void(bool)>;

    path_watch(boost::asio::io_context &io, const clock &time, std::uint64_t seed,
               listener onChange);

    void setInstances(const std::map<std::string, std::vector<instance>> &instances);
    void recordConnected(const std::string &incarnation, time_point openedAt);
    void recordConnectFailed(const std::string &incarnation);
    void recordBytes();
    time_point lastBytesAt() const { return m_reachability.lastBytesAt(); }
    /// Whether no instance has sent anything for so long that the path should be tested, given that
    /// a response has been outstanding since \a waitingSince.
    bool isSilent(time_point waitingSince) const;
    /// Tests the path because of silence, unless it was tested for that a moment ago.
    void testSilence();
    bool isLost() const { return m_reachability.state() == path_state::lost; }

    /// Calls \a done with true once a new connection to another instance than \a incarnation is
    /// established, or with false if the path turns out to be lost. True if there is no other
    /// instance, so that nothing can be told.
    void awaitPath(const std::string &incarnation, std::function<void(bool)> done);

private:
    struct waiting_check {
        std::string incarnation;
        time_point since;
        std::function<void(bool)> done;
    };

    void updateState();
    /// Opens trial connections until \a count are in progress.
    void startTrials(std::size_t count, const std::string &except);
    void finishChecks(bool isLost);
    void testLostPath();

    const clock &m_clock;
    upstream_reachability m_reachability;
    liveness_check m_trials;
    one_shot_timer m_trialTimer;
    listener m_onChange;
    std::size_t m_trialsInProgress = 0;
    time_point m_lastClearedAt; ///< When a trial connection last cleared the path of suspicion.
    time_point m_lastSilenceTestAt;
    bool m_reportedLost = false;
    std::vector<waiting_check> m_checks;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PATH_WATCH_H_
