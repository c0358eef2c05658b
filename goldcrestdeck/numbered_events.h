#ifndef GOLDCRESTDECK_NUMBERED_EVENTS_H_
#define GOLDCRESTDECK_NUMBERED_EVENTS_H_

/// \file
/// Splits a stream of server-sent events with increasing ids, so that a stream that broke off can
/// be continued at another upstream without a gap or a repeat.
///
/// feed() returns whole events byte for byte. What has not become a whole event yet is never passed
/// on: after a break, forgetPartial() drops it and the next run begins behind lastId().

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestdeck {

struct numbered_event {
    std::string text; ///< The blank line that closes it included.
    std::optional<std::uint64_t> id;
};

class numbered_event_splitter
{
public:
    std::vector<numbered_event> feed(const std::string &bytes);

    /// Bytes that are not a whole event yet.
    const std::string &partial() const { return m_buffer; }
    void forgetPartial() { m_buffer.clear(); }
    /// Whether an event exceeded the bound; the stream cannot be followed then.
    bool isOverlong() const;

private:
    std::string m_buffer;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_NUMBERED_EVENTS_H_
