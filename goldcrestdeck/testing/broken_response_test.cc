// Responses that are broken in their status line, their header fields or their end, read by each
// HTTP engine and by a forwarder.

#include <atomic>
#include <functional>
#include <future>
#include <optional>
#include <thread>
#include <vector>

#include "goldcrestdeck/async_client.h"
#include "goldcrestdeck/http_client.h"
#include "goldcrestdeck/testing/router_harness.h"
#include "platform/kv_binding.h"

namespace goldcrestdeck {
namespace {

using standins::instance_faults;
using standins::platform_instance;
using standins::raw_connection;
using standins::raw_server;
using std::chrono::milliseconds;

/// Status codes that cannot end a response to a request without an Upgrade field.
const char *const invalidStatuses[]
    = {"000", "001", "099", "101", "600", "700", "999", "20", "2x0", "+20", "-20", "2000"};

struct named_text {
    const char *name;
    std::string text;
};

std::ostream &operator<<(std::ostream &out, const named_text &value)
{
    return out << value.name;
}

/// Lines that are no header field, each with its line end.
const std::vector<named_text> &malformedHeadLines()
{
    static const std::vector<named_text> lines{
        {"blank_in_name", "X Bad: 1\r\n"},
        {"blanks_in_name", "X  Bad Name: 1\r\n"},
        {"tab_in_name", "X\tBad: 1\r\n"},
        {"blank_before_colon", "X-Bad : 1\r\n"},
        {"tab_before_colon", "X-Bad\t: 1\r\n"},
        {"blank_before_name", " X-Bad: 1\r\n"},
        {"tab_before_name", "\tX-Bad: 1\r\n"},
        {"only_blanks", "  \r\n"},
        {"blank_as_name", " : 1\r\n"},
        {"blank_in_length", "Content Length: 2\r\n"},
        {"blank_before_colon_of_length", "Content-Length : 2\r\n"},
        {"blank_before_length", " Content-Length: 2\r\n"},
        {"blank_before_colon_of_coding", "Transfer-Encoding : chunked\r\n"},
        {"blank_before_coding", " Transfer-Encoding: chunked\r\n"},
        {"control_byte_in_name",
         "X\x01"
         "Bad: 1\r\n"},
        {"control_byte_before_name", "\x02X-Bad: 1\r\n"},
        {"control_byte_before_colon", "X-Bad\x1f: 1\r\n"},
        {"control_byte_in_length", "Content-Length\x0b: 2\r\n"},
        {"null_in_name", std::string("X\0Bad: 1\r\n", 10)},
        {"delete_in_name",
         "X\x7f"
         "Bad: 1\r\n"},
        {"carriage_return_in_name", "X\rBad: 1\r\n"},
        {"line_feed_in_name", "X\nBad: 1\r\n"},
        {"parenthesis_in_name", "X(Bad: 1\r\n"},
        {"comma_in_name", "X,Bad: 1\r\n"},
        {"quote_in_name", "X\"Bad: 1\r\n"},
        {"high_byte_in_name",
         "X\xe4"
         "Bad: 1\r\n"},
        {"no_name", ": 1\r\n"},
        {"no_colon", "X-Bad\r\n"},
        {"control_byte_in_value",
         "X-Bad: a\x01"
         "b\r\n"},
        {"null_in_value", std::string("X-Bad: a\0b\r\n", 12)},
        {"carriage_return_in_value", "X-Bad: a\rX-Worse: b\r\n"},
    };
    return lines;
}

enum class http_engine { async, blocking, blockingStream };

const http_engine engines[]
    = {http_engine::async, http_engine::blocking, http_engine::blockingStream};

const char *toString(http_engine engine)
{
    switch (engine) {
    case http_engine::async:
        return "async";
    case http_engine::blocking:
        return "blocking";
    case http_engine::blockingStream:
        break;
    }
    return "blockingStream";
}

const char *const maybeSent = "failed, may have been sent";
const char *const notSent = "failed, not sent";

/// A server, on a thread of its own, whose responses are set by the test.
class broken_server_fixture : public ::testing::Test
{
protected:
    broken_server_fixture()
        : m_server(
            m_io, {boost::asio::ip::make_address("127.0.0.1"), 0},
            [this](const http1_request &, const std::shared_ptr<raw_connection> &connection) {
                ++m_requests;
                m_respond(connection);
            },
            [this](const http1_request_head &, const std::shared_ptr<raw_connection> &connection) {
                connection->write(m_beginning);
                if (!m_respondsToHead)
                    return false;
                ++m_requests;
                m_respond(connection);
                return true;
            })
        , m_workGuard(boost::asio::make_work_guard(m_io))
        , m_thread([this] { m_io.run(); })
    { }
    ~broken_server_fixture() override
    {
        m_io.stop();
        m_thread.join();
    }

    /// Sends a POST with \a body. \returns the status and the body of a complete response after a
    /// blank, otherwise maybeSent or notSent.
    std::string call(http_engine engine, const std::string &body)
    {
        return engine == http_engine::async ? callAsync(body) : callBlocking(engine, body);
    }

    std::string callAsync(const std::string &body)
    {
        boost::asio::io_context io{1};
        async_client client(io, m_clock);
        std::string result;
        std::string received;
        response_observer observer;
        observer.onHead = [&](const http1_response_head &head) {
            received = std::to_string(head.result_int()) + ' ';
        };
        observer.onBody = [&](const std::string &piece) { received += piece; };
        observer.onEnd = [&] { result = received; };
        observer.onFailure = [&](call_failure failure) {
            result = failure == call_failure::notSent ? notSent : maybeSent;
        };
        http1_request request(boost::beast::http::verb::post, "/x", 11);
        request.set(boost::beast::http::field::host, "a");
        request.body() = body;
        request.prepare_payload();
        call_options options;
        options.timeout = milliseconds(callTimeoutMs);
        client.call(m_server.address(), "server", request, std::move(observer), options);
        while (result.empty() && io.run_one() > 0) { }
        client.stop();
        return result;
    }

    std::string callBlocking(http_engine engine, const std::string &body)
    {
        http_request request;
        request.method = "POST";
        request.url = "http://127.0.0.1:" + std::to_string(m_server.address().port()) + "/x";
        request.body = body;
        request.timeout = milliseconds(callTimeoutMs);
        request.noRetry = true;
        try {
            http_client client;
            if (engine == http_engine::blocking) {
                const http_response response = client.send(request);
                return std::to_string(response.status) + ' ' + response.body;
            }
            const auto stream = client.open(request);
            const long status = stream->head().status;
            std::string received;
            while (stream->read(received)) { }
            return std::to_string(status) + ' ' + received;
        } catch (const http_error &error) {
            return error.maybeSent() ? maybeSent : notSent;
        }
    }

    /// Sets how the server responds to each request: after reading it, or with \a toHead after its
    /// head, which leaves the rest unread. \a beginning is sent before the body has been read.
    void setResponse(std::function<void(const std::shared_ptr<raw_connection> &)> respond,
                     bool toHead = false, const std::string &beginning = "")
    {
        std::packaged_task<void()> task([&] {
            m_respond = std::move(respond);
            m_respondsToHead = toHead;
            m_beginning = beginning;
        });
        // A handler may still be running when its response has arrived.
        boost::asio::post(m_io, [&task] { task(); });
        task.get_future().get();
    }

    /// Responds to every request with \a bytes, then closes the connection.
    void respondWith(const std::string &bytes)
    {
        setResponse([bytes](const std::shared_ptr<raw_connection> &connection) {
            connection->write(bytes);
            connection->close();
        });
    }

    /// Responds to every request with \a bytes, some of them at a time.
    void respondInPieces(const std::string &bytes)
    {
        constexpr std::size_t bytesPerSecond = 700;
        setResponse([bytes](const std::shared_ptr<raw_connection> &connection) {
            connection->writePaced(bytes, bytesPerSecond);
        });
    }

    /// Expects that a response of \a bytes fails in each engine and that the request, which the
    /// server has got, is not reported as unsent and not repeated.
    void expectFailure(const std::string &bytes)
    {
        respondWith(bytes);
        for (const http_engine engine : engines) {
            m_requests = 0;
            EXPECT_EQ(maybeSent, call(engine, "{}")) << toString(engine);
            EXPECT_EQ(1, m_requests) << toString(engine);
        }
    }

    static constexpr long callTimeoutMs = 5000;

    system_clock m_clock;
    std::atomic<int> m_requests{0};
    boost::asio::io_context m_io{1};
    // Used on the server's thread, once it runs.
    std::function<void(const std::shared_ptr<raw_connection> &)> m_respond;
    bool m_respondsToHead = false;
    std::string m_beginning;
    raw_server m_server;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    std::thread m_thread;
};

class invalid_status_fixture : public broken_server_fixture,
                               public ::testing::WithParamInterface<const char *>
{ };

TEST_P(invalid_status_fixture, response_fails)
{
    for (const char *framing : {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
        SCOPED_TRACE(framing);
        const bool isChunked = std::string(framing).find("chunked") != std::string::npos;
        expectFailure(std::string("HTTP/1.1 ") + GetParam() + " Trouble\r\n" + framing + "\r\n"
                      + (isChunked ? "2\r\nok\r\n0\r\n\r\n" : "ok"));
    }
}

TEST_P(invalid_status_fixture, response_before_a_valid_one_fails)
{
    expectFailure(std::string("HTTP/1.1 ") + GetParam()
                  + " Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

TEST_P(invalid_status_fixture, response_after_an_informational_one_fails)
{
    expectFailure(std::string("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 ") + GetParam()
                  + " Trouble\r\nContent-Length: 2\r\n\r\nok");
}

INSTANTIATE_TEST_SUITE_P(statuses, invalid_status_fixture, ::testing::ValuesIn(invalidStatuses));

TEST_F(broken_server_fixture, unusual_valid_statuses_are_received)
{
    for (const std::string status : {"200", "299", "404", "418", "500", "599"}) {
        respondWith("HTTP/1.1 " + status + " Some reason\r\nContent-Length: 2\r\n\r\nok");
        for (const http_engine engine : engines)
            EXPECT_EQ(status + " ok", call(engine, "{}")) << toString(engine);
    }
}

TEST_F(broken_server_fixture, status_line_that_arrives_in_pieces_is_checked_like_a_whole_one)
{
    const std::string end = " Some reason\r\nContent-Length: 2\r\n\r\nok";
    for (const http_engine engine : engines) {
        respondInPieces("HTTP/1.1 200" + end);
        EXPECT_EQ("200 ok", call(engine, "{}")) << toString(engine);
        respondInPieces("HTTP/1.1 000" + end);
        EXPECT_EQ(maybeSent, call(engine, "{}")) << toString(engine);
    }
}

TEST_F(broken_server_fixture, response_that_is_not_http_fails)
{
    for (const std::string bytes :
         {"these bytes are no response\r\n\r\n", "HTTP/0.9 200 OK\r\n\r\n",
          "HTTP/3.0 200 OK\r\n\r\n", "HTTP/1.1200 OK\r\n\r\n"}) {
        SCOPED_TRACE(bytes);
        expectFailure(bytes);
    }
}

TEST_F(broken_server_fixture, response_after_informational_ones_is_received)
{
    respondWith("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    for (const http_engine engine : engines)
        EXPECT_EQ("200 ok", call(engine, "{}")) << toString(engine);
}

class malformed_head_fixture : public broken_server_fixture,
                               public ::testing::WithParamInterface<named_text>
{ };

TEST_P(malformed_head_fixture, response_with_the_line_first_fails)
{
    expectFailure("HTTP/1.1 200 OK\r\n" + GetParam().text + "Content-Length: 4\r\n\r\nbody");
}

TEST_P(malformed_head_fixture, response_with_the_line_last_fails)
{
    expectFailure("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + GetParam().text + "\r\nbody");
}

TEST_P(malformed_head_fixture, response_without_other_framing_fails)
{
    expectFailure("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + GetParam().text + "\r\nbody");
}

TEST_P(malformed_head_fixture, informational_response_with_the_line_fails)
{
    expectFailure("HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n" + GetParam().text
                  + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

INSTANTIATE_TEST_SUITE_P(lines, malformed_head_fixture, ::testing::ValuesIn(malformedHeadLines()),
                         [](const auto &line) { return line.param.name; });

TEST_F(broken_server_fixture, unusual_valid_fields_are_received)
{
    for (const std::string line :
         {"x!#$%&'*+-.^_`|~9: 1", "X-Empty:", "X-Empty: ", "X-Tab:\ta\tb\t", "X-High: \xe4\xff",
          "X-Punctuation: (a), \"b: c\"; d = [e]", "X-Twice: 1\r\nX-Twice: 2"}) {
        std::string response = "HTTP/1.1 200 OK\r\n";
        response.append(line).append("\r\nContent-Length: 2\r\n\r\nok");
        respondWith(response);
        for (const http_engine engine : engines)
            EXPECT_EQ("200 ok", call(engine, "{}")) << toString(engine) << ' ' << line;
    }
}

TEST_F(broken_server_fixture, head_that_arrives_in_pieces_is_checked_like_a_whole_one)
{
    const std::string end = "Content-Length: 2\r\n\r\nok";
    for (const http_engine engine : engines) {
        respondInPieces("HTTP/1.1 200 OK\r\nX-First: 1\r\nX-Second: 2\r\n" + end);
        EXPECT_EQ("200 ok", call(engine, "{}")) << toString(engine);
        respondInPieces("HTTP/1.1 200 OK\r\nX-First: 1\r\nX Second: 2\r\n" + end);
        EXPECT_EQ(maybeSent, call(engine, "{}")) << toString(engine);
    }
}

/// A server that responds without a length to the head of a request and sends part of its body.
class unframed_response_fixture : public broken_server_fixture
{
protected:
    enum class ending { reset, close, closeForSending };

    /// More than the buffers of both sockets hold: the client is still writing when the response
    /// ends.
    static constexpr std::size_t endlessUpload = 24'000'000;
    /// Held by the client's socket when the response ends, but more than the server's takes.
    static constexpr std::size_t longUpload = 2'000'000;

    void respondEarly(std::size_t bodyBytes, ending how, const std::string &status = "200 OK")
    {
        setResponse(responseThatEnds(bodyBytes, how, status), true);
    }

    /// \returns a function that sends a response without a length and ends it as \a how says.
    static std::function<void(const std::shared_ptr<raw_connection> &)>
    responseThatEnds(std::size_t bodyBytes, ending how, const std::string &status = "200 OK")
    {
        const std::string bytes
            = "HTTP/1.1 " + status + "\r\nX-First: 1\r\n\r\n" + std::string(bodyBytes, 'x');
        return [bytes, how](const std::shared_ptr<raw_connection> &connection) {
            connection->write(bytes);
            const auto end = [connection, how] {
                switch (how) {
                case ending::reset:
                    connection->reset();
                    break;
                case ending::close:
                    connection->close();
                    break;
                case ending::closeForSending:
                    closeForSendingThenReset(connection);
                    break;
                }
            };
            // The client has read the part of the body by then.
            connection->runAfter(milliseconds(20), end);
        };
    }

    /// Responds to the head of each request with \a bytes and ends the response.
    void endBeforeReading(const std::string &bytes)
    {
        const auto respond = [bytes](const std::shared_ptr<raw_connection> &connection) {
            connection->write(bytes);
            closeForSendingThenReset(connection);
        };
        setResponse(respond, true);
    }

    static void closeForSendingThenReset(const std::shared_ptr<raw_connection> &connection)
    {
        connection->closeForSending();
        connection->runAfter(milliseconds(200), [connection] { connection->reset(); });
    }

    void expectFailures(ending how)
    {
        for (const std::size_t upload : {endlessUpload, longUpload}) {
            for (const std::size_t bodyBytes : {0U, 1U, 1000U, 100'000U}) {
                respondEarly(bodyBytes, how);
                for (const http_engine engine : engines) {
                    m_requests = 0;
                    const std::string result = call(engine, std::string(upload, 'u'));
                    EXPECT_EQ(maybeSent, result.substr(0, 40))
                        << toString(engine) << " upload " << upload << " body " << bodyBytes;
                    EXPECT_EQ(1, m_requests) << toString(engine);
                }
            }
        }
    }
};

TEST_F(unframed_response_fixture, response_that_ends_in_a_reset_fails)
{
    expectFailures(ending::reset);
}

TEST_F(unframed_response_fixture, response_that_ends_in_a_close_fails)
{
    expectFailures(ending::close);
}

TEST_F(unframed_response_fixture, response_whose_end_arrives_before_the_request_has_been_sent_fails)
{
    expectFailures(ending::closeForSending);
}

TEST_F(unframed_response_fixture, response_that_ends_at_once_after_its_body_fails)
{
    for (const bool isReset : {true, false}) {
        const auto respond = [isReset](const std::shared_ptr<raw_connection> &connection) {
            connection->write("HTTP/1.1 200 OK\r\n\r\npart");
            if (isReset)
                connection->reset();
            else
                connection->close();
        };
        setResponse(respond, true);
        for (const http_engine engine : engines)
            EXPECT_EQ(maybeSent, call(engine, std::string(endlessUpload, 'u')).substr(0, 40))
                << toString(engine) << (isReset ? " reset" : " close");
    }
}

TEST_F(unframed_response_fixture, error_whose_end_arrives_before_the_request_has_been_sent_fails)
{
    for (const char *status : {"404 Not Found", "413 Too Large", "500 Error"}) {
        respondEarly(1000, ending::closeForSending, status);
        for (const http_engine engine : engines)
            EXPECT_EQ(maybeSent, call(engine, std::string(longUpload, 'u')).substr(0, 40))
                << toString(engine) << ' ' << status;
    }
}

TEST_F(unframed_response_fixture, response_without_a_body_is_received_before_the_request_was_sent)
{
    endBeforeReading("HTTP/1.1 204 No Content\r\n\r\n");
    for (const http_engine engine : engines)
        EXPECT_EQ("204 ", call(engine, std::string(longUpload, 'u'))) << toString(engine);
}

TEST_F(unframed_response_fixture, response_that_begins_early_and_ends_after_the_request_is_received)
{
    const auto respond = [](const std::shared_ptr<raw_connection> &connection) {
        connection->write("end");
        connection->close();
    };
    setResponse(respond, false, "HTTP/1.1 200 OK\r\nX-First: 1\r\n\r\nbegin,");
    for (const http_engine engine : engines)
        EXPECT_EQ("200 begin,end", call(engine, std::string(longUpload, 'u'))) << toString(engine);
}

TEST_F(unframed_response_fixture, response_to_a_request_that_has_been_sent_is_received)
{
    respondEarly(1000, ending::closeForSending);
    for (const http_engine engine : engines)
        EXPECT_EQ("200 " + std::string(1000, 'x'), call(engine, std::string(3000, 'u')))
            << toString(engine);
}

TEST_F(unframed_response_fixture, response_to_a_long_request_that_has_been_read_is_received)
{
    setResponse(responseThatEnds(1000, ending::close));
    for (const http_engine engine : engines)
        EXPECT_EQ("200 " + std::string(1000, 'x'), call(engine, std::string(longUpload, 'u')))
            << toString(engine);
}

TEST_F(unframed_response_fixture,
       response_with_a_length_is_received_before_the_request_has_been_sent)
{
    endBeforeReading("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nok");
    for (const http_engine engine : engines)
        EXPECT_EQ("413 ok", call(engine, std::string(endlessUpload, 'u'))) << toString(engine);
}

/// The platform's store, answered by a server that sends broken responses.
class broken_store_fixture : public broken_server_fixture
{
protected:
    kv_outcome renewLease()
    {
        boost::asio::io_context io{1};
        async_client client(io, m_clock);
        store_epoch epoch;
        const async_kv_store store
            = platform::bindStore(client, m_clock, m_server.address(), epoch);
        std::optional<kv_outcome> result;
        store.renewLease(7, [&](kv_outcome outcome) { result = outcome; });
        while (!result && io.run_one() > 0) { }
        client.stop();
        return result.value_or(kv_outcome::done);
    }
};

TEST_F(broken_store_fixture, call_with_an_invalid_status_may_have_been_executed)
{
    for (const char *status : invalidStatuses) {
        respondWith(std::string("HTTP/1.1 ") + status + " Trouble\r\nContent-Length: 2\r\n\r\n{}");
        EXPECT_EQ(kv_outcome::unknown, renewLease()) << status;
    }
}

TEST_F(broken_store_fixture, call_with_a_malformed_head_may_have_been_executed)
{
    for (const named_text &line : malformedHeadLines()) {
        respondWith("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line.text
                    + "Content-Length: 2\r\n\r\n{}");
        EXPECT_EQ(kv_outcome::unknown, renewLease()) << line.name;
    }
}

/// How the responses of an instance are broken.
struct broken_form {
    std::string name;
    instance_faults faults;
    std::size_t requestBytes = 2; ///< Length of the requests' bodies.
    bool hasEvents = false;       ///< Of a stream, some events precede the fault.
};

std::ostream &operator<<(std::ostream &out, const broken_form &form)
{
    return out << form.name;
}

/// A router with two instances of each of two services, some of which send broken responses.
class broken_instance_fixture : public router_fixture,
                                public ::testing::WithParamInterface<broken_form>
{
protected:
    static constexpr int events = 20;
    static constexpr int eventsBeforeReset = 7;

    broken_instance_fixture()
    {
        for (const char *id : {"plain-1", "plain-2"})
            addInstance("plain", id);
        for (const char *id : {"engine-1", "engine-2"})
            addInstance("engine", id);
        publish();
    }

    static std::string streamText(int count)
    {
        std::string text;
        for (int i = 1; i <= count; ++i)
            text += platform_instance::eventText(i);
        return text;
    }

    static std::string postText(const std::string &path, const std::string &id)
    {
        return requestText("POST", path, id, "X-Model: m\r\nConnection: close\r\n",
                           std::string(GetParam().requestBytes, 'u'));
    }

    http1_response post(const std::string &path, const std::string &id)
    {
        return sendRequest(postText(path, id));
    }

    static instance_faults streaming(instance_faults faults)
    {
        faults.events = events;
        return faults;
    }
};

TEST_P(broken_instance_fixture, request_that_gets_no_other_response_fails_as_maybe_run)
{
    setFaults(GetParam().faults);
    EXPECT_EQ(502U, post("/safe/x", "safe").result_int());
    EXPECT_EQ(502U, post("/once/x", "once").result_int());
    EXPECT_EQ(1, executionsOf("once"));
}

TEST_P(broken_instance_fixture, stream_that_gets_no_other_response_does_not_look_complete)
{
    setFaults(streaming(GetParam().faults));
    for (const std::string path : {"/stream/x", "/closed/x"}) {
        raw_http_client client(m_server->address());
        client.send(postText(path, path));
        const std::string received = client.readAll();
        const char *status = GetParam().hasEvents ? "HTTP/1.1 200" : "HTTP/1.1 502";
        EXPECT_EQ(0U, received.rfind(status, 0)) << received;
        EXPECT_EQ(std::string::npos, received.find("\r\n0\r\n")) << "framed as complete";
    }
    EXPECT_EQ(1, executionsOf("/closed/x"));
}

TEST_P(broken_instance_fixture, repeatable_request_is_served_by_another_instance)
{
    onLoop([&] {
        m_standins[0]->setFaults(GetParam().faults);
        m_standins[2]->setFaults(streaming(GetParam().faults));
        m_standins[3]->setFaults(streaming(instance_faults()));
    });
    for (const std::string id : {"r0", "r1", "r2", "r3"}) {
        const http1_response response = post("/safe/x", id);
        EXPECT_EQ(200U, response.result_int());
        EXPECT_EQ(platform_instance::bodyFor(id), response.body());
        const http1_response stream = post("/stream/x", "stream-" + id);
        EXPECT_EQ(200U, stream.result_int());
        EXPECT_EQ(streamText(events), stream.body());
    }
}

TEST_P(broken_instance_fixture, stream_that_gets_no_other_resumption_does_not_look_complete)
{
    instance_faults breaking = streaming(instance_faults());
    breaking.resetAfterEvents = eventsBeforeReset;
    onLoop([&] {
        m_standins[2]->setFaults(breaking);
        m_standins[3]->setFaults(streaming(GetParam().faults));
    });
    int streams = 0;
    for (int i = 0; i < 100 && streams == 0; ++i) {
        raw_http_client client(m_server->address());
        client.send(postText("/stream/x", "r" + std::to_string(i)));
        const std::string received = client.readAll();
        if (received.find(platform_instance::eventText(eventsBeforeReset)) == std::string::npos)
            continue; // Each send went to the other instance.
        ++streams;
        EXPECT_EQ(std::string::npos, received.find("\r\n0\r\n")) << "framed as complete";
        EXPECT_EQ(received.find("HTTP/1.1"), received.rfind("HTTP/1.1"));
        const std::string nextEvent = platform_instance::eventText(eventsBeforeReset + 1);
        EXPECT_EQ(GetParam().hasEvents, received.find(nextEvent) != std::string::npos);
    }
    EXPECT_EQ(1, streams);
}

std::vector<broken_form> invalidStatusForms()
{
    std::vector<broken_form> forms;
    for (const char *status : invalidStatuses) {
        for (const bool isUnframed : {false, true}) {
            broken_form form;
            form.name = std::string("status ") + status + (isUnframed ? " unframed" : "");
            form.faults.statusText = status;
            form.faults.omitContentLength = isUnframed;
            forms.push_back(form);
        }
    }
    return forms;
}

INSTANTIATE_TEST_SUITE_P(statuses, broken_instance_fixture,
                         ::testing::ValuesIn(invalidStatusForms()));

std::vector<broken_form> malformedHeadForms()
{
    std::vector<broken_form> forms;
    for (const named_text &line : malformedHeadLines()) {
        for (const bool isUnframed : {false, true}) {
            broken_form form;
            form.name = std::string(line.name) + (isUnframed ? " unframed" : "");
            form.faults.headLine = line.text;
            form.faults.omitContentLength = isUnframed;
            forms.push_back(form);
        }
    }
    return forms;
}

INSTANTIATE_TEST_SUITE_P(lines, broken_instance_fixture, ::testing::ValuesIn(malformedHeadForms()));

/// Responses without a length to long requests, of which part is sent before the request has been
/// read.
std::vector<broken_form> earlyEndForms()
{
    std::vector<broken_form> forms;
    for (const std::size_t bytes : {1'000'000U, 4'000'000U}) {
        for (const bool isReset : {false, true}) {
            broken_form form;
            form.name = std::to_string(bytes) + (isReset ? " reset" : " closed");
            form.faults.earlyResponse = true;
            form.faults.omitContentLength = true;
            form.faults.resetAtEnd = isReset;
            form.requestBytes = bytes;
            form.hasEvents = true;
            forms.push_back(form);
        }
    }
    return forms;
}

INSTANTIATE_TEST_SUITE_P(early_ends, broken_instance_fixture, ::testing::ValuesIn(earlyEndForms()));

class early_refusal_fixture : public broken_instance_fixture
{ };

TEST_P(early_refusal_fixture, at_most_once_request_is_served_by_another_instance)
{
    instance_faults refusing = GetParam().faults;
    refusing.rejectUnexecuted = true;
    onLoop([&] { m_standins[0]->setFaults(refusing); });
    for (const std::string id : {"r0", "r1", "r2", "r3"}) {
        EXPECT_EQ(200U, post("/once/x", id).result_int());
        EXPECT_EQ(1, executionsOf(id));
    }
}

INSTANTIATE_TEST_SUITE_P(early_ends, early_refusal_fixture, ::testing::ValuesIn(earlyEndForms()));

} // namespace
} // namespace goldcrestdeck
