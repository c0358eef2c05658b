// Closable connections and the shares of addresses are kept in order, so that the one to be closed
// is found without a scan.

#include "goldcrestdeck/client_memory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace goldcrestdeck {

namespace {

constexpr std::size_t pageBytes = 4096;

/// Memory and descriptors assumed if the settings name none: those of the hosts in the middle
/// range.
constexpr std::size_t defaultMemoryBytes = 256UL * 1024 * 1024;
constexpr std::size_t defaultDescriptors = 8192;

/// Parts of the memory of the process. The rest is for responses, the configuration and other
/// state, and for buffers that take up more than what they contain.
constexpr std::size_t trafficMemoryPercent = 30;
constexpr std::size_t controlMemoryPercent = 4;
constexpr std::size_t peerMemoryPercent = 4;
/// Two peer messages of the largest size fit into it, also on the smallest hosts.
constexpr std::size_t minPeerBytes = 9UL * 1024 * 1024;
constexpr std::size_t minControlBytes = 2UL * 1024 * 1024;
/// Of a total, beyond which reading pauses.
constexpr std::size_t pausePercent = 75;

/// Parts of the descriptors. The rest is for connections to instances, other hosts and the store.
constexpr std::size_t trafficConnectionsPercent = 50;
constexpr std::size_t controlConnectionsPercent = 5;
constexpr std::size_t peerConnectionsPercent = 10;

client_memory_limits limitsOf(std::size_t bytes, std::size_t connections)
{
    return {bytes, bytes / 100 * pausePercent, std::max<std::size_t>(connections, 1)};
}

} // namespace

const char *toString(close_reason reason)
{
    return reason == close_reason::memory ? "memory" : "connections";
}

host_client_limits clientLimitsFor(std::size_t memoryBytes, std::size_t maxDescriptors)
{
    const std::size_t memory = memoryBytes > 0 ? memoryBytes : defaultMemoryBytes;
    const std::size_t descriptors = maxDescriptors > 0 ? maxDescriptors : defaultDescriptors;
    return {limitsOf(memory / 100 * trafficMemoryPercent,
                     descriptors * trafficConnectionsPercent / 100),
            limitsOf(std::max(minControlBytes, memory / 100 * controlMemoryPercent),
                     descriptors * controlConnectionsPercent / 100),
            limitsOf(std::max(minPeerBytes, memory / 100 * peerMemoryPercent),
                     descriptors * peerConnectionsPercent / 100)};
}

bool client_memory::by_bytes::operator<(const by_bytes &other) const
{
    if (bytes != other.bytes)
        return bytes > other.bytes;
    return closableSince < other.closableSince;
}

bool client_memory::address_share::operator<(const address_share &other) const
{
    return std::tie(bytesBeyondAllowance, bytes, address)
        < std::tie(other.bytesBeyondAllowance, other.bytes, other.address);
}

client_memory::client_memory(const client_memory_limits &limits, close_observer onClose)
    : m_limits(limits)
    , m_onClose(std::move(onClose))
{ }

void client_memory::enforce()
{
    while (m_entries.size() > m_limits.maxConnections) {
        const auto victim = oldestOfLargestAddress();
        if (!victim)
            break;
        close(*victim, close_reason::connections);
    }
    while (isOver()) {
        const auto victim = largestOfLargestShare();
        if (!victim)
            break;
        close(*victim, close_reason::memory);
    }
}

client_memory::connection_id client_memory::add(const std::string &address,
                                                std::function<void(close_reason)> close)
{
    const connection_id id = ++m_lastId;
    m_entries[id] = {address, std::move(close)};
    setConnections(address, m_addresses[address].connections + 1);
    return id;
}

void client_memory::remove(connection_id id)
{
    set(id, 0, false);
    const auto found = m_entries.find(id);
    const std::string address = found->second.address;
    m_entries.erase(found);
    setConnections(address, m_addresses[address].connections - 1);
}

void client_memory::set(connection_id id, std::size_t bytes, bool isClosable)
{
    entry &changed = m_entries.at(id);
    const auto found = m_addresses.find(changed.address);
    address_entry &address = found->second;
    if (!address.closable.empty())
        m_shares.erase(shareOf(found->first, address));
    if (changed.closableSince > 0)
        address.closableByBytes.erase({changed.bytes, changed.closableSince, id});
    if (!isClosable && changed.closableSince > 0)
        address.closable.erase(std::exchange(changed.closableSince, 0));
    if (isClosable && changed.closableSince == 0) {
        changed.closableSince = ++m_lastSequence;
        address.closable[changed.closableSince] = id;
    }
    m_total = m_total - changed.bytes + bytes;
    address.bytes = address.bytes - changed.bytes + bytes;
    address.bytesBeyondAllowance
        = address.bytesBeyondAllowance - beyondAllowance(changed.bytes) + beyondAllowance(bytes);
    changed.bytes = bytes;
    if (isClosable)
        address.closableByBytes.insert({bytes, changed.closableSince, id});
    if (!address.closable.empty())
        m_shares.insert(shareOf(found->first, address));
}

void client_memory::setConnections(const std::string &address, std::size_t connections)
{
    address_entry &changed = m_addresses[address];
    m_addressesByConnections.erase({changed.connections, address});
    changed.connections = connections;
    if (connections > 0)
        m_addressesByConnections.insert({connections, address});
    else
        m_addresses.erase(address);
}

std::size_t client_memory::beyondAllowance(std::size_t bytes) const
{
    return bytes - std::min(bytes, m_limits.allowanceBytes);
}

client_memory::address_share client_memory::shareOf(const std::string &name,
                                                    const address_entry &address) const
{
    const bool canFree = beyondAllowance(address.closableByBytes.begin()->bytes) > 0;
    return {canFree ? address.bytesBeyondAllowance : 0, address.bytes, name};
}

std::optional<client_memory::connection_id> client_memory::largestOfLargestShare() const
{
    if (m_shares.empty())
        return std::nullopt;
    const address_entry &address
        = m_addresses.find(std::string(m_shares.rbegin()->address))->second;
    return address.closableByBytes.begin()->id;
}

std::optional<client_memory::connection_id> client_memory::oldestOfLargestAddress() const
{
    // An address of which no connection is closable has only requests that are being processed;
    // they are few.
    for (auto i = m_addressesByConnections.rbegin(); i != m_addressesByConnections.rend(); ++i) {
        const address_entry &address = m_addresses.at(i->second);
        if (!address.closable.empty())
            return address.closable.begin()->second;
    }
    return std::nullopt;
}

void client_memory::close(connection_id id, close_reason reason)
{
    const entry &closed = m_entries.at(id);
    if (m_onClose)
        m_onClose(reason, closed.address, closed.bytes);
    const auto close = closed.close;
    set(id, closed.bytes, false);
    close(reason);
}

held_connection::held_connection(std::shared_ptr<client_memory> memory, const std::string &address,
                                 std::function<void(close_reason)> close)
    : m_memory(std::move(memory))
    , m_id(m_memory->add(address, std::move(close)))
{ }

held_connection::~held_connection()
{
    m_memory->remove(m_id);
}

void held_connection::set(std::size_t bytes, bool isClosable)
{
    const std::size_t rounded = (bytes + pageBytes - 1) / pageBytes * pageBytes;
    if (rounded == m_bytes && isClosable == m_isClosable)
        return;
    m_bytes = rounded;
    m_isClosable = isClosable;
    m_memory->set(m_id, rounded, isClosable);
}

} // namespace goldcrestdeck
