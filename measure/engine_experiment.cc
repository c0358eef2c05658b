// Compares the two HTTP engines: memory and threads used by 500 open streams, and the time to
// detect clients that disconnect before the response. Clients are plain sockets in the same
// process, so their cost is the same for both engines.

#include <atomic>
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "goldcrestdeck/async_server.h"
#include "goldcrestdeck/http_server.h"
#include "measure/figures.h"

namespace measure {

using namespace goldcrestdeck;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t streamCount = 500;
constexpr std::size_t disconnectCount = 20;
constexpr milliseconds eventInterval{100};
/// Delay before the first byte of /late; clients disconnect within it.
constexpr milliseconds lateResponseDelay{1500};
/// Time for the server to finish opening or closing connections before a measurement.
constexpr milliseconds settleTime{1000};

/// \returns a field of /proc/self/status, such as VmRSS (in KiB) or Threads.
double statusField(const std::string &name)
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(name + ':', 0) == 0)
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

/// The resources that this process uses when the object is created.
struct resource_usage {
    double memoryKib = statusField("VmRSS");
    double threads = statusField("Threads");
};

/// Clients with one socket each.
class socket_clients
{
public:
    explicit socket_clients(const tcp::endpoint &server)
        : m_server(server)
    { }

    /// Connects \a count clients. Each requests \a path.
    void open(std::size_t count, const std::string &path)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_sockets.emplace_back(m_io);
            m_sockets.back().connect(m_server);
            boost::asio::write(m_sockets.back(),
                               boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
        }
    }

    /// Waits until every client has received the first bytes of its response.
    void awaitFirstBytes()
    {
        char bytes[256];
        for (tcp::socket &open : m_sockets)
            open.read_some(boost::asio::buffer(bytes));
    }

    void disconnectAll() { m_sockets.clear(); }

private:
    tcp::endpoint m_server;
    boost::asio::io_context m_io;
    std::vector<tcp::socket> m_sockets;
};

/// The engine based on an event loop. Responds to /stream with one event per 100 ms and to
/// /late after a delay. Counts the disconnects that the server reports.
class event_loop_engine
{
public:
    event_loop_engine()
        : m_server(
            m_io, {boost::asio::ip::make_address("127.0.0.1"), 0}, {},
            [this](const http1_request &request, const std::shared_ptr<response_writer> &writer) {
                handle(std::string(request.target()), writer);
            })
        , m_thread([this] { m_io.run(); })
    { }
    ~event_loop_engine()
    {
        boost::asio::post(m_io, [this] { m_server.stop(); });
        m_thread.join();
    }

    tcp::endpoint address() const { return m_server.address(); }
    int disconnects() const { return m_disconnects; }

private:
    void handle(const std::string &path, const std::shared_ptr<response_writer> &writer)
    {
        const auto disconnected = std::make_shared<bool>(false);
        writer->setCallbacks([this, disconnected] { *disconnected = true, ++m_disconnects; },
                             [] {});
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, lateResponseDelay);
        if (path == "/late") {
            timer->async_wait([this, writer, disconnected, timer](boost::system::error_code) {
                if (!*disconnected)
                    writer->send(http1_response(boost::beast::http::status::ok, 11));
            });
            return;
        }
        writer->begin(http1_response_head());
        send(writer, disconnected, timer);
    }

    void send(const std::shared_ptr<response_writer> &writer,
              const std::shared_ptr<bool> &disconnected,
              const std::shared_ptr<boost::asio::steady_timer> &timer)
    {
        if (*disconnected)
            return;
        writer->write("data: x\n\n");
        timer->expires_after(eventInterval);
        timer->async_wait([=](boost::system::error_code) { send(writer, disconnected, timer); });
    }

    std::atomic<int> m_disconnects{0};
    boost::asio::io_context m_io{1};
    async_server m_server;
    std::thread m_thread;
};

/// A response body of events, with a pause before each. The server destroys it when the client
/// disconnects, which counts as a detected disconnect.
class paused_source : public body_source
{
public:
    paused_source(milliseconds firstPause, std::atomic<int> &disconnects)
        : m_pause(firstPause)
        , m_disconnects(disconnects)
    { }
    ~paused_source() override { ++m_disconnects; }

    ssize_t read(char *out, std::size_t) override
    {
        std::this_thread::sleep_for(m_pause);
        m_pause = eventInterval;
        const std::string event = "data: x\n\n";
        event.copy(out, event.size());
        return static_cast<ssize_t>(event.size());
    }

private:
    milliseconds m_pause;
    std::atomic<int> &m_disconnects;
};

/// The engine with one thread per connection, based on ulfius. Same responses as event_loop_engine.
class ulfius_engine
{
public:
    ulfius_engine()
        : m_server(serverOptions(), [this](const server_request &request) {
            const bool isLate = request.path() == "/late";
            server_response reply;
            reply.stream = std::make_unique<paused_source>(
                isLate ? lateResponseDelay : milliseconds(0), m_disconnects);
            return reply;
        })
    { }

    tcp::endpoint address() const { return {boost::asio::ip::make_address("127.0.0.1"), port}; }
    int disconnects() const { return m_disconnects; }

private:
    static constexpr std::uint16_t port = 18'734;

    static server_options serverOptions()
    {
        server_options options;
        options.address = "127.0.0.1";
        options.port = port;
        return options;
    }

    std::atomic<int> m_disconnects{0};
    http_server m_server;
};

template<typename Engine>
void measureEngine(report &out, const std::string &name)
{
    const resource_usage before;
    Engine engine;
    socket_clients streams(engine.address());
    streams.open(streamCount, "/stream");
    streams.awaitFirstBytes();
    std::this_thread::sleep_for(settleTime);
    const resource_usage whileOpen;
    out.add(name + "_memory_of_500_streams", {whileOpen.memoryKib - before.memoryKib}, "KiB");
    out.add(name + "_threads_of_500_streams", {whileOpen.threads - before.threads}, "threads");
    streams.disconnectAll();
    std::this_thread::sleep_for(settleTime);
    const int disconnectsBefore = engine.disconnects();
    socket_clients disconnecting(engine.address());
    disconnecting.open(disconnectCount, "/late");
    std::this_thread::sleep_for(milliseconds(200));
    const auto disconnectedAt = steady::now();
    disconnecting.disconnectAll();
    while (engine.disconnects() < disconnectsBefore + static_cast<int>(disconnectCount)
           && steady::now() - disconnectedAt < std::chrono::seconds(10))
        std::this_thread::sleep_for(milliseconds(1));
    out.add(name + "_notices_callers_that_left",
            {std::chrono::duration<double, std::milli>(steady::now() - disconnectedAt).count()},
            "ms");
}

} // namespace

void measureHttpEngines(report &out)
{
    measureEngine<event_loop_engine>(out, "event_loop");
    measureEngine<ulfius_engine>(out, "ulfius");
}

} // namespace measure
