#ifndef GOLDCRESTDECK_SERVICE_CALL_H_
#define GOLDCRESTDECK_SERVICE_CALL_H_

/// \file
/// Handler of calls to plain services. Idempotent operations are retried like model requests. A
/// non-idempotent operation is first claimed in the operation ledger, and then sent at most once.

#include <string>

#include "goldcrestdeck/request_context.h"
#include "goldcrestdeck/sender.h"

namespace goldcrestdeck {

class service_handler
{
public:
    explicit service_handler(handler_dependencies &dependencies);

    /// Handles a request for /v1/services/SERVICE/OPERATION.
    server_response call(request_context &context, const server_request &request);

private:
    struct service_call {
        table_row row;
        send_request request;
    };

    service_call resolve(const request_context &context, const server_request &request) const;
    server_response callIdempotent(request_context &context, const service_call &call);
    /// Claims the operation and sends it, or responds according to the ledger's record of an
    /// earlier claim.
    server_response callAtMostOnce(request_context &context, const service_call &call,
                                   const std::string &idempotencyKey);
    /// Sends an operation that this request has claimed and records its outcome in the ledger.
    server_response sendClaimed(request_context &context, const service_call &call,
                                const ledger_entry &claim);
    server_response makeResponse(request_context &context, const service_call &call, int status,
                                 std::string body) const;

    handler_dependencies &m_dependencies;
    sender m_sender;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_SERVICE_CALL_H_
