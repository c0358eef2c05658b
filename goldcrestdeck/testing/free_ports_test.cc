// Hosts of a process_cluster listen on loopback addresses of their own. A port that is free on
// 127.0.0.1 may be in use there, e.g. by a connection of an earlier test that is still in
// TIME_WAIT; the host then exits at once.

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <set>

#include "goldcrestdeck/testing/process_cluster.h"

namespace goldcrestdeck {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t socketCount
    = 2000; ///< Large enough that a careless choice meets one of them.

TEST(free_ports, port_in_use_on_another_loopback_address_is_not_returned)
{
    boost::asio::io_context context;
    const tcp::endpoint address(boost::asio::ip::make_address("127.0.1.1"), 0);
    std::vector<tcp::socket> sockets;
    std::set<int> used;
    for (std::size_t i = 0; i < socketCount; ++i) {
        sockets.emplace_back(context, address);
        used.insert(sockets.back().local_endpoint().port());
    }
    const std::vector<int> ports = freePorts(socketCount);
    EXPECT_TRUE(
        std::none_of(ports.begin(), ports.end(), [&](int port) { return used.count(port) > 0; }));
}

} // namespace
} // namespace goldcrestdeck
