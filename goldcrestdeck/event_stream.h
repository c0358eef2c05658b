#ifndef GOLDCRESTDECK_EVENT_STREAM_H_
#define GOLDCRESTDECK_EVENT_STREAM_H_

/// \file
/// Splits a stream of server-sent events and detects whether it ended normally or was truncated.
///
/// Events are forwarded whole and unmodified, except for the final event "data: [DONE]", which is
/// withheld until the usage of the request has been recorded. A stream that ends without it was
/// truncated.

#include <string>

namespace goldcrestdeck {

/// Returns the position after the first blank line that follows a line at or after \a from, or
/// npos. Lines may end with LF, CR LF or CR.
std::size_t findEventEnd(const std::string &buffer, std::size_t from);

class event_splitter
{
public:
    /// Consumes \a bytes and appends to \a out all events that are now complete, up to but not
    /// including the final one. \returns false if the unfinished event exceeds the size limit.
    bool feed(const std::string &bytes, std::string &out);

    /// Returns whether the final event has been received.
    bool hasFinalEvent() const { return m_hasFinalEvent; }
    /// Returns the bytes not yet forwarded: the final event and all bytes after it, unmodified.
    const std::string &unforwarded() const { return m_buffer; }

private:
    std::string m_buffer;
    bool m_hasFinalEvent = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_EVENT_STREAM_H_
