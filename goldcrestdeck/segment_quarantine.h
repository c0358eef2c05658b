#ifndef GOLDCRESTDECK_SEGMENT_QUARANTINE_H_
#define GOLDCRESTDECK_SEGMENT_QUARANTINE_H_

/// \file
/// Finds prompt segments and requests that crash the upstream instances which execute them, so that
/// requests with such a segment are refused instead of crashing one instance after the other.
///
/// The host records how its own sends end, merges the reports of other hosts, and asks find()
/// before each send. Evidence against a segment are crashes of instances that had just begun to
/// respond to a request with it. Responses are also reset by instances that go on, so the caller
/// checks whether the instance still accepts connections: until then its crash is presumed, and one
/// that refuses them has crashed. An instance that is heard of again has not, and a segment that
/// some instance has answered since is cleared.
///
/// Reports to other hosts contain verified crashes, and answers that clear a segment which the
/// reports alone would put in quarantine. All hosts answer the shared segments, so each waits a
/// different time before it reports an answer, and does not if another host has. Evidence expires,
/// so a segment is tried again some minutes after its last crash. The last segment of a prompt
/// counts too: a client repeats its request, which may crash instances although all that others
/// share with it is sound. A request without a prompt has its digest in place of that segment. A
/// crash before the response began is evidence against that alone: it cuts requests that the
/// instance has only queued, and what those share is common.
///
/// Performs no I/O and reads no clock. Used by a single thread.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/crash_report.h"

namespace goldcrestdeck {

struct quarantine_parameters {
    /// Crashed instances and distinct requests required as evidence against a segment.
    std::size_t minCrashes = 3;
    std::size_t minRequests = 2;
    /// Time after which evidence expires.
    std::chrono::milliseconds lifetime{600'000};
    /// Time in which bytes that an instance sent before it crashed may still be read.
    std::chrono::milliseconds settleTime{100};
    /// Time within which the loss of a connection shows that an instance crashed on a request.
    std::chrono::milliseconds confirmationTime{5000};
    /// Instances lost within this time are lost together, to a failure of a host or a network; a
    /// request crashes one at a time.
    std::chrono::milliseconds commonLossTime{100};
    std::size_t minCommonLosses = 3;
    /// Minimum time between two reports to the other hosts.
    std::chrono::milliseconds reportInterval{500};
    /// How long this host waits for another one to report an answer.
    std::chrono::milliseconds answerDelay{0};
};

/// Draws how long one of \a hosts hosts waits for another one to report what all of them know, at
/// most \a longest. \a draw is uniform in [0, 1). The time is distributed so that the number of
/// hosts that have reported after a fraction f of \a longest is about hosts^f.
std::chrono::milliseconds suppressionDelay(double draw, std::size_t hosts,
                                           std::chrono::milliseconds longest);

enum class report_origin {
    otherHost,
    earlierProcess ///< Of this host; what it reported is reported again.
};

struct quarantined_segment {
    std::string segment;
    std::size_t crashes = 0;
    std::size_t requests = 0;
    time_point until; ///< When the evidence expires.
};

bool operator==(const quarantined_segment &a, const quarantined_segment &b);

/// Segments that are now in quarantine, or no longer.
struct quarantine_changes {
    std::vector<quarantined_segment> added;
    std::vector<std::string> removed;
};

class segment_quarantine
{
public:
    explicit segment_quarantine(quarantine_parameters parameters);

    /// Records a send that ended before the first byte of the response's body, whether the
    /// connection broke or this host closed it. \a suspect.age is ignored.
    void recordUnansweredSend(const crash_suspect &suspect, time_point now);
    /// Records that the connection of a send that began at \a sentAt was lost.
    void recordConnectionLost(const std::string &instance, time_point sentAt, time_point now);
    /// Records that \a instance refused a connection: it has crashed if it cut a send before.
    void recordConnectionRefused(const std::string &instance, time_point now);
    /// Records that \a instance accepted a connection opened at \a openedAt: it did not crash on
    /// the sends that it had cut by then.
    void recordConnectionAccepted(const std::string &instance, time_point openedAt);
    /// Whether \a instance has cut sends and it is not known yet whether it has crashed.
    bool isUnverified(const std::string &instance) const;
    /// Records that \a instance has sent bytes: it was alive shortly before.
    void recordResponseBytes(const std::string &instance, time_point now);
    /// Records the first byte of the body of a response to a prompt with \a segments and then
    /// \a lastSegment.
    void recordAnswered(const std::vector<std::string> &segments, const std::string &lastSegment,
                        time_point now);

    /// Adds a report received at \a now.
    void merge(const crash_report &report, report_origin origin, time_point now);

    /// \returns the first of \a segments and \a lastSegment that is in quarantine.
    std::optional<quarantined_segment> find(const std::vector<std::string> &segments,
                                            const std::string &lastSegment, time_point now);
    /// Whether there is any evidence on an instance.
    bool hasEvidence() const { return !m_evidence.empty(); }
    std::size_t quarantinedCount() const { return m_quarantined.size(); }
    /// \returns the changes since the last call.
    quarantine_changes takeChanges(time_point now);

    /// When takeReport() is to be called; nullopt if there is nothing to report.
    std::optional<time_point> reportDueAt() const { return m_reportDueAt; }
    /// \returns all that the other hosts need to know; nullopt if the last report said so.
    std::optional<crash_report> takeReport(time_point now);
    crash_report makeReport(time_point now);

    /// Sets how long this host waits for another one to report an answer.
    void setAnswerDelay(std::chrono::milliseconds delay) { m_parameters.answerDelay = delay; }

private:
    struct suspect_request {
        std::string request;
        std::vector<std::string> segments; ///< Those that other requests may share.
        time_point at;
        bool isOwn = false; ///< Observed by this host.
        std::string lastSegment;

        /// All segments in order, the last one included if it is known.
        std::vector<std::string> allSegments() const;
    };
    /// Evidence on one incarnation.
    struct instance_evidence {
        std::vector<suspect_request> suspects;
        bool isCrashed = false;  ///< Presumed as soon as a connection is lost.
        bool isVerified = false; ///< It refused a connection, or another host says so.

        time_point latest() const;
    };
    struct segment_evidence {
        std::size_t crashes = 0;
        std::size_t requests = 0;
        std::size_t depth = 0; ///< Greatest position in a prompt.
        bool isLast = false;   ///< It is the last segment of a prompt.
        time_point answeredAt;
        time_point latest;
    };
    struct segment_answer {
        time_point at;
        time_point ownAt;  ///< By this host.
        time_point toldAt; ///< Latest that a host has reported.
    };
    /// One suspect of a segment.
    struct sighting {
        time_point at;
        std::string instance;
        std::string request;
    };
    void recordAnswer(const std::string &segment, time_point now);

    using quarantine_map = std::map<std::string, quarantined_segment>;

    /// Presumes that \a instance has crashed on the sends that it has cut lately, or knows it.
    void confirmCrash(const std::string &instance, bool isVerified, time_point now);
    void addSuspect(const std::string &instance, suspect_request suspect);
    void scheduleReport(time_point at);
    /// Whether the sightings later than \a after are enough to put their segment in quarantine.
    bool isSufficient(const std::vector<sighting> &sightings, time_point after) const;
    /// Whether the other hosts need to know of this host's latest answer to a segment.
    bool isAnswerNeeded(const std::vector<sighting> &sightings, const segment_answer &answer) const;
    void expire(time_point now);
    void update(time_point now);
    bool discardCommonLoss(const std::string &instance, time_point sentAt, time_point now);
    time_point answeredAt(const std::string &segment) const;
    void setAnswered(const std::string &segment, time_point at, bool isOwn);
    void updateSuspected();
    void updateOwnAnswers(time_point now);
    std::map<std::string, segment_evidence>
    collectEvidence(const std::set<std::string> &explainedInstances) const;

    quarantine_parameters m_parameters;
    std::map<std::string, instance_evidence> m_evidence; ///< By incarnation.
    std::map<std::string, segment_answer> m_answers;     ///< By segment.
    std::map<std::string, time_point> m_ownAnswers;      ///< Of suspected segments, to be reported.
    std::map<std::string, time_point> m_recentLosses;    ///< By incarnation.
    std::map<std::string, std::vector<sighting>> m_suspected; ///< By segment; answered or not.
    /// Suspects in the last report, by instance and request.
    std::set<std::pair<std::string, std::string>> m_reportedSuspects;
    std::map<std::string, time_point> m_reportedAnswers; ///< In the last report.
    quarantine_map m_quarantined;
    quarantine_map m_reportedToCaller; ///< As of the last takeChanges().
    bool m_changed = false;
    time_point m_lastExpiry;
    time_point m_lastReport;
    std::optional<time_point> m_reportDueAt;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_SEGMENT_QUARANTINE_H_
