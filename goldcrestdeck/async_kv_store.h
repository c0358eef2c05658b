#ifndef GOLDCRESTDECK_ASYNC_KV_STORE_H_
#define GOLDCRESTDECK_ASYNC_KV_STORE_H_

/// \file
/// A key-value service with ranges, a change feed and transactions, called without blocking.
///
/// A struct of functions, so that the binding to a published protocol is one place and a test puts
/// in its own. Every call reports once, on the thread of its event loop; each has a time-out.

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
    std::uint64_t revision = 0; ///< Of its last change.
};

enum class kv_outcome {
    done,
    conflict,  ///< A transaction's condition did not hold; nothing was done.
    compacted, ///< The changes asked for are no longer known: read the items anew.
    refused,   ///< Not done: over the rate, or the service is not available.
    unknown    ///< No answer: a transaction may have been done, or may be done later.
};

const char *toString(kv_outcome outcome);

struct kv_page {
    kv_outcome outcome = kv_outcome::unknown;
    std::vector<kv_item> items;
    bool hasMore = false;       ///< Go on behind the last key.
    std::uint64_t revision = 0; ///< Of the service.
};

struct kv_change {
    kv_item item;
    bool deleted = false;
};

struct kv_changes {
    kv_outcome outcome = kv_outcome::unknown;
    std::vector<kv_change> changes;
    std::uint64_t revision = 0; ///< Ask for what comes after it next.
};

struct kv_condition {
    std::string key;
    std::uint64_t revision = 0; ///< 0: the key does not exist.
};

/// All of it is done, or nothing.
struct kv_transaction {
    std::vector<kv_condition> conditions;
    std::vector<kv_item> writes; ///< Their revisions are not used.
    std::uint64_t lease = 0;     ///< Under which they stand; 0: they stay.
};

struct kv_transaction_result {
    kv_outcome outcome = kv_outcome::unknown;
    std::uint64_t revision = 0;
};

struct async_kv_store {
    std::function<void(const std::string &prefix, const std::string &after,
                       std::function<void(kv_page)>)>
        range;
    /// Changes of keys with \a prefix behind revision \a after; waits up to \a wait for the first.
    std::function<void(const std::string &prefix, std::uint64_t after,
                       std::chrono::milliseconds wait, std::function<void(kv_changes)>)>
        changes;
    std::function<void(const kv_transaction &, std::function<void(kv_transaction_result)>)>
        transact;
    /// A lease ends \a lifetime after it was last renewed, and with it the keys that stand under
    /// it. Reports its number, or 0 if none was granted.
    std::function<void(std::chrono::milliseconds lifetime, std::function<void(std::uint64_t)>)>
        grantLease;
    /// Reports conflict if the lease has ended.
    std::function<void(std::uint64_t lease, std::function<void(kv_outcome)>)> renewLease;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ASYNC_KV_STORE_H_
