#ifndef GOLDCRESTDECK_COMPLETION_TIME_H_
#define GOLDCRESTDECK_COMPLETION_TIME_H_

/// \file
/// Expected time to the first event and to the end of a response, learned from this host's sends.
///
/// Call recordSend() for each send and report its progress; then ask paceOf() about an instance,
/// and firstEvent() and wholeResponse() about a kind of work. All times are parameters; nothing is
/// read or sent. A host sends to each instance only every few seconds, so a single measurement
/// counts, sends in progress count before they end, and what is known of an instance decays within
/// seconds. An instance without evidence has the slowness 1, exactly.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct completion_parameters {
    /// Time constant with which evidence on an instance decays. Stalls last about 6 s.
    std::chrono::milliseconds evidenceLifetime{5000};
    /// Weight of the assumption that an instance is normal; one new measurement weighs 1.
    double priorWeight = 0.2;
    /// Factor applied to earlier evidence by a new time to the first event.
    double earlierEvidence = 0.5;
    /// Weight of the interval before one event; single intervals vary more than whole responses.
    double eventWeight = 0.1;
    /// Slownesses between 1 / evenRatio and evenRatio count as 1, so that noise decides nothing.
    double evenRatio = 1.05;
    /// Added to both times of a ratio, so that jitter of short times does not count as slowness.
    std::chrono::milliseconds jitter{5};
    /// Bounds of one ratio. The upper one is the slowdown of a stalled instance with a queue.
    double minRatio = 0.25;
    double maxRatio = 16;
    /// A send is overdue after this multiple of the expected time plus overdueMargin.
    double overdueRatio = 3;
    /// Covers jitter of the network and of this host's event loop.
    std::chrono::milliseconds overdueMargin{50};
};

/// The work that a request is for an instance.
struct expected_work {
    std::string kind;        ///< Route and model: what takes about the same time everywhere.
    double promptTokens = 0; ///< Not cached at the instance.
    double outputTokens = 0; ///< 0 if unknown.
    double eventsDone = 0;   ///< Events of the response that have already arrived.
};

struct instance_pace {
    double slowness = 1;  ///< Ratio of the time that the instance takes to the usual one.
    bool overdue = false; ///< A send of this host waits there much longer than expected.
};

/// Kind of the requests whose responses take comparable times; \a route may be empty.
std::string expectedKind(const std::string &route, const std::string &service,
                         const std::string &model);

class completion_time
{
public:
    explicit completion_time(completion_parameters parameters = completion_parameters());

    void recordSend(std::uint64_t send, const std::string &incarnation, expected_work work,
                    time_point now);
    void recordFirstEvent(std::uint64_t send, time_point now);
    void recordEvents(std::uint64_t send, std::size_t count, time_point now);
    /// The time until the next event of the send says nothing: the client does not read, or the
    /// instance has responded with an error.
    void suspend(std::uint64_t send);
    /// \a answered: the response is complete, so that it shows the usual length.
    void recordEnd(std::uint64_t send, bool answered, time_point now);

    instance_pace paceOf(const std::string &incarnation, time_point now) const;
    /// Number of instances with a slowness of at least \a ratio.
    std::size_t slowCount(double ratio, time_point now) const;

    /// Usual time to the first event; nullopt if no response of the kind is known.
    std::optional<duration> firstEvent(const expected_work &work) const;
    /// Usual time to the end of the response.
    std::optional<duration> wholeResponse(const expected_work &work) const;
    /// Usual time for the events after the first \a eventsDone.
    duration remainingEvents(const expected_work &work, double eventsDone) const;

    /// Forgets what is known of all instances, but not of sends in progress.
    void discardEvidence();
    /// Forgets instances that are not in \a known and have no sends.
    void retain(const std::set<std::string> &known);

private:
    /// What is usual for a kind of work, on average over all instances.
    struct usual_times {
        double perToken = 0; ///< Seconds to the first event, per token.
        double perEvent = 0; ///< Seconds.
        double events = 0;   ///< Per response.
        double eventsPerToken = 0;
    };
    struct open_send {
        std::string incarnation;
        expected_work work;
        time_point since;    ///< Of the wait for the next event.
        double expected = 0; ///< Seconds of that wait; 0 if unknown.
        double events = 0;
        bool begun = false;
        bool suspended = false;
    };
    struct instance_evidence {
        double sum = 0; ///< Of the weighted logarithms of ratios.
        double weight = 0;
        time_point at;
        std::set<std::uint64_t> sends;
    };

    double ratioOf(double seconds, double usual) const;
    void addEvidence(instance_evidence &evidence, double ratio, double weight, double earlier,
                     time_point now) const;
    /// Ratio of the current wait to the expected one; 0 if it is not overdue.
    double overdueRatio(const open_send &send, time_point now) const;
    double overdueRatio(const instance_evidence &evidence, time_point now) const;
    instance_pace paceOf(const instance_evidence &evidence, time_point now) const;
    double eventsOf(const usual_times &usual, const expected_work &work) const;

    completion_parameters m_parameters;
    std::unordered_map<std::string, usual_times> m_usual; ///< By kind.
    std::unordered_map<std::uint64_t, open_send> m_sends;
    std::unordered_map<std::string, instance_evidence> m_instances; ///< By incarnation.
};

/// Fixed part of the time to first event, in prompt tokens: engines take about as long for the
/// first output token as for processing this many.
constexpr double fixedLatencyTokens = 2000;

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_COMPLETION_TIME_H_
