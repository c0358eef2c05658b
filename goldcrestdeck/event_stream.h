#ifndef GOLDCRESTDECK_EVENT_STREAM_H_
#define GOLDCRESTDECK_EVENT_STREAM_H_

/// \file
/// Splits a stream of server-sent events so that its end can be told from a cut.
///
/// Bytes are passed on as they came, in whole events; the closing event "data: [DONE]" is held back
/// until the answer has been accounted for. A stream that ends without it was cut.

#include <string>

namespace goldcrestdeck {

/// The position after the first blank line at or after \a from, or npos.
std::size_t eventEnd(const std::string &buffer, std::size_t from);

class event_splitter
{
public:
    /// Takes in bytes and appends to \a out the whole events among them before the closing one.
    /// \returns false if an event exceeds the bound.
    bool feed(const std::string &bytes, std::string &out);

    /// Whether the closing event has come.
    bool isComplete() const { return m_complete; }
    /// The closing event and what came after it, byte for byte.
    const std::string &held() const { return m_buffer; }

private:
    std::string m_buffer;
    bool m_complete = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_EVENT_STREAM_H_
