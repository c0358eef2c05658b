#include "goldcrestdeck/peer_link.h"

#include "goldcrestdeck/async_server.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <utility>

namespace goldcrestdeck {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr std::size_t lengthPrefixBytes = 4;
constexpr std::size_t maxFrameBytes = 4 * 1024 * 1024;
/// Limits the memory that a peer which stops reading can take up on this host.
constexpr std::size_t maxQueuedFrames = 4096;
/// Of replies that a peer has not read; beyond it, no further request of it is read.
constexpr std::size_t maxUnreadReplyBytes = 1024 * 1024;
/// A message is received in parts, so that its announced length takes up no memory.
constexpr std::size_t partBytes = 64 * 1024;
/// Memory of an incoming connection besides its messages.
constexpr std::size_t connectionBytes = 2048;
/// Pause after a failed accept, e.g. for lack of descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

std::string encodeFrame(const std::string &message)
{
    std::string frame(lengthPrefixBytes, '\0');
    for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
        frame[i] = static_cast<char>((message.size() >> (8 * i)) & 0xff);
    return frame + message;
}

std::size_t decodeLength(const std::array<unsigned char, lengthPrefixBytes> &prefix)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthPrefixBytes; ++i)
        length |= static_cast<std::size_t>(prefix[i]) << (8 * i);
    return length;
}

} // namespace

/// Reads and writes frames on one socket.
class peer_link::connection : public std::enable_shared_from_this<connection>
{
public:
    connection(tcp::socket socket, peer_traffic &traffic)
        : m_socket(std::move(socket))
        , m_traffic(traffic)
    { }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    virtual ~connection() = default;

    void send(const std::string &message)
    {
        if (m_queue.size() >= maxQueuedFrames)
            return fail();
        m_queue.push_back(encodeFrame(message));
        ++m_traffic.messagesSent;
        m_traffic.bytesSent += m_queue.back().size();
        m_queuedBytes += m_queue.back().size();
        updateHeld();
        if (m_failed)
            return;
        if (m_queue.size() == 1 && m_connected)
            writeNext();
    }

    void stop()
    {
        error_code ignored;
        m_socket.close(ignored);
    }

protected:
    virtual void onMessage(const peer_message &message) = 0;
    virtual void onClosed() = 0;

    void start()
    {
        m_connected = true;
        setTcpOptions(m_socket);
        readLength();
        if (!m_queue.empty())
            writeNext();
    }

    /// Enters what the connection holds in \a memory from now on. May close the connection.
    void hold(std::shared_ptr<client_memory> memory)
    {
        error_code error;
        const auto peer = m_socket.remote_endpoint(error);
        m_memory = std::move(memory);
        m_held.emplace(m_memory, peer.address().to_string(),
                       [weak = weak_from_this()](close_reason) {
                           if (const auto self = weak.lock())
                               self->fail();
                       });
        updateHeld();
    }

    bool hasFailed() const { return m_failed; }

    void fail()
    {
        if (std::exchange(m_failed, true))
            return;
        stop();
        m_held.reset();
        onClosed();
    }

    tcp::socket m_socket;

private:
    void readLength()
    {
        asio::async_read(m_socket, asio::buffer(m_prefix),
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (error || decodeLength(self->m_prefix) > maxFrameBytes)
                                 return self->fail();
                             self->readMessage(decodeLength(self->m_prefix));
                         });
    }

    void readMessage(std::size_t length)
    {
        const std::size_t offset = m_message.size();
        const std::size_t size = std::min(partBytes, length - offset);
        m_message.resize(offset + size);
        asio::async_read(m_socket, asio::buffer(&m_message[offset], size),
                         [self = shared_from_this(), length](error_code error, std::size_t) {
                             if (error)
                                 return self->fail();
                             if (self->m_message.size() == length)
                                 return self->handleMessage();
                             self->updateHeld();
                             if (!self->m_failed)
                                 self->readMessage(length);
                         });
    }

    void updateHeld()
    {
        if (!m_held)
            return;
        m_held->set(connectionBytes + m_message.size() + m_queuedBytes, true);
        m_memory->enforce();
    }

    void handleMessage()
    {
        ++m_traffic.messagesReceived;
        m_traffic.bytesReceived += m_message.size() + lengthPrefixBytes;
        try {
            onMessage(decodeMessage(m_message));
        } catch (const peer_error &) {
            return fail();
        }
        m_message.clear();
        if (m_message.capacity() > partBytes)
            m_message.shrink_to_fit();
        updateHeld();
        continueReading();
    }

    void continueReading()
    {
        m_isPaused = m_held && m_queuedBytes > maxUnreadReplyBytes;
        if (!m_failed && !m_isPaused)
            readLength();
    }

    void writeNext()
    {
        asio::async_write(m_socket, asio::buffer(m_queue.front()),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (error)
                                  return self->fail();
                              self->m_queuedBytes -= self->m_queue.front().size();
                              self->m_queue.pop_front();
                              self->updateHeld();
                              if (self->m_failed)
                                  return;
                              if (self->m_isPaused)
                                  self->continueReading();
                              if (!self->m_queue.empty())
                                  self->writeNext();
                          });
    }

    peer_traffic &m_traffic;
    std::array<unsigned char, lengthPrefixBytes> m_prefix{};
    std::string m_message;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    std::shared_ptr<client_memory> m_memory;
    std::optional<held_connection> m_held; ///< Of an incoming connection.
    bool m_isPaused = false;               ///< Not reading until replies have been sent.
    bool m_connected = false;
    bool m_failed = false;
};

/// A connection opened by this host; sends requests and receives replies.
class peer_link::outgoing_connection : public connection
{
public:
    outgoing_connection(peer_link &link, std::string address)
        : connection(tcp::socket(link.m_context), link.m_traffic)
        , m_link(link)
        , m_address(std::move(address))
    { }

    void connect(const tcp::endpoint &endpoint)
    {
        const auto self = std::static_pointer_cast<outgoing_connection>(shared_from_this());
        // Use the configured address as the source, also where the system has several addresses.
        error_code error;
        m_socket.open(endpoint.protocol(), error);
        m_socket.bind(tcp::endpoint(m_link.m_localAddress, 0), error);
        m_socket.async_connect(endpoint, [self](error_code error) {
            if (error)
                return self->fail();
            self->start();
        });
    }

    void request(const peer_body &body, std::chrono::milliseconds timeout, reply_handler onReply)
    {
        const std::uint64_t id = ++m_lastId;
        auto timer = std::make_unique<asio::steady_timer>(m_link.m_context, timeout);
        const auto self = std::static_pointer_cast<outgoing_connection>(shared_from_this());
        timer->async_wait([self, id](error_code error) {
            if (!error)
                self->finish(id, std::nullopt);
        });
        m_pendingRequests.emplace(id, pending_request{std::move(onReply), std::move(timer)});
        send(encodeMessage(id, body));
    }

protected:
    void onMessage(const peer_message &message) override { finish(message.id, message.body); }

    void onClosed() override
    {
        const auto existing = m_link.m_outgoing.find(m_address);
        if (existing != m_link.m_outgoing.end() && existing->second.get() == this)
            m_link.m_outgoing.erase(existing);
        const auto pending = std::exchange(m_pendingRequests, {});
        for (const auto &[id, request] : pending)
            request.onReply(std::nullopt);
    }

private:
    struct pending_request {
        reply_handler onReply;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void finish(std::uint64_t id, const std::optional<peer_body> &reply)
    {
        const auto request = m_pendingRequests.find(id);
        if (request == m_pendingRequests.end())
            return; // It has already timed out.
        const reply_handler onReply = std::move(request->second.onReply);
        m_pendingRequests.erase(request);
        onReply(reply);
    }

    peer_link &m_link;
    std::string m_address;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, pending_request> m_pendingRequests;
};

/// A connection opened by another host; receives requests and sends replies.
class peer_link::incoming_connection : public connection
{
public:
    incoming_connection(peer_link &link, tcp::socket socket, std::uint64_t key)
        : connection(std::move(socket), link.m_traffic)
        , m_link(link)
        , m_key(key)
    { }

    void startReading(std::shared_ptr<client_memory> memory)
    {
        hold(std::move(memory));
        if (!hasFailed())
            start();
    }

protected:
    void onMessage(const peer_message &message) override
    {
        const auto self = std::static_pointer_cast<incoming_connection>(shared_from_this());
        m_link.m_handler(message.body,
                         [weak = std::weak_ptr<incoming_connection>(self),
                          id = message.id](const peer_body &reply) {
                             if (const auto peer = weak.lock())
                                 peer->send(encodeMessage(id, reply));
                         });
    }

    void onClosed() override { m_link.m_incoming.erase(m_key); }

private:
    peer_link &m_link;
    std::uint64_t m_key;
};

peer_link::peer_link(asio::io_context &context, const std::string &address, request_handler handler,
                     std::shared_ptr<client_memory> memory)
    : m_context(context)
    , m_acceptor(context)
    , m_acceptTimer(context.get_executor())
    , m_handler(std::move(handler))
    , m_memory(std::move(memory))
{
    const tcp::endpoint endpoint = parseEndpoint(address);
    m_localAddress = endpoint.address();
    try {
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
    } catch (const boost::system::system_error &error) {
        throw peer_error("cannot listen on " + address + ": " + error.what());
    }
    accept();
}

peer_link::~peer_link()
{
    close();
}

void peer_link::close()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
    for (const auto &[address, outgoing] : std::exchange(m_outgoing, {}))
        outgoing->stop();
    for (const auto &[key, incoming] : std::exchange(m_incoming, {}))
        if (const auto open = incoming.lock())
            open->stop();
}

void peer_link::request(const std::string &address, const peer_body &body,
                        std::chrono::milliseconds timeout, reply_handler onReply)
{
    std::shared_ptr<outgoing_connection> outgoing;
    const auto existing = m_outgoing.find(address);
    if (existing != m_outgoing.end()) {
        outgoing = existing->second;
    } else {
        outgoing = std::make_shared<outgoing_connection>(*this, address);
        outgoing->connect(parseEndpoint(address));
        m_outgoing[address] = outgoing;
    }
    outgoing->request(body, timeout, std::move(onReply));
}

void peer_link::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            m_acceptTimer.set(acceptRetryDelay, [this] { accept(); });
            return;
        }
        const std::uint64_t key = ++m_lastIncomingKey;
        const auto incoming = std::make_shared<incoming_connection>(*this, std::move(socket), key);
        m_incoming[key] = incoming;
        incoming->startReading(m_memory);
        accept();
    });
}

} // namespace goldcrestdeck
