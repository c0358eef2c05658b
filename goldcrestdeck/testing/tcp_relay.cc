#include "goldcrestdeck/testing/tcp_relay.h"

#include <array>

namespace goldcrestdeck {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

/// Interval at which a stalled connection checks whether the stall has ended.
constexpr std::chrono::milliseconds stallPollInterval{20};

} // namespace

/// A client's connection and the matching one to the target; forwards data in both directions.
class tcp_relay::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket client, asio::io_context &context, tcp_relay &relay)
        : m_client(std::move(client))
        , m_target(context)
        , m_relay(relay)
        , m_toTargetTimer(context)
        , m_toClientTimer(context)
    { }

    void start(const tcp::endpoint &target)
    {
        m_target.async_connect(target, [self = shared_from_this()](error_code error) {
            if (error)
                return self->stop();
            self->forward(self->m_client, self->m_target, self->m_toTargetBuffer);
            self->forward(self->m_target, self->m_client, self->m_toClientBuffer);
        });
    }

    void stop()
    {
        error_code ignored;
        m_client.close(ignored);
        m_target.close(ignored);
    }

    /// \returns the client's IP address.
    std::string source() const
    {
        error_code error;
        return m_client.remote_endpoint(error).address().to_string();
    }

private:
    using buffer = std::array<char, 16 * 1024>;

    void forward(tcp::socket &from, tcp::socket &to, buffer &bytes)
    {
        from.async_read_some(
            asio::buffer(bytes),
            [self = shared_from_this(), &from, &to, &bytes](error_code error, std::size_t count) {
                if (error)
                    return self->stop();
                self->writeAfter(self->m_relay.faults().delay, from, to, bytes, count);
            });
    }

    /// Writes \a count bytes after \a delay or, while the direction is stalled, as soon as the
    /// stall has ended.
    void writeAfter(std::chrono::milliseconds delay, tcp::socket &from, tcp::socket &to,
                    buffer &bytes, std::size_t count)
    {
        const bool isToTarget = &from == &m_client;
        const relay_faults faults = m_relay.faults();
        const bool isStalled = isToTarget ? faults.stallToTarget : faults.stallToClient;
        if (delay.count() == 0 && !isStalled) {
            write(from, to, bytes, count);
            return;
        }
        asio::steady_timer &timer = isToTarget ? m_toTargetTimer : m_toClientTimer;
        timer.expires_after(isStalled ? stallPollInterval : delay);
        timer.async_wait([self = shared_from_this(), &from, &to, &bytes, count](error_code error) {
            if (!error)
                self->writeAfter(std::chrono::milliseconds(0), from, to, bytes, count);
        });
    }

    void write(tcp::socket &from, tcp::socket &to, buffer &bytes, std::size_t count)
    {
        asio::async_write(
            to, asio::buffer(bytes, count),
            [self = shared_from_this(), &from, &to, &bytes](error_code failed, std::size_t) {
                if (failed)
                    return self->stop();
                self->forward(from, to, bytes);
            });
    }

    tcp::socket m_client;
    tcp::socket m_target;
    tcp_relay &m_relay;
    asio::steady_timer m_toTargetTimer;
    asio::steady_timer m_toClientTimer;
    buffer m_toTargetBuffer{};
    buffer m_toClientBuffer{};
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

void tcp_relay::setPartitioned(bool partitioned)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_partitioned = partitioned;
    asio::post(m_context, [this] { closePartitionedConnections(); });
}

void tcp_relay::setSourcePartitioned(const std::string &source, bool partitioned)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (partitioned)
        m_partitionedSources.insert(source);
    else
        m_partitionedSources.erase(source);
    asio::post(m_context, [this] { closePartitionedConnections(); });
}

void tcp_relay::setFaults(const relay_faults &faults)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
}

relay_faults tcp_relay::faults()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

bool tcp_relay::isPartitioned(const std::string &source)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_partitioned || m_partitionedSources.count(source) > 0;
}

void tcp_relay::closePartitionedConnections()
{
    for (const auto &weak : m_connections)
        if (const auto open = weak.lock())
            if (isPartitioned(open->source()))
                open->stop();
}

void tcp_relay::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            const auto accepted = std::make_shared<connection>(std::move(socket), m_context, *this);
            m_connections.insert(accepted);
            if (isPartitioned(accepted->source()))
                accepted->stop();
            else
                accepted->start(m_target);
        }
        accept();
    });
}

} // namespace goldcrestdeck
