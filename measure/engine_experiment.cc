// The two HTTP engines under 500 open streams, and with callers that leave before their answer:
// what each open stream costs in memory and threads, and how soon the engine says that nobody waits
// any more. Callers are plain sockets of the same process, which cost both engines the same.

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
constexpr std::size_t leaverCount = 20;
constexpr milliseconds eventPause{100};
/// Before the first byte of a late answer: what a leaving caller leaves.
constexpr milliseconds answerDelay{1500};
constexpr milliseconds settleTime{1000};

/// A line of this process's status, such as its resident memory in KiB or its number of threads.
double statusOf(const std::string &name)
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(name + ':', 0) == 0)
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

struct usage {
    double memoryKb = statusOf("VmRSS");
    double threads = statusOf("Threads");
};

/// Callers as plain sockets.
class callers
{
public:
    explicit callers(const tcp::endpoint &server)
        : m_server(server)
    { }

    void open(std::size_t count, const std::string &path)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_sockets.emplace_back(m_io);
            m_sockets.back().connect(m_server);
            boost::asio::write(m_sockets.back(),
                               boost::asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
        }
    }

    /// Reads the first bytes of every answer.
    void awaitFirstBytes()
    {
        char bytes[256];
        for (tcp::socket &open : m_sockets)
            open.read_some(boost::asio::buffer(bytes));
    }

    void leave() { m_sockets.clear(); }

private:
    tcp::endpoint m_server;
    boost::asio::io_context m_io;
    std::vector<tcp::socket> m_sockets;
};

/// Answers /stream with an event each 100 ms and /late after a delay, and notes when an answer is
/// dropped because its caller has gone.
class event_engine
{
public:
    event_engine()
        : m_server(
            m_io, {boost::asio::ip::make_address("127.0.0.1"), 0}, {},
            [this](const http1_request &request, const std::shared_ptr<http_answer> &answer) {
                handle(std::string(request.target()), answer);
            })
        , m_thread([this] { m_io.run(); })
    { }
    ~event_engine()
    {
        boost::asio::post(m_io, [this] { m_server.stop(); });
        m_thread.join();
    }

    tcp::endpoint address() const { return m_server.address(); }
    int noticed() const { return m_noticed; }

private:
    void handle(const std::string &path, const std::shared_ptr<http_answer> &answer)
    {
        const auto gone = std::make_shared<bool>(false);
        answer->watch([this, gone] { *gone = true, ++m_noticed; }, [] {});
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, answerDelay);
        if (path == "/late") {
            timer->async_wait([this, answer, gone, timer](boost::system::error_code) {
                if (!*gone)
                    answer->send(http1_response(boost::beast::http::status::ok, 11));
            });
            return;
        }
        answer->begin(http1_response_head());
        send(answer, gone, timer);
    }

    void send(const std::shared_ptr<http_answer> &answer, const std::shared_ptr<bool> &gone,
              const std::shared_ptr<boost::asio::steady_timer> &timer)
    {
        if (*gone)
            return;
        answer->write("data: x\n\n");
        timer->expires_after(eventPause);
        timer->async_wait([=](boost::system::error_code) { send(answer, gone, timer); });
    }

    std::atomic<int> m_noticed{0};
    boost::asio::io_context m_io{1};
    async_server m_server;
    std::thread m_thread;
};

class paused_source : public body_source
{
public:
    paused_source(milliseconds first, std::atomic<int> &noticed)
        : m_pause(first)
        , m_noticed(noticed)
    { }
    ~paused_source() override { ++m_noticed; }

    ssize_t read(char *out, std::size_t) override
    {
        std::this_thread::sleep_for(m_pause);
        m_pause = eventPause;
        const std::string event = "data: x\n\n";
        event.copy(out, event.size());
        return static_cast<ssize_t>(event.size());
    }

private:
    milliseconds m_pause;
    std::atomic<int> &m_noticed;
};

class thread_engine
{
public:
    thread_engine()
        : m_server(optionsOf(), [this](const server_request &request) {
            const bool isLate = request.path() == "/late";
            server_reply reply;
            reply.stream = std::make_unique<paused_source>(isLate ? answerDelay : milliseconds(0),
                                                           m_noticed);
            return reply;
        })
    { }

    tcp::endpoint address() const { return {boost::asio::ip::make_address("127.0.0.1"), port}; }
    int noticed() const { return m_noticed; }

private:
    static constexpr std::uint16_t port = 18'734;

    static server_options optionsOf()
    {
        server_options options;
        options.address = "127.0.0.1";
        options.port = port;
        return options;
    }

    std::atomic<int> m_noticed{0};
    http_server m_server;
};

template<typename Engine>
void measureOne(report &out, const std::string &name)
{
    const usage before;
    Engine engine;
    callers streams(engine.address());
    streams.open(streamCount, "/stream");
    streams.awaitFirstBytes();
    std::this_thread::sleep_for(settleTime);
    const usage open;
    out.add(name + "_memory_of_500_streams", {open.memoryKb - before.memoryKb}, "KiB");
    out.add(name + "_threads_of_500_streams", {open.threads - before.threads}, "threads");
    streams.leave();
    std::this_thread::sleep_for(settleTime);
    const int noticedBefore = engine.noticed();
    callers leavers(engine.address());
    leavers.open(leaverCount, "/late");
    std::this_thread::sleep_for(milliseconds(200));
    const auto left = steady::now();
    leavers.leave();
    while (engine.noticed() < noticedBefore + static_cast<int>(leaverCount)
           && steady::now() - left < std::chrono::seconds(10))
        std::this_thread::sleep_for(milliseconds(1));
    out.add(name + "_notices_callers_that_left",
            {std::chrono::duration<double, std::milli>(steady::now() - left).count()}, "ms");
}

} // namespace

void measureEngines(report &out)
{
    measureOne<event_engine>(out, "event_loop");
    measureOne<thread_engine>(out, "ulfius");
}

} // namespace measure
