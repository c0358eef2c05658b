#include "goldcrestdeck/endpoint.h"

#include <charconv>

#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const char *digits = colon == std::string::npos ? end : address.data() + colon + 1;
    const auto parsed = std::from_chars(digits, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        throw peer_error("invalid address (expected ip:port): '" + address + "'");
    return {ip, port};
}

} // namespace goldcrestdeck
