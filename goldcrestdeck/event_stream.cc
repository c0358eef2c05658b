#include "goldcrestdeck/event_stream.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxEventBytes = 1024 * 1024;
constexpr const char *finalEvent = "data: [DONE]";

} // namespace

std::size_t findEventEnd(const std::string &buffer, std::size_t from)
{
    const auto lineEndLength
        = [&](std::size_t at) -> std::size_t { return buffer.compare(at, 2, "\r\n") == 0 ? 2 : 1; };
    std::size_t end = buffer.find_first_of("\r\n", from);
    while (end != std::string::npos) {
        const std::size_t lineEnd = end;
        end += lineEndLength(lineEnd);
        if (end >= buffer.size())
            return std::string::npos;
        if (buffer[end] == '\n' || buffer[end] == '\r') {
            // The first half of a CR LF that is not completely received.
            const bool isPartial = buffer[end] == '\r' && end + 1 == buffer.size()
                && buffer.compare(lineEnd, 2, "\r\r") != 0;
            return isPartial ? std::string::npos : end + lineEndLength(end);
        }
        end = buffer.find_first_of("\r\n", end);
    }
    return std::string::npos;
}

bool event_splitter::feed(const std::string &bytes, std::string &out)
{
    m_buffer += bytes;
    std::size_t consumed = 0;
    while (!m_hasFinalEvent) {
        const std::size_t end = findEventEnd(m_buffer, consumed);
        if (end == std::string::npos)
            break;
        if (m_buffer.compare(consumed, std::string(finalEvent).size(), finalEvent) == 0) {
            m_hasFinalEvent = true;
            break;
        }
        consumed = end;
    }
    out.append(m_buffer, 0, consumed);
    m_buffer.erase(0, consumed);
    return m_buffer.size() <= maxEventBytes;
}

} // namespace goldcrestdeck
