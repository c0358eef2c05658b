#ifndef GOLDCRESTDECK_ASYNC_CLIENT_H_
#define GOLDCRESTDECK_ASYNC_CLIENT_H_

/// \file
/// An asynchronous HTTP/1.1 client that keeps a pool of idle connections for each server.
///
/// call() sends one request and delivers the response incrementally to a response_observer. Every
/// call ends with exactly one of onEnd and onFailure, unless it is cancelled: its connection is
/// then closed immediately and no further callback runs. A connection is reused only after a
/// complete response that no further bytes follow. What precedes the response on its connection,
/// and bytes that cannot be parsed yet, are limited in size; a call that exceeds a limit fails as
/// malformed and its connection is closed without reading the rest. Not thread-safe: all calls and
/// callbacks take place on the thread that runs the io_context.

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/http_message.h"
#include "goldcrestdeck/response_memory.h"

namespace goldcrestdeck {

enum class call_failure {
    notSent, ///< No byte of the request was written, so the server cannot have executed it.
    /// The connection was lost after bytes of the request may have been written, or ended a
    /// response without a length before the server had received the whole request.
    broken,
    malformed, ///< The server sent bytes that are not a valid HTTP response, or too many of them.
    timeout    ///< The response was not complete before the deadline, or it stalled.
};

const char *toString(call_failure failure);

/// Callbacks for one call; all of them must be set.
struct response_observer {
    std::function<void(const http1_response_head &)> onHead;
    /// Receives the body as it arrives, in non-empty pieces.
    std::function<void(std::string)> onBody;
    /// Called once the response is complete.
    std::function<void()> onEnd;
    /// Called if the call failed; parts of the response may already have been delivered.
    std::function<void(call_failure)> onFailure;
};

struct call_options {
    std::chrono::milliseconds timeout{0}; ///< For the whole call; 0 means no limit.
    /// Longest time in which no byte of the response arrives; 0 means no limit. It detects a lost
    /// connection without limiting the size of the response.
    std::chrono::milliseconds stallTimeout{0};
    std::chrono::milliseconds connectTimeout{300};
    /// An idle connection is reused only if it has been idle for less than this fraction of the
    /// server's keep-alive timeout; 0 forces a new connection.
    double maxIdleFraction = 0.75;
    /// If set, responses for which it returns false are discarded: they belong to an earlier
    /// request on the same connection. The second argument says whether there has been one.
    std::function<bool(const http1_response_head &, bool)> isOwnResponse;
    /// If set, called when a new connection has been established for the call.
    std::function<void()> onConnected;
    /// If set, limits the bytes held for this call and others before the parser can consume them,
    /// such as those of an unfinished head. The sender's name there is the server id.
    std::shared_ptr<response_memory> memory;
};

class async_client
{
    class connection;

public:
    /// Refers to a call in progress; its functions have no effect once the call has ended.
    class call_handle
    {
    public:
        /// Closes the connection; no further callback runs.
        void cancel();
        /// Whether the call is in progress and no byte of its request has been passed to the
        /// socket: its connection is still being opened.
        bool isUnsent() const;
        /// pause() stops reading from the connection and resume() continues, so that a slow
        /// consumer applies back-pressure to the server.
        void pause();
        void resume();

    private:
        friend class async_client;
        std::weak_ptr<connection> m_connection;
        std::uint64_t m_callId = 0;
    };

    async_client(boost::asio::io_context &io, const clock &time);
    ~async_client();

    /// \a serverId identifies the process listening on \a server; an idle connection to a
    /// different process at the same address is not reused.
    call_handle call(const boost::asio::ip::tcp::endpoint &server, const std::string &serverId,
                     const http1_request &request, response_observer observer,
                     call_options options);

    /// Closes the idle connections to a process that no longer exists.
    void closeIdleConnections(const std::string &serverId);
    /// Closes the idle connections to all servers.
    void closeAllIdleConnections();
    std::size_t openConnections() const { return m_shared->openConnections; }
    /// Returns the number of connections created so far, including those that failed or closed.
    std::uint64_t connectionsOpened() const { return m_shared->connectionsOpened; }
    /// Closes all idle connections; connections in use close when their call ends.
    void stop();

private:
    struct shared_state {
        std::map<std::string, std::vector<std::shared_ptr<connection>>>
            idle; ///< By server id, the most recently used connection last.
        std::size_t openConnections = 0;
        std::uint64_t connectionsOpened = 0;
        bool stopped = false;
    };

    std::shared_ptr<connection> takeFromPool(const std::string &serverId, double maxIdleFraction);

    boost::asio::io_context &m_io;
    const clock &m_clock;
    std::shared_ptr<shared_state> m_shared;
    std::uint64_t m_lastCallId = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ASYNC_CLIENT_H_
