#ifndef GOLDCRESTDECK_EVENT_LOOP_H_
#define GOLDCRESTDECK_EVENT_LOOP_H_

/// \file
/// Runs an event loop so that an exception which leaves a callback does not end the process.
///
/// Callbacks handle the errors that they expect. An unexpected exception, caused by the bytes of
/// one request, record or message, must not abort all other requests.

#include <exception>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace goldcrestdeck {

/// Runs \a io until it is stopped or out of work. \a onError is called with each std::exception
/// that leaves a callback; the loop goes on with the next callback. Exceptions of other types are
/// not caught.
void runEventLoop(boost::asio::io_context &io,
                  const std::function<void(const std::exception &)> &onError);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_EVENT_LOOP_H_
