#ifndef STANDINS_RAW_SERVER_H_
#define STANDINS_RAW_SERVER_H_

/// \file
/// A server that parses HTTP requests but sends raw bytes, so that a stand-in can reproduce any
/// failure of a real upstream, including malformed and truncated responses.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "goldcrestdeck/http_message.h"

namespace standins {

/// One connection. Calls after it has closed have no effect.
class raw_connection : public std::enable_shared_from_this<raw_connection>
{
public:
    using handler = std::function<void(const goldcrestdeck::http1_request &,
                                       const std::shared_ptr<raw_connection> &)>;
    /// Receives a request's head before its body. If it returns true, it has responded, and the
    /// connection reads no further.
    using head_handler = std::function<bool(const goldcrestdeck::http1_request_head &,
                                            const std::shared_ptr<raw_connection> &)>;

    /// \a handleHead may be empty.
    raw_connection(boost::asio::ip::tcp::socket socket, handler handle, head_handler handleHead);

    void start();
    void write(const std::string &bytes);
    /// Writes a little at a time, as over a slow link.
    void writePaced(const std::string &bytes, std::size_t bytesPerSecond);
    /// Closes the connection once pending writes have been sent.
    void close();
    /// Ends the sent data once pending writes have been sent, as the peer sees it on an orderly
    /// close, and leaves what the peer still sends unread.
    void closeForSending();
    /// Aborts the connection with a TCP RST.
    void reset();
    /// Runs \a callback after \a delay, unless the connection has closed by then.
    void runAfter(std::chrono::milliseconds delay, std::function<void()> callback);
    bool isOpen() const { return m_open; }
    /// Bytes that the operating system has not accepted yet.
    std::size_t unsentBytes() const { return m_pending.size() + m_writing.size(); }

private:
    void read();
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    handler m_handle;
    head_handler m_handleHead;
    std::string m_received;
    std::string m_pending;
    std::string m_writing;
    bool m_open = true;
    bool m_closing = false;
    bool m_closingForSending = false;
    bool m_headHandled = false;
};

class raw_server
{
public:
    raw_server(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
               raw_connection::handler handle, raw_connection::head_handler handleHead = nullptr);

    boost::asio::ip::tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    std::size_t acceptedConnections() const { return *m_acceptedConnections; }
    /// Stops listening and closes all connections, as the end of the process would.
    void crash();
    boost::asio::ip::tcp::acceptor::executor_type executor() { return m_acceptor.get_executor(); }
    void stop();

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    raw_connection::handler m_handle;
    raw_connection::head_handler m_handleHead;
    std::shared_ptr<std::size_t> m_acceptedConnections = std::make_shared<std::size_t>(0);
    std::vector<std::weak_ptr<raw_connection>> m_connections;
};

} // namespace standins

#endif // STANDINS_RAW_SERVER_H_
