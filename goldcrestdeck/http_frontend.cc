#include "goldcrestdeck/http_frontend.h"

namespace goldcrestdeck {

namespace {

constexpr int httpUnavailable = 503;

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

http_frontend::http_frontend(handler_dependencies &dependencies)
    : m_dependencies(dependencies)
    , m_chat(dependencies)
    , m_services(dependencies)
    , m_admin(dependencies, m_chat)
{ }

server_response http_frontend::handle(const server_request &request)
{
    const std::string path = request.path();
    if (startsWith(path, "/admin/"))
        return m_admin.handle(request);
    if (path == "/readyz")
        return readiness();
    server_response response;
    if (path == "/healthz") {
        response.body = "ok\n";
        return response;
    }
    if (path == "/metrics") {
        response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
        response.body = m_dependencies.counters.serialize();
        return response;
    }
    return handleClientRequest(request);
}

server_response http_frontend::readiness() const
{
    const bool admits = m_dependencies.host.view().mayAdmit(m_dependencies.host.time().now());
    server_response response;
    response.status = admits && !m_draining ? 200 : httpUnavailable;
    response.body = m_draining ? "stopping\n" : admits ? "ready\n" : "not in touch\n";
    return response;
}

server_response http_frontend::handleClientRequest(const server_request &request)
{
    server_response response = respondToClient(request);
    // A persistent connection would carry further requests to a host that is draining.
    if (m_draining)
        response.headers.push_back({"Connection", "close"});
    return response;
}

server_response http_frontend::respondToClient(const server_request &request)
{
    auto context = std::make_unique<request_context>(m_dependencies, m_inProgress, request);
    try {
        return dispatch(context, request);
    } catch (const refused_error &error) {
        // A handler that streams its response takes ownership of the context, but only after the
        // last point at which it may refuse; so the context is still set here.
        return context->refusalResponse(error.details());
    } catch (const std::exception &error) {
        return context->refusalResponse(
            {500, "internal_error", error.what(), execution_state::unknown, std::nullopt});
    }
}

server_response http_frontend::dispatch(std::unique_ptr<request_context> &context,
                                        const server_request &request)
{
    const std::string path = request.path();
    const std::string method = request.method();
    context->authenticate(request);
    context->checkBodySize(request);
    if (path == "/v1/chat/completions" && method == "POST")
        return m_chat.complete(context, request);
    if (path == "/v1/models" && method == "GET")
        return m_chat.listModels(*context);
    if (startsWith(path, "/v1/services/") && method == "POST")
        return m_services.call(*context, request);
    refuse(404, "path_unknown", "no such endpoint: " + method + " " + path);
}

} // namespace goldcrestdeck
