#ifndef GOLDCRESTDECK_ENDPOINT_H_
#define GOLDCRESTDECK_ENDPOINT_H_

/// \file
/// Addresses as they stand in settings and registrations.

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace goldcrestdeck {

/// Splits "ip:port". \throws peer_error
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ENDPOINT_H_
