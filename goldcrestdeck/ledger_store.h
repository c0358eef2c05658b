#ifndef GOLDCRESTDECK_LEDGER_STORE_H_
#define GOLDCRESTDECK_LEDGER_STORE_H_

/// \file
/// The operations ledger and the account in the key-value service.
///
/// operation_ledger::append() and claim() may be called by several threads at once; entries that
/// arrive during a write are combined into the next one. An account_store is used by one thread.

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "goldcrestdeck/accounts.h"
#include "goldcrestdeck/operations.h"
#include "goldcrestdeck/page_chain.h"

namespace goldcrestdeck {

struct claim_result {
    claim_verdict verdict = claim_verdict::may_have_run;
    operation_state state;
};

/// One shard of the ledger.
class operation_ledger
{
public:
    operation_ledger(kv_store store, std::string prefix);

    /// Claims an operation for claim.attempt, which must be unique. \throws platform_error if it is
    /// not known whether the claim was written. Its release is then deferred, since nothing is sent
    /// for it.
    claim_result claim(const ledger_entry &claim);

    /// Appends a done or release entry; defers it if the service does not respond.
    void append(const ledger_entry &entry);

    /// Appends the deferred entries. \throws platform_error
    void appendDeferred();

private:
    struct pending_append {
        ledger_entry entry;
        bool finished = false;
        claim_result result;
        std::exception_ptr error;
    };

    void submit(pending_append &request);
    void defer(const ledger_entry &entry);
    void writeBatch(const std::vector<pending_append *> &batch);
    bool tryWrite(const std::vector<pending_append *> &batch, bool isFresh);
    void refresh();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<pending_append *> m_queue;
    bool m_writing = false;
    std::deque<ledger_entry> m_deferred;

    // Accessed only by the thread that has set m_writing.
    page_chain<ledger_page> m_chain;
    ledger_index m_sealedIndex;
};

/// The ledger, sharded by the hash of the operation.
class sharded_ledger
{
public:
    sharded_ledger(const kv_store &store, const std::string &prefix, std::size_t shards);
    operation_ledger &shardOf(const std::string &operation);
    void appendDeferred();

private:
    std::vector<std::unique_ptr<operation_ledger>> m_shards;
};

class account_store
{
public:
    account_store(kv_store store, std::string prefix);

    /// Writes those of \a batches that are not yet in the account. \returns the batches that the
    /// account contains afterwards. The size of a call's write is bounded, so some batches may be
    /// left for the next call. \throws platform_error if the outcome of the write is unknown;
    /// calling again is safe.
    std::map<std::string, applied_set> write(const std::vector<account_batch> &batches);

    /// Reads all refusals and the totals, from the first page on. \throws platform_error
    account_page readAll();

private:
    kv_store m_store;
    std::string m_prefix;
    page_chain<account_page> m_chain;
    bool m_stale = true;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_LEDGER_STORE_H_
