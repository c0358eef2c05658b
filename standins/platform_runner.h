#ifndef STANDINS_PLATFORM_RUNNER_H_
#define STANDINS_PLATFORM_RUNNER_H_

/// \file
/// A stand-in for one upstream instance of the users' platform: whole answers and streams of
/// numbered events, with the ways of failing that its users publish.

#include <map>
#include <string>
#include <vector>

#include "standins/raw_server.h"

namespace standins {

/// How the next requests are answered.
struct runner_behaviour {
    unsigned status = 200;
    bool notRun = false;              ///< Turned away; the request is not run.
    bool wrongInstance = false;       ///< Answers 421 unless the request names another id.
    int confidence = -1;              ///< Of the smallest model; below 0: none is told.
    int events = 0;                   ///< A stream of so many events; 0: a whole answer.
    int breakAfter = -1;              ///< Resets behind so many events, in the middle of the next.
    int stallAfter = -1;              ///< Says nothing more behind so many events.
    std::chrono::milliseconds gap{1}; ///< Before each event.
    std::chrono::milliseconds delay{0}; ///< Before the answer.
    bool silent = false;                ///< Runs the request and never answers.
    bool resetUnanswered = false;       ///< Runs the request and resets the connection.
    bool cutBody = false;               ///< Closes in the middle of a whole answer.
    bool noLength = false;              ///< The answer's end is the connection's end.
    bool resetEnd = false;              ///< With noLength: the connection's end is a reset.
    bool extraAnswer = false;           ///< A second answer, to nobody, behind the first.
    bool strayAnswerFirst = false; ///< An answer to an earlier request comes before the own one.
    bool unsealed = false;         ///< The answer lacks the mark of a whole run.
    bool garbage = false;          ///< Bytes that are no answer.
    bool earlyAnswer = false;      ///< (Used with long bodies.) Answers at once.
};

class platform_runner
{
public:
    platform_runner(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address,
                    std::string id);

    boost::asio::ip::tcp::endpoint address() const { return m_server.address(); }
    const std::string &id() const { return m_id; }
    void setBehaviour(const runner_behaviour &behaviour) { m_behaviour = behaviour; }

    /// How often each request, by its id, was run.
    const std::map<std::string, int> &runs() const { return m_runs; }
    const std::vector<goldcrestdeck::http1_request> &requests() const { return m_requests; }
    std::size_t connections() const { return m_server.accepted(); }
    /// Streams whose client left before their end.
    int abandoned() const { return m_abandoned; }
    void stop() { m_server.stop(); }

    /// The bytes of a whole answer to a request, and of one event.
    static std::string bodyFor(const std::string &requestId);
    static std::string eventText(int number);

private:
    void handle(const goldcrestdeck::http1_request &request,
                const std::shared_ptr<raw_connection> &connection);
    void answer(const goldcrestdeck::http1_request &request,
                const std::shared_ptr<raw_connection> &connection,
                const runner_behaviour &behaviour);
    void stream(const std::shared_ptr<raw_connection> &connection,
                const runner_behaviour &behaviour, int number);

    std::string m_id;
    runner_behaviour m_behaviour;
    std::map<std::string, int> m_runs;
    std::vector<goldcrestdeck::http1_request> m_requests;
    int m_abandoned = 0;
    raw_server m_server;
};

} // namespace standins

#endif // STANDINS_PLATFORM_RUNNER_H_
