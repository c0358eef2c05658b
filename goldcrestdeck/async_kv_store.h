#ifndef GOLDCRESTDECK_ASYNC_KV_STORE_H_
#define GOLDCRESTDECK_ASYNC_KV_STORE_H_

/// \file
/// Asynchronous interface to a key-value service with ranges, a change feed and transactions.
///
/// A struct of functions, so that the protocol is implemented in one place and tests can substitute
/// their own functions. Every call has a time-out and invokes its callback exactly once, on the
/// thread of its event loop.

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestdeck {

struct kv_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0; ///< Revision of the last change.
};

enum class kv_outcome {
    done,
    conflict,   ///< A condition of the transaction did not hold; nothing was written.
    compacted,  ///< The requested changes have been compacted: read all items again.
    refused,    ///< Not executed: rate limit exceeded, or service unavailable.
    superseded, ///< The response is of an earlier epoch of the service (store_epoch.h).
    unknown     ///< No response: a transaction may have been executed, or may be later.
};

const char *toString(kv_outcome outcome);

struct kv_page {
    kv_outcome outcome = kv_outcome::unknown;
    std::vector<kv_item> items;
    bool hasMore = false;       ///< Continue after the last key.
    std::uint64_t revision = 0; ///< Revision of the store.
};

struct kv_change {
    kv_item item;
    bool deleted = false;
};

struct kv_changes {
    kv_outcome outcome = kv_outcome::unknown;
    std::vector<kv_change> changes;
    std::uint64_t revision = 0; ///< The next call continues after it.
};

struct kv_condition {
    std::string key;
    std::uint64_t revision = 0; ///< 0: the key does not exist.
};

/// Atomic: all writes take effect, or none.
struct kv_transaction {
    std::vector<kv_condition> conditions;
    std::vector<kv_item> writes; ///< Their revisions are ignored.
    std::uint64_t lease = 0;     ///< Lease of the written keys; 0: the keys do not expire.
};

struct kv_transaction_result {
    kv_outcome outcome = kv_outcome::unknown;
    std::uint64_t revision = 0;
};

struct async_kv_store {
    /// Reports a page of the items with \a prefix whose keys follow \a after, in the order of keys.
    std::function<void(const std::string &prefix, const std::string &after,
                       std::function<void(kv_page)>)>
        range;
    /// Reports changes of keys with \a prefix after revision \a after, waiting up to \a wait for
    /// one.
    std::function<void(const std::string &prefix, std::uint64_t after,
                       std::chrono::milliseconds wait, std::function<void(kv_changes)>)>
        changes;
    std::function<void(const kv_transaction &, std::function<void(kv_transaction_result)>)>
        transact;
    /// A lease expires \a lifetime after its last renewal, which deletes the keys attached to it.
    /// Reports the lease identifier, or 0 if no lease was granted.
    std::function<void(std::chrono::milliseconds lifetime, std::function<void(std::uint64_t)>)>
        grantLease;
    /// Reports conflict if the lease has expired.
    std::function<void(std::uint64_t lease, std::function<void(kv_outcome)>)> renewLease;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ASYNC_KV_STORE_H_
