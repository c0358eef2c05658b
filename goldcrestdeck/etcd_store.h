#ifndef GOLDCRESTDECK_ETCD_STORE_H_
#define GOLDCRESTDECK_ETCD_STORE_H_

/// \file
/// A kv_store implemented with the etcd v3 JSON API (/v3/kv/range and /v3/kv/txn).

#include <chrono>
#include <memory>
#include <string>

#include "goldcrestdeck/http_client.h"
#include "goldcrestdeck/kv_store.h"

namespace goldcrestdeck {

/// \a endpoint is "http://ip:port". Each call takes at most \a timeout.
kv_store etcdStore(std::shared_ptr<http_client> client, const std::string &endpoint,
                   std::chrono::milliseconds timeout);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ETCD_STORE_H_
