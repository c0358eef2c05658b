#ifndef GOLDCRESTDECK_SOCKET_QUEUE_H_
#define GOLDCRESTDECK_SOCKET_QUEUE_H_

/// \file
/// What the operating system still holds of the data that was written to a TCP socket.

#include <cstddef>

namespace goldcrestdeck {

/// Returns the bytes written to \a socket, a descriptor, that the peer's TCP has not acknowledged;
/// 0 if that is unknown. The end of the peer's data acknowledges all that its TCP had received by
/// then, so a larger value at that moment means that it had not received everything.
std::size_t unacknowledgedBytes(int socket);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_SOCKET_QUEUE_H_
