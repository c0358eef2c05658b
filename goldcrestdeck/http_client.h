#ifndef GOLDCRESTDECK_HTTP_CLIENT_H_
#define GOLDCRESTDECK_HTTP_CLIENT_H_

/// \file
/// A blocking HTTP client for upstreams and the platform, based on libcurl with keep-alive
/// connections.
///
/// http_client::send() returns a complete response; http_client::open() streams one. A stream is
/// read on demand, so a slow reader applies back-pressure to the upstream and memory use stays
/// bounded. A response with an invalid status line or header field is an error, and so is one
/// without a length that ends before the server has received the whole request. An error says
/// whether the request may have reached the server and so may have been executed.

#include <chrono>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

namespace goldcrestdeck {

/// A request that failed without a complete response. \a maybeSent is false only if no byte of the
/// request can have been sent.
class http_error : public std::runtime_error
{
public:
    http_error(const std::string &message, bool maybeSent)
        : std::runtime_error(message)
        , m_maybeSent(maybeSent)
    { }
    bool maybeSent() const { return m_maybeSent; }

private:
    bool m_maybeSent;
};

struct http_header {
    std::string name;
    std::string value;
};

struct http_request {
    std::string method = "GET";
    std::string url;
    std::vector<http_header> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000}; ///< From connecting to the end of the response.
    /// Never sent twice: uses a new connection, so that libcurl cannot retry after finding a reused
    /// connection dead.
    bool noRetry = false;
};

struct http_response {
    long status = 0;
    std::vector<http_header> headers;
    std::string body;

    /// Returns the value of a header, or ""; \a name is not case-sensitive.
    std::string header(const std::string &name) const;
};

/// A response that is being received.
class http_stream
{
public:
    virtual ~http_stream() = default;

    /// Blocks until status and headers have been received. \throws http_error
    virtual const http_response &head() = 0;

    /// Blocks for body bytes and appends them to \a out, at most about 64 KiB. \returns false at
    /// the end of the body. \throws http_error if the response is truncated or times out.
    virtual bool read(std::string &out) = 0;
};

class http_client
{
public:
    http_client();
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// \throws http_error
    http_response send(const http_request &request);

    /// Starts the request; destroying the stream cancels it.
    std::unique_ptr<http_stream> open(const http_request &request);

private:
    class pool;
    class transfer;
    class stream;

    std::shared_ptr<pool> m_pool;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HTTP_CLIENT_H_
