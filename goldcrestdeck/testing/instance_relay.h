#ifndef GOLDCRESTDECK_TESTING_INSTANCE_RELAY_H_
#define GOLDCRESTDECK_TESTING_INSTANCE_RELAY_H_

/// \file
/// A TCP relay in front of one instance for one host, which can be cut as a network partition would
/// cut it. Runs on the given event loop and must be used and destroyed on its thread.

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace goldcrestdeck {

enum class relay_cut {
    none,
    hang,      ///< Nothing passes; new connections are never established.
    reset,     ///< Open connections are reset and new ones refused.
    refuseNew, ///< Open connections live on and new ones are refused.
};

class instance_relay
{
public:
    instance_relay(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &target);
    ~instance_relay();
    instance_relay(const instance_relay &) = delete;
    instance_relay &operator=(const instance_relay &) = delete;

    boost::asio::ip::tcp::endpoint address() const { return m_address; }
    void setCut(relay_cut cut);

private:
    class connection;

    void listen(int backlog);
    void accept();
    void fillBacklog();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::endpoint m_address;
    boost::asio::ip::tcp::acceptor m_acceptor;
    unsigned m_listenCount = 0; ///< Callbacks of an earlier acceptor are ignored.
    std::vector<std::weak_ptr<connection>> m_connections;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_backlogFillers;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_INSTANCE_RELAY_H_
