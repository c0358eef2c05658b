// A cost in tokens rather than in time: every host learns token counts from the requests, while the
// speed at which an instance reads them differs by its hardware and need not be known to compare.

#include "goldcrestdeck/placement.h"

#include <xxhash.h>

namespace goldcrestdeck {

namespace {

/// Hash of the first \a count parts for a model.
std::uint64_t leadingHash(std::uint64_t before, const prompt_part &part)
{
    return XXH3_64bits_withSeed(part.id.data(), part.id.size(), before);
}

std::uint64_t modelHash(const std::string &model)
{
    return XXH3_64bits(model.data(), model.size());
}

} // namespace

double placementCost(const placement_option &option, const placement_parameters &parameters)
{
    double cost
        = (option.unreadTokens + option.missingTokens + option.load * parameters.tokensPerRequest)
        * option.slowness;
    // Beyond its slots an instance queues: the wait grows with the excess.
    if (option.inFlight >= option.slots)
        cost += (option.inFlight + 1 - option.slots) * parameters.tokensPerRequest * 10;
    if (!option.sameDomain)
        cost += parameters.otherDomainTokens;
    if (option.refusedLately)
        cost += parameters.refusalTokens;
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

std::uint64_t rendezvousRank(std::uint64_t key, const std::string &instance)
{
    return XXH3_64bits_withSeed(instance.data(), instance.size(), key);
}

prompt_memory::prompt_memory(std::chrono::milliseconds lifetime)
    : m_lifetime(lifetime)
{ }

double prompt_memory::cachedTokens(const std::vector<prompt_part> &prompt, const std::string &model,
                                   const std::string &incarnation, time_point now) const
{
    std::uint64_t hash = modelHash(model);
    double cached = 0;
    for (const prompt_part &part : prompt) {
        hash = leadingHash(hash, part);
        const auto sent = m_sent.find(hash);
        if (sent == m_sent.end())
            break;
        const auto at = sent->second.find(incarnation);
        if (at == sent->second.end() || now - at->second > m_lifetime)
            break;
        cached += static_cast<double>(part.tokens);
    }
    return cached;
}

void prompt_memory::noteSent(const std::vector<prompt_part> &prompt, const std::string &model,
                             const std::string &incarnation, time_point now)
{
    std::uint64_t hash = modelHash(model);
    for (const prompt_part &part : prompt) {
        hash = leadingHash(hash, part);
        m_sent[hash][incarnation] = now;
    }
}

void prompt_memory::expire(time_point now)
{
    for (auto i = m_sent.begin(); i != m_sent.end();) {
        for (auto at = i->second.begin(); at != i->second.end();)
            at = now - at->second > m_lifetime ? i->second.erase(at) : std::next(at);
        i = i->second.empty() ? m_sent.erase(i) : std::next(i);
    }
}

std::uint64_t sharedPromptHash(const std::vector<prompt_part> &prompt, const std::string &model)
{
    std::uint64_t hash = modelHash(model);
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i)
        hash = leadingHash(hash, prompt[i]);
    return hash;
}

} // namespace goldcrestdeck
