// The attempts in progress own themselves; they hold the set of process ids weakly, so that an
// attempt that ends after the liveness_check has been destroyed calls nobody.

#include "goldcrestdeck/liveness_check.h"

#include <utility>

#include <boost/asio/error.hpp>

#include "goldcrestdeck/one_shot_timer.h"

namespace goldcrestdeck {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

const char *toString(liveness state)
{
    switch (state) {
    case liveness::accepting:
        return "accepting";
    case liveness::refusing:
        return "refusing";
    case liveness::unknown:
        break;
    }
    return "unknown";
}

class liveness_check::attempt : public std::enable_shared_from_this<liveness_check::attempt>
{
public:
    attempt(boost::asio::io_context &io, const clock &time, std::string processId,
            result_handler done, std::weak_ptr<std::set<std::string>> inProgress)
        : m_socket(io)
        , m_timer(io.get_executor())
        , m_clock(time)
        , m_processId(std::move(processId))
        , m_done(std::move(done))
        , m_inProgress(std::move(inProgress))
    { }

    void start(const tcp::endpoint &server, const liveness_parameters &parameters)
    {
        m_timer.set(parameters.delay,
                    [self = shared_from_this(), server, timeout = parameters.connectTimeout] {
                        self->connect(server, timeout);
                    });
    }

private:
    void connect(const tcp::endpoint &server, std::chrono::milliseconds timeout)
    {
        m_openedAt = m_clock.now();
        m_timer.set(timeout, [self = shared_from_this()] { self->finish(liveness::unknown); });
        m_socket.async_connect(server, [self = shared_from_this()](error_code error) {
            if (!error)
                self->finish(liveness::accepting);
            else if (error == boost::asio::error::connection_refused)
                self->finish(liveness::refusing);
            else
                self->finish(liveness::unknown);
        });
    }

    void finish(liveness state)
    {
        const auto done = std::exchange(m_done, nullptr);
        if (!done)
            return;
        m_timer.cancel();
        error_code ignored;
        m_socket.close(ignored);
        const auto inProgress = m_inProgress.lock();
        if (!inProgress)
            return;
        inProgress->erase(m_processId);
        done(state, m_openedAt);
    }

    tcp::socket m_socket;
    one_shot_timer m_timer;
    const clock &m_clock;
    std::string m_processId;
    result_handler m_done;
    std::weak_ptr<std::set<std::string>> m_inProgress;
    time_point m_openedAt;
};

liveness_check::liveness_check(boost::asio::io_context &io, const clock &time,
                               liveness_parameters parameters)
    : m_io(io)
    , m_clock(time)
    , m_parameters(parameters)
    , m_inProgress(std::make_shared<std::set<std::string>>())
{ }

liveness_check::~liveness_check() = default;

bool liveness_check::start(const tcp::endpoint &server, const std::string &processId,
                           result_handler done)
{
    if (m_inProgress->size() >= m_parameters.maxChecks || !m_inProgress->insert(processId).second)
        return false;
    std::make_shared<attempt>(m_io, m_clock, processId, std::move(done), m_inProgress)
        ->start(server, m_parameters);
    return true;
}

} // namespace goldcrestdeck
