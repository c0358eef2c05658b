#include "goldcrestdeck/endpoint.h"

#include <cstdlib>

#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    int port = 0;
    if (colon != std::string::npos)
        port = std::atoi(address.c_str() + colon + 1);
    if (error || port <= 0 || port > UINT16_MAX)
        throw peer_error("invalid address (expected ip:port): '" + address + "'");
    return {ip, static_cast<std::uint16_t>(port)};
}

} // namespace goldcrestdeck
