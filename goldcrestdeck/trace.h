#ifndef GOLDCRESTDECK_TRACE_H_
#define GOLDCRESTDECK_TRACE_H_

/// \file
/// Tracing: W3C trace context propagation and one span per hop.
///
/// Recent spans are kept in a bounded buffer for operators. If a file is configured, spans are also
/// appended to it, one per line, in the JSON encoding of OTLP.

#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

/// The identifiers of a trace and a span: 32 and 16 hexadecimal digits.
struct trace_context {
    std::string traceId;
    std::string spanId;
};

bool operator==(const trace_context &a, const trace_context &b);

/// \returns the context of a traceparent header, or nothing if it is malformed.
std::optional<trace_context> parseTraceparent(const std::string &header);
std::string formatTraceparent(const trace_context &context);

struct span_attribute {
    std::string name;
    std::string value;
};

struct span {
    trace_context context;
    std::string parentSpanId; ///< Empty in a root span.
    std::string name;
    std::chrono::system_clock::time_point begin;
    std::chrono::system_clock::time_point end;
    std::vector<span_attribute> attributes;
};

class span_recorder
{
public:
    /// If \a path is empty, spans are kept in memory only.
    span_recorder(std::string host, const std::string &path);

    void record(const span &finished);
    std::vector<span> find(const std::string &traceId) const;

private:
    std::string m_host;
    mutable std::mutex m_mutex;
    std::deque<span> m_recent;
    std::ofstream m_file;
};

/// A span in progress, recorded on destruction.
class scoped_span
{
public:
    /// Starts a child span of \a parent, or a new trace if the traceId of \a parent is empty.
    scoped_span(span_recorder &recorder, const trace_context &parent, const std::string &name);
    ~scoped_span();
    scoped_span(const scoped_span &) = delete;
    scoped_span &operator=(const scoped_span &) = delete;

    const trace_context &context() const { return m_span.context; }
    void set(const std::string &name, const std::string &value);

private:
    span_recorder &m_recorder;
    span m_span;
};

/// \returns the span as an object in the JSON encoding of OTLP.
std::string encodeSpan(const span &finished, const std::string &host);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TRACE_H_
