#ifndef GOLDCRESTDECK_PEER_LINK_H_
#define GOLDCRESTDECK_PEER_LINK_H_

/// \file
/// Requests and replies between hosts over TCP, on the control thread's event loop.
///
/// One kept connection to each peer carries many requests at once; replies are matched by number,
/// so they may come late and in any order. Frames are bounded, and a peer that sends nonsense loses
/// its connection. Everything runs on the given io_context; no locks are needed.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio.hpp>

#include "goldcrestdeck/endpoint.h"
#include "goldcrestdeck/peer_message.h"

namespace goldcrestdeck {

/// Bytes and messages sent and received since the start.
struct peer_traffic {
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

class peer_link
{
public:
    /// Sends the reply to one request; does nothing if the asker is gone meanwhile.
    using replier = std::function<void(const peer_body &)>;
    /// Answers a request of another host, now or later. \throws peer_error if it is none.
    using request_handler = std::function<void(const peer_body &, const replier &)>;
    /// Gets the reply, or nothing where it did not come in time.
    using reply_handler = std::function<void(const std::optional<peer_body> &)>;

    /// Listens on \a address ("ip:port"). \throws peer_error
    peer_link(boost::asio::io_context &context, const std::string &address,
              request_handler handler);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// \throws peer_error if \a address is not an address.
    void request(const std::string &address, const peer_body &body,
                 std::chrono::milliseconds timeout, reply_handler onReply);

    const peer_traffic &traffic() const { return m_traffic; }

    /// Closes all connections; open requests get no reply.
    void close();

private:
    class connection;
    class outgoing;
    class incoming;

    void accept();

    boost::asio::io_context &m_context;
    boost::asio::ip::address m_localAddress; ///< Also of connections that this host opens.
    boost::asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    std::map<std::string, std::shared_ptr<outgoing>> m_outgoing;
    std::map<std::uint64_t, std::weak_ptr<incoming>> m_incoming;
    std::uint64_t m_nextIncoming = 0;
    peer_traffic m_traffic;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PEER_LINK_H_
