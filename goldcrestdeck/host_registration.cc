#include "goldcrestdeck/host_registration.h"

#include <utility>

#include "goldcrestdeck/log.h"

namespace goldcrestdeck {

namespace {

/// After a call that failed or got no response.
constexpr std::chrono::milliseconds retryDelay{5'000};

} // namespace

host_registration::host_registration(const boost::asio::any_io_executor &executor,
                                     async_kv_store store, std::string key, std::string value)
    : m_store(std::move(store))
    , m_key(std::move(key))
    , m_value(std::move(value))
    , m_timer(executor)
{ }

void host_registration::start()
{
    acquireLease();
}

void host_registration::restart(std::chrono::milliseconds delay)
{
    ++m_round;
    schedule(delay, &host_registration::acquireLease);
}

void host_registration::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void host_registration::schedule(std::chrono::milliseconds delay, void (host_registration::*step)())
{
    if (!m_stopped)
        m_timer.set(delay, [this, step] { (this->*step)(); });
}

void host_registration::acquireLease()
{
    m_store.grantLease(hostRegistrationLifetime, [this, round = m_round](std::uint64_t lease) {
        if (round != m_round)
            return;
        m_lease = lease;
        if (lease == 0)
            schedule(retryDelay, &host_registration::acquireLease);
        else if (!m_stopped)
            write();
    });
}

void host_registration::write()
{
    kv_transaction transaction;
    transaction.writes.push_back({m_key, m_value, 0});
    transaction.lease = m_lease;
    m_store.transact(transaction, [this, round = m_round](const kv_transaction_result &result) {
        logEvent(log_level::info, "host_registered",
                 {{"key", m_key}, {"outcome", toString(result.outcome)}});
        if (round != m_round)
            return;
        if (result.outcome == kv_outcome::done)
            schedule(hostRegistrationRenewal, &host_registration::renew);
        else
            schedule(retryDelay, &host_registration::acquireLease);
    });
}

void host_registration::renew()
{
    m_store.renewLease(m_lease, [this, round = m_round](kv_outcome outcome) {
        if (round != m_round)
            return;
        if (outcome == kv_outcome::done)
            schedule(hostRegistrationRenewal, &host_registration::renew);
        else if (outcome == kv_outcome::conflict)
            schedule(std::chrono::milliseconds(0), &host_registration::acquireLease);
        else
            schedule(retryDelay, &host_registration::renew);
    });
}

} // namespace goldcrestdeck
