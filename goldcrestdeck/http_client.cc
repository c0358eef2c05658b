// A libcurl handle owns its connections, so handles are pooled and each request uses an idle one.
// A stream uses a multi handle that is driven only by its reader: it needs no thread, and reads
// from the upstream only after the reader has consumed the bytes received before.

#include "goldcrestdeck/http_client.h"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include <curl/curl.h>
#include <unistd.h>

#include "goldcrestdeck/http_message.h"
#include "goldcrestdeck/socket_queue.h"

namespace goldcrestdeck {

namespace {

constexpr std::size_t maxIdleHandles = 256;
constexpr std::size_t maxResponseBytes = 16 * 1024 * 1024;
constexpr long connectTimeoutMs = 1000;
constexpr int pollIntervalMs = 1000;

/// What is known of the connections of a handle that have been closed.
struct closed_connections {
    bool hasUnacknowledged = false; ///< The server had not received all that was sent to it.
};

struct curl_handles {
    CURLM *multi = nullptr; ///< Owns the keep-alive connections used by streams.
    CURL *easy = nullptr;
    /// Connections refer to it, so it lives as long as the handles.
    std::shared_ptr<closed_connections> closed;
};

int closeSocket(void *closed, curl_socket_t socket)
{
    if (unacknowledgedBytes(socket) > 0)
        static_cast<closed_connections *>(closed)->hasUnacknowledged = true;
    return close(socket);
}

bool equalNoCase(const std::string &a, const std::string &b)
{
    const auto same
        = [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); };
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), same);
}

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t\r\n");
    return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

std::string_view withoutLineEnd(std::string_view line)
{
    constexpr std::string_view lineEnd = "\r\n";
    const bool isEnded
        = line.size() >= lineEnd.size() && line.substr(line.size() - lineEnd.size()) == lineEnd;
    return isEnded ? line.substr(0, line.size() - lineEnd.size()) : line;
}

bool mayHaveBeenSent(CURLcode code)
{
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
        return false;
    default:
        // Also CURLE_UNSUPPORTED_PROTOCOL, which libcurl reports for a response that is not HTTP.
        return true;
    }
}

} // namespace

std::string http_response::header(const std::string &name) const
{
    for (const http_header &candidate : headers)
        if (equalNoCase(candidate.name, name))
            return candidate.value;
    return {};
}

class http_client::pool
{
public:
    pool() = default;
    pool(const pool &) = delete;
    pool &operator=(const pool &) = delete;
    ~pool()
    {
        for (const curl_handles &handles : m_idle)
            destroy(handles);
    }

    curl_handles acquire()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_idle.empty())
            return {curl_multi_init(), curl_easy_init(), std::make_shared<closed_connections>()};
        const curl_handles handles = m_idle.back();
        m_idle.pop_back();
        return handles;
    }

    void release(const curl_handles &handles)
    {
        curl_easy_reset(handles.easy);
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_idle.size() < maxIdleHandles)
            m_idle.push_back(handles);
        else
            destroy(handles);
    }

private:
    static void destroy(const curl_handles &handles)
    {
        curl_easy_cleanup(handles.easy);
        curl_multi_cleanup(handles.multi);
    }

    std::mutex m_mutex;
    std::vector<curl_handles> m_idle;
};

/// One request and its response on a pooled handle.
class http_client::transfer
{
public:
    transfer(std::shared_ptr<pool> handles, const http_request &request)
        : m_pool(std::move(handles))
        , m_curl(m_pool->acquire())
        , m_request(request)
    {
        CURL *easy = m_curl.easy;
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_URL, m_request.url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_request.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         std::min(connectTimeoutMs, static_cast<long>(m_request.timeout.count())));
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        setBody();
        setHeaders();
        if (m_request.noRetry) {
            // libcurl resends a request on its own when a reused connection turns out to be dead.
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &transfer::onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &transfer::onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
        m_curl.closed->hasUnacknowledged = false;
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, m_curl.closed.get());
    }
    transfer(const transfer &) = delete;
    transfer &operator=(const transfer &) = delete;
    ~transfer()
    {
        curl_slist_free_all(m_headerList);
        m_pool->release(m_curl);
    }

    const curl_handles &curl() const { return m_curl; }
    http_response &response() { return m_response; }

    void updateStatus()
    {
        curl_easy_getinfo(m_curl.easy, CURLINFO_RESPONSE_CODE, &m_response.status);
    }

    /// \throws http_error unless the transfer, which ended with \a code, got a complete response.
    void checkComplete(CURLcode code) const
    {
        if (code != CURLE_OK)
            throw http_error(m_isMalformed ? "the head of the response is malformed"
                                           : curl_easy_strerror(code),
                             mayHaveBeenSent(code));
        // The end of the connection marks the end of the response only if the server had received
        // the whole request: otherwise a reset follows, and the response was cut.
        if (endsWithConnection() && !isRequestReceived())
            throw http_error("the connection ended before the request had been sent", true);
    }

private:
    void setBody()
    {
        if (m_request.body.empty() && m_request.method == "GET")
            return;
        curl_easy_setopt(m_curl.easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(m_request.body.size()));
        curl_easy_setopt(m_curl.easy, CURLOPT_POSTFIELDS, m_request.body.data());
    }

    void setHeaders()
    {
        // Without this, libcurl waits up to a second for "100 Continue" before it sends a large
        // body.
        m_headerList = curl_slist_append(m_headerList, "Expect:");
        for (const http_header &header : m_request.headers)
            m_headerList
                = curl_slist_append(m_headerList, (header.name + ": " + header.value).c_str());
        curl_easy_setopt(m_curl.easy, CURLOPT_HTTPHEADER, m_headerList);
    }

    /// Returns whether the body of the response has no other end than that of the connection.
    bool endsWithConnection() const
    {
        constexpr long noContent = 204;
        constexpr long notModified = 304;
        long status = 0;
        curl_easy_getinfo(m_curl.easy, CURLINFO_RESPONSE_CODE, &status);
        return !m_isFramed && status != noContent && status != notModified;
    }

    bool isRequestReceived() const
    {
        curl_off_t uploaded = 0;
        curl_easy_getinfo(m_curl.easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
        return static_cast<std::size_t>(uploaded) >= m_request.body.size()
            && !m_curl.closed->hasUnacknowledged;
    }

    static std::size_t onHeader(char *data, std::size_t, std::size_t size, void *self)
    {
        // libcurl aborts the transfer if less than the line is reported as consumed.
        return static_cast<transfer *>(self)->addHeadLine(std::string(data, size)) ? size : 0;
    }

    /// Receives each line of a head, informational ones included, and of a trailer section, with
    /// its line end. \returns false if the response is malformed.
    bool addHeadLine(const std::string &line)
    {
        constexpr std::string_view protocol = "HTTP/";
        const std::string_view text = withoutLineEnd(line);
        const bool isStatusLine = m_headBegins && text.substr(0, protocol.size()) == protocol;
        m_headBegins = text.empty();
        m_isMalformed
            = isStatusLine ? !isValidStatusLine(text) : !text.empty() && !isValidField(text);
        if (m_isMalformed)
            return false;
        if (isStatusLine)
            m_isFramed = false;
        else if (!text.empty())
            addField(line);
        return true;
    }

    void addField(const std::string &line)
    {
        const std::size_t colon = line.find(':');
        const http_header field{trimmed(line.substr(0, colon)), trimmed(line.substr(colon + 1))};
        if (equalNoCase(field.name, "Content-Length")
            || equalNoCase(field.name, "Transfer-Encoding"))
            m_isFramed = true;
        m_response.headers.push_back(field);
    }

    static std::size_t onBody(char *data, std::size_t, std::size_t size, void *self)
    {
        std::string &body = static_cast<transfer *>(self)->m_response.body;
        if (body.size() + size > maxResponseBytes)
            return 0;
        body.append(data, size);
        return size;
    }

    std::shared_ptr<pool> m_pool;
    curl_handles m_curl;
    http_request m_request;
    curl_slist *m_headerList = nullptr;
    http_response m_response;
    bool m_headBegins = true; ///< The next line is a status line, or a trailer field.
    bool m_isMalformed = false;
    bool m_isFramed = false; ///< The last head has a Content-Length or Transfer-Encoding field.
};

class http_client::stream : public http_stream
{
public:
    stream(std::shared_ptr<pool> handles, const http_request &request)
        : m_transfer(std::move(handles), request)
    {
        curl_multi_add_handle(m_transfer.curl().multi, m_transfer.curl().easy);
        performTransfer(0);
    }
    stream(const stream &) = delete;
    stream &operator=(const stream &) = delete;
    ~stream() override
    {
        curl_multi_remove_handle(m_transfer.curl().multi, m_transfer.curl().easy);
    }

    const http_response &head() override
    {
        while (!m_finished && buffer().empty())
            performTransfer(pollIntervalMs);
        if (m_finished)
            m_transfer.checkComplete(m_result);
        m_transfer.updateStatus();
        return m_transfer.response();
    }

    bool read(std::string &out) override
    {
        while (!m_finished && buffer().empty())
            performTransfer(pollIntervalMs);
        if (!buffer().empty()) {
            out += buffer();
            buffer().clear();
            return true;
        }
        m_transfer.checkComplete(m_result);
        return false;
    }

private:
    std::string &buffer() { return m_transfer.response().body; }

    void performTransfer(int waitMs)
    {
        CURLM *multi = m_transfer.curl().multi;
        if (waitMs > 0)
            curl_multi_poll(multi, nullptr, 0, waitMs, nullptr);
        int running = 0;
        curl_multi_perform(multi, &running);
        int messagesLeft = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &messagesLeft)) {
            if (message->msg == CURLMSG_DONE) {
                m_finished = true;
                m_result = message->data.result;
            }
        }
    }

    transfer m_transfer;
    bool m_finished = false;
    CURLcode m_result = CURLE_OK;
};

http_client::http_client()
    : m_pool(std::make_shared<pool>())
{
    static const CURLcode initResult = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (initResult != CURLE_OK)
        throw http_error(curl_easy_strerror(initResult), false);
}

http_client::~http_client() = default;

http_response http_client::send(const http_request &request)
{
    transfer exchange(m_pool, request);
    const CURLcode result = curl_easy_perform(exchange.curl().easy);
    exchange.checkComplete(result);
    exchange.updateStatus();
    return std::move(exchange.response());
}

std::unique_ptr<http_stream> http_client::open(const http_request &request)
{
    return std::make_unique<stream>(m_pool, request);
}

} // namespace goldcrestdeck
