#ifndef GOLDCRESTDECK_TRAFFIC_STATE_H_
#define GOLDCRESTDECK_TRAFFIC_STATE_H_

/// \file
/// What the traffic thread knows and decides: which instance gets a request, whether it may be sent
/// once more, and how instances and versions have done lately.
///
/// No input or output: the forwarder asks, sends, and reports what came of it. One thread.

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "goldcrestdeck/placement.h"
#include "goldcrestdeck/retry_allowance.h"
#include "goldcrestdeck/router_settings.h"
#include "goldcrestdeck/routing_view.h"

namespace goldcrestdeck {

/// What a request asks of choose().
struct placement_request {
    std::string service;
    std::string sessionKey; ///< Of its session, or its own id.
    bool hasSession = false;
    std::string model;
    const std::vector<prompt_part> *prompt = nullptr;
    double promptTokens = 0;
    std::set<std::string>
        tried; ///< Incarnations that have had it; used again only if no other is left.
    bool avoidCandidate = false; ///< It has failed on the version that is being rolled out.
};

struct chosen_instance {
    instance target;
    version_side side = version_side::established;
    bool inRollout = false;
    std::string model;
    double weight = 1;        ///< The model's cost beside that of the service's dearest.
    double missingTokens = 0; ///< Of the prompt, that the instance should have to read.
    std::string session;      ///< Empty if the request has none.
};

enum class send_result {
    answered,    ///< A whole answer that is no failure.
    failed,      ///< A failure of the instance's own, or bytes that are no answer.
    broken,      ///< The connection broke off, or was silent for too long.
    refused,     ///< It has not run the request.
    unreachable, ///< No connection.
    abandoned    ///< The router or the client gave up.
};

/// Polls within which a view counts as fresh.
constexpr double freshFactor = 1.2;

class traffic_state
{
public:
    traffic_state(const router_settings &settings, std::uint64_t seed);

    void setSettings(const router_settings &settings);
    void setView(std::shared_ptr<const routing_view> view);
    const std::shared_ptr<const routing_view> &view() const { return m_view; }
    /// When the newest call was sent whose answer confirmed the view.
    void setConfirmed(time_point at) { m_confirmedAt = at; }
    time_point confirmedAt() const { return m_confirmedAt; }
    /// Whether the view is fresh enough to say that a route or a key does not exist: it was
    /// confirmed within a little more than the pause between two polls.
    bool isFresh(time_point now) const
    {
        return now - m_confirmedAt < m_settings.pollInterval() * freshFactor;
    }

    std::optional<chosen_instance> choose(const placement_request &request, time_point now);
    void noteSent(const placement_request &request, const chosen_instance &chosen, time_point now);
    /// The answer has begun, \a latency after the send.
    void noteBegun(const chosen_instance &chosen, duration latency);
    /// Time in which an answer of \a model should begin, as far as such answers are known.
    duration expectedLatency(const std::string &service, const std::string &model,
                             double missingTokens) const;
    /// How much longer than usual a model's answers take to begin; 1 is as usual.
    double slowness(const std::string &service, const std::string &model) const;
    /// \returns how many earlier sends broke off although the instance's process lives: this answer
    /// shows it. Those that a crash broke off are never returned, since they say nothing of the
    /// version that ran.
    unsigned noteEnd(const chosen_instance &chosen, bool begun, send_result result, time_point now);

    void noteRequest(const std::string &service, time_point now);
    bool mayRepeat(const std::string &service, repeat_reason reason, time_point now);
    void noteRepeat(const std::string &service, time_point now);
    void takeBackRepeat(const std::string &service, time_point countedAt);

    /// Compares the time to an answer's begin with the established version's.
    /// \returns whether it is much slower.
    bool noteLatency(const std::string &route, const std::string &model, version_side side,
                     duration latency);

    /// Digests of the sessions that a canary of \a order could take, and that this host has lately
    /// had on the established version.
    std::vector<std::uint64_t> establishedSessions(const rollout_order &order,
                                                   time_point now) const;

    std::size_t instanceCount(const std::string &service) const;
    double draw();

private:
    struct instance_state {
        double inFlight = 0;
        double load = 0;
        double pendingPromptTokens = 0;
        double slowness = 1;
        double failureShare = 0; ///< Smoothed.
        double answers = 0;
        int unreachable = 0; ///< In a row.
        unsigned broken = 0; ///< Sends that broke off since its last answer.
        time_point refusedUntil;
        time_point ejectedUntil;
    };
    struct session_entry {
        version_side side = version_side::established;
        time_point at;  ///< Of the last begin or end of a request.
        int active = 0; ///< Requests under way.
    };
    /// Seconds to an answer's begin for each token to read.
    struct model_pace {
        double lately = 0;
        double usual = 0;
    };
    using session_key = std::pair<std::string, std::string>; ///< Service and session.

    std::vector<const instance *> eligible(const placement_request &request, version_side side,
                                           const std::string &target, bool anyVersion,
                                           time_point now);
    version_side chooseVersion(const placement_request &request, const service_rollout &rollout,
                               time_point now);
    retry_allowance &allowance(const std::string &service);
    bool isRecent(const session_entry &entry, time_point now) const;
    void expire(time_point now);
    /// Cost of a model beside that of the service's dearest.
    double modelWeight(const std::string &service, const std::string &model) const;

    router_settings m_settings;
    std::mt19937_64 m_random;
    std::shared_ptr<const routing_view> m_view;
    time_point m_confirmedAt;
    std::map<std::string, instance_state> m_instances; ///< By incarnation.
    std::map<std::string, retry_allowance> m_allowances;
    std::map<session_key, session_entry> m_sessions;
    std::map<std::string, std::pair<std::uint64_t, exposure_meter>> m_meters; ///< With the order.
    std::map<std::string, double> m_latencies; ///< Seconds, by route and model.
    std::map<std::string, model_pace> m_paces; ///< By service and model.
    prompt_prefix_index m_prompts;
    time_point m_expiredAt;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TRAFFIC_STATE_H_
