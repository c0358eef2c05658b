#ifndef GOLDCRESTDECK_HTTP_MESSAGE_H_
#define GOLDCRESTDECK_HTTP_MESSAGE_H_

/// \file
/// HTTP message types shared by the asynchronous server (async_server.h) and client
/// (async_client.h), and the checks of raw bytes that Beast's parser and libcurl do not make.

#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace goldcrestdeck {

using http_fields = boost::beast::http::fields;
using http1_request = boost::beast::http::request<boost::beast::http::string_body>;
using http1_response = boost::beast::http::response<boost::beast::http::string_body>;
/// Request line and header fields, without the body.
using http1_request_head = boost::beast::http::request_header<http_fields>;
/// Status line and header fields, without the body.
using http1_response_head = boost::beast::http::response_header<http_fields>;

/// How the end of a response body is marked.
enum class body_framing {
    length,         ///< By Content-Length.
    chunked,        ///< By the last chunk.
    connectionClose ///< By the end of the connection; a truncated body looks the same.
};

const char *toString(body_framing framing);
body_framing bodyFraming(const http1_response_head &head);

/// Returns whether a request's head, up to and including the empty line, is free of the forms that
/// two parsers may interpret differently (request smuggling): bare line feeds or carriage returns,
/// control characters, folded lines, whitespace before a colon, more than one Content-Length or
/// Host, both Content-Length and Transfer-Encoding, and any transfer coding other than a single
/// "chunked".
bool isUnambiguousHead(const std::string &head);

/// Returns whether \a line, without its line end, is the status line of a response to a request
/// without an Upgrade field: a status from 100 to 599 other than 101, and no control characters.
bool isValidStatusLine(std::string_view line);

/// Returns whether \a line, without its line end, is one header field: a token as its name,
/// directly followed by a colon, and no control characters. A folded line is none.
bool isValidField(std::string_view line);

/// Returns whether \a status tells a client that its request has not run and never will: 408, 421,
/// 429 and 503. Clients repeat at-most-once requests after them. An upstream may send such a status
/// for other reasons, so its status alone is no evidence that it has not run the request.
bool promisesNotRun(unsigned status);

/// Removes the hop-by-hop fields, including those listed in the Connection field.
void removeHopByHopFields(http_fields &fields);

/// Serializes the head of a message, including the empty line that ends it.
std::string serializeHead(const http1_response_head &head);
std::string serializeRequest(const http1_request &request);

/// Encodes one chunk of a chunked body; \a data must not be empty, since an empty chunk ends the
/// body.
std::string encodeChunk(const std::string &data);
/// The last chunk and an empty trailer section.
extern const char *const lastChunk;

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HTTP_MESSAGE_H_
