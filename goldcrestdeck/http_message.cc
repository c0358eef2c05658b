// Beast accepts folded lines and repeated fields, which the parser of an upstream may interpret
// differently; requests that contain them are rejected before they are parsed. Of a response, Beast
// and libcurl accept any three digits as a status, Beast accepts folded lines, and libcurl any
// bytes as a field, so both HTTP clients check each line of its head.

#include "goldcrestdeck/http_message.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>

namespace goldcrestdeck {

namespace http = boost::beast::http;

const char *const lastChunk = "0\r\n\r\n";

namespace {

bool isControlCharacter(char byte)
{
    const auto code = static_cast<unsigned char>(byte);
    return (code < 0x20 && byte != '\t') || code == 0x7f;
}

bool hasControlCharacter(std::string_view line)
{
    return std::any_of(line.begin(), line.end(), isControlCharacter);
}

bool isDigit(char byte)
{
    return byte >= '0' && byte <= '9';
}

/// Number of occurrences of the fields that determine where a message ends and which host it
/// addresses.
struct framing_field_counts {
    int contentLengths = 0;
    int transferEncodings = 0;
    int hosts = 0;
};

bool isTokenCharacter(char byte)
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return isDigit(byte) || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z')
        || punctuation.find(byte) != std::string_view::npos;
}

bool isUnambiguousField(const std::string &line, framing_field_counts &seen)
{
    if (!isValidField(line))
        return false;
    const std::size_t colon = line.find(':');
    const std::string name = line.substr(0, colon);
    const std::string value = boost::algorithm::trim_copy(line.substr(colon + 1));
    if (boost::algorithm::iequals(name, "Content-Length"))
        return ++seen.contentLengths == 1 && !value.empty()
            && value.find_first_not_of("0123456789") == std::string::npos;
    if (boost::algorithm::iequals(name, "Transfer-Encoding"))
        return ++seen.transferEncodings == 1 && boost::algorithm::iequals(value, "chunked");
    if (boost::algorithm::iequals(name, "Host"))
        return ++seen.hosts == 1;
    return true;
}

} // namespace

const char *toString(body_framing framing)
{
    switch (framing) {
    case body_framing::length:
        return "length";
    case body_framing::chunked:
        return "chunked";
    case body_framing::connectionClose:
        break;
    }
    return "connection_close";
}

body_framing bodyFraming(const http1_response_head &head)
{
    if (head.find(http::field::transfer_encoding) != head.end())
        return body_framing::chunked;
    return head.find(http::field::content_length) != head.end() ? body_framing::length
                                                                : body_framing::connectionClose;
}

bool isUnambiguousHead(const std::string &head)
{
    framing_field_counts seen;
    bool first = true;
    for (std::size_t begin = 0; begin < head.size();) {
        const std::size_t end = head.find("\r\n", begin);
        if (end == std::string::npos)
            return false;
        const std::string line = head.substr(begin, end - begin);
        begin = end + 2;
        if (line.empty())
            return begin == head.size() && !first
                && (seen.contentLengths == 0 || seen.transferEncodings == 0);
        if (first ? hasControlCharacter(line) : !isUnambiguousField(line, seen))
            return false;
        first = false;
    }
    return false;
}

bool isValidStatusLine(std::string_view line)
{
    constexpr std::string_view protocol = "HTTP/1.";
    constexpr std::size_t statusAt = protocol.size() + 2; // After the minor version and a space.
    constexpr std::size_t statusDigits = 3;
    constexpr std::size_t statusEnd = statusAt + statusDigits;
    constexpr std::string_view switchingProtocols = "101";
    if (line.substr(0, protocol.size()) != protocol || line.size() < statusEnd
        || !isDigit(line[protocol.size()]) || line[statusAt - 1] != ' '
        || (line.size() > statusEnd && line[statusEnd] != ' '))
        return false;
    const std::string_view status = line.substr(statusAt, statusDigits);
    return std::all_of(status.begin(), status.end(), isDigit) && status.front() >= '1'
        && status.front() <= '5' && status != switchingProtocols && !hasControlCharacter(line);
}

bool promisesNotRun(unsigned status)
{
    switch (static_cast<http::status>(status)) {
    case http::status::request_timeout:
    case http::status::misdirected_request:
    case http::status::too_many_requests:
    case http::status::service_unavailable:
        return true;
    default:
        return false;
    }
}

bool isValidField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return false;
    const std::string_view name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), isTokenCharacter) && !hasControlCharacter(line);
}

void removeHopByHopFields(http_fields &fields)
{
    std::vector<std::string> listedFields;
    for (const auto token : http::token_list(fields[http::field::connection]))
        listedFields.emplace_back(token);
    for (const std::string &name : listedFields)
        fields.erase(name);
    for (const http::field name :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
          http::field::transfer_encoding, http::field::te, http::field::trailer,
          http::field::upgrade, http::field::expect})
        fields.erase(name);
}

std::string serializeHead(const http1_response_head &head)
{
    std::ostringstream out;
    out << head;
    return out.str();
}

std::string serializeRequest(const http1_request &request)
{
    std::ostringstream out;
    out << request.base();
    std::string bytes = out.str();
    bytes += request.body();
    return bytes;
}

std::string encodeChunk(const std::string &data)
{
    std::ostringstream size;
    size << std::hex << data.size();
    return size.str() + "\r\n" + data + "\r\n";
}

} // namespace goldcrestdeck
