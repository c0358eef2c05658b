#ifndef GOLDCRESTDECK_REPORT_PUBLISHER_H_
#define GOLDCRESTDECK_REPORT_PUBLISHER_H_

/// \file
/// Writes what this host reports to the other hosts into the key-value service.
///
/// A report is a key that expires some minutes after it was last written. publish() replaces a
/// report with the same key that is not written yet, so only the latest is written. All reports of
/// a host share one lease, and those that wait are written in one transaction. The time between two
/// transactions grows with the fleet, so that all hosts together stay below a fixed rate however
/// many there are. A call that fails is repeated; flush() is to be called regularly. All on the
/// control thread.

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "goldcrestdeck/async_kv_store.h"
#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct report_parameters {
    /// Lifetime of the lease; the service's longest.
    std::chrono::milliseconds lifetime{600'000};
    /// A lease that was granted or renewed longer ago is renewed before the next write.
    std::chrono::milliseconds renewalAge{60'000};
    /// Transactions that all hosts together may send in a second.
    double fleetWritesPerSecond = 100;
    /// Reports in one transaction; the service accepts 32 writes.
    std::size_t maxWrites = 32;
};

class report_publisher
{
public:
    /// Encodes the report when it is written.
    using encoder = std::function<std::string()>;
    using written_handler = std::function<void(kv_outcome)>;

    report_publisher(async_kv_store store, const clock &time, report_parameters parameters);

    /// Number of hosts among which the rate of writes is divided.
    void setFleetSize(std::size_t hosts) { m_fleetSize = hosts; }
    /// Writes the report \a key as soon as the rate allows. \a onWritten gets the outcome of each
    /// attempt, also of those that failed and will be repeated.
    void publish(const std::string &key, encoder encode, written_handler onWritten);
    /// Drops the report \a key if it is not written yet.
    void withdraw(const std::string &key) { m_waiting.erase(key); }
    /// Writes what waits, if the rate allows and no call is in progress.
    void flush();
    /// The service has lost its leases: the next write acquires a new one.
    void handleRestoredStore();
    void stop() { m_stopped = true; }

private:
    struct report {
        encoder encode;
        written_handler onWritten;
    };
    using report_map = std::map<std::string, report>;

    void acquireLease();
    void onLease(std::uint64_t lease);
    void write();
    void onWritten(const report_map &reports, kv_outcome outcome);
    void fail(kv_outcome outcome);

    async_kv_store m_store;
    const clock &m_clock;
    report_parameters m_parameters;
    std::size_t m_fleetSize = 1;
    report_map m_waiting;
    std::uint64_t m_lease = 0; ///< 0: there is none.
    time_point m_leaseRenewedAt;
    time_point m_nextWriteAt;
    unsigned m_epoch = 0; ///< Replies to calls made before handleRestoredStore() are ignored.
    bool m_busy = false;
    bool m_stopped = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_REPORT_PUBLISHER_H_
