#include "goldcrestdeck/store_epoch.h"

#include <utility>

namespace goldcrestdeck {

bool store_epoch::observe(std::uint64_t epoch)
{
    if (epoch == 0 || epoch == m_current)
        return true;
    if (epoch < m_current)
        return false;
    const std::uint64_t previous = std::exchange(m_current, epoch);
    if (previous != 0 && m_onRise)
        m_onRise(previous);
    return true;
}

} // namespace goldcrestdeck
