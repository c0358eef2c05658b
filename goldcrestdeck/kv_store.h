#ifndef GOLDCRESTDECK_KV_STORE_H_
#define GOLDCRESTDECK_KV_STORE_H_

/// \file
/// The subset of the platform's key-value service that this system uses.
///
/// A struct of functions, so that only one file (etcd_store) depends on the protocol and tests can
/// substitute their own functions. Every function may block, and throws platform_error if the
/// service does not respond.

#include <functional>
#include <optional>
#include <string>

#include "goldcrestdeck/config.h"

namespace goldcrestdeck {

struct kv_value {
    std::string value;
    revision_number revision = 0;
};

/// The largest value that the service accepts.
constexpr std::size_t maxValueBytes = 1'000'000;

struct kv_store {
    /// \returns the value of a key, or nothing if the key does not exist.
    std::function<std::optional<kv_value>(const std::string &key)> get;

    /// \returns the revision of the last write of a key, or 0 if the key does not exist. The value
    /// is not transferred, to keep the response small.
    std::function<revision_number(const std::string &key)> revisionOf;

    /// Writes if the revision of the key is \a expected (0: the key does not exist). \returns the
    /// new revision, or nothing if the key has another one. After platform_error the write may have
    /// taken effect: read the key again.
    std::function<std::optional<revision_number>(const std::string &key, revision_number expected,
                                                 const std::string &value)>
        compareAndSwap;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_KV_STORE_H_
