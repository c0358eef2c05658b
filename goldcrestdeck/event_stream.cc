#include "goldcrestdeck/event_stream.h"

#include <algorithm>

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxEventBytes = 1024 * 1024;
constexpr const char *closingEvent = "data: [DONE]";

} // namespace

std::size_t eventEnd(const std::string &buffer, std::size_t from)
{
    const std::size_t plain = buffer.find("\n\n", from);
    const std::size_t carriage = buffer.find("\r\n\r\n", from);
    const std::size_t plainEnd = plain == std::string::npos ? plain : plain + 2;
    const std::size_t carriageEnd = carriage == std::string::npos ? carriage : carriage + 4;
    return std::min(plainEnd, carriageEnd);
}

bool event_splitter::feed(const std::string &bytes, std::string &out)
{
    m_buffer += bytes;
    std::size_t passed = 0;
    while (!m_complete) {
        const std::size_t end = eventEnd(m_buffer, passed);
        if (end == std::string::npos)
            break;
        if (m_buffer.compare(passed, std::string(closingEvent).size(), closingEvent) == 0) {
            m_complete = true;
            break;
        }
        passed = end;
    }
    out.append(m_buffer, 0, passed);
    m_buffer.erase(0, passed);
    return m_buffer.size() <= maxEventBytes;
}

} // namespace goldcrestdeck
