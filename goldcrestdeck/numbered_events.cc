#include "goldcrestdeck/numbered_events.h"

#include <algorithm>
#include <cstdlib>

#include "goldcrestdeck/event_stream.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxEventBytes = 1024 * 1024;
constexpr std::size_t maxEventEndBytes = 4;

std::optional<std::uint64_t> eventId(const std::string &text)
{
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        if (text.compare(begin, 3, "id:") == 0) {
            std::size_t digits = begin + 3;
            if (digits < end && text[digits] == ' ')
                ++digits;
            std::size_t digitsEnd = end;
            if (digitsEnd > digits && text[digitsEnd - 1] == '\r')
                --digitsEnd;
            const std::string number = text.substr(digits, digitsEnd - digits);
            // A number of 18 digits always fits in 64 bits.
            if (number.empty() || number.size() > 18
                || number.find_first_not_of("0123456789") != std::string::npos)
                return std::nullopt;
            return std::strtoull(number.c_str(), nullptr, 10);
        }
        begin = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<numbered_event> numbered_event_splitter::feed(const std::string &bytes)
{
    m_buffer += bytes;
    std::vector<numbered_event> events;
    std::size_t consumed = 0;
    // Bytes that were searched before are not searched again: an event can arrive in many pieces.
    for (std::size_t end = findEventEnd(m_buffer, m_searched); end != std::string::npos;
         end = findEventEnd(m_buffer, consumed)) {
        numbered_event event;
        event.text = m_buffer.substr(consumed, end - consumed);
        event.id = eventId(event.text);
        events.push_back(std::move(event));
        consumed = end;
    }
    m_buffer.erase(0, consumed);
    // The end of an event consists of two line ends, of two bytes each at most.
    m_searched = m_buffer.size() > maxEventEndBytes ? m_buffer.size() - maxEventEndBytes : 0;
    return events;
}

void numbered_event_splitter::discardPartial()
{
    std::string().swap(m_buffer); // Unlike clear(), releases its memory.
    m_searched = 0;
}

bool numbered_event_splitter::isInsideEvent() const
{
    return m_buffer.find_first_not_of("\r\n") != std::string::npos;
}

bool numbered_event_splitter::isOverlong() const
{
    return m_buffer.size() > maxEventBytes;
}

} // namespace goldcrestdeck
