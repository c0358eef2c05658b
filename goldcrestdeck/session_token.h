#ifndef GOLDCRESTDECK_SESSION_TOKEN_H_
#define GOLDCRESTDECK_SESSION_TOKEN_H_

/// \file
/// Signed session tokens, held by the client, that name the version on which a session started.
///
/// Verification needs no stored state, so that any host accepts a token, also after a restart and
/// while the key-value service is unavailable. A token names the version to use; the table
/// determines whether that version may still be used.

#include <optional>
#include <string>
#include <vector>

namespace goldcrestdeck {

struct session_token {
    std::string workspace;
    std::string version;
    std::string sessionId;
};

bool operator==(const session_token &a, const session_token &b);

/// \a keys are the signing secrets, newest first. The first one signs and all of them verify, so
/// that keys can be rotated without ending sessions.
std::string signToken(const session_token &token, const std::vector<std::string> &keys);

/// \returns nothing if the signature of \a text does not match any of \a keys.
std::optional<session_token> verifyToken(const std::string &text,
                                         const std::vector<std::string> &keys);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_SESSION_TOKEN_H_
