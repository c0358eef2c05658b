#ifndef GOLDCRESTDECK_HTTP_MESSAGE_H_
#define GOLDCRESTDECK_HTTP_MESSAGE_H_

/// \file
/// HTTP messages as the event-driven server (async_server.h) and client (async_client.h) pass them
/// on, and the checks on raw bytes that the parsing library leaves to its user.

#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace goldcrestdeck {

using http_fields = boost::beast::http::fields;
using http1_request = boost::beast::http::request<boost::beast::http::string_body>;
using http1_response = boost::beast::http::response<boost::beast::http::string_body>;
/// Status line and header fields, without the body.
using http1_response_head = boost::beast::http::response_header<http_fields>;

/// Whether the bytes of a request's head, up to and including the empty line, are free of the forms
/// on which two parsers may disagree: bare line feeds or carriage returns, control bytes, folded
/// lines, space before a colon, more than one Content-Length or Host, both Content-Length and
/// Transfer-Encoding, a transfer coding other than a single "chunked".
bool isUnambiguousHead(const std::string &head);

/// Removes the fields that concern one connection only, those that Connection names included.
void removeConnectionFields(http_fields &fields);

/// The head of a message as bytes, the closing empty line included.
std::string serializeHead(const http1_response_head &head);
std::string serializeRequest(const http1_request &request);

/// One chunk of a chunked body; \a data must not be empty, since an empty chunk ends the body.
std::string encodeChunk(const std::string &data);
extern const char *const closingChunk;

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HTTP_MESSAGE_H_
