#include "goldcrestdeck/trace.h"

#include <tuple>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxRecentSpans = 8192;
constexpr std::size_t traceIdBytes = 16;
constexpr std::size_t spanIdBytes = 8;
// "00-" traceId "-" spanId "-" flags
constexpr std::size_t traceIdBegin = 3;
constexpr std::size_t spanIdBegin = traceIdBegin + 2 * traceIdBytes + 1;
constexpr std::size_t flagsBegin = spanIdBegin + 2 * spanIdBytes + 1;
constexpr std::size_t traceparentLength = flagsBegin + 2;

bool isHex(const std::string &text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isZero(const std::string &text)
{
    return text.find_first_not_of('0') == std::string::npos;
}

std::string unixNanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

json_value encodeAttribute(const std::string &name, const std::string &value)
{
    json_value content = json_value::object();
    content.set("stringValue", value);
    json_value attribute = json_value::object();
    attribute.set("key", name);
    attribute.set("value", content);
    return attribute;
}

} // namespace

bool operator==(const trace_context &a, const trace_context &b)
{
    return std::tie(a.traceId, a.spanId) == std::tie(b.traceId, b.spanId);
}

std::optional<trace_context> parseTraceparent(const std::string &header)
{
    const bool isWellFormed = header.size() >= traceparentLength && header.compare(0, 2, "ff") != 0
        && header[2] == '-' && header[spanIdBegin - 1] == '-' && header[flagsBegin - 1] == '-';
    if (!isWellFormed)
        return std::nullopt;
    trace_context context{header.substr(traceIdBegin, 2 * traceIdBytes),
                          header.substr(spanIdBegin, 2 * spanIdBytes)};
    const bool valid = isHex(context.traceId) && isHex(context.spanId) && !isZero(context.traceId)
        && !isZero(context.spanId);
    if (!valid)
        return std::nullopt;
    return context;
}

std::string formatTraceparent(const trace_context &context)
{
    return "00-" + context.traceId + "-" + context.spanId + "-01";
}

std::string encodeSpan(const span &finished, const std::string &host)
{
    json_value attributes = json_value::array();
    attributes.append(encodeAttribute("host.name", host));
    for (const span_attribute &attribute : finished.attributes)
        attributes.append(encodeAttribute(attribute.name, attribute.value));
    json_value document = json_value::object();
    document.set("traceId", finished.context.traceId);
    document.set("spanId", finished.context.spanId);
    document.set("parentSpanId", finished.parentSpanId);
    document.set("name", finished.name);
    document.set("startTimeUnixNano", unixNanoseconds(finished.begin));
    document.set("endTimeUnixNano", unixNanoseconds(finished.end));
    document.set("attributes", attributes);
    return document.dump();
}

span_recorder::span_recorder(std::string host, const std::string &path)
    : m_host(std::move(host))
{
    if (!path.empty())
        m_file.open(path, std::ios::app);
}

void span_recorder::record(const span &finished)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_file.is_open())
        m_file << encodeSpan(finished, m_host) << '\n' << std::flush;
    m_recent.push_back(finished);
    if (m_recent.size() > maxRecentSpans)
        m_recent.pop_front();
}

std::vector<span> span_recorder::find(const std::string &traceId) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<span> found;
    for (const span &recent : m_recent)
        if (recent.context.traceId == traceId)
            found.push_back(recent);
    return found;
}

scoped_span::scoped_span(span_recorder &recorder, const trace_context &parent,
                         const std::string &name)
    : m_recorder(recorder)
{
    const bool isRoot = parent.traceId.empty();
    m_span.context.traceId = isRoot ? randomHex(traceIdBytes) : parent.traceId;
    m_span.context.spanId = randomHex(spanIdBytes);
    m_span.parentSpanId = parent.spanId;
    m_span.name = name;
    m_span.begin = std::chrono::system_clock::now();
}

scoped_span::~scoped_span()
{
    m_span.end = std::chrono::system_clock::now();
    m_recorder.record(m_span);
}

void scoped_span::set(const std::string &name, const std::string &value)
{
    m_span.attributes.push_back({name, value});
}

} // namespace goldcrestdeck
