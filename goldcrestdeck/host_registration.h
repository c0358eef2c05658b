#ifndef GOLDCRESTDECK_HOST_REGISTRATION_H_
#define GOLDCRESTDECK_HOST_REGISTRATION_H_

/// \file
/// Keeps one key in the key-value service for as long as this process lives.
///
/// The key is bound to a lease, so it expires by itself when the process ends, hangs or is cut off
/// from the network. If the lease expires while the process lives, the key is written again under a
/// new one. Calls that fail or get no response are retried after a delay. All on the control
/// thread.

#include <boost/asio/any_io_executor.hpp>

#include "goldcrestdeck/async_kv_store.h"
#include "goldcrestdeck/one_shot_timer.h"

namespace goldcrestdeck {

/// Time after which a registration that is not renewed expires. Hosts that poll a dead host detect
/// the failure at once by themselves, so this only limits for how long they keep retrying it.
constexpr std::chrono::milliseconds hostRegistrationLifetime{30'000};
/// Interval between renewals; two may be missed before the registration expires.
constexpr std::chrono::milliseconds hostRegistrationRenewal{10'000};

class host_registration
{
public:
    host_registration(const boost::asio::any_io_executor &executor, async_kv_store store,
                      std::string key, std::string value);

    void start();
    /// The key and its lease were lost: writes the key again, \a delay from now.
    void restart(std::chrono::milliseconds delay);
    void stop();

private:
    void acquireLease();
    void write();
    void renew();
    void schedule(std::chrono::milliseconds delay, void (host_registration::*step)());

    async_kv_store m_store;
    std::string m_key;
    std::string m_value;
    std::uint64_t m_lease = 0;
    bool m_stopped = false;
    unsigned m_round = 0; ///< Replies to calls made before the latest restart() are ignored.
    one_shot_timer m_timer;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HOST_REGISTRATION_H_
