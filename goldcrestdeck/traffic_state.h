#ifndef GOLDCRESTDECK_TRAFFIC_STATE_H_
#define GOLDCRESTDECK_TRAFFIC_STATE_H_

/// \file
/// Routing state of a traffic thread: instance selection, retry budget, outlier ejection, and
/// latency statistics of instances and models.
///
/// Performs no I/O: the forwarder calls choose(), sends the request, and reports the outcome. Used
/// by a single thread.

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "goldcrestdeck/brittle_services.h"
#include "goldcrestdeck/cold_instances.h"
#include "goldcrestdeck/completion_time.h"
#include "goldcrestdeck/domain_spillover.h"
#include "goldcrestdeck/instance_rate_limits.h"
#include "goldcrestdeck/placement.h"
#include "goldcrestdeck/recent_values.h"
#include "goldcrestdeck/retry_allowance.h"
#include "goldcrestdeck/router_settings.h"
#include "goldcrestdeck/routing_view.h"
#include "goldcrestdeck/segment_quarantine.h"

namespace goldcrestdeck {

/// The properties of a request that choose() needs.
struct placement_request {
    std::string service;
    std::string sessionKey; ///< Key of the session, or the request id if there is none.
    bool hasSession = false;
    std::string model;
    const std::vector<prompt_segment> *prompt = nullptr;
    double promptTokens = 0;
    /// Incarnations that have already received the request; chosen again only if no other is left.
    std::set<std::string> triedIncarnations;
    std::set<std::string> failedVersions; ///< Versions that the request has failed on.
    bool regionsBind = false;             ///< Only instances in allowedRegions may be chosen.
    std::vector<std::string> allowedRegions;
    std::string route;       ///< Its responses are comparable; empty: those of the service.
    double outputTokens = 0; ///< Expected; 0 if unknown.
    double eventsDone = 0;   ///< Of a stream that is resumed.
    std::optional<duration> timeToTarget; ///< Until the first event is late; nullopt if unbound.
    std::optional<duration> timeLeft;     ///< Until the deadline; nullopt if there is none.
};

struct chosen_instance {
    instance target;
    version_side side = version_side::baseline;
    /// Whether the service has a rollout whose outcome matters: one that is not completed.
    bool inRollout = false;
    std::uint64_t orderRevision = 0; ///< Of that rollout's order, which \a side refers to.
    std::string model;
    double weight = 1;            ///< Model cost relative to the service's most expensive model.
    double uncachedTokens = 0;    ///< Prompt tokens not expected in the instance's cache.
    std::string session;          ///< Session key; empty if the request has no session.
    std::uint64_t sendNumber = 0; ///< Unique among the choices of a traffic_state.
    expected_work work;
    instance_pace pace;
    std::optional<duration> expectedFirstEvent; ///< After the send; nullopt if unknown.
    std::optional<duration> expectedEnd;        ///< After the send; nullopt if unknown.
    time_point chosenAt;                        ///< When choose() returned this.
};

enum class send_result {
    answered,    ///< A complete, successful response.
    failed,      ///< An error response from the instance, or a malformed response.
    broken,      ///< The connection was lost or idle for too long.
    refused,     ///< The instance has not executed the request.
    unreachable, ///< No connection could be established.
    cancelled    ///< The router or the client cancelled the request.
};

/// Maximum age of a fresh view, in poll intervals.
constexpr double maxFreshAgePolls = 1.2;

class traffic_state
{
public:
    traffic_state(const router_settings &settings, std::uint64_t seed,
                  spillover_parameters spillover = spillover_parameters());

    void setSettings(const router_settings &settings);
    void setView(std::shared_ptr<const routing_view> view);
    const std::shared_ptr<const routing_view> &view() const { return m_view; }
    /// Sets the time at which the latest store call that confirmed the view was sent.
    void setConfirmedAt(time_point at)
    {
        m_confirmedAt = at;
        m_rateLimits.setConfirmedAt(at);
    }
    time_point confirmedAt() const { return m_confirmedAt; }
    /// Whether the view is fresh enough to report that a route or an API key does not exist: it was
    /// confirmed within slightly more than one poll interval.
    bool isFresh(time_point now) const
    {
        return now - m_confirmedAt < m_settings.pollInterval() * maxFreshAgePolls;
    }

    /// Chooses the instance to send a request to. \returns nullopt if there is none, or if this
    /// host may not send to any of them now because of the limits that they have named.
    std::optional<chosen_instance> choose(const placement_request &request, time_point now);
    /// Why choose() has found no instance: no_instance, instances_at_limit, or domains_emptied or
    /// no_home if all instances are in evacuated failure domains or outside the allowed regions.
    const char *noInstanceReason(const placement_request &request, time_point now) const;
    /// \returns the earliest time at which this host may send \a request to an instance; nullopt if
    /// it has no share of their limits, or there is none.
    std::optional<time_point> nextSendAt(const placement_request &request, time_point now) const;
    /// Whether an instance that may get \a request has named a limit.
    bool isRateLimited(const placement_request &request) const;
    /// Whether the operator has evacuated \a failureDomain.
    bool isEvacuated(const std::string &failureDomain) const
    {
        return m_view->emptiedDomains->count(failureDomain) > 0;
    }
    /// Names of the hosts that may get the body of \a request; nullopt if any host may.
    std::optional<std::set<std::string>> hostsForBody(const placement_request &request) const;
    void recordSend(const placement_request &request, const chosen_instance &chosen,
                    time_point now);
    /// Records that the response has begun, \a latency after the send.
    void recordFirstByte(const chosen_instance &chosen, duration latency, time_point now);
    /// Expected time to first byte of \a model; 0 if no response of it has been recorded.
    duration expectedLatency(const std::string &service, const std::string &model,
                             double uncachedTokens) const;
    /// Recent latency of a model relative to its baseline; 1 is normal.
    double slowness(const std::string &service, const std::string &model) const;
    /// Records the end of a send.
    /// \returns the number of earlier broken sends to the same process that it has survived, as a
    /// response now shows. Sends broken by a crash of the process are never returned, since a crash
    /// is no evidence against the version.
    unsigned recordEnd(const chosen_instance &chosen, bool responseBegun, send_result result,
                       time_point now);

    void recordRequest(const std::string &service, time_point now);
    bool mayRetry(const std::string &service, retry_reason reason, time_point now);
    void recordRetry(const std::string &service, time_point now);
    void refundRetry(const std::string &service, time_point countedAt);

    /// Adds a response of the baseline version to its average latency, or compares a response of
    /// the candidate with that average.
    /// \returns whether the response of the candidate is much slower.
    bool recordLatency(const std::string &route, const std::string &model, version_side side,
                       duration latency);

    /// The latency above which recordLatency() finds a response of the candidate slow; nullopt if
    /// no response of the baseline version has been recorded.
    std::optional<duration> slowLatency(const std::string &route, const std::string &model) const;
    /// Records the mean interval between the events of a stream of the baseline version.
    void recordEventInterval(const std::string &route, const std::string &model, duration interval);
    /// The mean interval above which a stream of the candidate is slow; nullopt as long as too few
    /// of the baseline version are known.
    std::optional<duration> slowEventInterval(const std::string &route,
                                              const std::string &model) const;

    /// Records that the instance has said that it is about to stop. It is not chosen any more, even
    /// if the registry, which this host may be cut off from, goes on showing it as ready.
    /// \returns whether this is news.
    bool recordLeaving(const std::string &incarnation, time_point now);

    /// Forgets failures and broken sends of all instances: this host's own path has caused them.
    void discardFailures();

    const std::string &hostName() const { return m_settings.name; }

    /// Digests of the sessions within the canary share of \a order that this host has recently
    /// routed to the baseline version.
    std::vector<std::uint64_t> baselineSessions(const rollout_order &order, time_point now) const;

    /// Prompt segments that crash instances. Reports of other hosts are merged by setView().
    segment_quarantine &quarantine() { return m_quarantine; }

    /// Expected times of responses. Sends are recorded by recordSend() and recordEnd().
    completion_time &completionTime() { return m_completionTime; }
    const completion_time &completionTime() const { return m_completionTime; }

    instance_rate_limits &rateLimits() { return m_rateLimits; }
    brittle_services &brittleServices() { return m_brittleServices; }
    cold_instances &coldInstances() { return m_coldInstances; }
    /// Whether an instance that \a request could be sent to is cold.
    bool hasColdInstances(const placement_request &request, time_point now) const;
    /// Hosts with a permit for cold instances that \a request could be sent to; none if this host
    /// has one.
    std::set<std::string> hostsWithPermits(const placement_request &request, time_point now) const;
    /// Hosts that may have a place for \a request, as the instances of its service are brittle.
    std::set<std::string> hostsWithPlaces(const placement_request &request) const;
    domain_spillover &spillover() { return m_spillover; }

    std::size_t instanceCount(const std::string &service) const;
    /// \returns a uniform random number in [0, 1).
    double draw();
    /// \returns a seed for another generator of random numbers.
    std::uint64_t drawSeed() { return m_random(); }

private:
    struct instance_state {
        double inFlight = 0;
        double load = 0; ///< Requests in flight, weighted by model cost.
        double pendingPromptTokens = 0;
        /// Latency relative to the mean of all instances; a moving average that decays towards 1.
        double slowness = 1;
        double failureRate = 0; ///< Exponentially weighted moving average.
        double outcomes = 0;
        int connectFailures = 0;  ///< Consecutive.
        unsigned brokenSends = 0; ///< Since the last response.
        time_point refusedUntil;
        time_point ejectedUntil;
    };
    struct session_entry {
        /// Of the last send. The version itself, because a side says nothing under another order.
        std::string version;
        time_point lastActivity; ///< Last send or completion of a request.
        int inFlight = 0;
    };
    /// Seconds to first byte per uncached prompt token.
    struct token_latency {
        double recent = 0;
        double baseline = 0;
    };
    using session_key = std::pair<std::string, std::string>; ///< Service and session.

    /// Whether \a entry is in a failure domain that may get \a request: not an evacuated one, nor
    /// one outside the allowed regions.
    bool isInUsableDomain(const instance &entry, const placement_request &request) const;
    /// The instances of one version, or of any, that are not draining and in a usable domain.
    std::vector<const instance *> instancesOf(const placement_request &request, version_side side,
                                              const std::string &target, bool anyVersion) const;
    /// Removes the instances of versions that earlier orders have rolled back, unless no others
    /// remain.
    static void removeRejected(std::vector<const instance *> &instances,
                               const std::set<std::string> &rejectedVersions);
    /// The cold instances that \a request could be sent to if they were not.
    std::vector<const instance *> coldInstancesOf(const placement_request &request,
                                                  time_point now) const;
    /// Removes the instances that this host may not send to now.
    void removeLimited(std::vector<const instance *> &instances, time_point now) const;
    /// Removes ejected instances and those that were tried before, if enough others remain.
    void removeUnpromising(std::vector<const instance *> &instances,
                           const placement_request &request, time_point now) const;
    version_side chooseVersion(const placement_request &request, const service_rollout &rollout,
                               time_point now);
    /// The side of an order to \a target that the request's session was last sent to; nullopt if
    /// that is not recent.
    std::optional<version_side> lastSideOf(const placement_request &request,
                                           const std::string &target, time_point now) const;
    /// The failure domains that a request to one of \a instances prefers: the own one or, for the
    /// share that leaves, less busy ones. Raises the penalty of the others for a request that
    /// leaves.
    std::set<std::string> preferredDomains(const placement_request &request,
                                           const std::vector<const instance *> &instances,
                                           time_point now, placement_parameters &parameters);
    retry_allowance &retryAllowance(const std::string &service);
    bool isRecent(const session_entry &entry, time_point now) const;
    void expire(time_point now);
    /// Whether the request ends late at an instance that would end it in time at the usual pace.
    bool endsLate(const placement_request &request, const expected_work &work,
                  double slowness) const;
    /// Cost of a model relative to the service's most expensive one.
    double modelWeight(const std::string &service, const std::string &model) const;

    router_settings m_settings;
    std::mt19937_64 m_random;
    std::shared_ptr<const routing_view> m_view;
    time_point m_confirmedAt;
    std::map<std::string, instance_state> m_instances; ///< By incarnation.
    std::map<std::string, retry_allowance> m_allowances;
    std::map<session_key, session_entry> m_sessions;
    /// By service, with the revision of the order.
    std::map<std::string, std::pair<std::uint64_t, exposure_meter>> m_exposureMeters;
    std::map<std::string, double> m_routeLatencies;        ///< Seconds, by route and model.
    std::map<std::string, recent_values> m_eventIntervals; ///< Seconds, by route and model.
    std::map<std::string, token_latency> m_tokenLatencies; ///< By service and model.
    prompt_prefix_index m_prefixIndex;
    segment_quarantine m_quarantine;
    completion_time m_completionTime;
    std::uint64_t m_choices = 0;
    instance_rate_limits m_rateLimits;
    brittle_services m_brittleServices;
    cold_instances m_coldInstances;
    domain_spillover m_spillover;
    /// Incarnations that have said that they leave, with the time at which they did.
    std::map<std::string, time_point> m_leaving;
    double m_answerDraw; ///< Determines how long this host waits before it reports an answer.
    time_point m_lastSweepAt;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_TRAFFIC_STATE_H_
