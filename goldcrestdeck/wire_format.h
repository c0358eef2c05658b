#ifndef GOLDCRESTDECK_WIRE_FORMAT_H_
#define GOLDCRESTDECK_WIRE_FORMAT_H_

/// \file
/// What the forwarder needs to know of a request and of an answer, whatever the header fields are
/// called. A binding fills in the functions of wire_format; it translates and decides nothing.

#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "goldcrestdeck/http_message.h"

namespace goldcrestdeck {

/// The request lacks something or is malformed; the message says what.
class request_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// A part of a prompt that several requests may share.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

struct client_request {
    std::string id;
    std::string host;
    std::string path; ///< With its query.
    std::string key;  ///< Of a workspace; empty if none was sent.
    std::string session;
    std::optional<std::chrono::milliseconds> patience; ///< How long the client will wait.
    bool choosesModel = true; ///< The client names its model, or the route has none.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::optional<std::uint64_t> outputHint; ///< The client's guess of the output tokens.
    std::vector<prompt_part> prompt;         ///< In order.
    http1_request message;                   ///< As it came.
};

/// What one send to an instance adds to the client's request.
struct send_order {
    std::string instanceId;
    std::chrono::milliseconds timeLeft{0};
    std::string workspace; ///< Empty if none.
    std::string model;     ///< Empty: as the client sent it.
    std::optional<unsigned> priority;
    std::string lastEventId; ///< Empty: as the client sent it.
};

/// What an answer's head says.
struct answer_facts {
    std::string requestId;
    bool sealed = false;                ///< It bears the mark of a whole run of the upstream.
    bool notRun = false;                ///< The upstream has not run the request and will not.
    bool wrongInstance = false;         ///< Another process has this address.
    std::optional<unsigned> confidence; ///< The model's opinion of its answer, 0 to 100.
};

struct wire_format {
    /// \throws request_error
    std::function<client_request(http1_request)> decodeRequest;
    std::function<http1_request(const client_request &, const send_order &)> encodeRequest;
    std::function<answer_facts(const http1_response_head &)> decodeAnswer;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_WIRE_FORMAT_H_
