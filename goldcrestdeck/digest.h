#ifndef GOLDCRESTDECK_DIGEST_H_
#define GOLDCRESTDECK_DIGEST_H_

/// \file
/// Hashes, encodings and random identifiers, based on GnuTLS and xxHash.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestdeck {

/// SHA-256 in lower-case hexadecimal, 64 characters.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA-256 in lower-case hexadecimal, 64 characters.
std::string hmacHex(std::string_view key, std::string_view data);

/// \returns whether two strings are equal, in time that depends only on their lengths.
bool equalConstantTime(std::string_view a, std::string_view b);

std::string base64Encode(std::string_view data);

/// \throws std::invalid_argument if \a text is not base64.
std::string base64Decode(const std::string &text);

/// \returns \a bytes random bytes in hexadecimal, from the cryptographic generator of GnuTLS.
std::string randomHex(std::size_t bytes);

/// A fast non-cryptographic hash with the same result on every host.
std::uint64_t stableHash(std::string_view data);

/// \returns the first \a count of \a candidates by rendezvous hashing for \a subject, best first.
/// Every host with the same candidates gets the same result, and the removal of a candidate
/// reassigns only the subjects that were assigned to it.
std::vector<std::string> rendezvousTop(std::string_view subject,
                                       const std::vector<std::string> &candidates,
                                       std::size_t count);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_DIGEST_H_
