// A connection that is not paused always has a read pending, also while idle, so that a close by
// the server is detected immediately. The most recently used idle connection is reused first, which
// lets the others expire.

#include "goldcrestdeck/async_client.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "goldcrestdeck/async_server.h"
#include "goldcrestdeck/one_shot_timer.h"
#include "goldcrestdeck/socket_queue.h"

namespace goldcrestdeck {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t readBytes = 4096;
/// Limit on the status line and header fields of a response.
constexpr std::uint32_t maxResponseHeadBytes = 64 * 1024;
/// Limit on bytes that the parser cannot consume yet, such as a chunk size with its extensions.
constexpr std::size_t maxUnparsedBytes = 2 * maxResponseHeadBytes;
/// Limit on the informational responses before a response.
constexpr unsigned maxInformationalResponses = 16;
/// Limit on what arrives before the head of the response: informational responses, and responses
/// to earlier requests, which are discarded.
constexpr std::size_t maxBytesBeforeResponse = 1024 * 1024;
/// Keep-alive timeout assumed for a server that does not send one.
constexpr std::chrono::milliseconds defaultKeepAliveTimeout{4000};
constexpr std::chrono::milliseconds minTimerDelay{1};
/// Limit on the idle connections to one server.
constexpr std::size_t maxIdleConnections = 64;

/// Returns the timeout of the Keep-Alive field, or the default if there is none.
std::chrono::milliseconds keepAliveTimeout(const http1_response_head &head)
{
    const std::string value(head[http::field::keep_alive]);
    const std::size_t at = value.find("timeout=");
    if (at == std::string::npos)
        return defaultKeepAliveTimeout;
    const long seconds = std::strtol(value.c_str() + at + 8, nullptr, 10);
    return seconds > 0 ? std::chrono::seconds(seconds) : defaultKeepAliveTimeout;
}

} // namespace

const char *toString(call_failure failure)
{
    switch (failure) {
    case call_failure::notSent:
        return "not_sent";
    case call_failure::broken:
        return "broken";
    case call_failure::malformed:
        return "malformed";
    case call_failure::timeout:
        break;
    }
    return "timeout";
}

class async_client::connection : public std::enable_shared_from_this<async_client::connection>
{
public:
    connection(asio::io_context &io, const clock &time, std::string serverId,
               std::shared_ptr<shared_state> shared)
        : m_socket(io)
        , m_timer(io.get_executor())
        , m_clock(time)
        , m_serverId(std::move(serverId))
        , m_shared(std::move(shared))
    {
        ++m_shared->openConnections;
        ++m_shared->connectionsOpened;
    }
    ~connection() { --m_shared->openConnections; }

    void open(const tcp::endpoint &server, std::uint64_t callId, const http1_request &request,
              response_observer observer, call_options options)
    {
        prepare(callId, request, std::move(observer), std::move(options));
        m_timer.set(m_options.timeout.count() > 0
                        ? std::min(m_options.connectTimeout, m_options.timeout)
                        : m_options.connectTimeout,
                    [self = shared_from_this()] {
                        if (self->m_busy)
                            self->fail(call_failure::notSent);
                    });
        m_socket.async_connect(server, [self = shared_from_this()](error_code error) {
            if (self->m_closed)
                return;
            if (error) {
                self->fail(call_failure::notSent);
                return;
            }
            setTcpOptions(self->m_socket);
            self->m_connected = true;
            if (const auto onConnected = std::exchange(self->m_options.onConnected, nullptr))
                onConnected();
            if (self->m_closed)
                return;
            self->read();
            self->send();
        });
    }

    void reuse(std::uint64_t callId, const http1_request &request, response_observer observer,
               call_options options)
    {
        prepare(callId, request, std::move(observer), std::move(options));
        m_isReused = true;
        send();
    }

    bool isReusable(double maxIdleFraction) const
    {
        const duration idle = m_clock.now() - m_idleSince;
        return !m_closed && idle < m_keepAliveTimeout * maxIdleFraction;
    }

    bool isActiveCall(std::uint64_t callId) const { return m_busy && m_callId == callId; }

    void close()
    {
        if (m_closed)
            return;
        m_closed = true;
        m_busy = false;
        m_timer.cancel();
        error_code ignored;
        m_socket.close(ignored);
        m_observer = {};
        m_options.isOwnResponse = nullptr;
        m_options.onConnected = nullptr;
        m_unparsedBytes.reset();
        removeFromPool();
    }

    bool hasStartedWriting() const { return m_startedWriting; }

    void pause() { m_paused = true; }

    void resume()
    {
        m_paused = false;
        read();
    }

private:
    using parser = http::response_parser<http::string_body>;

    /// Which line of the current response's head is checked next.
    enum class head_check { statusLine, fields, complete };

    void prepare(std::uint64_t callId, const http1_request &request, response_observer observer,
                 call_options options)
    {
        m_callId = callId;
        m_busy = true;
        m_paused = false;
        m_requestWritten = false;
        m_startedWriting = false;
        m_observer = std::move(observer);
        m_options = std::move(options);
        m_startTime = m_clock.now();
        m_isHeadRequest = request.method() == http::verb::head;
        m_requestBytes = serializeRequest(request);
        m_bytesBeforeResponse = 0;
        m_informationalResponses = 0;
        m_unparsedBytes.reset();
        if (m_options.memory)
            m_unparsedBytes.emplace(m_options.memory, m_serverId);
        startParser();
    }

    void startParser()
    {
        m_parser = std::make_unique<parser>();
        m_parser->header_limit(maxResponseHeadBytes);
        // Boost 1.74 takes any Content-Length to exceed a limit of boost::none.
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser->eager(true);
        if (m_isHeadRequest)
            m_parser->skip(true);
        m_headCheck = head_check::statusLine;
        m_checkedBytes = 0;
        m_headReported = false;
        m_isOwnResponse = true;
        m_receivedBytes = false;
        m_receivedBody = false;
    }

    /// Limits the time to the end of the call, and to the next byte if the call has a limit on
    /// that.
    void awaitProgress()
    {
        const time_point now = m_clock.now();
        std::optional<duration> delay;
        if (m_options.timeout.count() > 0)
            delay = m_options.timeout - (now - m_startTime);
        if (m_options.stallTimeout.count() > 0) {
            const duration untilStalled = m_options.stallTimeout - (now - m_progressTime);
            delay = delay ? std::min(*delay, untilStalled) : untilStalled;
        }
        if (!delay)
            return;
        m_timer.set(std::max<duration>(*delay, minTimerDelay),
                    [self = shared_from_this()] { self->checkProgress(); });
    }

    void checkProgress()
    {
        if (!m_busy)
            return;
        const time_point now = m_clock.now();
        const bool outOfTime
            = m_options.timeout.count() > 0 && now - m_startTime >= m_options.timeout;
        const bool stalled
            = m_options.stallTimeout.count() > 0 && now - m_progressTime >= m_options.stallTimeout;
        if (outOfTime || stalled)
            fail(call_failure::timeout);
        else
            awaitProgress();
    }

    void send()
    {
        m_timer.cancel();
        m_progressTime = m_clock.now();
        awaitProgress();
        m_startedWriting = true;
        asio::async_write(
            m_socket, asio::buffer(m_requestBytes),
            [self = shared_from_this(), callId = m_callId](error_code error, std::size_t count) {
                self->onWritten(callId, error, count);
            });
    }

    void onWritten(std::uint64_t callId, error_code error, std::size_t count)
    {
        if (m_closed || m_callId != callId || !m_busy)
            return;
        if (error) {
            fail(count == 0 ? call_failure::notSent : call_failure::broken);
            return;
        }
        m_requestWritten = true;
        m_requestBytes.clear();
        m_requestBytes.shrink_to_fit();
    }

    void read()
    {
        if (m_reading || m_closed || m_paused)
            return;
        m_reading = true;
        m_socket.async_read_some(m_buffer.prepare(readBytes),
                                 [self = shared_from_this()](error_code error, std::size_t count) {
                                     self->m_reading = false;
                                     self->onRead(error, count);
                                 });
    }

    void onRead(error_code error, std::size_t count)
    {
        if (m_closed)
            return;
        if (!m_busy) {
            close();
            return;
        }
        if (error) {
            onReadError(error);
            return;
        }
        m_receivedBytes = true;
        m_progressTime = m_clock.now();
        m_buffer.commit(count);
        const auto self = shared_from_this();
        parse();
        read();
    }

    void onReadError(const error_code &error)
    {
        // A body without Content-Length or chunks ends where the server closes the connection. A
        // success without a byte of it is taken for one that was cut after its head, and a body
        // that ends before the server has received the whole request for one that was cut: the
        // reset that follows then arrives after the end.
        const bool isCutAfterHead = !m_receivedBody && m_parser->is_header_done()
            && m_parser->get().result_int() / 100 == 2;
        if (error == asio::error::eof && m_receivedBytes && m_isOwnResponse && !isCutAfterHead
            && isRequestReceived() && m_parser->is_header_done() && !m_parser->is_done()) {
            error_code eofError;
            m_parser->put_eof(eofError);
            if (!eofError && m_parser->is_done()) {
                finish(false);
                return;
            }
        }
        fail(call_failure::broken);
    }

    bool isRequestReceived()
    {
        return m_requestWritten && unacknowledgedBytes(m_socket.native_handle()) == 0;
    }

    void parse()
    {
        while (m_busy && !m_closed && m_buffer.size() > 0) {
            if (m_parser->is_done())
                return;
            if (!checkHead()) {
                fail(call_failure::malformed);
                return;
            }
            error_code error;
            const std::size_t used = m_parser->put(m_buffer.cdata(), error);
            m_buffer.consume(used);
            m_checkedBytes -= std::min(m_checkedBytes, used);
            if (error && error != http::error::need_more) {
                fail(call_failure::malformed);
                return;
            }
            if (!reportProgress())
                return;
            if (!m_headReported || !m_isOwnResponse)
                m_bytesBeforeResponse += used;
            const bool needsMore = error == http::error::need_more || used == 0;
            if (m_bytesBeforeResponse > maxBytesBeforeResponse
                || (needsMore && m_buffer.size() > maxUnparsedBytes)
                || (m_unparsedBytes && !m_unparsedBytes->set(m_buffer.size()))) {
                fail(call_failure::malformed);
                return;
            }
            if (needsMore)
                return;
        }
    }

    /// Checks the lines of the head that have arrived since the last call. The parser consumes
    /// complete lines only, so it has consumed none that is unchecked.
    /// \returns false if one is malformed.
    bool checkHead()
    {
        constexpr std::string_view lineEnd = "\r\n";
        const auto data = m_buffer.cdata();
        const std::string_view bytes(static_cast<const char *>(data.data()), data.size());
        while (m_headCheck != head_check::complete) {
            const std::size_t end = bytes.find(lineEnd, m_checkedBytes);
            if (end == std::string_view::npos)
                return true;
            const std::string_view line = bytes.substr(m_checkedBytes, end - m_checkedBytes);
            m_checkedBytes = end + lineEnd.size();
            if (m_headCheck == head_check::statusLine) {
                if (!isValidStatusLine(line))
                    return false;
                m_headCheck = head_check::fields;
            } else if (line.empty()) {
                m_headCheck = head_check::complete;
            } else if (!isValidField(line)) {
                return false;
            }
        }
        return true;
    }

    /// Passes newly parsed data to the observer. \returns false if the call has ended.
    bool reportProgress()
    {
        const std::uint64_t callId = m_callId;
        if (m_parser->is_header_done() && !m_headReported) {
            m_headReported = true;
            if (m_parser->get().result_int() / 100 == 1) {
                // An informational response; the final one follows.
                if (++m_informationalResponses > maxInformationalResponses) {
                    fail(call_failure::malformed);
                    return false;
                }
                startParser();
                return true;
            }
            m_isOwnResponse = !m_options.isOwnResponse
                || m_options.isOwnResponse(m_parser->get().base(), m_isReused);
            m_hasDiscarded = m_hasDiscarded || !m_isOwnResponse;
            if (m_isOwnResponse) {
                m_keepAliveTimeout = keepAliveTimeout(m_parser->get().base());
                m_observer.onHead(m_parser->get().base());
            }
        }
        if (!isActiveCall(callId))
            return false;
        std::string body;
        body.swap(m_parser->get().body());
        m_receivedBody = m_receivedBody || !body.empty();
        if (m_isOwnResponse && !body.empty())
            m_observer.onBody(std::move(body));
        if (!isActiveCall(callId))
            return false;
        if (m_parser->is_done()) {
            if (!m_isOwnResponse) {
                startParser();
                return true;
            }
            finish(m_parser->get().keep_alive());
            return false;
        }
        return true;
    }

    void finish(bool keepAlive)
    {
        const auto onEnd = std::move(m_observer.onEnd);
        m_observer = {};
        m_options.isOwnResponse = nullptr;
        m_unparsedBytes.reset();
        m_busy = false;
        m_timer.cancel();
        // If the response arrives before the request has been fully written, the state of the
        // connection is unknown and it cannot be reused.
        if (!keepAlive || !m_requestWritten || m_buffer.size() > 0 || m_paused || m_hasDiscarded
            || m_shared->stopped)
            close();
        else
            returnToPool();
        onEnd();
    }

    void returnToPool()
    {
        m_idleSince = m_clock.now();
        auto &idleConnections = m_shared->idle[m_serverId];
        if (idleConnections.size() >= maxIdleConnections) {
            close();
            return;
        }
        idleConnections.push_back(shared_from_this());
    }

    void fail(call_failure failure)
    {
        const auto onFailure = std::move(m_observer.onFailure);
        const auto self = shared_from_this();
        close();
        onFailure(failure);
    }

    void removeFromPool()
    {
        const auto found = m_shared->idle.find(m_serverId);
        if (found == m_shared->idle.end())
            return;
        auto &idleConnections = found->second;
        const auto self = shared_from_this();
        idleConnections.erase(std::remove(idleConnections.begin(), idleConnections.end(), self),
                              idleConnections.end());
        if (idleConnections.empty())
            m_shared->idle.erase(found);
    }

    tcp::socket m_socket;
    one_shot_timer m_timer;
    const clock &m_clock;
    std::string m_serverId;
    std::shared_ptr<shared_state> m_shared;
    beast::flat_buffer m_buffer;
    std::unique_ptr<parser> m_parser;
    response_observer m_observer;
    call_options m_options;
    std::string m_requestBytes;
    std::optional<held_bytes> m_unparsedBytes;
    std::size_t m_bytesBeforeResponse = 0; ///< Of the current call.
    unsigned m_informationalResponses = 0; ///< Of the current call.
    std::uint64_t m_callId = 0;
    time_point m_startTime;
    time_point m_progressTime; ///< When the request was sent, or the last bytes arrived.
    time_point m_idleSince;
    std::chrono::milliseconds m_keepAliveTimeout = defaultKeepAliveTimeout;
    bool m_connected = false;
    bool m_busy = false;
    bool m_closed = false;
    bool m_reading = false;
    bool m_paused = false;
    bool m_requestWritten = false;
    bool m_startedWriting = false;
    head_check m_headCheck = head_check::statusLine;
    std::size_t m_checkedBytes = 0; ///< At the start of the buffer, while the head is incomplete.
    bool m_headReported = false;
    bool m_isOwnResponse = true;
    bool m_isReused = false;      ///< The connection has carried an earlier request.
    bool m_hasDiscarded = false;  ///< A response that belonged to an earlier request has arrived.
    bool m_receivedBytes = false; ///< Of the current response, like the next one.
    bool m_receivedBody = false;
    bool m_isHeadRequest = false;
};

void async_client::call_handle::cancel()
{
    const auto active = m_connection.lock();
    if (active && active->isActiveCall(m_callId))
        active->close();
    m_connection.reset();
}

bool async_client::call_handle::isUnsent() const
{
    const auto active = m_connection.lock();
    return active && active->isActiveCall(m_callId) && !active->hasStartedWriting();
}

void async_client::call_handle::pause()
{
    const auto active = m_connection.lock();
    if (active && active->isActiveCall(m_callId))
        active->pause();
}

void async_client::call_handle::resume()
{
    const auto active = m_connection.lock();
    if (active && active->isActiveCall(m_callId))
        active->resume();
}

async_client::async_client(asio::io_context &io, const clock &time)
    : m_io(io)
    , m_clock(time)
    , m_shared(std::make_shared<shared_state>())
{ }

async_client::~async_client()
{
    stop();
}

async_client::call_handle async_client::call(const tcp::endpoint &server,
                                             const std::string &serverId,
                                             const http1_request &request,
                                             response_observer observer, call_options options)
{
    call_handle handle;
    handle.m_callId = ++m_lastCallId;
    if (const auto reused = takeFromPool(serverId, options.maxIdleFraction)) {
        handle.m_connection = reused;
        reused->reuse(handle.m_callId, request, std::move(observer), std::move(options));
        return handle;
    }
    const auto opened = std::make_shared<connection>(m_io, m_clock, serverId, m_shared);
    handle.m_connection = opened;
    opened->open(server, handle.m_callId, request, std::move(observer), std::move(options));
    return handle;
}

std::shared_ptr<async_client::connection> async_client::takeFromPool(const std::string &serverId,
                                                                     double maxIdleFraction)
{
    // A connection that has been idle too long for this call stays in the pool: calls that can be
    // retried accept a longer idle time.
    const auto found = m_shared->idle.find(serverId);
    if (found == m_shared->idle.end() || found->second.empty())
        return nullptr;
    const std::shared_ptr<connection> newest = found->second.back();
    if (!newest->isReusable(maxIdleFraction))
        return nullptr;
    found->second.pop_back();
    return newest;
}

void async_client::closeIdleConnections(const std::string &serverId)
{
    const auto found = m_shared->idle.find(serverId);
    if (found == m_shared->idle.end())
        return;
    const auto idleConnections = std::move(found->second);
    m_shared->idle.erase(found);
    for (const auto &idleConnection : idleConnections)
        idleConnection->close();
}

void async_client::stop()
{
    m_shared->stopped = true;
    closeAllIdleConnections();
}

void async_client::closeAllIdleConnections()
{
    const auto idle = std::move(m_shared->idle);
    m_shared->idle.clear();
    for (const auto &entry : idle) {
        for (const auto &idleConnection : entry.second)
            idleConnection->close();
    }
}

} // namespace goldcrestdeck
