#ifndef GOLDCRESTDECK_RESPONSE_MEMORY_H_
#define GOLDCRESTDECK_RESPONSE_MEMORY_H_

/// \file
/// Limits the memory that responses take up on a host while they cannot be passed on: bodies that
/// are buffered, unfinished events, heads that are not complete, and bytes that a slow client has
/// not read.
///
/// Each sender of responses (an instance, or a host that serves requests of this one) has a share,
/// so that one which never stops sending exhausts its own share and not that of the others. Create
/// a held_bytes for each response, and call set() whenever the number of bytes changes. If that
/// returns false, hold no more: end the response, or stop reading it.
///
/// Bytes are those of the content: a buffer that grows can take up twice as much. A sender that
/// holds no more than its equal part of the total is refused only at the hard limit,
/// however much the others hold. Performs no I/O. Used by a single thread.

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace goldcrestdeck {

struct response_memory_limits {
    std::size_t senderBytes = 24 * 1024 * 1024; ///< Of one sender.
    /// Of all senders. Beyond it, those that hold more than their equal part are refused.
    std::size_t totalBytes = 48 * 1024 * 1024;
    std::size_t hardTotalBytes = 72 * 1024 * 1024; ///< Beyond it, all are refused.
};

/// Derives the limits from the memory of the process; 0: unknown. They are never above the
/// defaults.
response_memory_limits responseLimitsFor(std::size_t memoryBytes);

class response_memory
{
public:
    explicit response_memory(const response_memory_limits &limits);

    /// Bytes held by all responses.
    std::size_t total() const { return m_total; }
    std::size_t heldBy(const std::string &sender) const;
    /// Whether \a sender may hold as many bytes as it does.
    bool isWithinLimits(const std::string &sender) const;

private:
    friend class held_bytes;

    response_memory_limits m_limits;
    std::size_t m_total = 0;
    std::map<std::string, std::size_t> m_senders; ///< Those that hold any.
};

/// The bytes that one response holds. They are released when it is destroyed.
class held_bytes
{
public:
    held_bytes(std::shared_ptr<response_memory> memory, std::string sender);
    ~held_bytes();
    held_bytes(const held_bytes &) = delete;
    held_bytes &operator=(const held_bytes &) = delete;
    held_bytes(held_bytes &&other) noexcept;
    held_bytes &operator=(held_bytes &&other) noexcept;

    /// Sets the number of bytes, also beyond the limits. \returns whether it has not grown or is
    /// within the limits.
    bool set(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<response_memory> m_memory;
    std::string m_sender;
    std::size_t m_bytes = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_RESPONSE_MEMORY_H_
