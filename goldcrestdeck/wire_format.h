#ifndef GOLDCRESTDECK_WIRE_FORMAT_H_
#define GOLDCRESTDECK_WIRE_FORMAT_H_

/// \file
/// The parts of a request and of a response that the forwarder uses, independent of header names. A
/// binding implements the functions of wire_format; it only translates and makes no routing
/// decisions.

#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "goldcrestdeck/http_message.h"

namespace goldcrestdeck {

/// The request is incomplete or malformed; what() tells the client the reason.
class request_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// A segment of a prompt that several requests may have in common.
struct prompt_segment {
    std::string id;
    std::uint64_t tokens = 0;
};

struct client_request {
    std::string id;
    std::string host;
    std::string path; ///< Including the query string.
    std::string key;  ///< API key of the workspace; empty if none was sent.
    std::string session;
    std::optional<std::chrono::milliseconds> timeout; ///< The client's timeout.
    /// False if the client leaves the choice of the model to the router; such a request is refused
    /// if its route has no models.
    bool specifiesModel = true;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::optional<std::uint64_t> estimatedOutputTokens; ///< The client's estimate.
    std::vector<prompt_segment> promptSegments;         ///< The segments in order.
    http1_request message;                              ///< As received.
};

/// The parts of a request's head that determine its route and workspace, as in client_request.
struct request_target {
    std::string host;
    std::string path;
    std::string key;
};

/// Values set in the client's request for one attempt to send it to an instance.
struct attempt_options {
    std::string instanceId;
    std::chrono::milliseconds remainingTime{0}; ///< Until the request's deadline.
    std::string workspace;                      ///< Empty if none.
    std::string model;                          ///< Empty: unchanged.
    std::optional<unsigned> priority;
    std::string lastEventId; ///< Empty: unchanged.
};

/// Values from the header fields of an upstream's response.
struct response_metadata {
    std::string requestId;
    bool isComplete = false;    ///< The upstream marked it as the result of a completed execution.
    bool notExecuted = false;   ///< The upstream has not executed the request and will not.
    bool wrongInstance = false; ///< The address now belongs to another process.
    std::optional<unsigned> confidence; ///< The model's confidence in its response, 0 to 100.
    /// Requests per second that the instance accepts from all hosts together, for as long as its
    /// responses say so.
    std::optional<double> rateLimit;
    std::optional<std::string> malformedRateLimit; ///< The field's text if it is not a number.
    /// Rejections a second that the instance bears from all hosts together, for as long as its
    /// responses say so; beyond that it fails.
    std::optional<double> bearableRejections;
    std::optional<std::string> malformedBearableRejections; ///< The field's text likewise.
    std::optional<std::chrono::milliseconds> coldLeft;      ///< For which the instance stays cold.
    bool leaving = false; ///< The instance is about to stop and wants no more requests.
};

struct wire_format {
    /// \throws request_error
    std::function<client_request(http1_request)> decodeRequest;
    std::function<http1_request(const client_request &, const attempt_options &)> encodeRequest;
    std::function<response_metadata(const http1_response_head &)> decodeResponse;
    std::function<request_target(const http1_request_head &)> decodeTarget;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_WIRE_FORMAT_H_
