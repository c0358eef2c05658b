#ifndef STANDINS_PLATFORM_INSTANCE_H_
#define STANDINS_PLATFORM_INSTANCE_H_

/// \file
/// A stand-in for one upstream instance of the users' platform. It sends complete responses or
/// streams of numbered events, and injects the failures that users of the platform have published.

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "standins/raw_server.h"

namespace standins {

/// Injected faults and the shape of the responses. Each request uses the values set when it
/// arrives.
struct instance_faults {
    unsigned status = 200;
    std::string statusText;        ///< Sent in place of the status, as it is; empty: none.
    std::string headLine;          ///< Added to the head, as it is, with its line end; empty: none.
    bool rejectUnexecuted = false; ///< Rejects the request without executing it.
    std::string rejectedModel;     ///< Requests for it are rejected unexecuted; empty: none.
    bool wrongInstance = false;    ///< Responds with 421, as if another instance were addressed.
    int confidence = -1;           ///< Sent for the model "small"; 100 for others; negative: none.
    int events = 0;                ///< Length of the event stream; 0: no stream.
    int resetAfterEvents = -1;     ///< Resets in the middle of the event after this one.
    int endInsideEventAfter = -1;  ///< Ends the response, as its framing prescribes, in the middle
                                   ///< of the event after this one.
    int crashAfterEvents = -1;     ///< Crashes after so many events of its part of a stream.
    int stallAfterEvents = -1;     ///< Stops sending after this event; stays connected.
    std::chrono::milliseconds eventInterval{1}; ///< Between events.
    std::chrono::milliseconds delay{0};         ///< Before the response.
    bool silent = false;                        ///< Executes the request and never responds.
    bool resetBeforeResponse = false; ///< Executes the request, then resets the connection.
    bool truncateBody = false;        ///< Closes in the middle of the response body.
    int closeAfterHeadBytes = -1;     ///< Closes after this many bytes of the head, or at its end.
    bool omitContentLength = false;   ///< No length or chunks: the body ends with the connection.
    bool resetAtEnd = false;          ///< With omitContentLength: resets instead of closing.
    bool duplicateResponse = false;   ///< Sends a second, unsolicited response.
    bool staleResponseFirst = false;  ///< Sends a response to an earlier request first.
    bool repeatRefusal = false; ///< Rejects its first request unexecuted, and writes that response
                                ///< once more before each later one on the same connection.
    bool refusalWithoutId = false; ///< With repeatRefusal: the response does not name its request.
    bool omitSeal = false;         ///< Omits X-Response-Seal.
    bool endlessHead = false;      ///< Sends header fields until the connection is closed.
    bool endlessBody = false;      ///< Sends a body without framing until the connection is closed.
    bool endlessChunkSize = false; ///< Sends a chunk extension until the connection is closed.
    bool endlessChunks = false;    ///< Sends chunks until the connection is closed.
    bool endlessInformational = false; ///< Sends heads with status 103 until it is closed.
    bool endlessStale = false;         ///< Sends responses to another request until it is closed.
    std::string declaredLength;        ///< With endlessBody: the body has this Content-Length.
    /// With an endless fault: stops sending after this many bytes, and stays connected.
    std::size_t stallAfterBytes = std::numeric_limits<std::size_t>::max();
    std::string
        crashSegment; ///< Crashes when it begins the response to a prompt with this segment.
    /// Crashes when it has executed a request with this text in its path or body, without a byte
    /// of a response.
    std::string crashText;
    std::string rateLimit; ///< Named as Server-Limit in each response; empty: none.
    std::string brittle;   ///< Named as Server-Brittle in each response; empty: none.
    std::string coldLeft;  ///< Named as X-Cold-Ms in each response; empty: none.
    bool leaving = false;  ///< Each response says that the instance leaves.
    bool garbage = false;  ///< Sends bytes that are not HTTP.
    /// Responds before the body has been read, which is left unread. With omitContentLength: sends
    /// part of the response and ends it in order, or with resetAtEnd.
    bool earlyResponse = false;
};

class platform_instance
{
public:
    platform_instance(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
                      std::string id);

    boost::asio::ip::tcp::endpoint address() const { return m_server.address(); }
    const std::string &id() const { return m_id; }
    void setFaults(const instance_faults &faults) { m_faults = faults; }

    /// Number of executions of each request, by request id.
    const std::map<std::string, int> &executions() const { return m_executions; }
    const std::vector<goldcrestdeck::http1_request> &requests() const { return m_requests; }
    /// When each of requests() arrived.
    const std::vector<std::chrono::steady_clock::time_point> &arrivals() const
    {
        return m_arrivals;
    }
    /// Number of connections accepted so far.
    std::size_t connections() const { return m_server.acceptedConnections(); }
    /// Number of streams whose client disconnected before the end.
    int abandonedStreams() const { return m_abandonedStreams; }
    void stop() { m_server.stop(); }
    /// Bytes sent by the endless faults.
    std::size_t endlessBytes() const { return m_endlessBytes; }
    bool hasCrashed() const { return m_hasCrashed; }

    /// Body of the complete response to a request.
    static std::string bodyFor(const std::string &requestId);
    /// Text of one event of a stream.
    static std::string eventText(int number);

private:
    void handle(const goldcrestdeck::http1_request &request,
                const std::shared_ptr<raw_connection> &connection);
    void respond(const goldcrestdeck::http1_request &request,
                 const std::shared_ptr<raw_connection> &connection, const instance_faults &faults);
    /// Sends \a piece again and again until the connection is closed, or \a bytesLeft have been
    /// sent.
    void sendEndlessly(const std::shared_ptr<raw_connection> &connection, const std::string &piece,
                       std::size_t bytesLeft);
    /// Sends a response whose body ends with the connection.
    static void sendUnframed(const std::shared_ptr<raw_connection> &connection,
                             const std::string &head, const std::string &body,
                             const instance_faults &faults);
    static void endUnframed(const std::shared_ptr<raw_connection> &connection,
                            const instance_faults &faults);
    void streamFrom(const std::shared_ptr<raw_connection> &connection,
                    const instance_faults &faults, int number);

    std::string m_id;
    instance_faults m_faults;
    std::map<std::string, int> m_executions;
    std::vector<goldcrestdeck::http1_request> m_requests;
    std::vector<std::chrono::steady_clock::time_point> m_arrivals;
    int m_abandonedStreams = 0;
    bool m_hasCrashed = false;
    std::string m_refusal; ///< The response to the first request, with repeatRefusal.
    const raw_connection *m_refusedOn = nullptr;
    std::size_t m_endlessBytes = 0;
    raw_server m_server;
};

} // namespace standins

#endif // STANDINS_PLATFORM_INSTANCE_H_
