#include "standins/platform_runner.h"

#include <cstdlib>

namespace standins {

using goldcrestdeck::encodeChunk;
using goldcrestdeck::http1_request;

namespace {

std::string responseHead(unsigned status, const std::string &id, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Request-Id: " + id + "\r\n"
        + fields;
}

std::string responseWithLength(unsigned status, const std::string &id, const std::string &fields,
                               const std::string &body)
{
    return responseHead(status, id, fields) + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

} // namespace

platform_runner::platform_runner(boost::asio::io_context &io,
                                 const boost::asio::ip::tcp::endpoint &address, std::string id)
    : m_id(std::move(id))
    , m_server(
          io, address,
          [this](const http1_request &request, const std::shared_ptr<raw_connection> &connection) {
              handle(request, connection);
          })
{ }

std::string platform_runner::bodyFor(const std::string &requestId)
{
    return "body of " + requestId;
}

std::string platform_runner::eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

void platform_runner::handle(const http1_request &request,
                             const std::shared_ptr<raw_connection> &connection)
{
    const runner_behaviour behaviour = m_behaviour;
    m_requests.push_back(request);
    const std::string id(request["X-Request-Id"]);
    const std::string expected(request["X-Expect-Instance"]);
    if (behaviour.wrongInstance || (!expected.empty() && expected != m_id)) {
        connection->write(responseWithLength(421, id, "X-Instance-Id: " + m_id + "\r\n", ""));
        return;
    }
    if (behaviour.notRun) {
        connection->write(responseWithLength(503, id, "X-Not-Executed: 1\r\n", ""));
        return;
    }
    ++m_runs[id];
    if (behaviour.silent)
        return;
    if (behaviour.resetUnanswered) {
        connection->reset();
        return;
    }
    if (behaviour.garbage) {
        connection->write("these bytes are no answer\r\n\r\n");
        return;
    }
    connection->runAfter(behaviour.delay, [=] { respond(request, connection, behaviour); });
}

void platform_runner::respond(const http1_request &request,
                              const std::shared_ptr<raw_connection> &connection,
                              const runner_behaviour &behaviour)
{
    const std::string id(request["X-Request-Id"]);
    std::string fields;
    if (!behaviour.unsealed)
        fields += "X-Response-Seal: seal-" + m_id + "-" + id + "\r\n";
    const bool isSmall = request["X-Model"] == "small";
    if (behaviour.confidence >= 0)
        fields += "X-Confidence: " + std::to_string(isSmall ? behaviour.confidence : 100) + "\r\n";
    const std::string body = bodyFor(id);
    if (behaviour.strayAnswerFirst)
        connection->write(responseWithLength(200, "an-earlier-request",
                                             "X-Response-Seal: other\r\n", "other body"));
    if (behaviour.events > 0 && behaviour.status == 200) {
        fields += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        connection->write(responseHead(200, id, fields) + "\r\n");
        const std::string last(request["Last-Event-Id"]);
        streamFrom(connection, behaviour, std::atoi(last.c_str()) + 1);
        return;
    }
    if (behaviour.noLength) {
        connection->write(responseHead(behaviour.status, id, fields) + "\r\n" + body);
        if (behaviour.resetEnd)
            connection->runAfter(std::chrono::milliseconds(20),
                                 [connection] { connection->reset(); });
        else
            connection->close();
        return;
    }
    const std::string response = responseWithLength(behaviour.status, id, fields, body);
    if (behaviour.cutBody) {
        connection->write(response.substr(0, response.size() - 3));
        connection->close();
        return;
    }
    connection->write(response);
    if (behaviour.extraAnswer)
        connection->write(response);
}

void platform_runner::streamFrom(const std::shared_ptr<raw_connection> &connection,
                                 const runner_behaviour &behaviour, int number)
{
    if (!connection->isOpen()) {
        ++m_abandoned;
        return;
    }
    if (behaviour.breakAfter >= 0 && number > behaviour.breakAfter) {
        const std::string text = eventText(number);
        connection->write(encodeChunk(text.substr(0, text.size() / 2)));
        connection->runAfter(std::chrono::milliseconds(20), [connection] { connection->reset(); });
        return;
    }
    if (behaviour.stallAfter >= 0 && number > behaviour.stallAfter)
        return;
    if (number > behaviour.events) {
        connection->write(goldcrestdeck::closingChunk);
        return;
    }
    connection->write(encodeChunk(eventText(number)));
    const auto timer
        = std::make_shared<boost::asio::steady_timer>(m_server.executor(), behaviour.gap);
    timer->async_wait([this, connection, behaviour, number, timer](boost::system::error_code) {
        streamFrom(connection, behaviour, number + 1);
    });
}

} // namespace standins
