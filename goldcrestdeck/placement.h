#ifndef GOLDCRESTDECK_PLACEMENT_H_
#define GOLDCRESTDECK_PLACEMENT_H_

/// \file
/// Which instance of a service gets a request.
///
/// place() takes what this host knows of each instance and returns the one at which the request is
/// expected to begin soonest: tokens still to be read there, requests in flight, parts of the
/// prompt that the instance should have cached, and a small charge for another failure domain. It
/// answers load that is uneven in place, and prompts that share parts. Pure, but for prompt_memory,
/// which remembers where parts were sent.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/wire_format.h"

namespace goldcrestdeck {

/// What is known of one instance when a request is to be placed.
struct placement_option {
    std::string incarnation;
    double inFlight = 0; ///< Requests that this host has there.
    double load = 0;     ///< The same, each weighed by its model's cost.
    double slots = 1;    ///< Requests that it works on at once.
    /// Of prompts that this host sent there and that have not begun, weighed by their models' cost.
    double unreadTokens = 0;
    /// Of this prompt, that it should have to read, weighed by its model's cost.
    double missingTokens = 0;
    double slowness = 1; ///< Time to begin lately, beside other instances' for like requests.
    bool sameDomain = false;
    bool refusedLately = false; ///< It turned a request away in the last moments.
};

struct placement_parameters {
    /// What a request in flight delays another by, in tokens that could be read meanwhile.
    double tokensPerRequest = 400;
    double otherDomainTokens = 300;
    /// Charge for a full instance, in tokens; above any difference in what is cached.
    double refusalTokens = 1e6;
};

/// Expected wait at an option, in tokens.
double placementCost(const placement_option &option, const placement_parameters &parameters);

/// \returns an index into \a options, which must not be empty. Ties go to the option that ranks
/// first for \a affinity, the same on all hosts.
std::size_t place(const std::vector<placement_option> &options, std::uint64_t affinity,
                  const placement_parameters &parameters);

/// Rendezvous rank of an instance for a key; the highest wins.
std::uint64_t rendezvousRank(std::uint64_t key, const std::string &instance);

/// Where the leading parts of prompts were sent lately.
class prompt_memory
{
public:
    explicit prompt_memory(std::chrono::milliseconds lifetime);

    /// Tokens of \a prompt, for \a model, that \a incarnation should have cached.
    double cachedTokens(const std::vector<prompt_part> &prompt, const std::string &model,
                        const std::string &incarnation, time_point now) const;
    void noteSent(const std::vector<prompt_part> &prompt, const std::string &model,
                  const std::string &incarnation, time_point now);
    void expire(time_point now);

private:
    std::chrono::milliseconds m_lifetime;
    std::map<std::uint64_t, std::map<std::string, time_point>> m_sent; ///< By hash of the parts.
};

/// Hash of the parts that other requests may share: all but the last.
std::uint64_t sharedPromptHash(const std::vector<prompt_part> &prompt, const std::string &model);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PLACEMENT_H_
