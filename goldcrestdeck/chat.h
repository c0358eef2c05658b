#ifndef GOLDCRESTDECK_CHAT_H_
#define GOLDCRESTDECK_CHAT_H_

/// \file
/// Handlers of the OpenAI-compatible API: chat completions, streaming or not, and the model list.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "goldcrestdeck/json.h"
#include "goldcrestdeck/rater.h"
#include "goldcrestdeck/request_context.h"
#include "goldcrestdeck/sender.h"
#include "goldcrestdeck/session_token.h"

namespace goldcrestdeck {

/// A parsed and validated chat completions request.
struct chat_request {
    json_value body;
    std::string model;
    bool stream = false;
    std::string workClass;
    bool allowsCascade = false; ///< The client accepts the extra latency of a cascade.
    std::string sessionId;
    std::string pinnedVersion; ///< Empty for a new session.
    std::uint64_t prefixHash = 0;
};

/// A routing decision with its inputs; also what /admin/v1/explain returns.
struct chat_decision {
    std::vector<version_option> candidates;
    double target = 0;
    std::vector<plan_share> shares;
    decision chosen;
};

class chat_handler
{
public:
    explicit chat_handler(handler_dependencies &dependencies);

    /// Handles a chat completions request. A streamed response takes ownership of \a context; if
    /// refused_error is thrown, \a context is left in place.
    server_response complete(std::unique_ptr<request_context> &context,
                             const server_request &request);
    server_response listModels(request_context &context) const;

    /// Decides how a request of \a workspace is routed. \a draw is a uniform random number in
    /// [0, 1). Changes no state.
    chat_decision decide(const std::string &workspace, const std::string &model,
                         const std::string &workClass, bool mayCascade, double draw) const;

private:
    chat_request parse(const request_context &context, const server_request &request) const;
    void readSession(const request_context &context, const server_request &request,
                     chat_request &chat) const;
    decision choose(const request_context &context, const chat_request &chat);
    /// The most urgent priority of the rows that \a chat may use. \throws refused_error if there
    /// are none.
    priority_level priorityOf(const request_context &context, const chat_request &chat) const;
    send_request sendRequestFor(const chat_request &chat, const std::string &version) const;
    std::vector<http_header> responseHeaders(const request_context &context,
                                             const chat_request &chat,
                                             const std::string &version) const;
    server_response completeBuffered(request_context &context, const chat_request &chat,
                                     const decision &chosen);
    server_response completeStreaming(std::unique_ptr<request_context> &context,
                                      const chat_request &chat, const decision &chosen);
    /// Sends the request to the second version of a cascade. On success, replaces \a version and
    /// \a body by the second version's; otherwise the first response stands.
    void escalate(request_context &context, const chat_request &chat, const std::string &second,
                  std::string &version, std::string &body);
    std::string fetchResponse(request_context &context, const chat_request &chat,
                              const std::string &version);
    std::uint64_t costOf(const request_context &context, const std::string &version) const;

    handler_dependencies &m_dependencies;
    sender m_sender;
    rater m_rater;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CHAT_H_
