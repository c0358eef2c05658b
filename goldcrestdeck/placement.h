#ifndef GOLDCRESTDECK_PLACEMENT_H_
#define GOLDCRESTDECK_PLACEMENT_H_

/// \file
/// Selection of the instance of a service that a request is sent to.
///
/// place() estimates, from this host's view of each instance, where the response will begin
/// soonest. The cost counts pending prompt tokens, requests in flight, the part of the prompt that
/// the instance has to process because it is not in its cache, and a small penalty for another
/// failure domain. This handles uneven load between instances and prompts with common prefixes.
/// The functions are pure; prompt_prefix_index holds the only state: where prompt prefixes were
/// sent.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/wire_format.h"

namespace goldcrestdeck {

/// This host's view of one instance when a request is placed.
struct placement_option {
    std::string incarnation;
    double inFlight = 0; ///< Requests from this host.
    double load = 0;     ///< Requests from this host, weighted by model cost.
    double slots = 1;    ///< Requests that the instance processes concurrently.
    /// Prompt tokens of this host's requests that have no response yet, weighted by model cost.
    double pendingPromptTokens = 0;
    /// Tokens of this prompt not expected in the instance's cache, weighted by model cost.
    double uncachedTokens = 0;
    double slowness = 1; ///< Recent latency relative to other instances for similar requests.
    /// Fixed part of the latency, in prompt tokens, weighted by model cost.
    double fixedTokens = 0;
    bool overdue = false;  ///< A request of this host waits there much longer than expected.
    bool endsLate = false; ///< The request would end late because of the slowness.
    bool sameDomain = false;
    bool recentlyRefused = false; ///< The instance has recently refused a request.
};

struct placement_parameters {
    /// Delay caused by one request in flight, in prompt tokens processed in that time.
    double tokensPerRequest = 400;
    double otherDomainPenaltyTokens = 300;
    /// Penalty for an instance that is overdue or would end the request late; exceeds the cost of
    /// any usual load.
    double latePenaltyTokens = 1e5;
    /// Penalty for an instance that refused a request; exceeds any difference in cached tokens.
    double refusalPenaltyTokens = 1e6;
};

/// Expected wait at an instance, in prompt tokens.
double placementCost(const placement_option &option, const placement_parameters &parameters);

/// \returns the index of the option with the lowest cost; \a options must not be empty. Ties go to
/// the instance with the highest rendezvous rank for \a affinity, which is the same on all hosts.
std::size_t place(const std::vector<placement_option> &options, std::uint64_t affinity,
                  const placement_parameters &parameters);

/// Rank of an instance for a key in rendezvous hashing; the highest rank wins.
std::uint64_t rendezvousRank(std::uint64_t key, const std::string &incarnation);

/// Tracks which instances recently received which prompt prefixes.
class prompt_prefix_index
{
public:
    explicit prompt_prefix_index(std::chrono::milliseconds lifetime);

    /// Tokens in the longest prefix of \a prompt that \a incarnation is expected to have cached for
    /// \a model.
    double cachedTokens(const std::vector<prompt_segment> &prompt, const std::string &model,
                        const std::string &incarnation, time_point now) const;
    void recordPrompt(const std::vector<prompt_segment> &prompt, const std::string &model,
                      const std::string &incarnation, time_point now);
    void expire(time_point now);

private:
    std::chrono::milliseconds m_lifetime;
    /// Time of the last send, by prefix hash and incarnation.
    std::map<std::uint64_t, std::map<std::string, time_point>> m_lastSends;
};

/// Hash of all segments but the last; other requests may share this prefix.
std::uint64_t sharedPrefixHash(const std::vector<prompt_segment> &prompt, const std::string &model);

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_PLACEMENT_H_
