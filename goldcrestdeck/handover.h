#ifndef GOLDCRESTDECK_HANDOVER_H_
#define GOLDCRESTDECK_HANDOVER_H_

/// \file
/// Handing over of requests between hosts: what a host that reaches no instance tells the one that
/// is to serve a request for it, and the choice of that host.
///
/// A request is handed over as the client sent it, as an HTTP request to the other host's listener
/// for such requests, with the state in fields of its own. The receiver serves it like a client's,
/// but never hands it on, and says in its refusals whether the request may have run.
/// handover_targets chooses the receiver. Performs no I/O.

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "goldcrestdeck/clock.h"
#include "goldcrestdeck/errors.h"
#include "goldcrestdeck/feed_cache.h"
#include "goldcrestdeck/http_message.h"

namespace goldcrestdeck {

/// The state of a request that is handed over.
struct handover_request {
    std::chrono::milliseconds remainingTime{0}; ///< Until its deadline.
    unsigned maxAttempts = 1;                   ///< Instances that may still receive it.
    unsigned deliveries = 0;                    ///< Sends that may have reached an instance.
    bool isCounted = false;                     ///< The sender has counted it for the retry budget.
    std::string service;                        ///< Of the route's services.
    std::size_t modelIndex = 0;                 ///< Of the route's models, to begin with.
    std::optional<std::uint64_t> lastEventId;   ///< Of the stream's events that the client has.
    std::uint64_t configVersion = 0; ///< In force at the sender; the receiver must not be older.
};

bool operator==(const handover_request &a, const handover_request &b);

/// Sets the fields of \a request in \a fields, in place of any that a client sent.
void encodeHandover(const handover_request &request, http_fields &fields);
/// Reads and removes them. \throws request_error if one is missing or malformed.
handover_request takeHandover(http_fields &fields);

/// What the receiver says of a request beyond the response for the client.
struct handover_result {
    unsigned attempts = 0; ///< Instances that may have received the request.
    /// For a refusal by the receiver itself: whether the request has run, and the reason.
    std::optional<execution_state> refusedRun;
    std::string refusalCode;
};

bool operator==(const handover_result &a, const handover_result &b);

void encodeHandoverResult(const handover_result &result, http_fields &fields);
/// Reads and removes the fields; nullopt if one is missing or malformed.
std::optional<handover_result> takeHandoverResult(http_fields &fields);

/// Codes of refusals after which another host may be able to serve the request.
constexpr const char *pathLostCode = "path_lost";
constexpr const char *handoverLimitCode = "handover_limit";
constexpr const char *olderConfigCode = "older_configuration";
constexpr const char *stoppingCode = "stopping";
bool mayOtherHostServe(const std::string &refusalCode);

/// How a hand-over to a host has ended, as far as it concerns the choice of later ones.
enum class handover_end {
    served,     ///< With any final response.
    refused,    ///< The host cannot help now.
    pathLost,   ///< The host has lost its path too.
    unreachable ///< No connection, or it broke.
};

class handover_targets
{
public:
    handover_targets(std::string self, std::uint64_t seed);

    void setHosts(std::shared_ptr<const std::vector<registered_host>> hosts);

    /// \returns the host to hand a request over to: the less loaded of two random ones that have
    /// not failed lately. Hosts of a failure domain in which one has lost its path come last. Never
    /// one of \a tried, and only one of \a allowed if that is not null. nullopt if there is none.
    std::optional<registered_host> choose(const std::set<std::string> &tried, time_point now,
                                          const std::set<std::string> *allowed = nullptr);
    void recordBegin(const std::string &host);
    void recordEnd(const std::string &host, handover_end end, time_point now);

private:
    struct host_state {
        std::size_t inProgress = 0;
        time_point unusableUntil;
    };

    std::string m_self;
    std::mt19937_64 m_random;
    std::shared_ptr<const std::vector<registered_host>> m_hosts;
    std::map<std::string, host_state> m_states;             ///< By host.
    std::map<std::string, time_point> m_domainAvoidedUntil; ///< By failure domain.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_HANDOVER_H_
