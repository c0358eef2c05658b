#ifndef GOLDCRESTDECK_ENDPOINT_H_
#define GOLDCRESTDECK_ENDPOINT_H_

/// \file
/// Parsing of the addresses in settings and instance registrations.

#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace goldcrestdeck {

/// Parses "ip:port". \throws peer_error if \a address is malformed.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &address);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ENDPOINT_H_
