#ifndef STANDINS_PLATFORM_STORE_H_
#define STANDINS_PLATFORM_STORE_H_

/// \file
/// A stand-in for the users' platform store: items with revisions, ranges, a feed of changes and
/// transactions over HTTP, with the faults that its users publish.

#include <deque>
#include <map>
#include <string>

#include "standins/raw_server.h"

namespace standins {

/// How the store misbehaves from now on.
struct store_faults {
    bool silent = false;                ///< Takes requests and never answers.
    bool reset = false;                 ///< Resets connections.
    bool busy = false;                  ///< Answers 503; nothing is done.
    bool loseWrites = false;            ///< Transactions are done and not answered.
    std::chrono::milliseconds delay{0}; ///< Before each answer.
};

class platform_store
{
public:
    platform_store(boost::asio::io_context &io, const boost::asio::ip::tcp::endpoint &address);

    boost::asio::ip::tcp::endpoint address() const { return m_server.address(); }
    /// What the operator and the instances write.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// The value of a key, or empty.
    std::string value(const std::string &key) const;
    /// Ends all leases, and removes what stands under them.
    void endLeases();
    /// Forgets all changes so far.
    void compact() { m_compacted = m_revision; }
    void setFaults(const store_faults &faults) { m_faults = faults; }
    std::size_t calls() const { return m_calls; }

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
    struct reply {
        unsigned status = 200;
        std::string body;
    };

    void handle(const goldcrestdeck::http1_request &request,
                const std::shared_ptr<raw_connection> &connection);
    reply range(const std::map<std::string, std::string> &query) const;
    reply watch(const std::map<std::string, std::string> &query) const;
    reply transact(const std::string &body);
    reply grant(const std::string &body);
    reply renew(const std::string &target);
    void removeUnder(std::uint64_t lease);
    void expireLeases();

    struct lease {
        std::chrono::milliseconds lifetime{0};
        std::chrono::steady_clock::time_point ends;
    };

    std::map<std::string, item> m_items;
    std::map<std::uint64_t, lease> m_leases;
    std::deque<change> m_changes;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compacted = 0;
    std::uint64_t m_lastLease = 0;
    store_faults m_faults;
    std::size_t m_calls = 0;
    raw_server m_server;
};

} // namespace standins

#endif // STANDINS_PLATFORM_STORE_H_
