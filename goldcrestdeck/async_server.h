#ifndef GOLDCRESTDECK_ASYNC_SERVER_H_
#define GOLDCRESTDECK_ASYNC_SERVER_H_

/// \file
/// An HTTP/1.1 server on an event loop.
///
/// Construct with an io_context, an address, bounds and a handler; call stop() before the context
/// goes. The handler gets each whole request with an http_answer to be used once, then or later, on
/// the same thread. A client that leaves is reported to the answer at once, since the connection is
/// read from all the time. Bytes that arrive behind a request wait for their turn. Every connection
/// bounds its head, body, idle time and the bytes buffered for it.

#include <functional>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/http_message.h"

namespace goldcrestdeck {

/// The answer to one request. Nothing may be called after a call that ends it: send(), end(),
/// abort(), or the report that the client is gone.
class http_answer
{
public:
    virtual ~http_answer() = default;

    /// A whole answer; its length is set here.
    virtual void send(http1_response response) = 0;
    /// The head of an answer whose body follows in pieces.
    virtual void begin(http1_response_head head) = 0;
    virtual void write(const std::string &piece) = 0;
    virtual void end() = 0;
    /// Closes the connection so that the answer cannot be taken for a whole one.
    virtual void abort() = 0;

    /// Bytes that the client has not yet taken.
    virtual std::size_t unsentBytes() const = 0;
    /// \a gone is called once if the client closes or resets the connection before the answer's
    /// end; \a writable whenever all bytes have been taken.
    virtual void watch(std::function<void()> gone, std::function<void()> writable) = 0;
};

/// Bounds on what a client may send, and how long it may take.
struct client_limits {
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headTimeout{3000}; ///< From a request's first byte to its head's end.
    std::chrono::milliseconds idleTimeout{15'000}; ///< Between requests, and between body bytes.
};

bool operator==(const client_limits &a, const client_limits &b);

class async_server
{
public:
    using handler = std::function<void(http1_request, std::shared_ptr<http_answer>)>;

    /// \throws boost::system::system_error if the address cannot be bound.
    async_server(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
                 client_limits limits, handler handle);
    ~async_server();
    async_server(const async_server &) = delete;
    async_server &operator=(const async_server &) = delete;

    void setLimits(const client_limits &limits);
    /// From now on every answer closes its connection.
    void closeAfterAnswers();
    /// New connections are refused from now on; those that are open stay.
    void stopAccepting();
    /// Closes the connections on which no request is being read or answered.
    void closeIdle();
    std::size_t openConnections() const;
    boost::asio::ip::tcp::endpoint address() const;
    /// Stops accepting and closes every connection.
    void stop();

private:
    class connection;
    struct shared_state;

    void accept();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<shared_state> m_state;
};

/// Options for connections that must notice a silent peer: no delay, keep-alive probes and a bound
/// on unacknowledged bytes.
void setPeerTimeouts(boost::asio::ip::tcp::socket &socket);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ASYNC_SERVER_H_
