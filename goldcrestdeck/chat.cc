#include "goldcrestdeck/chat.h"

#include <algorithm>

#include "goldcrestdeck/digest.h"
#include "goldcrestdeck/relay.h"

namespace goldcrestdeck {

namespace {

constexpr const char *chatPath = "/v1/chat/completions";
constexpr const char *autoModel = "auto";
constexpr const char *defaultClass = "default";
constexpr const char *sessionHeaderName = "Goldcrest-Session";
constexpr std::size_t maxClassLength = 32;
constexpr std::size_t sessionIdBytes = 12;
/// Leading bytes of the prompt that are hashed for prefix affinity.
constexpr std::size_t maxPrefixBytes = 256;
constexpr std::chrono::seconds noVersionRetryAfter{30};
constexpr std::chrono::seconds noUpstreamRetryAfter{2};
constexpr int httpOk = 200;

bool matches(const table_row &row, const std::string &model)
{
    return row.calls == call_kind::completion
        && (model == autoModel || model == modelOf(row.version) || model == row.version);
}

bool isValidClassName(const std::string &text)
{
    return !text.empty() && text.size() <= maxClassLength
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_") == std::string::npos;
}

} // namespace

chat_handler::chat_handler(handler_dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_sender(dependencies)
    , m_rater(dependencies)
{ }

server_response chat_handler::complete(std::unique_ptr<request_context> &context,
                                       const server_request &request)
{
    const chat_request chat = parse(*context, request);
    context->admit(priorityOf(*context, chat));
    const decision chosen = choose(*context, chat);
    context->span().set("goldcrestdeck.plan", toString(chosen.reason));
    if (chat.stream)
        return completeStreaming(context, chat, chosen);
    return completeBuffered(*context, chat, chosen);
}

chat_request chat_handler::parse(const request_context &context,
                                 const server_request &request) const
{
    const std::string text = request.body();
    try {
        chat_request chat{json_value::parse(text), "", false, "", false, "", "", 0};
        if (!chat.body.isObject() || !chat.body.has("messages")
            || chat.body.get("messages").size() == 0)
            refuse(400, "body_invalid",
                   "expected a JSON object with 'model' and a non-empty 'messages'");
        chat.model = chat.body.string("model");
        chat.stream = chat.body.boolean("stream", false);
        const std::string requestedClass = request.header("Goldcrest-Class");
        if (!requestedClass.empty() && !isValidClassName(requestedClass))
            refuse(400, "class_invalid",
                   "Goldcrest-Class must be 1 to 32 characters of a-z, 0-9, - and _");
        chat.workClass = requestedClass.empty() ? defaultClass : requestedClass;
        chat.allowsCascade = request.header("Goldcrest-Can-Wait") == "yes";
        const std::string messages = chat.body.get("messages").dump();
        chat.prefixHash = stableHash(messages.substr(0, maxPrefixBytes));
        readSession(context, request, chat);
        return chat;
    } catch (const json_error &error) {
        refuse(400, "body_invalid", error.what());
    }
}

void chat_handler::readSession(const request_context &context, const server_request &request,
                               chat_request &chat) const
{
    const std::string text = request.header(sessionHeaderName);
    if (text.empty()) {
        chat.sessionId = randomHex(sessionIdBytes);
        return;
    }
    const auto token = verifyToken(text, m_dependencies.configuration.sessionKeys);
    if (!token || token->workspace != context.workspace())
        refuse(400, "session_invalid",
               "the session token is invalid or was issued to another workspace");
    chat.sessionId = token->sessionId;
    chat.pinnedVersion = token->version;
}

priority_level chat_handler::priorityOf(const request_context &context,
                                        const chat_request &chat) const
{
    const auto routing = m_dependencies.host.view().routing();
    std::optional<priority_level> priority;
    for (const table_row *row : routing->rowsOf(context.workspace()))
        if (matches(*row, chat.model) && (!priority || row->priority < *priority))
            priority = row->priority;
    if (!priority)
        refuse(404, "model_not_allowed", "the workspace has no model '" + chat.model + "'");
    return *priority;
}

chat_decision chat_handler::decide(const std::string &workspace, const std::string &model,
                                   const std::string &workClass, bool mayCascade, double draw) const
{
    node &host = m_dependencies.host;
    const auto routing = host.view().routing();
    const auto quality = host.view().quality();
    chat_decision result;
    for (const table_row *row : routing->rowsOf(workspace)) {
        result.target = row->qualityTarget;
        const bool isEligible = row->state == row_state::active && matches(*row, model)
            && host.upstreams().canServe(row->version, host.time().now());
        if (!isEligible)
            continue;
        const quality_estimate estimate
            = quality->find({{workClass, row->version}, row->qualityTarget});
        result.candidates.push_back({row->version, row->costMicros, row->weight, estimate});
    }
    result.shares = planShares(result.candidates, result.target, mayCascade, policy_parameters());
    result.chosen = choosePlan(result.shares, draw);
    return result;
}

decision chat_handler::choose(const request_context &context, const chat_request &chat)
{
    if (!chat.pinnedVersion.empty()) {
        const auto routing = m_dependencies.host.view().routing();
        const table_row *row = findRow(routing->rows(), context.workspace(), chat.pinnedVersion);
        if (row == nullptr || row->state == row_state::barred)
            refuse(410, "session_ended", "the version to which this session is pinned is barred");
        return {{chat.pinnedVersion, "", 0, 0}, plan_reason::none};
    }
    const bool mayCascade = chat.allowsCascade && !chat.stream;
    const chat_decision result = decide(context.workspace(), chat.model, chat.workClass, mayCascade,
                                        m_rater.drawUniform());
    if (result.candidates.empty())
        refuse(503, "no_upstream",
               "no active version of '" + chat.model + "' has an available upstream",
               execution_state::no, noUpstreamRetryAfter);
    if (result.shares.empty())
        refuse(503, "no_version_meets_target",
               "every version of '" + chat.model + "' is below the quality target",
               execution_state::no, noVersionRetryAfter);
    return result.chosen;
}

send_request chat_handler::sendRequestFor(const chat_request &chat,
                                          const std::string &version) const
{
    json_value body = json_value::parse(chat.body.dump());
    body.set("model", version);
    send_request request;
    request.version = version;
    request.path = chatPath;
    request.body = body.dump();
    request.prefixHash = chat.prefixHash;
    request.pinned = !chat.pinnedVersion.empty();
    return request;
}

std::vector<http_header> chat_handler::responseHeaders(const request_context &context,
                                                       const chat_request &chat,
                                                       const std::string &version) const
{
    std::vector<http_header> headers = context.headers();
    headers.push_back({"Content-Type", chat.stream ? "text/event-stream" : "application/json"});
    headers.push_back({"Goldcrest-Version", version});
    headers.push_back({"Goldcrest-Cost-Micros", std::to_string(costOf(context, version))});
    headers.push_back({sessionHeaderName,
                       signToken({context.workspace(), version, chat.sessionId},
                                 m_dependencies.configuration.sessionKeys)});
    return headers;
}

std::uint64_t chat_handler::costOf(const request_context &context, const std::string &version) const
{
    const auto routing = m_dependencies.host.view().routing();
    const table_row *row = findRow(routing->rows(), context.workspace(), version);
    return row == nullptr ? 0 : row->costMicros;
}

std::string chat_handler::fetchResponse(request_context &context, const chat_request &chat,
                                        const std::string &version)
{
    upstream_response response = m_sender.send(context, sendRequestFor(chat, version));
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
    if (response.head.status != httpOk)
        refuse(400, "rejected_by_upstream", body, sender::runStateOf(response.head));
    const duration firstByteTime = m_dependencies.host.time().now() - context.arrived();
    m_dependencies.counters.firstByteSeconds.Observe(
        std::chrono::duration<double>(firstByteTime).count());
    return body;
}

void chat_handler::escalate(request_context &context, const chat_request &chat,
                            const std::string &second, std::string &version, std::string &body)
{
    try {
        body = fetchResponse(context, chat, second);
    } catch (const refused_error &) {
        // The first version's response is already billed, so a refusal that reports "not run" would
        // be wrong; the client gets that response instead.
        return;
    }
    version = second;
    context.recordBill(version, costOf(context, version));
}

server_response chat_handler::completeBuffered(request_context &context, const chat_request &chat,
                                               const decision &chosen)
{
    std::string version = chosen.selectedPlan.first;
    std::string body = fetchResponse(context, chat, version);
    context.recordBill(version, costOf(context, version));
    if (!chosen.selectedPlan.second.empty()) {
        const auto rating = m_rater.rate({chat.workClass, version}, body);
        if (!rating || *rating < passThreshold)
            escalate(context, chat, chosen.selectedPlan.second, version, body);
    } else if (m_rater.shouldRate(chosen.reason)) {
        m_rater.rateAsync({chat.workClass, version}, body);
    }
    server_response response;
    response.headers = responseHeaders(context, chat, version);
    response.body = std::move(body);
    return response;
}

server_response chat_handler::completeStreaming(std::unique_ptr<request_context> &context,
                                                const chat_request &chat, const decision &chosen)
{
    const std::string version = chosen.selectedPlan.first;
    upstream_response upstreamResponse = m_sender.send(*context, sendRequestFor(chat, version));
    if (upstreamResponse.head.status != httpOk) {
        std::string body;
        try {
            body = sender::readAll(upstreamResponse);
        } catch (const http_error &) {
            body = "the upstream rejected the request";
        }
        m_sender.recordOutcome(upstreamResponse, true);
        refuse(400, "rejected_by_upstream", body, sender::runStateOf(upstreamResponse.head));
    }
    const duration firstByteTime = m_dependencies.host.time().now() - context->arrived();
    m_dependencies.counters.firstByteSeconds.Observe(
        std::chrono::duration<double>(firstByteTime).count());
    server_response response;
    response.headers = responseHeaders(*context, chat, version);
    const std::uint64_t cost = costOf(*context, version);
    const rating_subject subject{chat.workClass, version};
    const plan_reason reason = chosen.reason;
    const auto onComplete = [this, subject, reason](const std::string &text) {
        if (m_rater.shouldRate(reason))
            m_rater.rateAsync(subject, text);
    };
    response.stream = std::make_unique<relay>(
        std::move(context), m_sender, std::move(upstreamResponse), version, cost, onComplete);
    return response;
}

server_response chat_handler::listModels(request_context &context) const
{
    const auto routing = m_dependencies.host.view().routing();
    json_value models = json_value::array();
    for (const table_row *row : routing->rowsOf(context.workspace())) {
        if (row->calls != call_kind::completion || row->state != row_state::active)
            continue;
        json_value model = json_value::object();
        model.set("id", row->version);
        model.set("object", "model");
        model.set("owned_by", modelOf(row->version));
        models.append(model);
    }
    json_value document = json_value::object();
    document.set("object", "list");
    document.set("data", models);
    server_response response;
    response.headers = context.headers();
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = document.dump();
    return response;
}

} // namespace goldcrestdeck
