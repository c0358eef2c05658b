// Each connection has one read and at most one write pending. Reading continues while a request is
// processed, up to a limit on the buffered bytes, because only a read detects that the client has
// disconnected.

#include "goldcrestdeck/async_server.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <iterator>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "goldcrestdeck/log.h"
#include "goldcrestdeck/one_shot_timer.h"

namespace goldcrestdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// Read size outside of a body; small, because most connections are idle most of the time.
constexpr std::size_t readBytes = 4096;
/// Read size within a body.
constexpr std::size_t bodyReadBytes = 64 * 1024;
/// Limit on the bytes of pipelined requests buffered while a request is processed; beyond it,
/// reading stops until the response is complete.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;
/// Read size within a chunked body, whose framing and trailer stay buffered up to the limit on
/// heads.
constexpr std::size_t chunkedReadBytes = 16 * 1024;
/// Read size while an unread body is discarded after its response.
constexpr std::size_t discardReadBytes = 16 * 1024;
/// Memory of a connection without its buffers: its object, timers, pending operations and entries.
constexpr std::size_t connectionBytes = 4096;
/// Memory of a parsed header field besides its text (75 bytes were measured, x86-64).
constexpr std::size_t fieldBytes = 96;
/// While a request is processed there is a serialized copy of it for the instance.
constexpr std::size_t copiesWhileProcessing = 2;
/// Least mean rate of a body; the time that results for a body of the largest size, plus the idle
/// timeout, is all that a client gets to send it. A client at 1/40 of the slowest link (10 Mbit/s)
/// is still in time.
constexpr std::size_t minBodyBytesPerSecond = 32 * 1024;
/// Reading of a body pauses so often and so long while memory is short, then goes on: waiting for
/// longer would let clients that have stopped hold up those that have not.
constexpr std::chrono::milliseconds readPause{50};
constexpr int maxReadPauses = 6;
/// Seconds after which a client may try again that was refused for lack of memory.
constexpr const char *memoryRetryAfter = "1";
/// Time that the client has to close the connection after the server has shut down its side.
constexpr std::chrono::milliseconds lingerTimeout{1000};
/// Idle time before the first TCP keep-alive probe, and interval between probes.
constexpr int keepAliveProbeSeconds = 1;
/// Unacknowledged probes after which the connection is dropped.
constexpr int keepAliveProbeCount = 3;
/// Time that sent data may stay unacknowledged before the connection is dropped.
constexpr unsigned tcpUserTimeoutMs = 3000;
constexpr int acceptBacklog = 1024;
/// Pause after a failed accept, e.g. for lack of descriptors.
constexpr std::chrono::milliseconds acceptRetryDelay{50};

} // namespace

bool operator==(const request_limits &a, const request_limits &b)
{
    return a.maxHeadBytes == b.maxHeadBytes && a.maxBodyBytes == b.maxBodyBytes
        && a.headTimeout == b.headTimeout && a.idleTimeout == b.idleTimeout;
}

void setTcpOptions(tcp::socket &socket)
{
    const int fd = socket.native_handle();
    const int on = 1;
    // Errors are ignored: the kernel's defaults also detect a dead peer, only later.
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveProbeSeconds, sizeof keepAliveProbeSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveProbeSeconds,
               sizeof keepAliveProbeSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbeCount, sizeof keepAliveProbeCount);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
}

struct async_server::shared_state {
    std::shared_ptr<client_memory> memory;
    request_limits limits;
    handler handle;
    head_check checkHead;
    bool closeAfterResponses = false;
    std::set<std::shared_ptr<connection>> connections;
};

class async_server::connection : public std::enable_shared_from_this<async_server::connection>
{
public:
    connection(tcp::socket socket, std::shared_ptr<shared_state> state)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_bodyTimer(m_socket.get_executor())
        , m_pauseTimer(m_socket.get_executor())
        , m_state(std::move(state))
    { }

    void start()
    {
        error_code error;
        const auto client = m_socket.remote_endpoint(error);
        m_held.emplace(m_state->memory, client.address().to_string(),
                       [weak = weak_from_this()](close_reason reason) {
                           if (const auto self = weak.lock())
                               self->closeForLimit(reason);
                       });
        m_socket.non_blocking(true, error);
        updateHeld();
        m_state->memory->enforce();
        if (m_phase == phase::closed)
            return;
        setTcpOptions(m_socket);
        awaitRequest();
        read();
    }

    bool isIdle() const { return m_phase == phase::idle && m_buffer.size() == 0; }

    void restartIdleTimer()
    {
        if (m_phase == phase::idle)
            awaitRequest();
    }

    /// Shuts down the sending side and waits for the client to close, so that the client sees an
    /// end of stream and not a reset.
    void closeGracefully()
    {
        m_phase = phase::closing;
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        setTimer(lingerTimeout);
    }

    bool isBodyUnread() const { return m_bodyUnread; }

    void readBody()
    {
        if (m_phase != phase::processing)
            return; // Closed in the meantime.
        m_onDisconnect = nullptr;
        m_onWritable = nullptr;
        m_bodyUnread = false;
        m_requestBytes = fieldsBytes(m_headBytes);
        m_phase = phase::readingBody;
        setTimer(m_state->limits.idleTimeout);
        parse();
        updateHeld();
        read();
    }

    void close()
    {
        if (m_phase == phase::closed)
            return;
        const bool processing = m_phase == phase::processing;
        m_phase = phase::closed;
        m_timer.cancel();
        m_bodyTimer.cancel();
        m_pauseTimer.cancel();
        error_code ignored;
        m_socket.close(ignored);
        m_held.reset();
        const auto onDisconnect = std::move(m_onDisconnect);
        m_onDisconnect = nullptr;
        m_onWritable = nullptr;
        const auto self = shared_from_this();
        m_state->connections.erase(self);
        if (processing && onDisconnect)
            onDisconnect();
    }

    void send(http1_response response)
    {
        const bool isLast = isLastResponse();
        response.version(11);
        response.keep_alive(!isLast);
        response.prepare_payload();
        std::string bytes = serializeHead(response.base());
        if (!m_isHeadRequest)
            bytes += response.body();
        finish(std::move(bytes), isLast);
    }

    void begin(http1_response_head head)
    {
        head.version(11);
        m_chunked = m_requestVersion >= 11;
        m_endsWithConnection = !m_chunked;
        m_isLastResponse = isLastResponse() || m_endsWithConnection;
        head.erase(http::field::content_length);
        if (m_chunked)
            head.set(http::field::transfer_encoding, "chunked");
        if (m_isLastResponse)
            head.set(http::field::connection, "close");
        queue(serializeHead(head));
    }

    void write(const std::string &piece)
    {
        if (!piece.empty() && !m_isHeadRequest)
            queue(m_chunked ? encodeChunk(piece) : piece);
    }

    void end() { finish(m_chunked && !m_isHeadRequest ? lastChunk : "", m_isLastResponse); }

    void abort()
    {
        m_onDisconnect = nullptr;
        cutOff();
    }

    /// Closes the connection so that a response in progress does not look complete.
    void cutOff()
    {
        if (m_endsWithConnection) {
            // An orderly close would mark the end of the body.
            error_code ignored;
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        close();
    }

    std::size_t unsentBytes() const { return m_bytesInWrite.size() + m_pendingBytes.size(); }

    void setCallbacks(std::function<void()> onDisconnect, std::function<void()> onWritable)
    {
        m_onDisconnect = std::move(onDisconnect);
        m_onWritable = std::move(onWritable);
    }

private:
    enum class phase { idle, readingHead, readingBody, processing, closing, closed };
    using parser = http::request_parser<http::string_body>;

    bool isLastResponse() const { return m_state->closeAfterResponses || !m_keepAlive; }

    void setTimer(std::chrono::milliseconds delay)
    {
        m_timer.set(delay, [self = shared_from_this()] { self->onTimeout(); });
    }

    void onTimeout()
    {
        if (m_phase == phase::readingHead || m_phase == phase::readingBody)
            reject(http::status::request_timeout);
        else
            close();
    }

    /// Refuses the request that is being received: it has not run, because it has not been
    /// dispatched. Any other connection is closed, to free its descriptor or its response.
    void closeForLimit(close_reason reason)
    {
        const bool isReceiving = m_phase == phase::readingHead || m_phase == phase::readingBody;
        if (reason == close_reason::memory && isReceiving && !m_writePending)
            refuseForMemory();
        else
            abort();
    }

    void refuseForMemory()
    {
        http1_response response(http::status::service_unavailable, 11);
        response.set(http::field::retry_after, memoryRetryAfter);
        refuse(std::move(response), R"({"code":"client_memory","run":"no"})");
    }

    /// Enters what the connection holds in the account.
    void updateHeld()
    {
        if (!m_held)
            return;
        std::size_t bytes = connectionBytes + m_buffer.capacity() + m_bytesInWrite.capacity()
            + m_pendingBytes.capacity() + m_requestBytes;
        if (m_parser && m_phase == phase::readingBody) {
            // The memory of a declared length is reserved but not used before its bytes arrive.
            const std::string &body = m_parser->get().body();
            bytes += m_parser->content_length() ? body.size() : body.capacity();
        }
        const bool isProcessing = m_phase == phase::processing && !m_responseEnded;
        m_held->set(bytes, !isProcessing);
    }

    /// Releases the memory that the buffer keeps for the largest request so far.
    void shrinkBuffer()
    {
        if (m_buffer.size() == 0 && m_buffer.capacity() > readBytes) {
            m_buffer.clear();
            m_buffer.shrink_to_fit();
        }
    }

    void awaitRequest()
    {
        m_phase = phase::idle;
        m_requestBytes = 0;
        shrinkBuffer();
        updateHeld();
        setTimer(m_state->limits.idleTimeout);
    }

    std::size_t readSize() const
    {
        if (m_phase == phase::closing && m_bodyUnread)
            return discardReadBytes;
        if (m_phase != phase::readingBody)
            return readBytes;
        return m_isChunkedRequest ? chunkedReadBytes : bodyReadBytes;
    }

    void read()
    {
        if (m_reading || m_phase == phase::closed)
            return;
        if (m_phase == phase::processing && (m_bodyUnread || m_buffer.size() >= maxPipelinedBytes))
            return;
        if (m_phase == phase::readingBody && m_readPauses < maxReadPauses
            && m_state->memory->shouldPause()) {
            ++m_readPauses;
            m_pauseTimer.set(readPause, [self = shared_from_this()] { self->read(); });
            return;
        }
        m_reading = true;
        // Waits without a prepared buffer: its content moves when a pipelined request is consumed
        // meanwhile, and connections that wait need none.
        m_socket.async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), size = readSize()](error_code error) {
                self->m_reading = false;
                std::size_t count = 0;
                if (!error && self->m_phase != phase::closed)
                    count = self->m_socket.read_some(self->m_buffer.prepare(size), error);
                if (error == asio::error::would_block || error == asio::error::try_again)
                    self->read();
                else
                    self->onRead(error, count);
            });
    }

    void onRead(error_code error, std::size_t count)
    {
        if (m_phase == phase::closed)
            return;
        if (error) {
            close();
            return;
        }
        if (m_phase == phase::closing) {
            m_buffer.clear();
            if (m_bodyUnread && !mayDiscard(count)) {
                close();
                return;
            }
        } else {
            m_buffer.commit(count);
            parse();
        }
        updateHeld();
        if (m_state->memory->isOver())
            m_state->memory->enforce();
        read();
    }

    /// Counts discarded bytes of an unread body. \returns false once they exceed the limit on
    /// bodies.
    bool mayDiscard(std::size_t count)
    {
        m_discardedBytes += count;
        setTimer(lingerTimeout);
        return m_discardedBytes <= m_state->limits.maxBodyBytes + m_state->limits.maxHeadBytes;
    }

    void parse()
    {
        if (m_phase == phase::idle && m_buffer.size() > 0) {
            m_phase = phase::readingHead;
            setTimer(m_state->limits.headTimeout);
        }
        if (m_phase == phase::readingHead)
            parseHead();
        if (m_phase == phase::readingBody && !std::exchange(m_headChecked, true)
            && m_state->checkHead && isBodyOutstanding()
            && m_state->checkHead(m_parser->get().base())) {
            dispatchHead();
            return;
        }
        if (m_phase == phase::readingBody)
            parseBody();
    }

    void parseHead()
    {
        const auto data = m_buffer.cdata();
        const std::string_view bytes(static_cast<const char *>(data.data()),
                                     std::min(data.size(), m_state->limits.maxHeadBytes + 1));
        const std::string_view unseen = bytes.substr(std::min(m_scannedBytes, bytes.size()));
        const std::size_t endInUnseen = unseen.find("\r\n\r\n");
        if (endInUnseen == std::string_view::npos) {
            if (bytes.size() > m_state->limits.maxHeadBytes)
                reject(http::status::request_header_fields_too_large);
            // A head with bare line feeds would never end in CR LF CR LF.
            else if (unseen.find("\n\n") != std::string_view::npos)
                reject(http::status::bad_request);
            m_scannedBytes = bytes.size() - std::min<std::size_t>(bytes.size(), 3);
            return;
        }
        const std::size_t end = m_scannedBytes + endInUnseen;
        m_scannedBytes = 0;
        if (!isUnambiguousHead(std::string(bytes.substr(0, end + 4)))) {
            reject(http::status::bad_request);
            return;
        }
        m_parser = std::make_unique<parser>();
        m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.maxHeadBytes + 1));
        m_parser->body_limit(m_state->limits.maxBodyBytes);
        m_parser->eager(false);
        error_code error;
        const std::size_t used = m_parser->put(m_buffer.cdata(), error);
        m_buffer.consume(used);
        if (error && error != http::error::need_more) {
            rejectParseError(error);
            return;
        }
        m_phase = phase::readingBody;
        m_readPauses = 0;
        m_headChecked = false;
        m_headBytes = used;
        m_isChunkedRequest = m_parser->chunked();
        m_requestBytes = fieldsBytes(used);
        if (!m_parser->is_done())
            startBodyTimer();
        m_parser->eager(true);
        if (m_parser->get()[http::field::expect] == "100-continue" && !m_parser->is_done())
            queue("HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Whether a part of the body has not arrived; a chunked body is not parsed to find out.
    bool isBodyOutstanding() const
    {
        return !m_parser->is_done()
            && (m_isChunkedRequest || m_parser->content_length().value_or(0) > m_buffer.size());
    }

    /// \returns the memory of the parsed fields and their \a textBytes of text.
    std::size_t fieldsBytes(std::size_t textBytes) const
    {
        const auto &fields = m_parser->get();
        return textBytes
            + static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) * fieldBytes;
    }

    /// Limits the time for the whole body, beside that between its bytes.
    void startBodyTimer()
    {
        const std::size_t bytes = m_parser->content_length().value_or(m_state->limits.maxBodyBytes);
        m_bodyTimer.set(m_state->limits.idleTimeout
                            + std::chrono::milliseconds(bytes * 1000 / minBodyBytesPerSecond),
                        [self = shared_from_this()] {
                            if (self->m_phase == phase::readingBody)
                                self->reject(http::status::request_timeout);
                            else if (self->m_phase == phase::closing)
                                self->close();
                        });
    }

    void parseBody()
    {
        error_code error;
        while (!m_parser->is_done()) {
            const std::size_t used = m_parser->put(m_buffer.cdata(), error);
            m_buffer.consume(used);
            if (error == http::error::need_more) {
                // Only a chunk's size line, with its extensions, and the trailer stay buffered.
                if (m_buffer.size() > m_state->limits.maxHeadBytes) {
                    reject(http::status::request_header_fields_too_large);
                    return;
                }
                setTimer(m_state->limits.idleTimeout);
                return;
            }
            if (error) {
                rejectParseError(error);
                return;
            }
            if (used == 0)
                return;
        }
        dispatch();
    }

    /// Enters the request as one that is processed. \returns false if it does not fit into the
    /// account, even after others have been closed.
    bool holdRequest()
    {
        const std::size_t textBytes = m_isChunkedRequest ? m_state->limits.maxHeadBytes : 0;
        if (m_isChunkedRequest)
            m_requestBytes = fieldsBytes(textBytes); // With those of the trailer.
        m_requestBytes = copiesWhileProcessing * (m_requestBytes + m_parser->get().body().size());
        m_phase = phase::processing;
        shrinkBuffer();
        updateHeld();
        if (!m_state->memory->isOver())
            return true;
        m_state->memory->enforce();
        return !m_state->memory->isOver();
    }

    void dispatch()
    {
        m_bodyTimer.cancel();
        m_pauseTimer.cancel();
        if (!holdRequest()) {
            refuseForMemory();
            return;
        }
        http1_request request = m_parser->release();
        m_parser.reset();
        m_keepAlive = request.keep_alive();
        handle(std::move(request));
    }

    /// Handles a request whose head has arrived, without its body.
    void dispatchHead()
    {
        if (!holdRequest()) {
            refuseForMemory();
            return;
        }
        m_bodyUnread = true;
        m_discardedBytes = 0;
        m_keepAlive = false;
        handle(http1_request(m_parser->get().base()));
    }

    void handle(http1_request request);

    void rejectParseError(const error_code &error)
    {
        if (error == http::error::body_limit)
            reject(http::status::payload_too_large);
        else if (error == http::error::header_limit)
            reject(http::status::request_header_fields_too_large);
        else
            reject(http::status::bad_request);
    }

    /// Responds to a request that cannot be parsed, and closes the connection.
    void reject(http::status status)
    {
        refuse(http1_response(status, 11), R"({"code":"malformed_request","run":"no"})");
    }

    /// Responds to a request that has not been dispatched, and closes the connection.
    void refuse(http1_response response, const char *body)
    {
        m_phase = phase::processing;
        m_parser.reset();
        m_requestBytes = 0;
        m_bodyTimer.cancel();
        m_pauseTimer.cancel();
        m_onDisconnect = nullptr;
        m_keepAlive = false;
        m_isHeadRequest = false;
        // The rest of the input belongs to the refused request.
        m_buffer.consume(m_buffer.size());
        shrinkBuffer();
        response.set(http::field::content_type, "application/json");
        response.body() = body;
        send(std::move(response));
    }

    void finish(std::string bytes, bool isLast)
    {
        m_onDisconnect = nullptr;
        m_onWritable = nullptr;
        m_closeAfterSending = isLast;
        m_responseEnded = true;
        m_requestBytes = 0;
        if (m_bodyUnread) {
            m_parser.reset();
            m_buffer.consume(m_buffer.size());
            shrinkBuffer();
            setTimer(m_state->limits.idleTimeout); // For the client to read the response.
        }
        m_pendingBytes += bytes;
        if (!m_writePending)
            startWrite();
        updateHeld();
    }

    void queue(const std::string &bytes)
    {
        m_pendingBytes += bytes;
        if (!m_writePending)
            startWrite();
    }

    void startWrite()
    {
        if (m_phase == phase::closed)
            return;
        if (m_pendingBytes.empty()) {
            onAllSent();
            return;
        }
        m_bytesInWrite.swap(m_pendingBytes);
        m_pendingBytes.clear();
        m_writePending = true;
        asio::async_write(m_socket, asio::buffer(m_bytesInWrite),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              self->m_writePending = false;
                              self->releaseWritten();
                              if (error)
                                  self->close();
                              else
                                  self->startWrite();
                          });
    }

    void releaseWritten()
    {
        m_bytesInWrite.clear();
        // Keeps what most responses need, so that they cause no further allocations.
        if (m_bytesInWrite.capacity() > bodyReadBytes)
            m_bytesInWrite.shrink_to_fit();
    }

    void onAllSent()
    {
        if (m_responseEnded) {
            m_responseEnded = false;
            if (m_closeAfterSending) {
                closeGracefully();
                read();
                return;
            }
            awaitRequest();
            parse();
            read();
            return;
        }
        if (m_onWritable) {
            const auto onWritable = m_onWritable;
            onWritable();
        }
    }

    tcp::socket m_socket;
    one_shot_timer m_timer;
    one_shot_timer m_bodyTimer;
    one_shot_timer m_pauseTimer;
    std::shared_ptr<shared_state> m_state;
    std::optional<held_connection> m_held;
    std::size_t m_requestBytes = 0; ///< Memory of the request, without a body being read.
    std::size_t m_scannedBytes = 0; ///< Of a head being received, in which it does not end.
    int m_readPauses = 0;
    bool m_isChunkedRequest = false;
    std::size_t m_headBytes = 0; ///< Of the request that is being received.
    bool m_headChecked = false;
    bool m_bodyUnread = false;        ///< The request is handled without its body.
    std::size_t m_discardedBytes = 0; ///< Of an unread body, after the response.
    beast::flat_buffer m_buffer;
    std::unique_ptr<parser> m_parser;
    phase m_phase = phase::idle;
    bool m_reading = false;
    bool m_writePending = false;
    bool m_responseEnded = false;
    bool m_closeAfterSending = false;
    bool m_keepAlive = true;
    bool m_isHeadRequest = false;
    bool m_chunked = false;
    bool m_endsWithConnection = false; ///< The response body in progress has no other end.
    bool m_isLastResponse = false;
    unsigned m_requestVersion = 11;
    std::string m_bytesInWrite;
    std::string m_pendingBytes;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onWritable;
};

/// The writer of one response. A connection has one for each request, so that a writer which is
/// used after its response cannot reach the response to the next request.
class async_server::writer : public response_writer
{
public:
    explicit writer(std::shared_ptr<connection> connection)
        : m_connection(std::move(connection))
    { }

    void send(http1_response response) override
    {
        if (advance("send", progress::none, progress::ended))
            m_connection->send(std::move(response));
    }

    void begin(http1_response_head head) override
    {
        if (advance("begin", progress::none, progress::begun))
            m_connection->begin(std::move(head));
    }

    void write(const std::string &piece) override
    {
        if (advance("write", progress::begun, progress::begun))
            m_connection->write(piece);
    }

    void end() override
    {
        if (advance("end", progress::begun, progress::ended))
            m_connection->end();
    }

    void abort() override
    {
        if (m_progress == progress::ended) {
            reportMisuse("abort");
            return;
        }
        m_progress = progress::ended;
        m_connection->abort();
    }

    std::size_t unsentBytes() const override { return m_connection->unsentBytes(); }

    void setCallbacks(std::function<void()> onDisconnect, std::function<void()> onWritable) override
    {
        if (m_progress != progress::ended)
            m_connection->setCallbacks(std::move(onDisconnect), std::move(onWritable));
    }

    bool isBodyUnread() const override
    {
        return m_progress == progress::none && m_connection->isBodyUnread();
    }

    void readBody() override
    {
        if (advance("readBody", progress::none, progress::ended))
            m_connection->readBody();
    }

private:
    enum class progress { none, begun, ended };

    static const char *toString(progress value)
    {
        switch (value) {
        case progress::none:
            return "none";
        case progress::begun:
            return "begun";
        case progress::ended:
            break;
        }
        return "ended";
    }

    /// Moves on from \a from to \a to. \returns false if that is out of order, so that \a call must
    /// have no effect.
    bool advance(const char *call, progress from, progress to)
    {
        if (m_progress != from) {
            reportMisuse(call);
            return false;
        }
        m_progress = to;
        return true;
    }

    void reportMisuse(const char *call)
    {
        logEvent(log_level::error, "response_call_out_of_order",
                 {{"call", call}, {"progress", toString(m_progress)}});
        // After the end, the connection may serve another request.
        if (std::exchange(m_progress, progress::ended) != progress::ended)
            m_connection->cutOff();
    }

    std::shared_ptr<connection> m_connection;
    progress m_progress = progress::none;
};

void async_server::connection::handle(http1_request request)
{
    m_timer.cancel();
    m_requestVersion = request.version();
    m_isHeadRequest = request.method() == http::verb::head;
    m_onDisconnect = nullptr;
    m_onWritable = nullptr;
    m_chunked = false;
    m_endsWithConnection = false;
    m_isLastResponse = false;
    m_state->handle(std::move(request), std::make_shared<writer>(shared_from_this()));
}

async_server::async_server(asio::io_context &io, const tcp::endpoint &address,
                           request_limits limits, handler handle,
                           std::shared_ptr<client_memory> memory, head_check checkHead)
    : m_io(io)
    , m_acceptor(io)
    , m_acceptTimer(io.get_executor())
    , m_state(std::make_shared<shared_state>())
{
    m_state->memory = std::move(memory);
    m_state->limits = limits;
    m_state->handle = std::move(handle);
    m_state->checkHead = std::move(checkHead);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen(acceptBacklog);
    accept();
}

async_server::~async_server()
{
    stop();
}

void async_server::accept()
{
    m_acceptor.async_accept([this, state = m_state](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (error) {
            m_acceptTimer.set(acceptRetryDelay, [this] { accept(); });
            return;
        }
        const auto accepted = std::make_shared<connection>(std::move(socket), state);
        state->connections.insert(accepted);
        accepted->start();
        accept();
    });
}

void async_server::setLimits(const request_limits &limits)
{
    const bool idleTimeoutChanged = limits.idleTimeout != m_state->limits.idleTimeout;
    m_state->limits = limits;
    if (!idleTimeoutChanged)
        return;
    for (const auto &open : m_state->connections)
        open->restartIdleTimer();
}

void async_server::closeAfterResponses()
{
    m_state->closeAfterResponses = true;
}

void async_server::stopAccepting()
{
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptTimer.cancel();
}

void async_server::closeIdleConnections()
{
    const auto connections = m_state->connections;
    for (const auto &open : connections) {
        if (open->isIdle())
            open->closeGracefully();
    }
}

std::size_t async_server::openConnections() const
{
    return m_state->connections.size();
}

tcp::endpoint async_server::address() const
{
    return m_acceptor.local_endpoint();
}

void async_server::stop()
{
    stopAccepting();
    const auto connections = m_state->connections;
    for (const auto &open : connections)
        open->abort();
}

} // namespace goldcrestdeck
