#include "goldcrestdeck/report_publisher.h"

#include <utility>

namespace goldcrestdeck {

report_publisher::report_publisher(async_kv_store store, const clock &time,
                                   report_parameters parameters)
    : m_store(std::move(store))
    , m_clock(time)
    , m_parameters(parameters)
{ }

void report_publisher::publish(const std::string &key, encoder encode, written_handler onWritten)
{
    m_waiting[key] = {std::move(encode), std::move(onWritten)};
    flush();
}

void report_publisher::flush()
{
    if (m_waiting.empty() || m_busy || m_stopped || m_clock.now() < m_nextWriteAt)
        return;
    m_busy = true;
    m_nextWriteAt = m_clock.now()
        + std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            static_cast<double>(m_fleetSize) / m_parameters.fleetWritesPerSecond));
    if (m_lease == 0) {
        acquireLease();
    } else if (m_clock.now() - m_leaseRenewedAt < m_parameters.renewalAge) {
        write();
    } else {
        m_store.renewLease(m_lease, [this, epoch = m_epoch](kv_outcome outcome) {
            if (epoch != m_epoch)
                return;
            if (outcome == kv_outcome::done)
                onLease(m_lease);
            else if (outcome == kv_outcome::conflict)
                acquireLease();
            else
                fail(outcome);
        });
    }
}

void report_publisher::handleRestoredStore()
{
    ++m_epoch;
    m_lease = 0;
    m_busy = false;
}

void report_publisher::acquireLease()
{
    m_lease = 0;
    m_store.grantLease(m_parameters.lifetime, [this, epoch = m_epoch](std::uint64_t lease) {
        if (epoch != m_epoch)
            return;
        if (lease == 0)
            fail(kv_outcome::refused);
        else
            onLease(lease);
    });
}

void report_publisher::onLease(std::uint64_t lease)
{
    m_lease = lease;
    m_leaseRenewedAt = m_clock.now();
    write();
}

void report_publisher::write()
{
    report_map reports;
    kv_transaction transaction;
    transaction.lease = m_lease;
    while (!m_waiting.empty() && reports.size() < m_parameters.maxWrites) {
        auto next = m_waiting.extract(m_waiting.begin());
        transaction.writes.push_back({next.key(), next.mapped().encode(), 0});
        reports.insert(std::move(next));
    }
    m_store.transact(transaction,
                     [this, reports, epoch = m_epoch](const kv_transaction_result &result) {
                         if (epoch == m_epoch)
                             m_busy = false;
                         // The lease may have been lost.
                         if (result.outcome != kv_outcome::done)
                             m_lease = 0;
                         onWritten(reports, result.outcome);
                     });
}

void report_publisher::onWritten(const report_map &reports, kv_outcome outcome)
{
    // A report that was published again meanwhile replaces this one.
    if (outcome != kv_outcome::done)
        m_waiting.insert(reports.begin(), reports.end());
    for (const auto &written : reports)
        written.second.onWritten(outcome);
    if (outcome == kv_outcome::done)
        flush();
}

void report_publisher::fail(kv_outcome outcome)
{
    m_busy = false;
    const report_map waiting = m_waiting;
    for (const auto &entry : waiting)
        entry.second.onWritten(outcome);
}

} // namespace goldcrestdeck
