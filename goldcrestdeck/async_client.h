#ifndef GOLDCRESTDECK_ASYNC_CLIENT_H_
#define GOLDCRESTDECK_ASYNC_CLIENT_H_

/// \file
/// An HTTP/1.1 client on an event loop, with kept connections for each server.
///
/// call() sends one request and reports the answer in pieces through an answer_observer. Every call
/// ends with exactly one of onEnd and onFailure, unless it is cancelled: then nothing more is
/// reported and its connection is closed at once. A kept connection is used again only after a
/// whole answer with nothing behind it. All on the thread that runs the io_context.

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/http_message.h"

namespace goldcrestdeck {

enum class call_failure {
    notSent,   ///< No connection, or it broke before a byte was written: the server has not run it.
    broken,    ///< The connection broke after bytes were written.
    malformed, ///< The server sent bytes that are no answer.
    timeout    ///< No whole answer in time.
};

const char *toString(call_failure failure);

struct answer_observer {
    std::function<void(const http1_response_head &)> onHead;
    /// Bytes of the body as they come; never empty.
    std::function<void(std::string)> onBody;
    /// The answer is whole.
    std::function<void()> onEnd;
    std::function<void(call_failure)> onFailure;
};

struct call_options {
    std::chrono::milliseconds timeout{0}; ///< For the whole call; 0 is none.
    std::chrono::milliseconds connectTimeout{300};
    /// A kept connection must have been idle for less than this share of the time for which the
    /// server keeps it; 0 asks for a new connection.
    double maxIdleShare = 0.75;
    /// Answers for which this is false belong to an earlier request and are skipped.
    std::function<bool(const http1_response_head &)> isOwnAnswer;
};

class async_client
{
    class connection;

public:
    /// A call under way; empty after it has ended.
    class call_handle
    {
    public:
        /// Closes the connection; nothing more is reported.
        void cancel();
        /// Stops and continues reading the answer, for a receiver that is slower than the server.
        void pause();
        void resume();

    private:
        friend class async_client;
        std::weak_ptr<connection> m_connection;
        std::uint64_t m_call = 0;
    };

    async_client(boost::asio::io_context &io, const clock &time);
    ~async_client();

    /// \a peer names the process behind \a server: a connection kept for another one is not used.
    call_handle call(const boost::asio::ip::tcp::endpoint &server, const std::string &peer,
                     const http1_request &request, answer_observer observer, call_options options);

    /// Closes the connections kept for a process that is gone.
    void forget(const std::string &peer);
    std::size_t openConnections() const { return m_shared->open; }
    std::uint64_t connectionsOpened() const { return m_shared->opened; }
    void stop();

private:
    struct shared_state {
        std::map<std::string, std::vector<std::shared_ptr<connection>>> idle;
        std::size_t open = 0;
        std::uint64_t opened = 0;
        bool stopped = false;
    };

    std::shared_ptr<connection> takeIdle(const std::string &peer, double maxIdleShare);

    boost::asio::io_context &m_io;
    const clock &m_clock;
    std::shared_ptr<shared_state> m_shared;
    std::uint64_t m_lastCall = 0;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ASYNC_CLIENT_H_
