#ifndef GOLDCRESTDECK_TESTING_TCP_RELAY_H_
#define GOLDCRESTDECK_TESTING_TCP_RELAY_H_

/// \file
/// A link that a test can cut, delay or silence: passes TCP connections on until it is told not to.

#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include <boost/asio.hpp>

namespace goldcrestdeck {

/// How a link behaves. What a silent link takes in is passed on once it is no longer silent, as a
/// network that loses packets for a while does.
struct link_faults {
    std::chrono::milliseconds delay{0}; ///< Of every piece, each way.
    bool silentToTarget = false;
    bool silentToCaller = false;
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
    /// Breaks all connections and takes no new ones.
    void setCut(bool cut);
    void setFaults(const link_faults &faults);
    /// The same for connections from one address.
    void setCutSource(const std::string &address, bool cut);

private:
    class link;

    void accept();
    bool isCut(const std::string &source);
    link_faults faults();
    void breakLinks();

    int m_port;
    boost::asio::ip::tcp::endpoint m_target;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    bool m_cut = false;
    link_faults m_faults;
    std::set<std::string> m_cutSources;
    std::set<std::weak_ptr<link>, std::owner_less<std::weak_ptr<link>>> m_links;
    std::thread m_thread;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TESTING_TCP_RELAY_H_
