#ifndef GOLDCRESTDECK_ASYNC_SERVER_H_
#define GOLDCRESTDECK_ASYNC_SERVER_H_

/// \file
/// An asynchronous HTTP/1.1 server.
///
/// Construct it with an io_context, an address, limits and a handler; call stop() before the
/// io_context is destroyed. The handler receives each complete request with a response_writer,
/// which it uses once, immediately or later, on the thread of the io_context. A disconnect of the
/// client is reported without delay, because the connection is read from even while a request is
/// being processed. Pipelined requests are buffered and processed in order. For each connection the
/// size of head and body, the time to send them, the idle time and the buffered input are limited.
/// What all connections hold is entered in a client_memory, which servers on one thread share:
/// beyond its first limit, reading of bodies pauses for a short time; beyond the second one, a
/// request that is being received is refused, or its connection closed.
///
/// A head check, if given, is called for a request whose head has arrived and whose body has not.
/// If it returns true, the request is handled at once, with an empty body. The handler then either
/// responds or has the body read with response_writer::readBody(). After such a response the
/// connection is closed; what the client still sends of the body is discarded, within the limits on
/// the size and time of a body, because closing at once would reset the connection, which may
/// destroy the response.

#include <functional>
#include <memory>
#include <set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "goldcrestdeck/client_memory.h"
#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/http_message.h"
#include "goldcrestdeck/one_shot_timer.h"

namespace goldcrestdeck {

/// Sends the response to one request: either send(), or begin(), any number of write() and end();
/// abort() is allowed before the end. No function may be called after send(), end() or abort(), or
/// after the disconnect of the client has been reported.
///
/// A call out of this order is an error of the caller. It is logged and writes nothing; a response
/// in progress is cut off, and its disconnect reported. So no writer can write into the body of a
/// response that has begun, or into the response to a later request on the connection.
class response_writer
{
public:
    virtual ~response_writer() = default;

    /// Sends a complete response; Content-Length is set here.
    virtual void send(http1_response response) = 0;
    /// Sends the head of a streamed response; write() and end() send the body.
    virtual void begin(http1_response_head head) = 0;
    virtual void write(const std::string &piece) = 0;
    virtual void end() = 0;
    /// Closes the connection without completing the response, so that the client can detect the
    /// truncation.
    virtual void abort() = 0;

    /// Bytes not yet written to the socket.
    virtual std::size_t unsentBytes() const = 0;
    /// Sets the callbacks: \a onDisconnect is called once if the client closes or resets the
    /// connection before the response has ended, \a onWritable whenever all pending bytes have been
    /// written.
    virtual void setCallbacks(std::function<void()> onDisconnect, std::function<void()> onWritable)
        = 0;

    /// Whether the request was handled without its body. While it is, a disconnect of the client is
    /// not detected.
    virtual bool isBodyUnread() const = 0;
    /// Reads the body, then calls the handler again with the whole request. Requires
    /// isBodyUnread(); the callbacks are removed, and no other function may be called after it.
    virtual void readBody() = 0;
};

/// Limits on the size of a request and on the time that a client may take to send it.
struct request_limits {
    std::size_t maxHeadBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    /// From the first byte of a request to the end of its head.
    std::chrono::milliseconds headTimeout{3000};
    /// Between requests, and between body bytes.
    std::chrono::milliseconds idleTimeout{15'000};
};

bool operator==(const request_limits &a, const request_limits &b);

class async_server
{
public:
    using handler = std::function<void(http1_request, std::shared_ptr<response_writer>)>;
    /// \returns whether the response to the request probably does not depend on its body.
    using head_check = std::function<bool(const http1_request_head &)>;

    /// \throws boost::system::system_error if the address cannot be bound.
    async_server(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
                 request_limits limits, handler handle,
                 std::shared_ptr<client_memory> memory
                 = std::make_shared<client_memory>(client_memory_limits()),
                 head_check checkHead = {});
    ~async_server();
    async_server(const async_server &) = delete;
    async_server &operator=(const async_server &) = delete;

    void setLimits(const request_limits &limits);
    /// Closes the connection after every response that begins from now on.
    void closeAfterResponses();
    /// Stops accepting connections; open ones are kept.
    void stopAccepting();
    /// Closes the connections on which no request is being received or processed.
    void closeIdleConnections();
    std::size_t openConnections() const;
    boost::asio::ip::tcp::endpoint address() const;
    /// Stops accepting and closes every connection.
    void stop();

private:
    class connection;
    class writer;
    struct shared_state;

    void accept();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    one_shot_timer m_acceptTimer;
    std::shared_ptr<shared_state> m_state;
};

/// Sets the socket options that detect an unresponsive peer, which are keep-alive probes and a
/// limit on the time that data may stay unacknowledged, and disables Nagle's algorithm.
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ASYNC_SERVER_H_
