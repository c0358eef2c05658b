#include "goldcrestdeck/request_context.h"

#include <algorithm>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t requestIdBytes = 12;
constexpr std::chrono::seconds admissionRetryAfter{2};
constexpr std::chrono::seconds overloadRetryAfter{1};
/// Rate up to which refusals of unauthenticated requests are recorded one by one. Beyond it they
/// are only counted in the metrics, so that unauthenticated clients cannot fill the account.
constexpr double unauthenticatedRefusalsPerSecond = 50;
constexpr const char *unknownWorkspace = "-";

std::chrono::seconds roundUp(duration time)
{
    return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(time));
}

trace_context parentContext(const server_request &request)
{
    return parseTraceparent(request.header("traceparent")).value_or(trace_context());
}

std::string bearerToken(const server_request &request)
{
    const std::string prefix = "Bearer ";
    const std::string header = request.header("Authorization");
    return header.compare(0, prefix.size(), prefix) == 0 ? header.substr(prefix.size())
                                                         : std::string();
}

} // namespace

void refuse(int httpStatus, const std::string &code, const std::string &message,
            execution_state run, std::chrono::seconds retryAfter)
{
    refusal details{httpStatus, code, message, run, std::nullopt};
    if (retryAfter.count() > 0)
        details.retryAfter = retryAfter;
    throw refused_error(details);
}

request_context::request_context(handler_dependencies &dependencies,
                                 in_progress_counter &inProgress, const server_request &request)
    : m_dependencies(dependencies)
    , m_inProgress(inProgress)
    , m_id(randomHex(requestIdBytes))
    , m_span(dependencies.spans, parentContext(request), request.method() + " " + request.path())
    , m_arrived(dependencies.host.time().now())
{
    m_inProgress.enter();
    m_dependencies.counters.requestsInProgress.Increment();
    m_span.set("goldcrestdeck.request_id", m_id);
}

request_context::~request_context()
{
    m_dependencies.counters.requestsInProgress.Decrement();
    m_inProgress.leave();
}

void request_context::authenticate(const server_request &request)
{
    const std::string key = bearerToken(request);
    if (key.empty())
        refuse(401, "key_missing", "send the workspace's API key as a bearer token");
    const auto routing = m_dependencies.host.view().routing();
    const std::string *workspace = routing->workspaceOf(sha256Hex(key));
    // The key may be new: it is reported as unknown only if the table is known to be in force.
    if (workspace == nullptr)
        checkMayAdmit();
    if (workspace == nullptr)
        refuse(401, "key_unknown", "no workspace has this API key");
    m_workspace = *workspace;
    m_span.set("goldcrestdeck.workspace", m_workspace);
}

void request_context::checkBodySize(const server_request &request) const
{
    const std::size_t maxBytes = m_dependencies.configuration.maxBodyBytes;
    if (request.bodySize() > maxBytes)
        refuse(413, "body_too_large", "the body exceeds " + std::to_string(maxBytes) + " bytes");
}

void request_context::checkMayAdmit() const
{
    if (!m_dependencies.host.view().mayAdmit(m_dependencies.host.time().now()))
        refuse(503, "host_not_in_touch",
               "this host cannot confirm that its table is still in force", execution_state::no,
               admissionRetryAfter);
}

void request_context::admit(priority_level priority)
{
    checkMayAdmit();
    traffic_view &view = m_dependencies.host.view();
    const time_point now = m_dependencies.host.time().now();
    if (!view.hasAccountCapacity())
        refuse(503, "accounts_full", "no room for further account records", execution_state::no,
               admissionRetryAfter);
    const double load = static_cast<double>(m_inProgress.count())
        / static_cast<double>(m_dependencies.configuration.maxRequestsInProgress);
    if (load >= 1 || priority > highestAdmittedPriority(load))
        refuse(503, "overloaded", "too many requests are in progress", execution_state::no,
               overloadRetryAfter);
    duration wait{};
    if (!view.limits().take(m_workspace, now, wait))
        refuse(429, "limit_exceeded", "the workspace's rate limit is reached", execution_state::no,
               roundUp(wait));
}

std::vector<http_header> request_context::headers() const
{
    return {{"X-Request-Id", m_id}, {"traceparent", formatTraceparent(m_span.context())}};
}

void request_context::record(const refusal &details)
{
    m_dependencies.counters.refused(details.code, toString(details.run)).Increment();
    m_span.set("goldcrestdeck.refusal", details.code);
    m_span.set("goldcrestdeck.run", toString(details.run));
    if (m_workspace == unknownWorkspace) {
        const time_point now = m_dependencies.host.time().now();
        duration wait{};
        m_dependencies.host.view().limits().setRate(unknownWorkspace,
                                                    unauthenticatedRefusalsPerSecond, now);
        if (!m_dependencies.host.view().limits().take(unknownWorkspace, now, wait))
            return;
    }
    refusal_record entry;
    entry.when = m_dependencies.host.time().wallNow();
    entry.workspace = m_workspace;
    entry.requestId = m_id;
    entry.code = details.code;
    entry.run = details.run;
    m_dependencies.host.recordRefusal(entry);
}

server_response request_context::refusalResponse(const refusal &details)
{
    record(details);
    json_value error = json_value::object();
    error.set("code", details.code);
    error.set("message", details.message);
    error.set("type", "goldcrestdeck_refusal");
    error.set("run", toString(details.run));
    error.set("request_id", m_id);
    server_response response;
    response.status = details.httpStatus;
    response.headers = headers();
    response.headers.push_back({"Content-Type", "application/json"});
    if (details.retryAfter) {
        error.set("retry_after_seconds", static_cast<std::uint64_t>(details.retryAfter->count()));
        response.headers.push_back({"Retry-After", std::to_string(details.retryAfter->count())});
    }
    json_value document = json_value::object();
    document.set("error", error);
    response.body = document.dump();
    return response;
}

void request_context::recordTruncatedResponse(const std::string &code)
{
    m_dependencies.counters.streamsCut.Increment();
    record({502, code, "", execution_state::unknown, std::nullopt});
}

void request_context::recordBill(const std::string &version, std::uint64_t costMicros)
{
    m_dependencies.counters.completed(version).Increment();
    m_span.set("goldcrestdeck.version", version);
    m_span.set("goldcrestdeck.cost_micros", std::to_string(costMicros));
    m_dependencies.host.recordBill({m_workspace, version}, costMicros);
    const duration elapsed = m_dependencies.host.time().now() - m_arrived;
    m_dependencies.counters.requestSeconds.Observe(std::chrono::duration<double>(elapsed).count());
}

} // namespace goldcrestdeck
