// All requests that an instance was processing are cut when it crashes, but only the one that it
// had just begun to respond to is a suspect. Suspects are innocent at times, so the segments are
// found by a greedy set cover: the segment that occurs in most crashes is taken first, and what it
// explains no longer counts against the segments that only happened to occur beside it.

#include "goldcrestdeck/segment_quarantine.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace goldcrestdeck {

namespace {

/// Limits on the state kept; clients choose the segments' ids.
constexpr std::size_t maxInstances = 500;
constexpr std::size_t maxSuspectsPerInstance = 32;
constexpr std::size_t maxAnsweredSegments = 10'000;
constexpr std::size_t maxSegmentBytes = 128;
constexpr std::chrono::milliseconds expiryInterval{1000};

std::vector<std::string> boundedSegments(const std::vector<std::string> &segments)
{
    std::vector<std::string> result;
    for (const std::string &segment : segments) {
        if (segment.size() <= maxSegmentBytes && result.size() < maxReportedSegments)
            result.push_back(segment);
    }
    return result;
}

std::chrono::milliseconds ageAt(time_point now, time_point at)
{
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(now - at),
                    std::chrono::milliseconds(0));
}

} // namespace

std::chrono::milliseconds suppressionDelay(double draw, std::size_t hosts,
                                           std::chrono::milliseconds longest)
{
    if (hosts < 2 || draw <= 0)
        return std::chrono::milliseconds(0);
    const double fraction
        = std::max(0.0, 1 + std::log(draw) / std::log(static_cast<double>(hosts)));
    return std::chrono::duration_cast<std::chrono::milliseconds>(fraction * longest);
}

bool operator==(const quarantined_segment &a, const quarantined_segment &b)
{
    return std::tie(a.segment, a.crashes, a.requests, a.until)
        == std::tie(b.segment, b.crashes, b.requests, b.until);
}

segment_quarantine::segment_quarantine(quarantine_parameters parameters)
    : m_parameters(parameters)
{ }

time_point segment_quarantine::instance_evidence::latest() const
{
    time_point result;
    for (const suspect_request &suspect : suspects)
        result = std::max(result, suspect.at);
    return result;
}

std::vector<std::string> segment_quarantine::suspect_request::allSegments() const
{
    std::vector<std::string> all = segments;
    if (!lastSegment.empty())
        all.push_back(lastSegment);
    return all;
}

void segment_quarantine::addSuspect(const std::string &instance, suspect_request suspect)
{
    std::vector<suspect_request> &suspects = m_evidence[instance].suspects;
    if (suspect.lastSegment.size() > maxSegmentBytes)
        suspect.lastSegment.clear();
    if (suspects.size() >= maxSuspectsPerInstance)
        suspects.erase(suspects.begin());
    suspects.push_back(std::move(suspect));
}

void segment_quarantine::recordUnansweredSend(const crash_suspect &suspect, time_point now)
{
    if (suspect.segments.empty() && suspect.lastSegment.empty())
        return;
    addSuspect(
        suspect.instance,
        {suspect.request, boundedSegments(suspect.segments), now, true, suspect.lastSegment});
    expire(now);
}

void segment_quarantine::recordConnectionLost(const std::string &instance, time_point sentAt,
                                              time_point now)
{
    if (!discardCommonLoss(instance, sentAt, now))
        confirmCrash(instance, false, now);
}

void segment_quarantine::recordConnectionRefused(const std::string &instance, time_point now)
{
    confirmCrash(instance, true, now);
}

void segment_quarantine::recordConnectionAccepted(const std::string &instance, time_point openedAt)
{
    const auto found = m_evidence.find(instance);
    // A process that has crashed may have a successor at the same address.
    if (found == m_evidence.end() || found->second.isVerified)
        return;
    m_changed = m_changed || found->second.isCrashed;
    std::vector<suspect_request> &suspects = found->second.suspects;
    suspects.erase(
        std::remove_if(suspects.begin(), suspects.end(),
                       [&](const suspect_request &suspect) { return suspect.at <= openedAt; }),
        suspects.end());
    if (suspects.empty())
        m_evidence.erase(found);
}

bool segment_quarantine::isUnverified(const std::string &instance) const
{
    const auto found = m_evidence.find(instance);
    return found != m_evidence.end() && !found->second.isVerified;
}

void segment_quarantine::confirmCrash(const std::string &instance, bool isVerified, time_point now)
{
    const auto found = m_evidence.find(instance);
    if (found == m_evidence.end())
        return;
    const time_point latest = found->second.latest();
    if (now - latest > m_parameters.confirmationTime)
        return;
    found->second.isCrashed = true;
    found->second.isVerified = found->second.isVerified || isVerified;
    if (found->second.isVerified)
        scheduleReport(now + m_parameters.settleTime);
    m_changed = true;
}

bool segment_quarantine::discardCommonLoss(const std::string &instance, time_point sentAt,
                                           time_point now)
{
    for (auto i = m_recentLosses.begin(); i != m_recentLosses.end();) {
        // A send that began after a loss has found its instance alive, so the losses are separate.
        const bool isSeparate = now - i->second > m_parameters.commonLossTime
            || (i->second <= sentAt && i->first != instance);
        i = isSeparate ? m_recentLosses.erase(i) : std::next(i);
    }
    m_recentLosses.emplace(instance, now);
    if (m_recentLosses.size() < m_parameters.minCommonLosses)
        return false;
    for (const auto &lost : m_recentLosses) {
        const auto found = m_evidence.find(lost.first);
        if (found != m_evidence.end()
            && now - found->second.latest() <= m_parameters.commonLossTime)
            m_evidence.erase(found);
    }
    m_changed = true;
    return true;
}

void segment_quarantine::recordResponseBytes(const std::string &instance, time_point now)
{
    const auto found = m_evidence.find(instance);
    if (found == m_evidence.end())
        return;
    std::vector<suspect_request> &suspects = found->second.suspects;
    const auto isSurvived = [&](const suspect_request &suspect) {
        return now - suspect.at >= m_parameters.settleTime;
    };
    const auto survived = std::remove_if(suspects.begin(), suspects.end(), isSurvived);
    if (survived == suspects.end())
        return;
    m_changed = m_changed || found->second.isCrashed;
    suspects.erase(survived, suspects.end());
    if (suspects.empty())
        m_evidence.erase(found);
}

void segment_quarantine::recordAnswered(const std::vector<std::string> &segments,
                                        const std::string &lastSegment, time_point now)
{
    for (const std::string &segment : segments)
        recordAnswer(segment, now);
    // There is one for each request or session; only the suspected ones are worth remembering.
    if (m_suspected.count(lastSegment) > 0)
        recordAnswer(lastSegment, now);
}

void segment_quarantine::recordAnswer(const std::string &segment, time_point now)
{
    if (segment.size() > maxSegmentBytes)
        return;
    const time_point previous = answeredAt(segment);
    setAnswered(segment, now, true);
    const auto suspected = m_suspected.find(segment);
    // Later answers do not alter what the first one after the latest crash has cleared.
    m_changed = m_changed
        || (suspected != m_suspected.end()
            && std::any_of(suspected->second.begin(), suspected->second.end(),
                           [&](const sighting &seen) { return seen.at > previous; }));
}

void segment_quarantine::setAnswered(const std::string &segment, time_point at, bool isOwn)
{
    if (m_answers.size() >= maxAnsweredSegments && m_answers.count(segment) == 0)
        m_answers.erase(m_answers.begin());
    segment_answer &answer = m_answers[segment];
    answer.at = std::max(answer.at, at);
    if (isOwn)
        answer.ownAt = at;
}

void segment_quarantine::merge(const crash_report &report, report_origin origin, time_point now)
{
    for (const crash_suspect &suspect : report.suspects) {
        if (suspect.age > m_parameters.lifetime)
            continue;
        instance_evidence &evidence = m_evidence[suspect.instance];
        const bool isKnown = std::any_of(
            evidence.suspects.begin(), evidence.suspects.end(),
            [&](const suspect_request &known) { return known.request == suspect.request; });
        if (!isKnown)
            addSuspect(suspect.instance,
                       {suspect.request, boundedSegments(suspect.segments), now - suspect.age,
                        origin == report_origin::earlierProcess, suspect.lastSegment});
        evidence.isCrashed = true;
        evidence.isVerified = true;
    }
    for (const answered_segment &answered : report.answered) {
        if (answered.segment.size() > maxSegmentBytes)
            continue;
        setAnswered(answered.segment, now - answered.age, false);
        segment_answer &answer = m_answers[answered.segment];
        answer.toldAt = std::max(answer.toldAt, now - answered.age);
    }
    m_changed = true;
    expire(now);
}

std::optional<quarantined_segment>
segment_quarantine::find(const std::vector<std::string> &segments, const std::string &lastSegment,
                         time_point now)
{
    update(now);
    if (m_quarantined.empty())
        return std::nullopt;
    for (const std::string &segment : segments) {
        const auto found = m_quarantined.find(segment);
        if (found != m_quarantined.end())
            return found->second;
    }
    const auto found = m_quarantined.find(lastSegment);
    if (found == m_quarantined.end())
        return std::nullopt;
    return found->second;
}

quarantine_changes segment_quarantine::takeChanges(time_point now)
{
    update(now);
    quarantine_changes changes;
    for (const auto &entry : m_quarantined) {
        if (m_reportedToCaller.count(entry.first) == 0)
            changes.added.push_back(entry.second);
    }
    for (const auto &entry : m_reportedToCaller) {
        if (m_quarantined.count(entry.first) == 0)
            changes.removed.push_back(entry.first);
    }
    m_reportedToCaller = m_quarantined;
    return changes;
}

crash_report segment_quarantine::makeReport(time_point now)
{
    update(now);
    m_reportDueAt.reset();
    crash_report report;
    for (const auto &entry : m_evidence) {
        if (!entry.second.isVerified)
            continue;
        for (const suspect_request &suspect : entry.second.suspects) {
            if (suspect.isOwn)
                report.suspects.push_back({entry.first, suspect.request, suspect.segments,
                                           ageAt(now, suspect.at), suspect.lastSegment});
        }
    }
    for (const auto &entry : m_ownAnswers)
        report.answered.push_back({entry.first, ageAt(now, entry.second)});
    const auto isYounger = [](const auto &a, const auto &b) { return a.age < b.age; };
    std::stable_sort(report.suspects.begin(), report.suspects.end(), isYounger);
    std::stable_sort(report.answered.begin(), report.answered.end(), isYounger);
    if (report.suspects.size() > maxReportedSuspects)
        report.suspects.resize(maxReportedSuspects);
    if (report.answered.size() > maxReportedAnswers)
        report.answered.resize(maxReportedAnswers);
    return report;
}

std::optional<crash_report> segment_quarantine::takeReport(time_point now)
{
    update(now);
    // Other hosts may have reported the answers meanwhile.
    for (auto i = m_ownAnswers.begin(); i != m_ownAnswers.end();) {
        const bool isReported = m_reportedAnswers.count(i->first) > 0;
        const auto suspected = m_suspected.find(i->first);
        const bool isNeeded = suspected != m_suspected.end()
            && isAnswerNeeded(suspected->second, m_answers[i->first]);
        i = isReported || isNeeded ? std::next(i) : m_ownAnswers.erase(i);
    }
    crash_report report = makeReport(now);
    const bool hasNewSuspect = std::any_of(
        report.suspects.begin(), report.suspects.end(), [&](const crash_suspect &suspect) {
            return m_reportedSuspects.count({suspect.instance, suspect.request}) == 0;
        });
    const bool hasNewAnswer = std::any_of(
        report.answered.begin(), report.answered.end(), [&](const answered_segment &answered) {
            const auto reported = m_reportedAnswers.find(answered.segment);
            return reported == m_reportedAnswers.end()
                || reported->second != m_ownAnswers[answered.segment];
        });
    if (!hasNewSuspect && !hasNewAnswer)
        return std::nullopt;
    m_lastReport = now;
    m_reportedSuspects.clear();
    for (const crash_suspect &suspect : report.suspects)
        m_reportedSuspects.emplace(suspect.instance, suspect.request);
    m_reportedAnswers.clear();
    for (const answered_segment &answered : report.answered) {
        const time_point at = m_ownAnswers[answered.segment];
        m_reportedAnswers[answered.segment] = at;
        segment_answer &answer = m_answers[answered.segment];
        answer.toldAt = std::max(answer.toldAt, at);
    }
    return report;
}

void segment_quarantine::scheduleReport(time_point at)
{
    const time_point dueAt = std::max(at, m_lastReport + m_parameters.reportInterval);
    m_reportDueAt = m_reportDueAt ? std::min(*m_reportDueAt, dueAt) : dueAt;
}

bool segment_quarantine::isSufficient(const std::vector<sighting> &sightings,
                                      time_point after) const
{
    std::set<std::string> instances;
    for (const sighting &seen : sightings) {
        if (seen.at > after)
            instances.insert(seen.instance);
    }
    // One crash fewer than a quarantine needs: the next one may be seen before the answer is told.
    return instances.size() + 1 >= m_parameters.minCrashes;
}

bool segment_quarantine::isAnswerNeeded(const std::vector<sighting> &sightings,
                                        const segment_answer &answer) const
{
    return answer.ownAt > answer.toldAt && isSufficient(sightings, answer.toldAt)
        && !isSufficient(sightings, answer.ownAt);
}

void segment_quarantine::expire(time_point now)
{
    if (now - m_lastExpiry < expiryInterval && m_evidence.size() <= maxInstances)
        return;
    m_lastExpiry = now;
    const auto isExpired = [&](time_point at) { return now - at > m_parameters.lifetime; };
    for (auto i = m_evidence.begin(); i != m_evidence.end();) {
        const time_point latest = i->second.latest();
        const bool isUnverified
            = !i->second.isVerified && now - latest > m_parameters.confirmationTime;
        m_changed = m_changed || (i->second.isCrashed && (isUnverified || isExpired(latest)));
        i = isUnverified || isExpired(latest) ? m_evidence.erase(i) : std::next(i);
    }
    while (m_evidence.size() > maxInstances) {
        m_evidence.erase(std::min_element(
            m_evidence.begin(), m_evidence.end(),
            [](const auto &a, const auto &b) { return a.second.latest() < b.second.latest(); }));
        m_changed = true;
    }
    for (auto i = m_answers.begin(); i != m_answers.end();)
        i = isExpired(i->second.at) ? m_answers.erase(i) : std::next(i);
    for (auto i = m_ownAnswers.begin(); i != m_ownAnswers.end();)
        i = isExpired(i->second) ? m_ownAnswers.erase(i) : std::next(i);
}

time_point segment_quarantine::answeredAt(const std::string &segment) const
{
    const auto found = m_answers.find(segment);
    return found == m_answers.end() ? time_point() : found->second.at;
}

std::map<std::string, segment_quarantine::segment_evidence>
segment_quarantine::collectEvidence(const std::set<std::string> &explainedInstances) const
{
    std::map<std::string, segment_evidence> result;
    std::set<std::pair<std::string, std::string>> counted; // Segment, and instance or request.
    for (const auto &entry : m_evidence) {
        if (!entry.second.isCrashed || explainedInstances.count(entry.first) > 0)
            continue;
        for (const suspect_request &suspect : entry.second.suspects) {
            const std::vector<std::string> segments = suspect.allSegments();
            for (std::size_t depth = 0; depth < segments.size(); ++depth) {
                const std::string &segment = segments[depth];
                const time_point answered = answeredAt(segment);
                if (answered >= suspect.at)
                    continue;
                segment_evidence &evidence = result[segment];
                evidence.answeredAt = answered;
                evidence.depth = std::max(evidence.depth, depth);
                evidence.isLast = evidence.isLast || segment == suspect.lastSegment;
                evidence.latest = std::max(evidence.latest, suspect.at);
                evidence.crashes += counted.emplace(segment, "i " + entry.first).second ? 1 : 0;
                evidence.requests
                    += counted.emplace(segment, "r " + suspect.request).second ? 1 : 0;
            }
        }
    }
    return result;
}

void segment_quarantine::updateSuspected()
{
    m_suspected.clear();
    for (const auto &entry : m_evidence) {
        if (!entry.second.isVerified)
            continue;
        for (const suspect_request &suspect : entry.second.suspects) {
            for (const std::string &segment : suspect.allSegments())
                m_suspected[segment].push_back({suspect.at, entry.first, suspect.request});
        }
    }
}

/// Selects the answers of this host that other hosts need to know.
void segment_quarantine::updateOwnAnswers(time_point now)
{
    for (const auto &entry : m_suspected) {
        const auto answer = m_answers.find(entry.first);
        if (answer == m_answers.end() || !isAnswerNeeded(entry.second, answer->second))
            continue;
        time_point &selected = m_ownAnswers[entry.first];
        if (selected > answer->second.toldAt && !isSufficient(entry.second, selected))
            continue;
        selected = answer->second.ownAt;
        scheduleReport(now + m_parameters.settleTime + m_parameters.answerDelay);
    }
}

void segment_quarantine::update(time_point now)
{
    expire(now);
    if (!m_changed)
        return;
    m_changed = false;
    m_quarantined.clear();
    updateSuspected();
    updateOwnAnswers(now);
    std::set<std::string> explainedInstances;
    auto candidates = collectEvidence(explainedInstances);
    const auto hasSufficient = [&](const segment_evidence &evidence) {
        return evidence.crashes >= m_parameters.minCrashes
            && evidence.requests >= m_parameters.minRequests;
    };
    while (!candidates.empty()) {
        // Between segments that occur in the same crashes, one that was never answered, then one
        // that other requests can share, since the last segments of all requests are suspects
        // beside it, and then the one that fewer other requests share.
        const auto worst = std::max_element(
            candidates.begin(), candidates.end(), [&](const auto &a, const auto &b) {
                return std::make_tuple(hasSufficient(a.second), a.second.crashes,
                                       b.second.answeredAt, b.second.isLast, a.second.depth)
                    < std::make_tuple(hasSufficient(b.second), b.second.crashes,
                                      a.second.answeredAt, a.second.isLast, b.second.depth);
            });
        if (!hasSufficient(worst->second))
            break;
        const std::string segment = worst->first;
        m_quarantined[segment] = {segment, worst->second.crashes, worst->second.requests,
                                  worst->second.latest + m_parameters.lifetime};
        for (const auto &entry : m_evidence) {
            for (const suspect_request &suspect : entry.second.suspects) {
                const std::vector<std::string> segments = suspect.allSegments();
                if (std::count(segments.begin(), segments.end(), segment) > 0)
                    explainedInstances.insert(entry.first);
            }
        }
        candidates = collectEvidence(explainedInstances);
    }
}

} // namespace goldcrestdeck
