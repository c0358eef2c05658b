#include "goldcrestdeck/completion_time.h"

#include <algorithm>
#include <cmath>

namespace goldcrestdeck {

namespace {

/// Weight of one response in what is usual. A host sees a few responses of a kind per second, so
/// the mean follows the load within seconds.
constexpr double usualWeight = 0.1;
/// Weight of one event in the usual time per event; a response has tens of events.
constexpr double usualEventWeight = 0.02;
/// A single response counts as at most this multiple of the usual time, so that one stalled
/// instance does not make all others look fast.
constexpr double maxUsualStep = 4;
constexpr double minSeconds = 1e-6; ///< Avoids divisions by zero.

double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

duration durationOf(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// Moves an average towards \a value; the first value sets it.
void follow(double &average, double value, double weight)
{
    average = average == 0 ? value : average + weight * (value - average);
}

} // namespace

std::string expectedKind(const std::string &route, const std::string &service,
                         const std::string &model)
{
    return (route.empty() ? service : route) + ' ' + model;
}

completion_time::completion_time(completion_parameters parameters)
    : m_parameters(parameters)
{ }

void completion_time::recordSend(std::uint64_t send, const std::string &incarnation,
                                 expected_work work, time_point now)
{
    recordEnd(send, false, now); // Of a send that had the same number.
    const auto usual = firstEvent(work);
    open_send entry;
    entry.incarnation = incarnation;
    entry.work = std::move(work);
    entry.since = now;
    entry.expected = usual ? secondsOf(*usual) : 0;
    m_sends.insert_or_assign(send, std::move(entry));
    m_instances[incarnation].sends.insert(send);
}

void completion_time::recordFirstEvent(std::uint64_t send, time_point now)
{
    const auto found = m_sends.find(send);
    if (found == m_sends.end() || found->second.begun || found->second.suspended)
        return;
    open_send &entry = found->second;
    const double seconds = std::max(minSeconds, secondsOf(now - entry.since));
    const double perToken = seconds / (entry.work.promptTokens + fixedLatencyTokens);
    usual_times &usual = m_usual[entry.work.kind];
    if (usual.perToken > 0) {
        const double ratio
            = ratioOf(seconds, usual.perToken * (entry.work.promptTokens + fixedLatencyTokens));
        addEvidence(m_instances[entry.incarnation], ratio, 1, m_parameters.earlierEvidence, now);
    }
    const double highest = usual.perToken == 0 ? perToken : maxUsualStep * usual.perToken;
    follow(usual.perToken, std::min(perToken, highest), usualWeight);
    entry.begun = true;
    entry.since = now;
    // An instance may send the head of a response before it has an event.
    entry.expected = 0;
}

void completion_time::recordEvents(std::uint64_t send, std::size_t count, time_point now)
{
    const auto found = m_sends.find(send);
    if (found == m_sends.end() || count == 0)
        return;
    open_send &entry = found->second;
    usual_times &usual = m_usual[entry.work.kind];
    // The first event comes with the head; only the following ones have an interval.
    if (entry.events > 0 && !entry.suspended) {
        const double interval
            = std::max(minSeconds, secondsOf(now - entry.since)) / static_cast<double>(count);
        if (usual.perEvent > 0)
            addEvidence(m_instances[entry.incarnation], ratioOf(interval, usual.perEvent),
                        m_parameters.eventWeight * static_cast<double>(count),
                        1 - m_parameters.eventWeight, now);
        follow(usual.perEvent, interval, usualEventWeight);
    }
    entry.events += static_cast<double>(count);
    entry.since = now;
    entry.expected = usual.perEvent;
    entry.suspended = false;
}

void completion_time::suspend(std::uint64_t send)
{
    const auto found = m_sends.find(send);
    if (found != m_sends.end())
        found->second.suspended = true;
}

void completion_time::recordEnd(std::uint64_t send, bool answered, time_point now)
{
    const auto found = m_sends.find(send);
    if (found == m_sends.end())
        return;
    const open_send entry = std::move(found->second);
    m_sends.erase(found);
    instance_evidence &evidence = m_instances[entry.incarnation];
    // A send that is given up took at least as long as it waited.
    const double ratio = overdueRatio(entry, now);
    if (!answered && ratio > 0)
        addEvidence(evidence, ratio, 1, m_parameters.earlierEvidence, now);
    evidence.sends.erase(send);
    if (!answered || entry.events == 0)
        return;
    usual_times &usual = m_usual[entry.work.kind];
    const double events = entry.work.eventsDone + entry.events;
    follow(usual.events, events, usualWeight);
    if (entry.work.outputTokens > 0)
        follow(usual.eventsPerToken, events / entry.work.outputTokens, usualWeight);
}

double completion_time::ratioOf(double seconds, double usual) const
{
    const double jitter = secondsOf(m_parameters.jitter);
    return (seconds + jitter) / (usual + jitter);
}

void completion_time::addEvidence(instance_evidence &evidence, double ratio, double weight,
                                  double earlier, time_point now) const
{
    const double age = secondsOf(now - evidence.at);
    const double kept = evidence.weight == 0
        ? 0
        : earlier * std::exp(-age / secondsOf(m_parameters.evidenceLifetime));
    const double bounded = std::clamp(ratio, m_parameters.minRatio, m_parameters.maxRatio);
    evidence.sum = kept * evidence.sum + weight * std::log(bounded);
    evidence.weight = kept * evidence.weight + weight;
    evidence.at = now;
}

double completion_time::overdueRatio(const open_send &send, time_point now) const
{
    if (send.expected == 0 || send.suspended)
        return 0;
    const double waited = secondsOf(now - send.since);
    const double margin = secondsOf(m_parameters.overdueMargin);
    if (waited <= m_parameters.overdueRatio * send.expected + margin)
        return 0;
    return waited / (send.expected + margin);
}

double completion_time::overdueRatio(const instance_evidence &evidence, time_point now) const
{
    double ratio = 0;
    for (const std::uint64_t send : evidence.sends)
        ratio = std::max(ratio, overdueRatio(m_sends.at(send), now));
    return ratio;
}

instance_pace completion_time::paceOf(const instance_evidence &evidence, time_point now) const
{
    double ratio = 1;
    if (evidence.weight > 0) {
        const double kept
            = std::exp(-secondsOf(now - evidence.at) / secondsOf(m_parameters.evidenceLifetime));
        ratio = std::exp(kept * evidence.sum / (kept * evidence.weight + m_parameters.priorWeight));
    }
    const double overdue = overdueRatio(evidence, now);
    ratio = std::min(std::max(ratio, overdue), m_parameters.maxRatio);
    const bool isEven = ratio < m_parameters.evenRatio && ratio * m_parameters.evenRatio > 1;
    return {isEven ? 1 : ratio, overdue > 0};
}

instance_pace completion_time::paceOf(const std::string &incarnation, time_point now) const
{
    const auto found = m_instances.find(incarnation);
    return found == m_instances.end() ? instance_pace() : paceOf(found->second, now);
}

std::size_t completion_time::slowCount(double ratio, time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_instances.begin(), m_instances.end(), [&](const auto &entry) {
            return paceOf(entry.second, now).slowness >= ratio;
        }));
}

std::optional<duration> completion_time::firstEvent(const expected_work &work) const
{
    const auto usual = m_usual.find(work.kind);
    if (usual == m_usual.end() || usual->second.perToken == 0)
        return std::nullopt;
    return durationOf(usual->second.perToken * (work.promptTokens + fixedLatencyTokens));
}

double completion_time::eventsOf(const usual_times &usual, const expected_work &work) const
{
    return work.outputTokens > 0 && usual.eventsPerToken > 0
        ? work.outputTokens * usual.eventsPerToken
        : usual.events;
}

duration completion_time::remainingEvents(const expected_work &work, double eventsDone) const
{
    const auto usual = m_usual.find(work.kind);
    if (usual == m_usual.end())
        return duration(0);
    // The first event is part of the time to the first event.
    const double remaining = eventsOf(usual->second, work) - std::max(1.0, eventsDone);
    return durationOf(std::max(0.0, remaining) * usual->second.perEvent);
}

std::optional<duration> completion_time::wholeResponse(const expected_work &work) const
{
    const auto first = firstEvent(work);
    if (!first)
        return std::nullopt;
    return *first + remainingEvents(work, work.eventsDone);
}

void completion_time::discardEvidence()
{
    for (auto &entry : m_instances) {
        entry.second.sum = 0;
        entry.second.weight = 0;
    }
}

void completion_time::retain(const std::set<std::string> &known)
{
    for (auto i = m_instances.begin(); i != m_instances.end();)
        i = i->second.sends.empty() && known.count(i->first) == 0 ? m_instances.erase(i)
                                                                  : std::next(i);
}

} // namespace goldcrestdeck
