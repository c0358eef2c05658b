#ifndef GOLDCRESTDECK_STORE_EPOCH_H_
#define GOLDCRESTDECK_STORE_EPOCH_H_

/// \file
/// The epoch of the key-value service's history.
///
/// The service may come back from a copy some seconds old. What was written since is then lost, and
/// revisions and lease identifiers are given out again, so they mean something only together with
/// the epoch, which rises by one each time. The binding of the service passes the epoch of each
/// response to observe() before it delivers the response. Not thread-safe: used by the control
/// thread.

#include <cstdint>
#include <functional>

namespace goldcrestdeck {

class store_epoch
{
public:
    /// Called with the previous epoch when the epoch has risen.
    using listener = std::function<void(std::uint64_t previous)>;

    void setListener(listener onRise) { m_onRise = std::move(onRise); }

    /// Reports the epoch of a response, or one that another host knows; 0 if it is unknown.
    /// \returns false if it is an earlier one: the response must not be used.
    bool observe(std::uint64_t epoch);
    /// The latest epoch observed; 0 if there is none.
    std::uint64_t current() const { return m_current; }

private:
    std::uint64_t m_current = 0;
    listener m_onRise;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_STORE_EPOCH_H_
