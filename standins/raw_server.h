#ifndef STANDINS_RAW_SERVER_H_
#define STANDINS_RAW_SERVER_H_

/// \file
/// A server that reads whole HTTP requests but writes whatever bytes it is told to, so that a
/// stand-in can misbehave in every way that a real upstream can.

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestdeck/http_message.h"

namespace standins {

/// One connection; calls after its end do nothing.
class raw_connection : public std::enable_shared_from_this<raw_connection>
{
public:
    using handler = std::function<void(const goldcrestdeck::http1_request &,
                                       const std::shared_ptr<raw_connection> &)>;

    raw_connection(boost::asio::ip::tcp::socket socket, handler handle);

    void start();
    void write(const std::string &bytes);
    /// Closes in order, behind what has been written.
    void close();
    /// Resets the connection.
    void reset();
    /// Runs \a then after \a time, unless the connection has ended.
    void after(std::chrono::milliseconds time, std::function<void()> then);
    bool isOpen() const { return m_open; }

private:
    void read();
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    handler m_handle;
    std::string m_in;
    std::string m_out;
    std::string m_writing;
    bool m_open = true;
    bool m_closing = false;
};

class raw_server
{
public:
    raw_server(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
               raw_connection::handler handle);

    boost::asio::ip::tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    std::size_t accepted() const { return *m_accepted; }
    boost::asio::ip::tcp::acceptor::executor_type executor() { return m_acceptor.get_executor(); }
    void stop();

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    raw_connection::handler m_handle;
    std::shared_ptr<std::size_t> m_accepted = std::make_shared<std::size_t>(0);
};

} // namespace standins

#endif // STANDINS_RAW_SERVER_H_
