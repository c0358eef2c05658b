#ifndef GOLDCRESTDECK_CLIENT_MEMORY_H_
#define GOLDCRESTDECK_CLIENT_MEMORY_H_

/// \file
/// The account of the bytes and connections that clients cause a host to hold, and the decision
/// which connection is closed when they exceed the limits.
///
/// Listeners on one thread share an account. Create a held_connection for each connection, and call
/// set() whenever the number of bytes changes by a page or the connection begins or ends to be
/// closable, i.e. no request of it is being processed. Then call enforce(): beyond the limits it
/// calls the close functions of other connections, or of the same one.
///
/// - Beyond the total of bytes, the address that holds most loses its largest closable connection;
///   of several that hold the same, the one that has been closable for longest. Only the bytes of
///   each connection beyond an allowance count, so that an address with many small connections does
///   not lose them to one with few large ones.
/// - If no closable connection holds more than the allowance, all bytes of an address count.
/// - Beyond the number of connections, the address with the most connections loses the one that has
///   been closable for longest. Below it, an address may have any number, because many clients can
///   share one address.
/// - A connection that is not closable is never closed here, so the total can be exceeded by
///   those: check isOver() before a request begins to be processed.
///
/// No call scans all connections. Performs no I/O. Used by a single thread.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace goldcrestdeck {

struct client_memory_limits {
    std::size_t totalBytes = 80 * 1024 * 1024;
    std::size_t pauseBytes = 60 * 1024 * 1024; ///< Beyond it, reading of bodies pauses.
    std::size_t maxConnections = 4096;
    /// Bytes of each connection that do not count towards the share of its address: those of an
    /// idle connection or a request with a head of usual size.
    std::size_t allowanceBytes = 16 * 1024;
};

/// The limits of the listeners on each thread of a host.
struct host_client_limits {
    client_memory_limits traffic; ///< Clients, and requests that other hosts hand over.
    client_memory_limits control; ///< Readiness and metrics.
    client_memory_limits peers;   ///< Incoming connections of the peer link.
};

/// Derives the limits from the memory and the descriptors of the process; 0: unknown.
host_client_limits clientLimitsFor(std::size_t memoryBytes, std::size_t maxDescriptors);

enum class close_reason { memory, connections };

const char *toString(close_reason reason);

class client_memory
{
public:
    /// Reports a connection that is about to be closed, with the bytes that it holds.
    using close_observer
        = std::function<void(close_reason, const std::string &address, std::size_t bytes)>;

    explicit client_memory(const client_memory_limits &limits, close_observer onClose = {});

    std::size_t total() const { return m_total; }
    std::size_t connections() const { return m_entries.size(); }
    bool isOver() const { return m_total > m_limits.totalBytes; }
    bool shouldPause() const { return m_total > m_limits.pauseBytes; }
    /// Closes connections until the limits are kept or no further one is closable.
    void enforce();

private:
    friend class held_connection;

    using connection_id = std::uint64_t;
    struct entry {
        std::string address;
        std::function<void(close_reason)> close;
        std::size_t bytes = 0;
        std::uint64_t closableSince = 0; ///< A sequence number; 0 if not closable.
    };
    /// Order in which the connections of an address are closed: most bytes first, then closable
    /// for longest.
    struct by_bytes {
        std::size_t bytes;
        std::uint64_t closableSince;
        connection_id id;
        bool operator<(const by_bytes &other) const;
    };
    struct address_entry {
        std::size_t connections = 0;
        std::size_t bytes = 0;
        std::size_t bytesBeyondAllowance = 0;
        std::map<std::uint64_t, connection_id> closable; ///< By the time since when.
        std::set<by_bytes> closableByBytes;
    };
    /// The share of an address that has a closable connection; the largest one loses a connection.
    struct address_share {
        std::size_t bytesBeyondAllowance; ///< 0 if no closable connection has any.
        std::size_t bytes;
        std::string_view address; ///< Refers to the key in m_addresses.
        bool operator<(const address_share &other) const;
    };

    connection_id add(const std::string &address, std::function<void(close_reason)> close);
    void remove(connection_id id);
    void set(connection_id id, std::size_t bytes, bool isClosable);
    void setConnections(const std::string &address, std::size_t connections);
    std::size_t beyondAllowance(std::size_t bytes) const;
    address_share shareOf(const std::string &name, const address_entry &address) const;
    std::optional<connection_id> largestOfLargestShare() const;
    std::optional<connection_id> oldestOfLargestAddress() const;
    void close(connection_id id, close_reason reason);

    client_memory_limits m_limits;
    close_observer m_onClose;
    std::size_t m_total = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastSequence = 0;
    std::map<connection_id, entry> m_entries;
    std::map<std::string, address_entry> m_addresses;
    std::set<address_share> m_shares; ///< Of addresses that have a closable connection.
    std::set<std::pair<std::size_t, std::string>> m_addressesByConnections;
};

/// The entry of one connection. It is removed when this is destroyed.
class held_connection
{
public:
    /// \a close closes the connection or refuses its request; it may call set() and may destroy
    /// this.
    held_connection(std::shared_ptr<client_memory> memory, const std::string &address,
                    std::function<void(close_reason)> close);
    ~held_connection();
    held_connection(const held_connection &) = delete;
    held_connection &operator=(const held_connection &) = delete;

    /// Sets the number of bytes, also beyond the limits; it is rounded up to pages, so that small
    /// changes cost nothing.
    void set(std::size_t bytes, bool isClosable);

private:
    std::shared_ptr<client_memory> m_memory;
    client_memory::connection_id m_id;
    std::size_t m_bytes = 0;
    bool m_isClosable = false;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_CLIENT_MEMORY_H_
