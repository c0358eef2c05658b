// ulfius runs the handler on the connection's own thread, so a handler may block without delaying
// other connections. Thread stacks are small because a host at its target load has about 550 open
// streams.

#include "goldcrestdeck/http_server.h"

#include <arpa/inet.h>
#include <cstring>
#include <stdexcept>
#include <unistd.h>
#include <utility>

#include <ulfius.h>

namespace goldcrestdeck {

namespace {

constexpr std::size_t threadStackBytes = 256 * 1024;
constexpr std::size_t streamBlockBytes = 16 * 1024;

ssize_t readStream(void *source, std::uint64_t, char *out, std::size_t maxBytes)
{
    try {
        const ssize_t count = static_cast<body_source *>(source)->read(out, maxBytes);
        if (count == body_source::end)
            return U_STREAM_END;
        return count < 0 ? U_STREAM_ERROR : count;
    } catch (const std::exception &) {
        return U_STREAM_ERROR;
    }
}

void freeStream(void *source)
{
    delete static_cast<body_source *>(source);
}

void fillResponse(server_response &response, _u_response *ulfiusResponse)
{
    for (const http_header &header : response.headers)
        u_map_put(ulfiusResponse->map_header, header.name.c_str(), header.value.c_str());
    const unsigned status = static_cast<unsigned>(response.status);
    if (response.stream)
        ulfius_set_stream_response(ulfiusResponse, status, readStream, freeStream,
                                   U_STREAM_SIZE_UNKNOWN, streamBlockBytes,
                                   response.stream.release());
    else if (response.body.empty())
        ulfius_set_empty_body_response(ulfiusResponse, status);
    else
        ulfius_set_binary_body_response(ulfiusResponse, status, response.body.data(),
                                        response.body.size());
}

int onRequest(const _u_request *request, _u_response *ulfiusResponse, void *handler)
{
    try {
        server_response response
            = (*static_cast<request_handler *>(handler))(server_request(request));
        fillResponse(response, ulfiusResponse);
    } catch (const std::exception &error) {
        ulfius_set_string_body_response(ulfiusResponse, 500, error.what());
    }
    return U_CALLBACK_COMPLETE;
}

std::string stringOrEmpty(const char *text)
{
    return text == nullptr ? std::string() : std::string(text);
}

} // namespace

server_request::server_request(const _u_request *request)
    : m_request(request)
{ }

std::string server_request::method() const
{
    return stringOrEmpty(m_request->http_verb);
}

std::string server_request::path() const
{
    const std::string url = stringOrEmpty(m_request->http_url);
    return url.substr(0, url.find('?'));
}

std::string server_request::query(const std::string &name) const
{
    return stringOrEmpty(u_map_get(m_request->map_url, name.c_str()));
}

std::string server_request::header(const std::string &name) const
{
    return stringOrEmpty(u_map_get_case(m_request->map_header, name.c_str()));
}

std::string server_request::body() const
{
    return {static_cast<const char *>(m_request->binary_body), m_request->binary_body_length};
}

std::size_t server_request::bodySize() const
{
    return m_request->binary_body_length;
}

http_server::http_server(const server_options &options, request_handler handler)
    : m_instance(std::make_unique<_u_instance>())
    , m_handler(std::move(handler))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
        throw std::runtime_error("invalid IPv4 address: " + options.address);
    if (ulfius_init_instance(m_instance.get(), options.port, &address, nullptr) != U_OK)
        throw std::runtime_error("cannot set up the HTTP server");
    m_instance->max_post_body_size = options.maxBodyBytes + 1;
    m_instance->check_utf8 = 0;
    m_instance->allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(m_instance.get(), onRequest, &m_handler);
    MHD_OptionItem mhdOptions[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(mhd_request_completed), nullptr},
        {MHD_OPTION_SOCK_ADDR, 0, &address},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(threadStackBytes), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(options.maxConnections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options.idleTimeout.count()),
         nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
        | MHD_USE_POLL | MHD_USE_TURBO;
    if (ulfius_start_framework_with_mhd_options(m_instance.get(), flags, mhdOptions) != U_OK) {
        ulfius_clean_instance(m_instance.get());
        throw std::runtime_error("cannot listen on " + options.address + ":"
                                 + std::to_string(options.port));
    }
}

http_server::~http_server()
{
    ulfius_stop_framework(m_instance.get());
    ulfius_clean_instance(m_instance.get());
}

void http_server::stopAccepting()
{
    const MHD_socket listenSocket = MHD_quiesce_daemon(m_instance->mhd_daemon);
    if (listenSocket != MHD_INVALID_SOCKET)
        close(listenSocket);
}

std::size_t http_server::openConnections() const
{
    const MHD_DaemonInfo *info
        = MHD_get_daemon_info(m_instance->mhd_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info == nullptr ? 0 : info->num_connections;
}

} // namespace goldcrestdeck
