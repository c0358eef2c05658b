#ifndef STANDINS_STANDIN_H_
#define STANDINS_STANDIN_H_

/// \file
/// Small stand-ins for the platform and the upstreams, for demonstrations and tests. Each is an
/// HTTP server; POST /fault with a JSON object sets the injected faults, an empty object clears
/// them.

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "goldcrestdeck/http_server.h"
#include "goldcrestdeck/json.h"

namespace standins {

using goldcrestdeck::json_value;
using goldcrestdeck::server_request;
using goldcrestdeck::server_response;

/// Injected faults; none by default. Each field is a key of POST /fault, there in snake case.
struct faults {
    std::uint64_t slowMs = 0;       ///< Delay before the request is executed.
    std::uint64_t hangMs = 0;       ///< Delay between executing and responding.
    std::uint64_t loseReplies = 0;  ///< Number of writes to execute without a response.
    std::uint64_t cutAfter = 0;     ///< Tokens after which a stream is aborted; 0: never.
    bool down = false;              ///< Aborts every connection without executing.
    bool fail = false;              ///< Responds with failStatus after executing the request.
    std::uint64_t failStatus = 500; ///< With fail.
    bool turnAway = false;          ///< Responds with 503 without executing, and states so.
    bool leaving = false;           ///< Draining: like turnAway, and with X-Leaving.
    bool silentEnd = false;         ///< With cutAfter: the stream ends cleanly, but without [DONE].
    double quality = -1;            ///< Of the responses; negative: as on the command line.
};

/// The current faults of a stand-in; thread-safe.
class fault_state
{
public:
    faults current() const;
    /// Decrements the number of responses to lose. \returns whether it was positive.
    bool consumeLostResponse();
    /// Replaces all faults by those of a POST /fault document.
    void set(const json_value &document);

private:
    mutable std::mutex m_mutex;
    faults m_faults;
};

/// Command-line options.
struct standin_options {
    std::string address;
    std::uint16_t port = 0;
    std::uint64_t tokenMs = 0; ///< Time to generate one token of a stream.
    double quality = 0.9;      ///< Mean rating of the responses.
    std::string hostsFile;     ///< JSON file with the host list.
};

/// Request handler of one kind of stand-in.
class standin
{
public:
    virtual ~standin() = default;
    virtual server_response handle(const server_request &request) = 0;

    fault_state &activeFaults() { return m_faults; }

private:
    fault_state m_faults;
};

std::unique_ptr<standin> makeKeyValue(const standin_options &options);
std::unique_ptr<standin> makeEngine(const standin_options &options);
std::unique_ptr<standin> makeService(const standin_options &options);
std::unique_ptr<standin> makeRating(const standin_options &options);
std::unique_ptr<standin> makeHostList(const standin_options &options);

server_response jsonResponse(int status, const json_value &document);
/// A response whose stream is aborted before the first byte.
server_response abortedResponse();
void sleepMs(std::uint64_t milliseconds);

} // namespace standins

#endif // STANDINS_STANDIN_H_
