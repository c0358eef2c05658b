#include "goldcrestdeck/socket_queue.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace goldcrestdeck {

std::size_t unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace goldcrestdeck
