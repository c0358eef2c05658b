// A connection hangs if the queue of the listening socket is full: the kernel then drops the
// opening packet.

#include "goldcrestdeck/testing/instance_relay.h"

#include <array>

#include <boost/asio/write.hpp>

namespace goldcrestdeck {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr int usualBacklog = 128;
/// More than a queue of length 0 holds.
constexpr int backlogFillers = 4;

} // namespace

class instance_relay::connection : public std::enable_shared_from_this<instance_relay::connection>
{
public:
    connection(asio::io_context &io, tcp::socket accepted)
        : m_client(std::move(accepted))
        , m_server(io)
    { }

    void start(const tcp::endpoint &target)
    {
        m_server.async_connect(target, [self = shared_from_this()](error_code error) {
            if (error) {
                self->close();
                return;
            }
            self->pump(self->m_client, self->m_server, self->m_toServer);
            self->pump(self->m_server, self->m_client, self->m_toClient);
        });
    }

    void stall() { m_stalled = true; }
    bool isStalled() const { return m_stalled; }

    void reset()
    {
        error_code ignored;
        m_client.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

private:
    using buffer = std::array<char, 16384>;

    void pump(tcp::socket &from, tcp::socket &to, buffer &data)
    {
        from.async_read_some(
            asio::buffer(data),
            [self = shared_from_this(), &from, &to, &data](error_code error, std::size_t count) {
                if (self->m_stalled)
                    return;
                if (error) {
                    self->close();
                    return;
                }
                asio::async_write(to, asio::buffer(data, count),
                                  [self, &from, &to, &data](error_code writeError, std::size_t) {
                                      if (writeError)
                                          self->close();
                                      else
                                          self->pump(from, to, data);
                                  });
            });
    }

    void close()
    {
        error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
    }

    tcp::socket m_client;
    tcp::socket m_server;
    buffer m_toServer{};
    buffer m_toClient{};
    bool m_stalled = false;
};

instance_relay::instance_relay(asio::io_context &io, const tcp::endpoint &target)
    : m_io(io)
    , m_target(target)
    , m_address(asio::ip::make_address("127.0.0.1"), 0)
    , m_acceptor(io)
{
    listen(usualBacklog);
    m_address = m_acceptor.local_endpoint();
    accept();
}

instance_relay::~instance_relay()
{
    for (const auto &open : m_connections) {
        if (const auto locked = open.lock())
            locked->reset();
    }
}

void instance_relay::setCut(relay_cut cut)
{
    error_code ignored;
    ++m_listenCount;
    m_acceptor.close(ignored);
    m_backlogFillers.clear();
    for (const auto &open : m_connections) {
        const auto locked = open.lock();
        if (!locked)
            continue;
        if (cut == relay_cut::hang)
            locked->stall();
        else if (cut == relay_cut::reset || locked->isStalled())
            locked->reset();
    }
    if (cut == relay_cut::hang) {
        listen(0);
        fillBacklog();
    } else if (cut == relay_cut::none) {
        listen(usualBacklog);
        accept();
    }
}

void instance_relay::listen(int backlog)
{
    m_acceptor.open(m_address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_address);
    m_acceptor.listen(backlog);
}

void instance_relay::accept()
{
    m_acceptor.async_accept(
        [this, listenCount = m_listenCount](error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || listenCount != m_listenCount)
                return;
            if (!error) {
                const auto accepted = std::make_shared<connection>(m_io, std::move(socket));
                m_connections.push_back(accepted);
                accepted->start(m_target);
            }
            accept();
        });
}

void instance_relay::fillBacklog()
{
    for (int i = 0; i < backlogFillers; ++i) {
        const auto filler = std::make_shared<tcp::socket>(m_io);
        m_backlogFillers.push_back(filler);
        filler->async_connect(m_address, [filler](error_code) {});
    }
}

} // namespace goldcrestdeck
