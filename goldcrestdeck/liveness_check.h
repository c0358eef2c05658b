#ifndef GOLDCRESTDECK_LIVENESS_CHECK_H_
#define GOLDCRESTDECK_LIVENESS_CHECK_H_

/// \file
/// Checks whether the process at an address still accepts connections.
///
/// A server that has crashed refuses them; one that has reset a response goes on accepting them. A
/// check opens a connection a little after it is requested, since a process that crashes loses its
/// open connections and its listening socket one after the other, and closes it again without
/// sending a byte. Checks of one process run one at a time and their number is bounded, so that a
/// failure of many servers costs a small host little. Not thread-safe: all calls and callbacks take
/// place on the thread that runs the io_context.

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

enum class liveness {
    accepting, ///< A connection was established.
    refusing,  ///< No process listens at the address.
    unknown    ///< No response in time, or the network is unreachable.
};

const char *toString(liveness state);

struct liveness_parameters {
    /// Time between the request for a check and the connection.
    std::chrono::milliseconds delay{50};
    std::chrono::milliseconds connectTimeout{300};
    std::size_t maxChecks = 8; ///< In progress at a time.
};

class liveness_check
{
public:
    /// Gets the result, and the time at which the connection was opened.
    using result_handler = std::function<void(liveness, time_point)>;

    liveness_check(boost::asio::io_context &io, const clock &time, liveness_parameters parameters);
    ~liveness_check();
    liveness_check(const liveness_check &) = delete;
    liveness_check &operator=(const liveness_check &) = delete;

    /// Checks the process \a processId, which listens on \a server, unless that is in progress or
    /// too many others are. \a done is not called after the destruction of this object.
    /// \returns whether a check was started.
    bool start(const boost::asio::ip::tcp::endpoint &server, const std::string &processId,
               result_handler done);

private:
    class attempt;

    boost::asio::io_context &m_io;
    const clock &m_clock;
    liveness_parameters m_parameters;
    std::shared_ptr<std::set<std::string>> m_inProgress; ///< Process ids.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_LIVENESS_CHECK_H_
