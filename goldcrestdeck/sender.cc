// An attempt has one of three results: answered, not run (no byte was sent, or the upstream
// rejected the request and states that it has not run it), or may have run. An idempotent request
// may be retried on another upstream after either failure, an at-most-once request only if it has
// not run. The final refusal reports the run state "unknown" if any attempt may have run.

#include "goldcrestdeck/sender.h"

#include <algorithm>

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxAttempts = 3;
constexpr double retryBudgetRatio = 0.1;
constexpr std::chrono::seconds upstreamRetryAfter{2};
constexpr long httpTooManyRequests = 429;
constexpr int httpBadGateway = 502;
constexpr int httpServiceUnavailable = 503;
constexpr long minServerErrorStatus = 500;

bool isDrainingResponse(const http_response &head)
{
    return head.status == httpServiceUnavailable && !head.header("X-Leaving").empty();
}

bool isFailure(const http_response &head)
{
    return head.status >= minServerErrorStatus || head.status == httpTooManyRequests;
}

/// \a details for a request of which an earlier attempt may have run, as \a run tells.
refusal afterAttempts(refusal details, execution_state run)
{
    details.run = run;
    if (run == execution_state::no)
        return details;
    // Clients repeat requests after a 503 as if they had not run.
    details.httpStatus = httpBadGateway;
    details.retryAfter.reset();
    return details;
}

} // namespace

sender::sender(handler_dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_budget(retryBudgetRatio)
{ }

upstream_response sender::send(request_context &context, const send_request &request)
{
    {
        const std::lock_guard<std::mutex> lock(m_budgetMutex);
        m_budget.recordRequest();
    }
    std::vector<std::string> tried;
    execution_state run = execution_state::no;
    while (tried.size() < maxAttempts) {
        upstream_response response;
        response.from = choose(request, tried);
        if (!response.from)
            break;
        if (!tried.empty() && !tryConsumeRetry())
            break;
        try {
            checkMaySend(context, request);
        } catch (const refused_error &error) {
            throw refused_error(afterAttempts(error.details(), run));
        }
        tried.push_back(response.from->address());
        const attempt_result result = attempt(context, request, response);
        if (result == attempt_result::answered)
            return response;
        if (result == attempt_result::may_have_run)
            run = execution_state::unknown;
        if (run == execution_state::unknown && request.atMostOnce)
            refuse(httpBadGateway, "outcome_unknown", "the upstream may have run the request", run);
    }
    refusal details;
    details.httpStatus = httpServiceUnavailable;
    details.code = "no_upstream";
    details.message = "no upstream of " + request.version + " is available";
    details.retryAfter = upstreamRetryAfter;
    throw refused_error(afterAttempts(details, run));
}

execution_state sender::runStateOf(const http_response &head)
{
    return head.header(runField) == toString(execution_state::no) ? execution_state::no
                                                                  : execution_state::unknown;
}

std::shared_ptr<upstream> sender::choose(const send_request &request,
                                         const std::vector<std::string> &tried) const
{
    node &host = m_dependencies.host;
    return host.upstreams().choose(request.version, tried, host.view().liveHosts(),
                                   request.prefixHash, host.time().now());
}

bool sender::tryConsumeRetry()
{
    const std::lock_guard<std::mutex> lock(m_budgetMutex);
    if (!m_budget.tryRetry())
        return false;
    m_dependencies.counters.retries.Increment();
    return true;
}

void sender::checkMaySend(const request_context &context, const send_request &request) const
{
    // The version was chosen earlier: since then the routing table may have changed, or this
    // process may have been suspended.
    traffic_view &view = m_dependencies.host.view();
    const bool admitting = view.mayAdmit(m_dependencies.host.time().now());
    const auto routing = view.routing();
    const table_row *row = findRow(routing->rows(), context.workspace(), request.version);
    const bool allowed = row != nullptr
        && (row->state == row_state::active
            || (row->state == row_state::withdrawn && request.pinned));
    if (!admitting || !allowed)
        refuse(503, admitting ? "version_withdrawn" : "host_not_in_touch",
               "the version may no longer be used, or this host may not admit requests",
               execution_state::no, std::chrono::seconds(1));
}

http_request sender::makeHttpRequest(const request_context &context, const send_request &request,
                                     const upstream_response &response) const
{
    http_request http;
    http.method = "POST";
    http.url = "http://" + response.from->address() + request.path;
    http.headers = request.headers;
    http.headers.push_back({"Content-Type", "application/json"});
    http.headers.push_back({"X-Request-Id", context.id()});
    http.headers.push_back({"traceparent", formatTraceparent(response.span->context())});
    http.body = request.body;
    http.noRetry = request.atMostOnce;
    const duration elapsed = m_dependencies.host.time().now() - context.arrived();
    const auto remaining = m_dependencies.configuration.requestDeadline
        - std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
    http.timeout = std::max(remaining, std::chrono::milliseconds(1));
    return http;
}

sender::attempt_result sender::attempt(request_context &context, const send_request &request,
                                       upstream_response &response) const
{
    const clock &time = m_dependencies.host.time();
    response.span = std::make_unique<scoped_span>(m_dependencies.spans, context.span().context(),
                                                  "upstream " + request.version);
    response.span->set("server.address", response.from->address());
    const time_point sentAt = time.now();
    response.from->recordSent(sentAt);
    try {
        response.stream = m_dependencies.client->open(makeHttpRequest(context, request, response));
        response.stream->head();
        const bool hasMore = response.stream->read(response.firstBytes);
        response.head = response.stream->head();
        response.from->recordFirstByte(time.now() - sentAt);
        if (isDrainingResponse(response.head))
            m_dependencies.host.markUpstreamDraining(response.from->address());
        if (isFailure(response.head)) {
            recordOutcome(response, false);
            return runStateOf(response.head) == execution_state::no ? attempt_result::not_run
                                                                    : attempt_result::may_have_run;
        }
        if (!hasMore && response.firstBytes.empty())
            response.stream.reset();
        return attempt_result::answered;
    } catch (const http_error &error) {
        response.span->set("error", error.what());
        recordOutcome(response, false);
        return error.maybeSent() ? attempt_result::may_have_run : attempt_result::not_run;
    }
}

std::string sender::readAll(upstream_response &response)
{
    std::string body = std::move(response.firstBytes);
    while (response.stream && response.stream->read(body)) { }
    return body;
}

void sender::recordOutcome(const upstream_response &response, bool success) const
{
    response.from->recordFinished(success, m_dependencies.host.time().now());
}

} // namespace goldcrestdeck
