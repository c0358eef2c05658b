#include "goldcrestdeck/async_client.h"
#include "goldcrestdeck/log.h"
#include "goldcrestdeck/testing/router_harness.h"

namespace goldcrestdeck {
namespace {

using std::chrono::milliseconds;

struct head_case {
    const char *name;
    const char *head;
    bool accepted;
};

class request_head : public ::testing::TestWithParam<head_case>
{ };

TEST_P(request_head, ambiguous_forms_are_rejected)
{
    EXPECT_EQ(GetParam().accepted, isUnambiguousHead(GetParam().head)) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    forms, request_head,
    ::testing::Values(
        head_case{"plain", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
        head_case{"length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n", true},
        head_case{"chunked", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", true},
        head_case{"length and chunked",
                  "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                  false},
        head_case{"two lengths",
                  "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", false},
        head_case{"list of lengths", "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", false},
        head_case{"signed length", "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n", false},
        head_case{"empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", false},
        head_case{"other coding", "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n", false},
        head_case{"two codings", "POST / HTTP/1.1\r\nTransfer-Encoding: identity, chunked\r\n\r\n",
                  false},
        head_case{"coding twice",
                  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
                  "chunked\r\n\r\n",
                  false},
        head_case{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", false},
        head_case{"folded line", "GET / HTTP/1.1\r\nX-A: 1\r\n 2\r\n\r\n", false},
        head_case{"bare line feed", "GET / HTTP/1.1\nHost: a\r\n\r\n", false},
        head_case{"bare line feed in a value", "GET / HTTP/1.1\r\nX-A: 1\nX-B: 2\r\n\r\n", false},
        head_case{"bare carriage return", "GET / HTTP/1.1\r\nX-A: 1\rX-B: 2\r\n\r\n", false},
        head_case{"space before the colon", "GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n", false},
        head_case{"tab before the colon", "GET / HTTP/1.1\r\nContent-Length\t: 3\r\n\r\n", false},
        head_case{"no colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", false},
        head_case{"no name", "GET / HTTP/1.1\r\n: x\r\n\r\n", false},
        head_case{"control byte", "GET / HTTP/1.1\r\nX-A: \x01\r\n\r\n", false},
        head_case{"no request line", "\r\n", false}));

/// A server that responds to each request with its target and body.
class http_engine_fixture : public ::testing::Test
{
protected:
    http_engine_fixture()
    {
        request_limits limits;
        limits.maxHeadBytes = 1000;
        limits.maxBodyBytes = 5000;
        limits.headTimeout = milliseconds(300);
        limits.idleTimeout = milliseconds(600);
        m_server = std::make_unique<async_server>(
            m_io, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
            limits,
            [this](const http1_request &request, const std::shared_ptr<response_writer> &writer) {
                ++m_requests;
                http1_response response(boost::beast::http::status::ok, 11);
                response.body() = std::string(request.target()) + ' ' + request.body();
                writer->send(std::move(response));
            });
        m_address = m_server->address();
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~http_engine_fixture() override
    {
        boost::asio::post(m_io, [this] { m_server->stop(); });
        m_thread.join();
    }

    unsigned statusOf(const std::string &bytes)
    {
        raw_http_client client(m_address);
        client.send(bytes);
        return client.read().result_int();
    }

    boost::asio::io_context m_io;
    std::unique_ptr<async_server> m_server;
    boost::asio::ip::tcp::endpoint m_address;
    std::atomic<int> m_requests{0};
    std::thread m_thread;
};

TEST_F(http_engine_fixture, smuggled_request_is_never_dispatched)
{
    // A parser that gives precedence to the other framing field would take the bytes after the
    // ambiguous request for a second request.
    const std::string smuggled = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const std::string framing :
         {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
          "Content-Length: 0\r\nContent-Length: 40\r\n", "Content-Length : 40\r\n",
          "Transfer-Encoding: \vchunked\r\n", "X: y\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip, chunked\r\n"}) {
        raw_http_client client(m_address);
        std::string text = "POST /x HTTP/1.1\r\nHost: a\r\n";
        text.append(framing).append("\r\n0\r\n\r\n").append(smuggled);
        client.send(text);
        EXPECT_EQ(400U, client.read().result_int()) << framing;
        EXPECT_TRUE(client.isClosedByServer());
    }
    EXPECT_EQ(0, m_requests);
}

TEST_F(http_engine_fixture, malformed_chunks_are_rejected)
{
    const std::string head = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char *body : {"zz\r\nabc\r\n0\r\n\r\n", "-1\r\n\r\n"})
        EXPECT_EQ(400U, statusOf(head + body)) << body;
    // A bare line feed does not end a chunk-size line, so the server waits for more bytes until it
    // times out.
    EXPECT_EQ(408U, statusOf(head + "3\nabc\n0\n\n"));
    EXPECT_EQ(0, m_requests);
}

TEST_F(http_engine_fixture, chunked_body_in_several_writes_is_read_completely)
{
    raw_http_client client(m_address);
    client.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
    std::this_thread::sleep_for(milliseconds(20));
    client.send("c\r\n2\r\nde\r\n0\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ("/x abcde", client.read().body());
    EXPECT_EQ("/next ", client.read().body());
}

TEST_F(http_engine_fixture, overlong_head_and_body_are_rejected)
{
    EXPECT_EQ(431U, statusOf("GET /x HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n"));
    EXPECT_EQ(413U, statusOf("POST /x HTTP/1.1\r\nContent-Length: 6000\r\n\r\n"));
    EXPECT_EQ(0, m_requests);
}

TEST_F(http_engine_fixture, slow_head_is_rejected_with_408)
{
    raw_http_client client(m_address);
    client.send("GET /x HTTP/1.1\r\nHost:");
    EXPECT_EQ(408U, client.read().result_int());
    EXPECT_TRUE(client.isClosedByServer());
}

TEST_F(http_engine_fixture, idle_connection_is_closed_gracefully)
{
    raw_http_client client(m_address);
    client.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(200U, client.read().result_int());
    EXPECT_TRUE(client.isClosedByServer());
}

TEST_F(http_engine_fixture, idle_connection_after_limits_change_uses_new_idle_timeout)
{
    raw_http_client client(m_address);
    std::this_thread::sleep_for(milliseconds(100));
    request_limits longer;
    longer.idleTimeout = milliseconds(5000);
    boost::asio::post(m_io, [this, longer] { m_server->setLimits(longer); });
    std::this_thread::sleep_for(milliseconds(800));
    client.send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(client.read().result_int(), 200U);
}

TEST_F(http_engine_fixture, draining_server_closes_connection_after_response)
{
    raw_http_client client(m_address);
    boost::asio::post(m_io, [this] { m_server->closeAfterResponses(); });
    std::this_thread::sleep_for(milliseconds(20));
    client.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    const http1_response response = client.read();
    EXPECT_EQ("close", response[boost::beast::http::field::connection]);
    EXPECT_TRUE(client.isClosedByServer());
}

TEST_F(http_engine_fixture, request_with_connection_close_closes_connection)
{
    raw_http_client client(m_address);
    client.send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(200U, client.read().result_int());
    EXPECT_TRUE(client.isClosedByServer());
}

/// Calls of a response_writer of which the last one is out of order.
struct misordered_calls {
    const char *name;
    void (*call)(response_writer &);
    bool isComplete; ///< The response has ended before.
    std::string body;
};

http1_response textResponse(const std::string &text)
{
    http1_response response(boost::beast::http::status::ok, 11);
    response.body() = text;
    return response;
}

/// A server whose handler makes these calls, for a client of HTTP/1.1 or 1.0.
class misordered_calls_fixture
    : public ::testing::TestWithParam<std::tuple<misordered_calls, const char *>>
{
protected:
    misordered_calls_fixture()
        : m_server(m_io, {boost::asio::ip::make_address("127.0.0.1"), 0}, request_limits(),
                   [this](const http1_request &, const std::shared_ptr<response_writer> &writer) {
                       writer->setCallbacks([this] { ++m_disconnects; }, nullptr);
                       std::get<0>(GetParam()).call(*writer);
                   })
    {
        initLog("test", log_level::error);
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~misordered_calls_fixture() override
    {
        boost::asio::post(m_io, [this] { m_server.stop(); });
        m_thread.join();
    }

    static bool eventually(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 500 && !condition(); ++i)
            std::this_thread::sleep_for(milliseconds(10));
        return condition();
    }

    static std::string requestLines()
    {
        return std::string("GET /x ") + std::get<1>(GetParam())
            + "\r\nHost: a\r\nConnection: close\r\n\r\n";
    }

    boost::asio::io_context m_io{1};
    std::atomic<int> m_disconnects{0};
    async_server m_server;
    std::thread m_thread;
};

TEST_P(misordered_calls_fixture, client_gets_one_response_that_looks_complete_only_if_it_is)
{
    const misordered_calls &calls = std::get<0>(GetParam());
    raw_http_client client(m_server.address());
    client.send(requestLines());
    if (calls.isComplete) {
        EXPECT_EQ(calls.body, client.read().body());
        EXPECT_TRUE(client.isClosedByServer());
        EXPECT_EQ(0, m_disconnects);
        return;
    }
    const std::string bytes = client.readAll();
    EXPECT_EQ(bytes.find("HTTP/1.1"), bytes.rfind("HTTP/1.1")) << bytes;
    EXPECT_EQ(std::string::npos, bytes.find(std::string("\r\n") + lastChunk)) << bytes;
    // The end of the connection is the end of a body without chunks.
    EXPECT_TRUE(client.wasReset() || bytes.empty() || bytes.find("chunked") != std::string::npos);
    EXPECT_TRUE(eventually([&] { return m_disconnects == 1; }));
}

void beginAndWrite(response_writer &writer)
{
    writer.begin(http1_response_head());
    writer.write("part");
}

const misordered_calls misorderedCalls[] = {
    {"response_in_a_stream",
     [](auto &writer) {
         beginAndWrite(writer);
         writer.send(textResponse("second"));
     },
     false, ""},
    {"stream_in_a_stream",
     [](auto &writer) {
         beginAndWrite(writer);
         beginAndWrite(writer);
         writer.end();
     },
     false, ""},
    {"body_without_a_head", [](auto &writer) { writer.write("part"); }, false, ""},
    {"end_without_a_head", [](auto &writer) { writer.end(); }, false, ""},
    {"response_after_a_response",
     [](auto &writer) {
         writer.send(textResponse("first"));
         writer.send(textResponse("second"));
     },
     true, "first"},
    {"stream_after_a_response",
     [](auto &writer) {
         writer.send(textResponse("first"));
         beginAndWrite(writer);
     },
     true, "first"},
    {"response_after_a_stream",
     [](auto &writer) {
         beginAndWrite(writer);
         writer.end();
         writer.send(textResponse("second"));
     },
     true, "part"},
    {"more_of_a_stream_that_has_ended",
     [](auto &writer) {
         beginAndWrite(writer);
         writer.end();
         writer.write("more");
         writer.end();
         writer.abort();
     },
     true, "part"},
};

INSTANTIATE_TEST_SUITE_P(calls, misordered_calls_fixture,
                         ::testing::Combine(::testing::ValuesIn(misorderedCalls),
                                            ::testing::Values("HTTP/1.1", "HTTP/1.0")),
                         nameWithVersion<misordered_calls>);

/// A server whose handler keeps the writers and responds to nothing.
class kept_writer_fixture : public ::testing::Test
{
protected:
    kept_writer_fixture()
        : m_server(m_io, {boost::asio::ip::make_address("127.0.0.1"), 0}, request_limits(),
                   [this](const http1_request &, std::shared_ptr<response_writer> writer) {
                       m_writers.push_back(std::move(writer));
                   })
    {
        initLog("test", log_level::error);
    }
    ~kept_writer_fixture() override
    {
        m_server.stop();
        m_writers.clear();
        m_io.poll();
    }

    /// Sends a request and runs the server until it has arrived.
    void request(raw_http_client &client)
    {
        client.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        const std::size_t before = m_writers.size();
        while (m_writers.size() == before)
            m_io.run_one();
    }

    boost::asio::io_context m_io{1};
    std::vector<std::shared_ptr<response_writer>> m_writers;
    async_server m_server;
};

TEST_F(kept_writer_fixture, writer_of_an_earlier_request_does_not_respond_to_a_later_one)
{
    raw_http_client client(m_server.address());
    request(client);
    m_writers[0]->send(textResponse("first"));
    m_io.poll();
    EXPECT_EQ("first", client.read().body());
    request(client);
    m_writers[0]->send(textResponse("stale"));
    m_writers[0]->begin(http1_response_head());
    m_writers[0]->abort();
    m_writers[1]->send(textResponse("second"));
    m_io.poll();
    EXPECT_EQ("second", client.read().body());
}

/// A server sends a head and then a body of ten bytes, one byte each m_interval.
class call_progress_fixture : public ::testing::Test
{
protected:
    call_progress_fixture()
        : m_server(m_io, {boost::asio::ip::make_address("127.0.0.1"), 0},
                   [this](const http1_request &,
                          const std::shared_ptr<standins::raw_connection> &connection) {
                       connection->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
                       sendByte(connection, 10);
                   })
        , m_client(m_io, m_clock)
    { }

    void sendByte(const std::shared_ptr<standins::raw_connection> &connection, int left)
    {
        if (left == 0)
            return;
        connection->runAfter(m_interval, [this, connection, left] {
            connection->write("x");
            sendByte(connection, left - 1);
        });
    }

    /// \returns the bytes received if the call succeeds, otherwise the failure.
    std::string call(milliseconds timeout, milliseconds stallTimeout)
    {
        std::string received;
        std::string result;
        response_observer observer;
        observer.onHead = [](const http1_response_head &) {};
        observer.onBody = [&](const std::string &piece) { received += piece; };
        observer.onEnd = [&] {
            result = received;
            m_io.stop();
        };
        observer.onFailure = [&](call_failure failure) {
            result = toString(failure);
            m_io.stop();
        };
        call_options options;
        options.timeout = timeout;
        options.stallTimeout = stallTimeout;
        m_client.call(m_server.address(), "server",
                      http1_request(boost::beast::http::verb::get, "/", 11), std::move(observer),
                      options);
        m_io.run();
        return result;
    }

    milliseconds m_interval{60};
    boost::asio::io_context m_io{1};
    system_clock m_clock;
    standins::raw_server m_server;
    async_client m_client;
};

TEST_F(call_progress_fixture, response_whose_head_arrives_before_its_body_is_received)
{
    EXPECT_EQ("xxxxxxxxxx", call(milliseconds(0), milliseconds(0)));
}

TEST_F(call_progress_fixture, response_that_takes_longer_than_the_stall_timeout_is_received)
{
    EXPECT_EQ("xxxxxxxxxx", call(milliseconds(0), milliseconds(300)));
}

TEST_F(call_progress_fixture, response_that_stalls_is_a_timeout)
{
    m_interval = milliseconds(600);
    EXPECT_EQ("timeout", call(milliseconds(0), milliseconds(300)));
}

TEST_F(call_progress_fixture, response_that_trickles_is_a_timeout_once_the_call_takes_too_long)
{
    EXPECT_EQ("timeout", call(milliseconds(350), milliseconds(300)));
}

TEST(connection_fields, fields_listed_in_connection_are_removed)
{
    http_fields fields;
    fields.set("Connection", "close, X-Own");
    fields.set("X-Own", "1");
    fields.set("Keep-Alive", "timeout=5");
    fields.set("Transfer-Encoding", "chunked");
    fields.set("X-Kept", "1");
    removeHopByHopFields(fields);
    EXPECT_EQ(1, std::distance(fields.begin(), fields.end()));
    EXPECT_EQ("1", fields["X-Kept"]);
}

} // namespace
} // namespace goldcrestdeck
