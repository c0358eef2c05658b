#include "standins/platform_instance.h"

#include <cstdlib>

namespace standins {

using goldcrestdeck::encodeChunk;
using goldcrestdeck::http1_request;

namespace {

constexpr std::size_t endlessPieceBytes = 60'000;
constexpr std::size_t maxEndlessBytes = 400'000'000;

std::string responseHead(const std::string &status, const std::string &id,
                         const std::string &fields)
{
    return "HTTP/1.1 " + status + " Status\r\nX-Request-Id: " + id + "\r\n" + fields;
}

std::string responseWithLength(const std::string &status, const std::string &id,
                               const std::string &fields, const std::string &body)
{
    return responseHead(status, id, fields) + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// The fields in which an instance tells its state, in refusals too.
std::string stateFields(const instance_faults &faults)
{
    std::string fields;
    if (!faults.rateLimit.empty())
        fields += "Server-Limit: " + faults.rateLimit + "\r\n";
    if (!faults.coldLeft.empty())
        fields += "X-Cold-Ms: " + faults.coldLeft + "\r\n";
    if (!faults.brittle.empty())
        fields += "Server-Brittle: " + faults.brittle + "\r\n";
    if (faults.leaving)
        fields += "Server-Leaving: 1\r\n";
    return fields;
}

} // namespace

platform_instance::platform_instance(boost::asio::io_context &io,
                                     const boost::asio::ip::tcp::endpoint &address, std::string id)
    : m_id(std::move(id))
    , m_server(
          io, address,
          [this](const http1_request &request, const std::shared_ptr<raw_connection> &connection) {
              handle(request, connection);
          },
          [this](const goldcrestdeck::http1_request_head &head,
                 const std::shared_ptr<raw_connection> &connection) {
              if (m_faults.earlyResponse)
                  handle(http1_request(head), connection);
              return m_faults.earlyResponse;
          })
{ }

std::string platform_instance::bodyFor(const std::string &requestId)
{
    return "body of " + requestId;
}

std::string platform_instance::eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

void platform_instance::handle(const http1_request &request,
                               const std::shared_ptr<raw_connection> &connection)
{
    const instance_faults faults = m_faults;
    m_requests.push_back(request);
    m_arrivals.push_back(std::chrono::steady_clock::now());
    const std::string id(request["X-Request-Id"]);
    const std::string expected(request["X-Expect-Instance"]);
    if (faults.wrongInstance || (!expected.empty() && expected != m_id)) {
        connection->write(responseWithLength("421", id, "X-Instance-Id: " + m_id + "\r\n", ""));
        return;
    }
    if (faults.repeatRefusal && m_refusal.empty()) {
        m_refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n"
            + (faults.refusalWithoutId ? std::string() : "X-Request-Id: " + id + "\r\n") + "\r\n";
        m_refusedOn = connection.get();
        connection->write(m_refusal);
        return;
    }
    if (m_refusedOn == connection.get())
        connection->write(m_refusal);
    if (faults.rejectUnexecuted && faults.omitContentLength) {
        sendUnframed(connection, responseHead("503", id, "X-Not-Executed: 1\r\n"), "full", faults);
        return;
    }
    const bool rejectsModel
        = !faults.rejectedModel.empty() && request["X-Model"] == faults.rejectedModel;
    if (faults.rejectUnexecuted || rejectsModel) {
        connection->write(
            responseWithLength("503", id, stateFields(faults) + "X-Not-Executed: 1\r\n", ""));
        return;
    }
    ++m_executions[id];
    if (faults.silent)
        return;
    if (faults.resetBeforeResponse) {
        connection->reset();
        return;
    }
    if (faults.garbage) {
        connection->write("these bytes are no answer\r\n\r\n");
        return;
    }
    if (faults.endlessHead) {
        connection->write("HTTP/1.1 200 OK\r\n");
        sendEndlessly(connection, "X-Filler: " + std::string(endlessPieceBytes, 'x') + "\r\n",
                      faults.stallAfterBytes);
        return;
    }
    if (faults.endlessInformational) {
        sendEndlessly(connection, "HTTP/1.1 103 Early Hints\r\nX-Filler: x\r\n\r\n",
                      faults.stallAfterBytes);
        return;
    }
    if (faults.endlessStale) {
        const std::string body(endlessPieceBytes, 'x');
        sendEndlessly(connection, responseWithLength("200", "an-earlier-request", "", body),
                      faults.stallAfterBytes);
        return;
    }
    if (faults.endlessBody || faults.endlessChunkSize || faults.endlessChunks) {
        std::string fields = "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n";
        if (faults.endlessChunkSize || faults.endlessChunks)
            fields += "Transfer-Encoding: chunked\r\n";
        if (!faults.declaredLength.empty())
            fields += "Content-Length: " + faults.declaredLength + "\r\n";
        connection->write(responseHead("200", id, fields) + "\r\n");
        if (faults.endlessChunkSize)
            connection->write("1;");
        const std::string piece(endlessPieceBytes, 'x');
        sendEndlessly(connection, faults.endlessChunks ? encodeChunk(piece) : piece,
                      faults.stallAfterBytes);
        return;
    }
    connection->runAfter(faults.delay, [=] { respond(request, connection, faults); });
}

void platform_instance::respond(const http1_request &request,
                                const std::shared_ptr<raw_connection> &connection,
                                const instance_faults &faults)
{
    const std::string id(request["X-Request-Id"]);
    const std::string content = std::string(request.target()) + '\n' + request.body();
    if (!faults.crashText.empty() && content.find(faults.crashText) != std::string::npos) {
        m_hasCrashed = true;
        m_server.crash();
        return;
    }
    const std::string status
        = faults.statusText.empty() ? std::to_string(faults.status) : faults.statusText;
    std::string fields = stateFields(faults);
    if (!faults.omitSeal)
        fields += "X-Response-Seal: seal-" + m_id + "-" + id + "\r\n";
    const bool isSmall = request["X-Model"] == "small";
    if (faults.confidence >= 0)
        fields += "X-Confidence: " + std::to_string(isSmall ? faults.confidence : 100) + "\r\n";
    fields += faults.headLine;
    const std::string body = bodyFor(id);
    if (faults.closeAfterHeadBytes >= 0) {
        if (faults.events > 0)
            fields += "Content-Type: text/event-stream\r\n";
        if (!faults.omitContentLength)
            fields += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        connection->write((responseHead(status, id, fields) + "\r\n")
                              .substr(0, static_cast<std::size_t>(faults.closeAfterHeadBytes)));
        connection->close();
        return;
    }
    if (faults.staleResponseFirst)
        connection->write(responseWithLength("200", "an-earlier-request",
                                             "X-Response-Seal: other\r\n", "other body"));
    if (faults.events > 0 && faults.status == 200) {
        fields += "Content-Type: text/event-stream\r\n";
        if (!faults.omitContentLength)
            fields += "Transfer-Encoding: chunked\r\n";
        connection->write(responseHead(status, id, fields) + "\r\n");
        const std::string prompt(request["X-Prompt-Prefix"]);
        if (!faults.crashSegment.empty()
            && prompt.find(faults.crashSegment + ':') != std::string::npos) {
            m_hasCrashed = true;
            m_server.crash();
            return;
        }
        const int last = std::atoi(std::string(request["Last-Event-Id"]).c_str());
        instance_faults ofRun = faults;
        if (faults.crashAfterEvents >= 0)
            ofRun.crashAfterEvents += last;
        streamFrom(connection, ofRun, last + 1);
        return;
    }
    if (faults.omitContentLength) {
        sendUnframed(connection, responseHead(status, id, fields), body, faults);
        return;
    }
    fields += "Content-Type: text/plain\r\n";
    const std::string response = responseWithLength(status, id, fields, body);
    if (faults.truncateBody) {
        connection->write(response.substr(0, response.size() - 3));
        connection->close();
        return;
    }
    connection->write(response);
    if (faults.duplicateResponse)
        connection->write(response);
}

void platform_instance::sendUnframed(const std::shared_ptr<raw_connection> &connection,
                                     const std::string &head, const std::string &body,
                                     const instance_faults &faults)
{
    const std::size_t bodyBytes = faults.earlyResponse ? body.size() / 2 : body.size();
    connection->write(head + "\r\n" + body.substr(0, bodyBytes));
    endUnframed(connection, faults);
}

void platform_instance::endUnframed(const std::shared_ptr<raw_connection> &connection,
                                    const instance_faults &faults)
{
    const auto reset = [connection] { connection->reset(); };
    if (faults.resetAtEnd) {
        connection->runAfter(std::chrono::milliseconds(20), reset);
    } else if (faults.earlyResponse) {
        connection->closeForSending();
        // Also keeps the connection open until then.
        connection->runAfter(std::chrono::milliseconds(200), reset);
    } else {
        connection->close();
    }
}

void platform_instance::sendEndlessly(const std::shared_ptr<raw_connection> &connection,
                                      const std::string &piece, std::size_t bytesLeft)
{
    // Bounded, so that a client that never closes fails its test instead of exhausting the memory.
    if (!connection->isOpen() || m_endlessBytes > maxEndlessBytes || bytesLeft < piece.size())
        return;
    if (connection->unsentBytes() == 0) {
        m_endlessBytes += piece.size();
        bytesLeft -= piece.size();
        connection->write(piece);
    }
    connection->runAfter(std::chrono::milliseconds(1),
                         [=] { sendEndlessly(connection, piece, bytesLeft); });
}

void platform_instance::streamFrom(const std::shared_ptr<raw_connection> &connection,
                                   const instance_faults &faults, int number)
{
    if (!connection->isOpen()) {
        ++m_abandonedStreams;
        return;
    }
    const auto send = [&](const std::string &text) {
        connection->write(faults.omitContentLength ? text : encodeChunk(text));
    };
    const auto end = [&] {
        if (faults.omitContentLength)
            endUnframed(connection, faults);
        else
            connection->write(goldcrestdeck::lastChunk);
    };
    const std::string text = eventText(number);
    if (faults.endInsideEventAfter >= 0 && number > faults.endInsideEventAfter) {
        send(text.substr(0, text.size() / 2));
        end();
        return;
    }
    if (faults.resetAfterEvents >= 0 && number > faults.resetAfterEvents) {
        send(text.substr(0, text.size() / 2));
        connection->runAfter(std::chrono::milliseconds(20), [connection] { connection->reset(); });
        return;
    }
    if (faults.crashAfterEvents >= 0 && number > faults.crashAfterEvents) {
        m_hasCrashed = true;
        m_server.crash();
        return;
    }
    if (faults.stallAfterEvents >= 0 && number > faults.stallAfterEvents)
        return;
    const bool isCut = faults.earlyResponse && faults.omitContentLength;
    if (number > (isCut ? faults.events / 2 : faults.events)) {
        end();
        return;
    }
    send(text);
    const auto timer
        = std::make_shared<boost::asio::steady_timer>(m_server.executor(), faults.eventInterval);
    timer->async_wait([this, connection, faults, number, timer](boost::system::error_code) {
        streamFrom(connection, faults, number + 1);
    });
}

} // namespace standins
