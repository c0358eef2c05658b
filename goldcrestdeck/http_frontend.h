#ifndef GOLDCRESTDECK_HTTP_FRONTEND_H_
#define GOLDCRESTDECK_HTTP_FRONTEND_H_

/// \file
/// The host's HTTP front end: dispatches each request to its handler and counts the requests in
/// progress.

#include <atomic>
#include <memory>

#include "goldcrestdeck/admin.h"
#include "goldcrestdeck/chat.h"
#include "goldcrestdeck/request_context.h"
#include "goldcrestdeck/service_call.h"

namespace goldcrestdeck {

class http_frontend
{
public:
    explicit http_frontend(handler_dependencies &dependencies);

    server_response handle(const server_request &request);

    /// Makes /readyz report that this host is not ready; requests are still served.
    void beginDraining() { m_draining = true; }
    std::size_t requestsInProgress() const { return m_inProgress.count(); }

private:
    server_response handleClientRequest(const server_request &request);
    /// Dispatches the request; exceptions become error responses.
    server_response respondToClient(const server_request &request);
    server_response dispatch(std::unique_ptr<request_context> &context,
                             const server_request &request);
    server_response readiness() const;

    handler_dependencies &m_dependencies;
    in_progress_counter m_inProgress;
    std::atomic<bool> m_draining{false};
    chat_handler m_chat;
    service_handler m_services;
    admin_handler m_admin;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HTTP_FRONTEND_H_
