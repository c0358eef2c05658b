#ifndef GOLDCRESTDECK_TESTING_TCP_RELAY_H_
#define GOLDCRESTDECK_TESTING_TCP_RELAY_H_

/// \file
/// TCP relay with fault injection: tests use it to partition two endpoints, to add latency or to
/// stall one direction.

#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <boost/asio.hpp>

namespace goldcrestdeck {

/// Faults injected into the connections of a relay. Data received while a direction is stalled is
/// delivered once the stall ends, as TCP retransmission does after a period of packet loss.
struct relay_faults {
    std::chrono::milliseconds delay{0}; ///< Added to each chunk of data, in both directions.
    bool stallToTarget = false;
    bool stallToClient = false;
};

class tcp_relay
{
public:
    /// Listens on 127.0.0.1:\a port and connects to \a address:\a targetPort.
    tcp_relay(int port, const std::string &address, int targetPort);
    ~tcp_relay();
    tcp_relay(const tcp_relay &) = delete;
    tcp_relay &operator=(const tcp_relay &) = delete;

    int port() const { return m_port; }
    /// Starts or ends a partition. A partitioned relay closes all open connections, and each new
    /// one as soon as it has accepted it.
    void setPartitioned(bool partitioned);
    void setFaults(const relay_faults &faults);
    /// Partitions only the connections that come from the IP address \a source.
    void setSourcePartitioned(const std::string &source, bool partitioned);

private:
    class connection;

    void accept();
    bool isPartitioned(const std::string &source);
    relay_faults faults();
    void closePartitionedConnections();

    int m_port;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    bool m_partitioned = false;
    relay_faults m_faults;
    std::set<std::string> m_partitionedSources;
    std::set<std::weak_ptr<connection>, std::owner_less<std::weak_ptr<connection>>> m_connections;
    std::thread m_thread;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_TCP_RELAY_H_
