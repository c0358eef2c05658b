#include "goldcrestdeck/relay.h"

#include <algorithm>
#include <cstring>

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxSampleBytes = 16 * 1024;

} // namespace

relay::relay(std::unique_ptr<request_context> context, sender &upstreamSender,
             upstream_response response, std::string version, std::uint64_t costMicros,
             std::function<void(const std::string &)> onComplete)
    : m_context(std::move(context))
    , m_sender(upstreamSender)
    , m_response(std::move(response))
    , m_version(std::move(version))
    , m_costMicros(costMicros)
    , m_onComplete(std::move(onComplete))
{
    if (!m_events.feed(m_response.firstBytes, m_pending))
        m_truncated = true;
}

relay::~relay()
{
    if (m_finished)
        return;
    m_context->dependencies().counters.disconnectedClients.Increment();
    // The client disconnected, so the upstream has not failed.
    m_sender.recordOutcome(m_response, true);
}

ssize_t relay::read(char *out, std::size_t maxBytes)
{
    while (m_pending.empty()) {
        if (m_truncated)
            return aborted;
        if (m_finished)
            return end;
        if (!readUpstream())
            finishTruncated();
    }
    const std::size_t count = std::min(maxBytes, m_pending.size());
    std::memcpy(out, m_pending.data(), count);
    m_pending.erase(0, count);
    return static_cast<ssize_t>(count);
}

bool relay::readUpstream()
{
    std::string bytes;
    bool hasMore = false;
    try {
        hasMore = m_response.stream && m_response.stream->read(bytes);
    } catch (const http_error &) {
        return false;
    }
    if (!m_events.feed(bytes, m_pending))
        return false;
    if (m_sample.size() < maxSampleBytes)
        m_sample += m_pending;
    if (hasMore)
        return true;
    if (!m_events.hasFinalEvent())
        return false;
    finishComplete();
    return true;
}

void relay::finishComplete()
{
    m_finished = true;
    m_sender.recordOutcome(m_response, true);
    m_response.span.reset();
    m_context->recordBill(m_version, m_costMicros);
    m_onComplete(m_sample);
    m_pending += m_events.unforwarded();
}

void relay::finishTruncated()
{
    m_finished = true;
    m_truncated = true;
    m_sender.recordOutcome(m_response, false);
    m_response.span.reset();
    m_context->recordTruncatedResponse("answer_cut");
}

} // namespace goldcrestdeck
