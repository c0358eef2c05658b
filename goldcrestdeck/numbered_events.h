#ifndef GOLDCRESTDECK_NUMBERED_EVENTS_H_
#define GOLDCRESTDECK_NUMBERED_EVENTS_H_

/// \file
/// Splits a stream of server-sent events with increasing ids, so that an interrupted stream can be
/// resumed on another upstream instance without losing or duplicating events.
///
/// feed() returns complete events, unmodified. An incomplete event is never forwarded: after an
/// interruption, discardPartial() discards it and the resumed stream starts after the last event id
/// that was forwarded.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestdeck {

struct numbered_event {
    std::string text; ///< Includes the blank line that ends the event.
    std::optional<std::uint64_t> id;
};

class numbered_event_splitter
{
public:
    std::vector<numbered_event> feed(const std::string &bytes);

    /// Returns the bytes of the incomplete event.
    const std::string &partial() const { return m_buffer; }
    void discardPartial();
    /// Returns whether the bytes so far end inside an event; a stream that ends there was
    /// truncated, however its end is marked.
    bool isInsideEvent() const;
    /// Returns whether the incomplete event exceeds the size limit; the stream cannot be processed
    /// further then.
    bool isOverlong() const;

private:
    std::string m_buffer;
    std::size_t m_searched = 0; ///< No event ends before this position of the buffer.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_NUMBERED_EVENTS_H_
