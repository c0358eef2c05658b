#ifndef GOLDCRESTDECK_HTTP_SERVER_H_
#define GOLDCRESTDECK_HTTP_SERVER_H_

/// \file
/// An HTTP server for clients and operators, based on ulfius, with one thread for each connection.
///
/// All requests go to one handler, which may block. A response has either a complete body or a
/// body_source, which is read at the pace of the client.

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

#include "goldcrestdeck/http_client.h"

struct _u_instance;
struct _u_request;

namespace goldcrestdeck {

/// The request passed to the handler; valid only until the handler returns.
class server_request
{
public:
    explicit server_request(const _u_request *request);

    std::string method() const;
    std::string path() const;                          ///< Without the query.
    std::string query(const std::string &name) const;  ///< Query parameter; "" if absent.
    std::string header(const std::string &name) const; ///< Not case-sensitive; "" if absent.
    std::string body() const;
    std::size_t bodySize() const;

private:
    const _u_request *m_request;
};

/// The body of a streamed response. Destroyed when it ends or the client disconnects.
class body_source
{
public:
    static constexpr ssize_t end = -1;
    /// Closes the connection without completing the body, so that the client can detect the
    /// truncation.
    static constexpr ssize_t aborted = -2;

    virtual ~body_source() = default;
    /// Blocks until data is available. \returns the number of bytes written to \a out, or end, or
    /// aborted.
    virtual ssize_t read(char *out, std::size_t maxBytes) = 0;
};

struct server_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;
    std::unique_ptr<body_source> stream; ///< If set, body is ignored.
};

using request_handler = std::function<server_response(const server_request &)>;

struct server_options {
    std::string address; ///< IPv4.
    std::uint16_t port = 0;
    /// A longer body is truncated to maxBodyBytes + 1 bytes, so that the handler can detect it.
    std::size_t maxBodyBytes = 1024 * 1024;
    std::chrono::seconds idleTimeout{30}; ///< Closes a connection without traffic.
    unsigned maxConnections = 2000;
};

class http_server
{
public:
    /// Starts listening. \throws std::runtime_error if the address cannot be bound.
    http_server(const server_options &options, request_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Stops accepting connections; open ones are kept.
    void stopAccepting();
    std::size_t openConnections() const;

private:
    std::unique_ptr<_u_instance> m_instance;
    request_handler m_handler;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HTTP_SERVER_H_
