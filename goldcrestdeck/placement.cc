// Costs are in tokens rather than in time: token counts are known from the requests, while the
// processing speed of an instance depends on its hardware and is not needed for a comparison.

#include "goldcrestdeck/placement.h"

#include <xxhash.h>

namespace goldcrestdeck {

namespace {

/// Extends the hash of a prompt prefix by \a segment.
std::uint64_t extendPrefixHash(std::uint64_t prefixHash, const prompt_segment &segment)
{
    return XXH3_64bits_withSeed(segment.id.data(), segment.id.size(), prefixHash);
}

std::uint64_t modelHash(const std::string &model)
{
    return XXH3_64bits(model.data(), model.size());
}

} // namespace

double placementCost(const placement_option &option, const placement_parameters &parameters)
{
    double cost = (option.pendingPromptTokens + option.uncachedTokens
                   + option.load * parameters.tokensPerRequest)
        * option.slowness;
    // An instance queues requests beyond its slots; the wait grows with the length of the queue.
    if (option.inFlight >= option.slots)
        cost += (option.inFlight + 1 - option.slots) * parameters.tokensPerRequest * 10;
    cost += option.fixedTokens * (option.slowness - 1);
    if (option.overdue)
        cost += parameters.latePenaltyTokens;
    if (option.endsLate)
        cost += parameters.latePenaltyTokens;
    if (!option.sameDomain)
        cost += parameters.otherDomainPenaltyTokens;
    if (option.recentlyRefused)
        cost += parameters.refusalPenaltyTokens;
    return cost;
}

std::size_t place(const std::vector<placement_option> &options, std::uint64_t affinity,
                  const placement_parameters &parameters)
{
    std::size_t best = 0;
    double bestCost = placementCost(options[0], parameters);
    std::uint64_t bestRank = rendezvousRank(affinity, options[0].incarnation);
    for (std::size_t i = 1; i < options.size(); ++i) {
        const double cost = placementCost(options[i], parameters);
        const std::uint64_t rank = rendezvousRank(affinity, options[i].incarnation);
        if (cost < bestCost || (cost == bestCost && rank > bestRank)) {
            best = i;
            bestCost = cost;
            bestRank = rank;
        }
    }
    return best;
}

std::uint64_t rendezvousRank(std::uint64_t key, const std::string &incarnation)
{
    return XXH3_64bits_withSeed(incarnation.data(), incarnation.size(), key);
}

prompt_prefix_index::prompt_prefix_index(std::chrono::milliseconds lifetime)
    : m_lifetime(lifetime)
{ }

double prompt_prefix_index::cachedTokens(const std::vector<prompt_segment> &prompt,
                                         const std::string &model, const std::string &incarnation,
                                         time_point now) const
{
    std::uint64_t hash = modelHash(model);
    double cached = 0;
    for (const prompt_segment &segment : prompt) {
        hash = extendPrefixHash(hash, segment);
        const auto sent = m_lastSends.find(hash);
        if (sent == m_lastSends.end())
            break;
        const auto sentAt = sent->second.find(incarnation);
        if (sentAt == sent->second.end() || now - sentAt->second > m_lifetime)
            break;
        cached += static_cast<double>(segment.tokens);
    }
    return cached;
}

void prompt_prefix_index::recordPrompt(const std::vector<prompt_segment> &prompt,
                                       const std::string &model, const std::string &incarnation,
                                       time_point now)
{
    std::uint64_t hash = modelHash(model);
    for (const prompt_segment &segment : prompt) {
        hash = extendPrefixHash(hash, segment);
        m_lastSends[hash][incarnation] = now;
    }
}

void prompt_prefix_index::expire(time_point now)
{
    for (auto i = m_lastSends.begin(); i != m_lastSends.end();) {
        for (auto at = i->second.begin(); at != i->second.end();)
            at = now - at->second > m_lifetime ? i->second.erase(at) : std::next(at);
        i = i->second.empty() ? m_lastSends.erase(i) : std::next(i);
    }
}

std::uint64_t sharedPrefixHash(const std::vector<prompt_segment> &prompt, const std::string &model)
{
    std::uint64_t hash = modelHash(model);
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        hash = extendPrefixHash(hash, prompt[i]);
    return hash;
}

} // namespace goldcrestdeck
