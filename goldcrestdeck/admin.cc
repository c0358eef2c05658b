#include "goldcrestdeck/admin.h"

#include "goldcrestdeck/digest.h"

namespace goldcrestdeck {

namespace {

constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpUnauthorized = 401;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpUnavailable = 503;

server_response jsonResponse(int status, const json_value &document)
{
    server_response response;
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = document.dump();
    return response;
}

server_response errorResponse(int status, const std::string &message)
{
    json_value document = json_value::object();
    document.set("error", message);
    return jsonResponse(status, document);
}

server_response listResponse(const json_value &rows)
{
    json_value document = json_value::object();
    document.set("rows", rows);
    return jsonResponse(httpOk, document);
}

int statusOf(edit_status status)
{
    switch (status) {
    case edit_status::accepted:
    case edit_status::stored:
        return httpOk;
    case edit_status::rejected:
        return httpConflict;
    case edit_status::unknown:
        break;
    }
    return httpUnavailable;
}

} // namespace

admin_handler::admin_handler(handler_dependencies &dependencies, const chat_handler &chat)
    : m_dependencies(dependencies)
    , m_chat(chat)
{ }

server_response admin_handler::handle(const server_request &request)
{
    const std::string prefix = "Bearer ";
    const std::string header = request.header("Authorization");
    const std::string token
        = header.compare(0, prefix.size(), prefix) == 0 ? header.substr(prefix.size()) : "";
    if (!equalConstantTime(sha256Hex(token), m_dependencies.configuration.operatorTokenSha256))
        return errorResponse(httpUnauthorized, "the operator's token is missing or wrong");
    const std::string path = request.path();
    try {
        if (path == "/admin/v1/table")
            return request.method() == "POST" ? edit(request) : table();
        if (path == "/admin/v1/hosts")
            return hosts();
        if (path == "/admin/v1/bills")
            return bills();
        if (path == "/admin/v1/refusals")
            return refusals();
        if (path == "/admin/v1/explain")
            return explain(request);
        if (path == "/admin/v1/spans")
            return spans(request);
    } catch (const platform_error &error) {
        return errorResponse(httpUnavailable, error.what());
    }
    return errorResponse(httpNotFound, "no such admin endpoint: " + path);
}

server_response admin_handler::table() const
{
    const config_value_message current = m_dependencies.host.configuration();
    json_value document = json_value::object();
    document.set("revision", current.revision);
    document.set("table",
                 current.value.empty() ? renderTable({})
                                       : renderTable(decodeConfig(current.value).rows));
    return jsonResponse(httpOk, document);
}

server_response admin_handler::edit(const server_request &request) const
{
    try {
        const edit_outcome outcome = m_dependencies.host.edit(decodeEditRequest(request.body()));
        json_value document = json_value::object();
        document.set("status", toString(outcome.status));
        document.set("revision", outcome.revision);
        document.set("message", outcome.message);
        json_value pendingHosts = json_value::array();
        for (const std::string &name : outcome.notInForceOn)
            pendingHosts.append(json_value(name));
        document.set("not_in_force_on", pendingHosts);
        return jsonResponse(statusOf(outcome.status), document);
    } catch (const table_error &error) {
        return errorResponse(httpBadRequest, error.what());
    }
}

server_response admin_handler::hosts() const
{
    json_value rows = json_value::array();
    for (const host_status &status : m_dependencies.host.hosts()) {
        json_value row = json_value::object();
        row.set("host", status.host.name);
        row.set("failure_domain", status.host.failureDomain);
        row.set("peer_address", status.host.peerAddress);
        row.set("voter", status.voter ? "yes" : "joining");
        row.set("live", status.live ? "yes" : "no");
        row.set("watcher", status.watcher ? "yes" : "no");
        rows.append(row);
    }
    return listResponse(rows);
}

server_response admin_handler::bills() const
{
    json_value rows = json_value::array();
    for (const auto &[key, sum] : m_dependencies.host.readAccount().totals) {
        json_value row = json_value::object();
        row.set("workspace", key.workspace);
        row.set("version", key.version);
        row.set("requests", std::to_string(sum.requests));
        row.set("cost_micros", std::to_string(sum.costMicros));
        rows.append(row);
    }
    return listResponse(rows);
}

server_response admin_handler::refusals() const
{
    json_value rows = json_value::array();
    for (const refusal_record &record : m_dependencies.host.readAccount().refusals) {
        json_value row = json_value::object();
        row.set("unix_ms", std::to_string(record.when.time_since_epoch().count()));
        row.set("workspace", record.workspace);
        row.set("request_id", record.requestId);
        row.set("code", record.code);
        row.set("run", toString(record.run));
        rows.append(row);
    }
    return listResponse(rows);
}

server_response admin_handler::explain(const server_request &request) const
{
    const std::string workClass
        = request.query("class").empty() ? "default" : request.query("class");
    const std::string model = request.query("model").empty() ? "auto" : request.query("model");
    const bool mayCascade = request.query("can_wait") == "yes";
    // The response shows the shares of all plans, so the draw does not matter.
    const chat_decision chatDecision
        = m_chat.decide(request.query("workspace"), model, workClass, mayCascade, 0.5);
    json_value rows = json_value::array();
    for (const version_option &considered : chatDecision.candidates) {
        double share = 0;
        std::string reason = "not_chosen";
        for (const plan_share &entry : chatDecision.shares) {
            if (entry.candidatePlan.first != considered.version)
                continue;
            share += entry.share;
            reason = toString(entry.reason);
            if (!entry.candidatePlan.second.empty())
                reason += ", then " + entry.candidatePlan.second;
        }
        if (considered.quality.suspended)
            reason = "suspended";
        json_value row = json_value::object();
        row.set("version", considered.version);
        row.set("cost_micros", std::to_string(considered.costMicros));
        row.set("target", std::to_string(chatDecision.target));
        row.set("quality_mean", std::to_string(considered.quality.mean));
        row.set("quality_lower_bound", std::to_string(considered.quality.lowerBound));
        row.set("ratings", std::to_string(considered.quality.weight));
        row.set("share", std::to_string(share));
        row.set("reason", reason);
        rows.append(row);
    }
    return listResponse(rows);
}

server_response admin_handler::spans(const server_request &request) const
{
    json_value rows = json_value::array();
    for (const span &found : m_dependencies.spans.find(request.query("trace")))
        rows.append(json_value::parse(encodeSpan(found, m_dependencies.configuration.name)));
    return listResponse(rows);
}

} // namespace goldcrestdeck
