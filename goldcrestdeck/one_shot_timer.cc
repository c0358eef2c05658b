#include "goldcrestdeck/one_shot_timer.h"

#include <utility>

namespace goldcrestdeck {

one_shot_timer::one_shot_timer(const boost::asio::any_io_executor &executor)
    : m_timer(executor)
    , m_generation(std::make_shared<std::uint64_t>(0))
{ }

one_shot_timer::~one_shot_timer()
{
    cancel();
}

void one_shot_timer::set(duration delay, std::function<void()> handler)
{
    const std::uint64_t current = ++*m_generation;
    m_timer.expires_after(delay);
    m_timer.async_wait([current, generation = m_generation,
                        handler = std::move(handler)](boost::system::error_code error) {
        // The only possible error is operation_aborted, for a cancelled wait.
        if (!error && *generation == current)
            handler();
    });
}

void one_shot_timer::cancel()
{
    ++*m_generation;
    m_timer.cancel();
}

} // namespace goldcrestdeck
