#include "goldcrestdeck/service_call.h"

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/json.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxIdempotencyKeyLength = 200;
constexpr std::size_t attemptIdBytes = 12;
/// Of longer responses only the hash is stored, to bound the size of ledger pages.
constexpr std::size_t maxStoredResponseBytes = 1024;
constexpr std::chrono::seconds ledgerRetryAfter{5};
constexpr std::chrono::seconds noUpstreamRetryAfter{2};

bool isSuccess(long status)
{
    return status >= 200 && status < 300;
}

} // namespace

service_handler::service_handler(handler_dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_sender(dependencies)
{ }

service_handler::service_call service_handler::resolve(const request_context &context,
                                                       const server_request &request) const
{
    const std::string prefix = "/v1/services/";
    const std::string target = request.path().substr(prefix.size());
    const std::size_t slash = target.find('/');
    const std::string service = target.substr(0, slash);
    const std::string operation = slash == std::string::npos ? "" : target.substr(slash + 1);
    if (service.empty() || operation.empty() || operation.find('/') != std::string::npos)
        refuse(404, "path_unknown", "expected /v1/services/SERVICE/OPERATION");
    const auto routing = m_dependencies.host.view().routing();
    const table_row *cheapest = nullptr;
    bool known = false;
    for (const table_row *row : routing->rowsOf(context.workspace())) {
        const bool matches = row->calls != call_kind::completion
            && (modelOf(row->version) == service || row->version == service);
        known = known || matches;
        if (!matches || row->state != row_state::active)
            continue;
        const bool served = m_dependencies.host.upstreams().canServe(
            row->version, m_dependencies.host.time().now());
        if (served && (cheapest == nullptr || row->costMicros < cheapest->costMicros))
            cheapest = row;
    }
    if (!known)
        refuse(404, "service_not_allowed", "the workspace has no service '" + service + "'");
    if (cheapest == nullptr)
        refuse(503, "no_upstream",
               "no active version of '" + service + "' has an available upstream",
               execution_state::no, noUpstreamRetryAfter);
    service_call call;
    call.row = *cheapest;
    call.request.version = cheapest->version;
    call.request.path = "/v1/call/" + operation;
    call.request.body = request.body();
    call.request.atMostOnce = cheapest->calls == call_kind::at_most_once;
    return call;
}

server_response service_handler::call(request_context &context, const server_request &request)
{
    service_call resolved = resolve(context, request);
    const std::string key = request.header("Idempotency-Key");
    if (resolved.request.atMostOnce && (key.empty() || key.size() > maxIdempotencyKeyLength))
        refuse(400, "idempotency_key_required",
               "send an Idempotency-Key of 1 to 200 characters with this call");
    context.admit(resolved.row.priority);
    if (!key.empty())
        resolved.request.headers.push_back({"Idempotency-Key", key});
    return resolved.request.atMostOnce ? callAtMostOnce(context, resolved, key)
                                       : callIdempotent(context, resolved);
}

server_response service_handler::makeResponse(request_context &context, const service_call &call,
                                              int status, std::string body) const
{
    server_response response;
    response.status = status;
    response.headers = context.headers();
    response.headers.push_back({"Content-Type", "application/json"});
    response.headers.push_back({"Goldcrest-Version", call.row.version});
    response.headers.push_back({"Goldcrest-Cost-Micros", std::to_string(call.row.costMicros)});
    response.body = std::move(body);
    return response;
}

server_response service_handler::callIdempotent(request_context &context, const service_call &call)
{
    upstream_response response = m_sender.send(context, call.request);
    std::string body;
    try {
        body = sender::readAll(response);
    } catch (const http_error &) {
        m_sender.recordOutcome(response, false);
        refuse(502, "answer_cut",
               "the upstream closed the connection before its response was complete",
               execution_state::unknown);
    }
    m_sender.recordOutcome(response, true);
    if (isSuccess(response.head.status))
        context.recordBill(call.row.version, call.row.costMicros);
    return makeResponse(context, call, static_cast<int>(response.head.status), std::move(body));
}

server_response service_handler::callAtMostOnce(request_context &context, const service_call &call,
                                                const std::string &idempotencyKey)
{
    ledger_entry claim;
    claim.operation = operationHash(context.workspace(), idempotencyKey);
    claim.payload
        = sha256Hex(call.row.version + '\n' + call.request.path + '\n' + call.request.body);
    claim.attempt = m_dependencies.host.source() + "/" + randomHex(attemptIdBytes);
    claim.when = m_dependencies.host.time().wallNow();
    claim_result result;
    try {
        const scoped_span span(m_dependencies.spans, context.span().context(), "claim");
        result = m_dependencies.host.ledger().shardOf(claim.operation).claim(claim);
    } catch (const platform_error &error) {
        refuse(503, "ledger_unavailable", error.what(), execution_state::no, ledgerRetryAfter);
    }
    switch (result.verdict) {
    case claim_verdict::won:
        return sendClaimed(context, call, claim);
    case claim_verdict::may_have_run:
        m_dependencies.counters.operationsMayHaveRun.Increment();
        refuse(409, "operation_may_have_run",
               "an earlier request with this key may have run; it is not sent again",
               execution_state::unknown);
    case claim_verdict::payload_conflict:
        refuse(409, "idempotency_key_reused",
               "this key was used with another request; this one has not run");
    case claim_verdict::replay:
        break;
    }
    std::string body = result.state.responseBody;
    if (sha256Hex(body) != result.state.responseHash) {
        // The response was too long to store; only its hash is known.
        json_value digest = json_value::object();
        digest.set("replayed", true);
        digest.set("answer_sha256", result.state.responseHash);
        body = digest.dump();
    }
    server_response response = makeResponse(context, call, result.state.status, std::move(body));
    response.headers.push_back({"Goldcrest-Replayed", "yes"});
    return response;
}

server_response service_handler::sendClaimed(request_context &context, const service_call &call,
                                             const ledger_entry &claim)
{
    operation_ledger &ledger = m_dependencies.host.ledger().shardOf(claim.operation);
    ledger_entry outcome = claim;
    upstream_response response;
    std::string body;
    try {
        response = m_sender.send(context, call.request);
        body = sender::readAll(response);
    } catch (const refused_error &error) {
        // The claim may be released only if the operation has certainly not run.
        if (error.details().run == execution_state::no) {
            outcome.event = ledger_event::release;
            ledger.append(outcome);
        }
        throw;
    } catch (const http_error &) {
        m_sender.recordOutcome(response, false);
        refuse(502, "outcome_unknown", "the upstream may have run the request",
               execution_state::unknown);
    }
    m_sender.recordOutcome(response, true);
    outcome.event = ledger_event::done;
    outcome.status = static_cast<int>(response.head.status);
    outcome.responseHash = sha256Hex(body);
    if (body.size() <= maxStoredResponseBytes)
        outcome.responseBody = body;
    ledger.append(outcome);
    if (isSuccess(response.head.status))
        context.recordBill(call.row.version, call.row.costMicros);
    return makeResponse(context, call, outcome.status, std::move(body));
}

} // namespace goldcrestdeck
