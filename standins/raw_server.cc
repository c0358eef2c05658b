#include "standins/raw_server.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>

namespace standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t readBytes = 16 * 1024;
/// Between two pieces of a paced write.
constexpr std::chrono::milliseconds pacingInterval{20};

} // namespace

raw_connection::raw_connection(asio::ip::tcp::socket socket, handler handle,
                               head_handler handleHead)
    : m_socket(std::move(socket))
    , m_handle(std::move(handle))
    , m_handleHead(std::move(handleHead))
{ }

void raw_connection::start()
{
    read();
}

void raw_connection::write(const std::string &bytes)
{
    m_pending += bytes;
    if (m_writing.empty())
        writeNext();
}

void raw_connection::writePaced(const std::string &bytes, std::size_t bytesPerSecond)
{
    const std::size_t pieceBytes = std::max<std::size_t>(
        1, bytesPerSecond * static_cast<std::size_t>(pacingInterval.count()) / 1000);
    write(bytes.substr(0, pieceBytes));
    if (bytes.size() > pieceBytes)
        runAfter(pacingInterval, [this, rest = bytes.substr(pieceBytes), bytesPerSecond] {
            writePaced(rest, bytesPerSecond);
        });
}

void raw_connection::close()
{
    m_closing = true;
    if (m_writing.empty())
        writeNext();
}

void raw_connection::closeForSending()
{
    m_closingForSending = true;
    if (m_writing.empty())
        writeNext();
}

void raw_connection::reset()
{
    m_open = false;
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void raw_connection::runAfter(std::chrono::milliseconds delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_socket.get_executor(), delay);
    timer->async_wait(
        [self = shared_from_this(), timer, callback = std::move(callback)](error_code) {
            if (self->m_open)
                callback();
        });
}

void raw_connection::read()
{
    const auto chunk = std::make_shared<std::string>(readBytes, '\0');
    m_socket.async_read_some(
        asio::buffer(*chunk),
        [self = shared_from_this(), chunk](error_code error, std::size_t count) {
            if (error) {
                self->m_open = false;
                return;
            }
            self->m_received.append(*chunk, 0, count);
            while (true) {
                http::request_parser<http::string_body> parser;
                parser.eager(true);
                error_code parseError;
                // The stand-in takes every body that a test sends.
                parser.body_limit(std::numeric_limits<std::uint64_t>::max());
                const std::size_t used = parser.put(asio::buffer(self->m_received), parseError);
                if (self->m_handleHead && parser.is_header_done() && !self->m_headHandled) {
                    self->m_headHandled = true;
                    if (self->m_handleHead(parser.get().base(), self))
                        return;
                }
                if (!parser.is_done())
                    break;
                self->m_headHandled = false;
                self->m_received.erase(0, used);
                self->m_handle(parser.release(), self);
            }
            if (self->m_open)
                self->read();
        });
}

void raw_connection::writeNext()
{
    if (!m_open)
        return;
    if (m_pending.empty()) {
        if (m_closing) {
            m_open = false;
            error_code ignored;
            m_socket.close(ignored);
        } else if (m_closingForSending) {
            error_code ignored;
            m_socket.shutdown(asio::socket_base::shutdown_send, ignored);
        }
        return;
    }
    m_writing.swap(m_pending);
    m_pending.clear();
    asio::async_write(m_socket, asio::buffer(m_writing),
                      [self = shared_from_this()](error_code error, std::size_t) {
                          self->m_writing.clear();
                          if (error)
                              self->m_open = false;
                          else
                              self->writeNext();
                      });
}

raw_server::raw_server(asio::io_context &io, const asio::ip::tcp::endpoint &address,
                       raw_connection::handler handle, raw_connection::head_handler handleHead)
    : m_acceptor(io, address)
    , m_handle(std::move(handle))
    , m_handleHead(std::move(handleHead))
{
    accept();
}

void raw_server::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
}

void raw_server::crash()
{
    stop();
    for (const auto &known : std::exchange(m_connections, {})) {
        if (const auto open = known.lock())
            open->close();
    }
}

void raw_server::accept()
{
    m_acceptor.async_accept([this, acceptedConnections = m_acceptedConnections](
                                error_code error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        ++*acceptedConnections;
        const auto accepted
            = std::make_shared<raw_connection>(std::move(socket), m_handle, m_handleHead);
        m_connections.push_back(accepted);
        accepted->start();
        accept();
    });
}

} // namespace standins
