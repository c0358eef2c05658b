// A token has the form "workspace:version:session:hmac". No field contains a colon (names in the
// table cannot, and session identifiers are hexadecimal), so different tokens never have the same
// signed text.

#include "goldcrestdeck/session_token.h"

#include <tuple>

#include "goldcrestdeck/digest.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxTokenLength = 512;

std::string takeField(std::string &rest)
{
    const std::size_t colon = rest.find(':');
    std::string field = rest.substr(0, colon);
    rest = colon == std::string::npos ? std::string() : rest.substr(colon + 1);
    return field;
}

} // namespace

bool operator==(const session_token &a, const session_token &b)
{
    return std::tie(a.workspace, a.version, a.sessionId)
        == std::tie(b.workspace, b.version, b.sessionId);
}

std::string signToken(const session_token &token, const std::vector<std::string> &keys)
{
    const std::string text = token.workspace + ':' + token.version + ':' + token.sessionId;
    return text + ':' + hmacHex(keys.front(), text);
}

std::optional<session_token> verifyToken(const std::string &text,
                                         const std::vector<std::string> &keys)
{
    const std::size_t separator = text.rfind(':');
    if (text.size() > maxTokenLength || separator == std::string::npos)
        return std::nullopt;
    const std::string signedText = text.substr(0, separator);
    const std::string signature = text.substr(separator + 1);
    for (const std::string &key : keys) {
        if (!equalConstantTime(hmacHex(key, signedText), signature))
            continue;
        std::string rest = signedText;
        session_token token;
        token.workspace = takeField(rest);
        token.version = takeField(rest);
        token.sessionId = rest;
        return token;
    }
    return std::nullopt;
}

} // namespace goldcrestdeck
