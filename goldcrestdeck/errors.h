#ifndef GOLDCRESTDECK_ERRORS_H_
#define GOLDCRESTDECK_ERRORS_H_

/// \file
/// The exceptions of each layer, and the refusal sent to a client. Each layer translates the
/// exceptions of the layer below; only a refusal is sent out of the process.

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace goldcrestdeck {

/// Invalid settings file; the message names the file, the key and the expected value.
class settings_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Malformed operator table, or malformed edit of it; the message names line and column.
class table_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// The key-value service did not respond or returned an error. A write may have taken effect.
class platform_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// A malformed host address, an address that cannot be listened on, or an invalid message from
/// another host. A reply that does not arrive in time is not reported by an exception.
class peer_error : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/// Whether the request was executed on an upstream.
enum class execution_state { no, yes, unknown };

const char *toString(execution_state run);

/// Header field in which a host tells another one, or an upstream tells goldcrestd, whether a
/// request has been executed. Without it a status, such as 503 or 429, states nothing of the kind.
constexpr const char *runField = "Goldcrest-Run";

/// The final response to a rejected request.
struct refusal {
    int httpStatus = 503;
    std::string code; ///< Stable and machine-readable, such as "limit_exceeded".
    std::string message;
    execution_state run = execution_state::no;
    std::optional<std::chrono::seconds> retryAfter;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ERRORS_H_
