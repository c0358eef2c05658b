#ifndef GOLDCRESTDECK_ADMIN_H_
#define GOLDCRESTDECK_ADMIN_H_

/// \file
/// The operators' HTTP API of a host: the table and its edits, hosts, accounts, explanations of
/// routing decisions, and traces.

#include <string>

#include "goldcrestdeck/chat.h"
#include "goldcrestdeck/request_context.h"

namespace goldcrestdeck {

class admin_handler
{
public:
    admin_handler(handler_dependencies &dependencies, const chat_handler &chat);

    /// Handles requests to /admin/v1/ after checking the operator's token.
    server_response handle(const server_request &request);

private:
    server_response table() const;
    server_response edit(const server_request &request) const;
    server_response hosts() const;
    server_response bills() const;
    server_response refusals() const;
    server_response explain(const server_request &request) const;
    server_response spans(const server_request &request) const;

    handler_dependencies &m_dependencies;
    const chat_handler &m_chat;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ADMIN_H_
