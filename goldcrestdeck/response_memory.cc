// Equal parts instead of fixed ones let a few senders use all of the memory, as large responses
// need, without leaving none to the others. A sender keeps what it holds when the number of senders
// grows, so the sum of all can exceed the total; the hard limit bounds that.

#include "goldcrestdeck/response_memory.h"

#include <algorithm>
#include <utility>

namespace goldcrestdeck {

namespace {

/// Parts of the memory of the process: a buffer that grows can take up twice as much as what it
/// contains, so the hard limit amounts to 48% of the memory.
constexpr std::size_t senderPercent = 16;
constexpr std::size_t totalPercent = 20;
constexpr std::size_t hardTotalPercent = 24;

} // namespace

response_memory_limits responseLimitsFor(std::size_t memoryBytes)
{
    response_memory_limits result;
    if (memoryBytes == 0)
        return result;
    result.senderBytes = std::min(result.senderBytes, memoryBytes / 100 * senderPercent);
    result.totalBytes = std::min(result.totalBytes, memoryBytes / 100 * totalPercent);
    result.hardTotalBytes = std::min(result.hardTotalBytes, memoryBytes / 100 * hardTotalPercent);
    return result;
}

response_memory::response_memory(const response_memory_limits &limits)
    : m_limits(limits)
{ }

std::size_t response_memory::heldBy(const std::string &sender) const
{
    const auto found = m_senders.find(sender);
    return found == m_senders.end() ? 0 : found->second;
}

bool response_memory::isWithinLimits(const std::string &sender) const
{
    const std::size_t held = heldBy(sender);
    if (held > m_limits.senderBytes || m_total > m_limits.hardTotalBytes)
        return false;
    return m_total <= m_limits.totalBytes || held * m_senders.size() <= m_limits.totalBytes;
}

held_bytes::held_bytes(std::shared_ptr<response_memory> memory, std::string sender)
    : m_memory(std::move(memory))
    , m_sender(std::move(sender))
{ }

held_bytes::~held_bytes()
{
    set(0);
}

held_bytes::held_bytes(held_bytes &&other) noexcept
    : m_memory(std::move(other.m_memory))
    , m_sender(std::move(other.m_sender))
    , m_bytes(std::exchange(other.m_bytes, 0))
{ }

held_bytes &held_bytes::operator=(held_bytes &&other) noexcept
{
    if (this != &other) {
        set(0);
        m_memory = std::move(other.m_memory);
        m_sender = std::move(other.m_sender);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool held_bytes::set(std::size_t bytes)
{
    if (bytes == m_bytes)
        return true;
    const bool grows = bytes > m_bytes;
    std::size_t &sender = m_memory->m_senders[m_sender];
    m_memory->m_total = m_memory->m_total - m_bytes + bytes;
    sender = sender - m_bytes + bytes;
    m_bytes = bytes;
    if (sender == 0)
        m_memory->m_senders.erase(m_sender);
    return !grows || m_memory->isWithinLimits(m_sender);
}

} // namespace goldcrestdeck
