#ifndef GOLDCRESTDECK_SENDER_H_
#define GOLDCRESTDECK_SENDER_H_

/// \file
/// Sends a request to an upstream that serves a given version: selects the upstream, retries where
/// that is safe, and reports whether the request may have run.

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "goldcrestdeck/request_context.h"

namespace goldcrestdeck {

/// A response whose head and first bytes have been received.
struct upstream_response {
    std::shared_ptr<upstream> from;
    std::unique_ptr<scoped_span> span;
    std::unique_ptr<http_stream> stream;
    http_response head;
    std::string firstBytes;
};

struct send_request {
    std::string version;
    std::string path;
    std::string body;
    std::vector<http_header> headers;
    std::uint64_t prefixHash = 0;
    /// The request is not retried, on any upstream, once a byte of it may have left this host.
    bool atMostOnce = false;
    bool pinned = false; ///< Belongs to a session that is pinned to the version.
};

class sender
{
public:
    explicit sender(handler_dependencies &dependencies);

    /// Blocks until the first bytes of the response arrive. \throws refused_error
    upstream_response send(request_context &context, const send_request &request);

    /// Reads the response body to its end. \throws http_error if it is truncated.
    static std::string readAll(upstream_response &response);

    /// Whether the request has run, as far as a response that is not a success tells.
    static execution_state runStateOf(const http_response &head);

    /// Records with the upstream that its response has ended. \a success is false if the upstream
    /// failed or truncated the response.
    void recordOutcome(const upstream_response &response, bool success) const;

private:
    enum class attempt_result { answered, not_run, may_have_run };

    std::shared_ptr<upstream> choose(const send_request &request,
                                     const std::vector<std::string> &tried) const;
    attempt_result attempt(request_context &context, const send_request &request,
                           upstream_response &response) const;
    /// \throws refused_error if the request may no longer be sent.
    void checkMaySend(const request_context &context, const send_request &request) const;
    /// Takes a retry from the budget. \returns false if the budget is exhausted.
    bool tryConsumeRetry();
    http_request makeHttpRequest(const request_context &context, const send_request &request,
                                 const upstream_response &response) const;

    handler_dependencies &m_dependencies;
    std::mutex m_budgetMutex;
    retry_budget m_budget;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_SENDER_H_
