#include "goldcrestdeck/event_loop.h"

namespace goldcrestdeck {

void runEventLoop(boost::asio::io_context &io,
                  const std::function<void(const std::exception &)> &onError)
{
    for (;;) {
        try {
            io.run();
            return;
        } catch (const std::exception &error) {
            onError(error);
        }
    }
}

} // namespace goldcrestdeck
