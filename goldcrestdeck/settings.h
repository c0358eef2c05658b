#ifndef GOLDCRESTDECK_SETTINGS_H_
#define GOLDCRESTDECK_SETTINGS_H_

/// \file
/// The settings of one host, read from an INI file. Every key is validated: an unknown, missing or
/// malformed key throws a settings_error that names the file, the key and the expected value.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "goldcrestdeck/errors.h"

namespace goldcrestdeck {

struct settings {
    // [host]
    std::string name;
    std::string failureDomain;
    std::string httpAddress;           ///< "ip:port" for clients and operators.
    std::string peerAddress;           ///< "ip:port" for other hosts.
    std::string advertisedPeerAddress; ///< Address other hosts connect to, if different.
    std::vector<std::string> seeds;    ///< Peer addresses used until the configuration is known.
    // [platform]
    std::string keyValueUrl;
    std::string hostListUrl;
    std::string ratingUrl;
    std::chrono::milliseconds keyValueTimeout{800};
    // [sessions]
    std::vector<std::string> sessionKeys; ///< Signing secrets, newest first.
    // [operators]
    std::string operatorTokenSha256;
    // [limits]
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxRequestsInProgress = 600;
    std::size_t maxUnwrittenRecords = 200'000;
    std::size_t maxHeldRecords = 400'000;
    std::chrono::milliseconds requestDeadline{60'000};
    // [policy]
    double ratingShare = 0.2; ///< Fraction of responses sent to the rating service.
    // [stopping]
    std::chrono::milliseconds balancerLag{3000}; ///< How long requests still arrive after SIGTERM.
    // [trace]
    std::string traceFile;
};

/// \throws settings_error
settings loadSettings(const std::string &path);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_SETTINGS_H_
