#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

/// \file
/// A stand-in for the key-value store of the users' platform: items with revisions, range reads, a
/// change feed, leases and transactions over HTTP. It injects the faults that users of the
/// platform have published.

#include <deque>
#include <map>
#include <string>

#include "standins/raw_server.h"

namespace standins {

/// Injected faults.
struct store_faults {
    bool silent = false;                ///< Reads requests and never responds.
    bool reset = false;                 ///< Resets connections.
    bool busy = false;                  ///< Responds with 503 without executing the request.
    bool loseWrites = false;            ///< Executes POST requests but never responds.
    std::chrono::milliseconds delay{0}; ///< Before each response.
    std::size_t bytesPerSecond = 0;     ///< Rate of each connection; 0 means no limit.
};

class platform_store
{
public:
    platform_store(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address);

    boost::asio::ip::tcp::endpoint address() const { return m_server.address(); }
    /// Writes an item directly, as an operator or an instance would through the API.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// \returns the value of \a key, or an empty string if there is none.
    std::string value(const std::string &key) const;
    /// Expires all leases and removes the keys attached to them.
    void expireAllLeases();
    /// Compacts the change feed up to the current revision: a watch from an earlier revision gets
    /// status 410.
    void compact() { m_contents.compactedRevision = m_contents.revision; }
    /// Keeps a copy of all items and leases, from which restoreCopy() returns: later changes are
    /// lost, and their revisions and lease identifiers are given out again.
    void takeCopy();
    void restoreCopy();
    void setFaults(const store_faults &faults) { m_faults = faults; }
    std::size_t requestCount() const { return m_requestCount; }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct change {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct response {
        unsigned status = 200;
        std::string body;
    };

    void handle(const goldcrestdeck::http1_request &request,
                const std::shared_ptr<raw_connection> &connection);
    response range(const std::map<std::string, std::string> &query) const;
    response watch(const std::map<std::string, std::string> &query) const;
    response transact(const std::string &body);
    response grantLease(const std::string &body);
    response renewLease(const std::string &target);
    void removeKeysOfLease(std::uint64_t lease);
    void expireLeases();

    struct lease {
        std::chrono::milliseconds lifetime{0};
        std::chrono::steady_clock::time_point expiresAt;
    };

    /// What a copy holds.
    struct contents {
        std::map<std::string, item> items;
        std::map<std::uint64_t, lease> leases;
        std::deque<change> changes;
        std::uint64_t revision = 1;
        std::uint64_t compactedRevision = 0;
        std::uint64_t lastLease = 0;
    };

    contents m_contents;
    contents m_copy;
    std::uint64_t m_era = 1;
    store_faults m_faults;
    std::size_t m_requestCount = 0;
    raw_server m_server;
};

} // namespace standins

#endif // STANDINS_PLATFORM_STORE_H_
