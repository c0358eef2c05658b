#include "goldcrestdeck/testing/tcp_relay.h"

#include <array>

namespace goldcrestdeck {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// Between two looks whether a link is still silent.
constexpr std::chrono::milliseconds silencePoll{20};

} // namespace

/// One connection passed on, both ways.
class tcp_relay::link : public std::enable_shared_from_this<link>
{
public:
    link(tcp::socket caller, asio::io_context &context, tcp_relay &relay)
        : m_caller(std::move(caller))
        , m_target(context)
        , m_relay(relay)
        , m_upTimer(context)
        , m_downTimer(context)
    { }

    void start(const tcp::endpoint &target)
    {
        m_target.async_connect(target, [self = shared_from_this()](error_code error) {
            if (error)
                return self->stop();
            self->pump(self->m_caller, self->m_target, self->m_up);
            self->pump(self->m_target, self->m_caller, self->m_down);
        });
    }

    void stop()
    {
        error_code ignored;
        m_caller.close(ignored);
        m_target.close(ignored);
    }

    std::string source() const
    {
        error_code error;
        return m_caller.remote_endpoint(error).address().to_string();
    }

private:
    using buffer = std::array<char, 16 * 1024>;

    void pump(tcp::socket &from, tcp::socket &to, buffer &bytes)
    {
        from.async_read_some(
            asio::buffer(bytes),
            [self = shared_from_this(), &from, &to, &bytes](error_code error, std::size_t count) {
                if (error)
                    return self->stop();
                self->hold(self->m_relay.faults().delay, from, to, bytes, count);
            });
    }

    /// Writes \a count bytes after \a delay, and not before the link is silent no longer.
    void hold(std::chrono::milliseconds delay, tcp::socket &from, tcp::socket &to, buffer &bytes,
              std::size_t count)
    {
        const bool isUp = &from == &m_caller;
        const link_faults faults = m_relay.faults();
        const bool isSilent = isUp ? faults.silentToTarget : faults.silentToCaller;
        if (delay.count() == 0 && !isSilent) {
            write(from, to, bytes, count);
            return;
        }
        asio::steady_timer &timer = isUp ? m_upTimer : m_downTimer;
        timer.expires_after(isSilent ? silencePoll : delay);
        timer.async_wait([self = shared_from_this(), &from, &to, &bytes, count](error_code error) {
            if (!error)
                self->hold(std::chrono::milliseconds(0), from, to, bytes, count);
        });
    }

    void write(tcp::socket &from, tcp::socket &to, buffer &bytes, std::size_t count)
    {
        asio::async_write(
            to, asio::buffer(bytes, count),
            [self = shared_from_this(), &from, &to, &bytes](error_code failed, std::size_t) {
                if (failed)
                    return self->stop();
                self->pump(from, to, bytes);
            });
    }

    tcp::socket m_caller;
    tcp::socket m_target;
    tcp_relay &m_relay;
    asio::steady_timer m_upTimer;
    asio::steady_timer m_downTimer;
    buffer m_up{};
    buffer m_down{};
};

tcp_relay::tcp_relay(int port, const std::string &address, int targetPort)
    : m_port(port)
    , m_target(asio::ip::make_address(address), static_cast<std::uint16_t>(targetPort))
    , m_acceptor(m_context,
                 tcp::endpoint(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)))
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

tcp_relay::~tcp_relay()
{
    m_context.stop();
    m_thread.join();
}

void tcp_relay::setCut(bool cut)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_cut = cut;
    asio::post(m_context, [this] { breakLinks(); });
}

void tcp_relay::setCutSource(const std::string &address, bool cut)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (cut)
        m_cutSources.insert(address);
    else
        m_cutSources.erase(address);
    asio::post(m_context, [this] { breakLinks(); });
}

void tcp_relay::setFaults(const link_faults &faults)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
}

link_faults tcp_relay::faults()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

bool tcp_relay::isCut(const std::string &source)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_cut || m_cutSources.count(source) > 0;
}

void tcp_relay::breakLinks()
{
    for (const auto &known : m_links)
        if (const auto open = known.lock())
            if (isCut(open->source()))
                open->stop();
}

void tcp_relay::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto opened = std::make_shared<link>(std::move(socket), m_context, *this);
            m_links.insert(opened);
            if (isCut(opened->source()))
                opened->stop();
            else
                opened->start(m_target);
        }
        accept();
    });
}

} // namespace goldcrestdeck
