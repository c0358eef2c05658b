#include "goldcrestdeck/event_stream.h"

#include <algorithm>

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxEventBytes = 1024 * 1024;
constexpr const char *finalEvent = "data: [DONE]";

} // namespace

std::size_t findEventEnd(const std::string &buffer, std::size_t from)
{
    const std::size_t lf = buffer.find("\n\n", from);
    const std::size_t crlf = buffer.find("\r\n\r\n", from);
    const std::size_t lfEnd = lf == std::string::npos ? lf : lf + 2;
    const std::size_t crlfEnd = crlf == std::string::npos ? crlf : crlf + 4;
    return std::min(lfEnd, crlfEnd);
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
