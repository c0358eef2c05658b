#include "goldcrestdeck/one_shot_timer.h"

#include <utility>

namespace goldcrestdeck {

one_shot_timer::one_shot_timer(const boost::asio::any_io_executor &executor)
    : m_timer(executor)
    , m_setting(std::make_shared<std::uint64_t>(0))
{ }

one_shot_timer::~one_shot_timer()
{
    cancel();
}

void one_shot_timer::set(duration time, std::function<void()> work)
{
    const std::uint64_t own = ++*m_setting;
    m_timer.expires_after(time);
    m_timer.async_wait(
        [own, setting = m_setting, work = std::move(work)](boost::system::error_code error) {
            // The only error is that of a cancelled wait.
            if (!error && *setting == own)
                work();
        });
}

void one_shot_timer::cancel()
{
    ++*m_setting;
    m_timer.cancel();
}

} // namespace goldcrestdeck
