#ifndef GOLDCRESTDECK_PEER_LINK_H_
#define GOLDCRESTDECK_PEER_LINK_H_

/// \file
/// Requests and replies between hosts over TCP, on the control thread's event loop.
///
/// Requests to a peer are multiplexed over one persistent connection. A reply carries the id of its
/// request, so replies may arrive late and in any order. The frame size is limited, and a
/// connection that carries a malformed message is closed. What incoming connections hold is entered
/// in a client_memory; reading from one pauses while it leaves many replies unread. Not
/// thread-safe: everything runs on the given io_context.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio.hpp>

#include "goldcrestdeck/client_memory.h"
#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/one_shot_timer.h"
#include "goldcrestdeck/peer_message.h"

namespace goldcrestdeck {

/// Counts of messages and bytes sent and received since the process started.
struct peer_traffic {
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

class peer_link
{
public:
    /// Sends the reply to one request; does nothing if the requesting host has disconnected.
    using reply_sender = std::function<void(const peer_body &)>;
    /// Handles a request of another host; may reply later. \throws peer_error if the message is not
    /// a request.
    using request_handler = std::function<void(const peer_body &, const reply_sender &)>;
    /// Receives the reply, or std::nullopt after a timeout or a connection error.
    using reply_handler = std::function<void(const std::optional<peer_body> &)>;

    /// Listens on \a address ("ip:port"). \throws peer_error if it is malformed or cannot be bound.
    peer_link(boost::asio::io_context &context, const std::string &address, request_handler handler,
              std::shared_ptr<client_memory> memory
              = std::make_shared<client_memory>(clientLimitsFor(0, 0).peers));
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Sends \a body to the host at \a address; connects first if there is no connection to it.
    /// \throws peer_error if \a address is malformed.
    void request(const std::string &address, const peer_body &body,
                 std::chrono::milliseconds timeout, reply_handler onReply);

    const peer_traffic &traffic() const { return m_traffic; }

    /// Stops listening and closes all connections; pending requests get no reply.
    void close();

private:
    class connection;
    class outgoing_connection;
    class incoming_connection;

    void accept();

    boost::asio::io_context &m_context;
    boost::asio::ip::address m_localAddress; ///< Outgoing connections are bound to it too.
    boost::asio::ip::tcp::acceptor m_acceptor;
    one_shot_timer m_acceptTimer;
    request_handler m_handler;
    std::shared_ptr<client_memory> m_memory;
    std::map<std::string, std::shared_ptr<outgoing_connection>> m_outgoing;
    std::map<std::uint64_t, std::weak_ptr<incoming_connection>> m_incoming;
    std::uint64_t m_lastIncomingKey = 0;
    peer_traffic m_traffic;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PEER_LINK_H_
