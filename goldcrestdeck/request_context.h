#ifndef GOLDCRESTDECK_REQUEST_CONTEXT_H_
#define GOLDCRESTDECK_REQUEST_CONTEXT_H_

/// \file
/// State and checks shared by all handlers of client requests: authentication, admission control,
/// request id, trace span and the number of requests in progress. Every refusal is recorded, and
/// its response says whether the request has run.

#include <atomic>
#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/http_server.h"
#include "goldcrestdeck/metrics.h"
#include "goldcrestdeck/node.h"
#include "goldcrestdeck/settings.h"
#include "goldcrestdeck/trace.h"

namespace goldcrestdeck {

/// Thrown to refuse a request.
class refused_error : public std::exception
{
public:
    explicit refused_error(refusal details)
        : m_details(std::move(details))
    { }
    const refusal &details() const { return m_details; }
    const char *what() const noexcept override { return m_details.code.c_str(); }

private:
    refusal m_details;
};

/// Refuses the request: always throws refused_error. A \a retryAfter of 0 means that a retry will
/// not help; the response then has no Retry-After header.
[[noreturn]] void refuse(int httpStatus, const std::string &code, const std::string &message,
                         execution_state run = execution_state::no,
                         std::chrono::seconds retryAfter = std::chrono::seconds(0));

/// Dependencies shared by the handlers of client requests.
struct handler_dependencies {
    const settings &configuration;
    node &host;
    std::shared_ptr<http_client> client;
    span_recorder &spans;
    metrics &counters;
};

/// Counts the requests in progress, streams included.
class in_progress_counter
{
public:
    void enter() { ++m_count; }
    void leave() { --m_count; }
    std::size_t count() const { return m_count.load(); }

private:
    std::atomic<std::size_t> m_count{0};
};

/// One client request, from its arrival to the last byte of its response. Owned by its handler or,
/// while the response is streamed, by the relay.
class request_context
{
public:
    request_context(handler_dependencies &dependencies, in_progress_counter &inProgress,
                    const server_request &request);
    ~request_context();
    request_context(const request_context &) = delete;
    request_context &operator=(const request_context &) = delete;

    /// Determines the workspace from the request's API key. \throws refused_error if the key is
    /// missing or unknown.
    void authenticate(const server_request &request);
    /// \throws refused_error if the body exceeds the limit.
    void checkBodySize(const server_request &request) const;
    /// Admission control. \throws refused_error if this host cannot confirm that its configuration
    /// is in force, the account records have no room, the load is too high for \a priority, or the
    /// workspace's rate limit is reached.
    void admit(priority_level priority);

    /// Records the refusal and \returns its response.
    server_response refusalResponse(const refusal &details);
    /// Records a response that was cut off after it had begun.
    void recordTruncatedResponse(const std::string &code);
    /// Records the bill; blocks like node::recordBill.
    void recordBill(const std::string &version, std::uint64_t costMicros);

    const std::string &id() const { return m_id; }
    const std::string &workspace() const { return m_workspace; }
    scoped_span &span() { return m_span; }
    time_point arrived() const { return m_arrived; }
    handler_dependencies &dependencies() { return m_dependencies; }
    /// The headers that every response carries.
    std::vector<http_header> headers() const;

private:
    /// \throws refused_error if this host cannot confirm that its configuration is in force.
    void checkMayAdmit() const;
    void record(const refusal &details);

    handler_dependencies &m_dependencies;
    in_progress_counter &m_inProgress;
    std::string m_id;
    std::string m_workspace = "-";
    scoped_span m_span;
    time_point m_arrived;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_REQUEST_CONTEXT_H_
