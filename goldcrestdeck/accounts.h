#ifndef GOLDCRESTDECK_ACCOUNTS_H_
#define GOLDCRESTDECK_ACCOUNTS_H_

/// \file
/// Billing and refusal records, from the host that creates them to the key-value service.
///
/// A host's journal collects records into numbered batches. Each batch is replicated to other hosts
/// before the last bytes of the responses to its requests are sent, and is later written to the
/// account by a host that holds it. The account records which batches of each source it contains,
/// so a batch counts once however often, and by whichever host, it is written, even after a lost
/// reply.
///
/// The account is a chain of pages in the key-value service. A full page is sealed and its
/// successor starts with the same totals; refusals are not carried over.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

struct bill_key {
    std::string workspace;
    std::string version;
};

bool operator<(const bill_key &a, const bill_key &b);
bool operator==(const bill_key &a, const bill_key &b);

struct bill_sum {
    std::uint64_t requests = 0;
    std::uint64_t costMicros = 0;
};

bool operator==(const bill_sum &a, const bill_sum &b);

using bill_sums = std::map<bill_key, bill_sum>;

struct refusal_record {
    wall_time when;
    std::string workspace; ///< "-" if the client was not identified.
    std::string requestId;
    std::string code;
    execution_state run = execution_state::no;
};

bool operator==(const refusal_record &a, const refusal_record &b);

/// Identifies a batch: the process that created it and its sequence number there, from 1.
struct batch_id {
    std::string source;
    std::uint64_t sequence = 0;
};

bool operator<(const batch_id &a, const batch_id &b);
bool operator==(const batch_id &a, const batch_id &b);

struct account_batch {
    batch_id id;
    bill_sums bills;
    std::vector<refusal_record> refusals;
};

bool operator==(const account_batch &a, const account_batch &b);

std::size_t recordCount(const account_batch &batch);

/// The sequence numbers of a source that have been applied: all up to floor, and those in above.
struct applied_set {
    std::uint64_t floor = 0;
    std::set<std::uint64_t> above;

    bool contains(std::uint64_t sequence) const;
    void add(std::uint64_t sequence);
};

bool operator==(const applied_set &a, const applied_set &b);

struct account_page {
    std::uint64_t number = 0;
    bool sealed = false;
    bill_sums totals;
    std::map<std::string, applied_set> applied;
    std::vector<refusal_record> refusals;
};

bool operator==(const account_page &a, const account_page &b);

/// Applies \a batch to \a page. \returns false if the page already contains it.
bool applyBatch(account_page &page, const account_batch &batch);

/// Returns the page that follows a sealed one: with its totals and applied batches, without its
/// refusals.
account_page successor(const account_page &page);

std::string encode(const account_page &page);
/// \throws json_error
void decode(const std::string &text, account_page &page);
std::string encodeBatch(const account_batch &batch);
/// \throws json_error
account_batch decodeBatch(const std::string &text);

struct journal_limits {
    std::size_t maxUnwrittenRecords = 500'000; ///< In memory while the service is unavailable.
};

/// This host's records that are not yet known to be in the account.
class journal
{
public:
    journal(std::string source, journal_limits limits);

    void addBill(const bill_key &key, std::uint64_t costMicros);
    void addRefusal(const refusal_record &record);

    bool hasOpenRecords() const { return !m_open.bills.empty() || !m_open.refusals.empty(); }
    std::size_t openRecordCount() const { return recordCount(m_open); }
    /// Closes the open batch. \returns the batch; it stays in unwritten() until removeWritten().
    account_batch closeBatch();
    /// The sequence number of the open batch.
    std::uint64_t openSequence() const { return m_open.id.sequence; }

    const std::map<std::uint64_t, account_batch> &unwritten() const { return m_unwritten; }
    /// Removes this host's batches that the account contains.
    void removeWritten(const applied_set &applied);

    /// Whether another record may be added. If not, requests are no longer admitted, since records
    /// are never dropped.
    bool hasRoom() const { return m_records < m_limits.maxUnwrittenRecords; }

private:
    std::string m_source;
    journal_limits m_limits;
    account_batch m_open;
    std::map<std::uint64_t, account_batch> m_unwritten;
    std::size_t m_records = 0;
};

/// Batches kept for other hosts until they are in the account.
class batch_store
{
public:
    explicit batch_store(std::size_t maxRecords);

    /// Keeps \a batch, to be written from \a due on. \returns false and keeps nothing when full.
    bool hold(const account_batch &batch, time_point due);
    /// The batches that are due for writing.
    std::vector<account_batch> due(time_point now) const;
    void removeWritten(const std::map<std::string, applied_set> &applied);
    std::size_t size() const { return m_batches.size(); }

private:
    struct held_batch {
        account_batch batch;
        time_point due;
    };

    std::size_t m_maxRecords;
    std::size_t m_records = 0;
    std::map<batch_id, held_batch> m_batches;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ACCOUNTS_H_
