#ifndef GOLDCRESTDECK_DOMAIN_SPILLOVER_H_
#define GOLDCRESTDECK_DOMAIN_SPILLOVER_H_

/// \file
/// Decides which share of the requests to a service leaves this host's failure domain because the
/// instances there are busier than those of other domains.
///
/// Report the latency of every response, and every refused or lost send, with the domain of the
/// instance. Before a request is placed, call update() and compare a random number with the share
/// that it returns; a request below it prefers the destinations(). The share is zero until the
/// latency in the own domain exceeds that elsewhere by more than the path costs and more than
/// chance explains. Then it is proportional to the excess, bounded, and follows it with a delay:
/// all hosts of a domain do the same without communication, and none moves all of its requests at
/// once.
///
/// Performs no I/O and reads no clock. Used by a single thread.

#include <map>
#include <optional>
#include <set>
#include <string>

#include "goldcrestdeck/clock.h"

namespace goldcrestdeck {

struct spillover_parameters {
    /// 0 switches spillover off. A burst of 1.7 times the demand, or half of the instances three
    /// times slower, is balanced by 0.33 to 0.41; more would overload other domains.
    double maxShare = 0.45;
    /// Time constant with which evidence decays, an eighth of a wave of demand: with twice as much,
    /// the share lags so far behind that domains exchange their load.
    duration evidenceTime = std::chrono::milliseconds(1500);
    /// The same for a service with few requests; older evidence says nothing about a wave.
    duration maxEvidenceTime = std::chrono::milliseconds(10'000);
    /// Share that leaves for each unit of the latency saved beyond the costs. A unit is the
    /// expected latency without load.
    double sharePerSaving = 0.3;
    /// Time constant with which the share follows that value.
    duration adjustTime = std::chrono::milliseconds(500);
    /// Latency that a request has to save to be worth the path: several times the round trip
    /// between domains (1 to 2.8 ms), because that traffic also uses limited links.
    duration pathCost = std::chrono::milliseconds(15);
    /// The same, relative to the usual latency; smaller savings are not noticed by callers.
    double minSaving = 0.2;
    /// Standard errors by which the saving has to exceed those costs.
    double confidence = 1;
};

/// A change of a service's share that is worth a log line.
struct spillover_change {
    std::string service;
    double share = 0;
    double previousShare = 0; ///< At the previous change.
    double ownLatency = 0;    ///< Relative to an unloaded service.
    double otherLatency = 0;  ///< Mean over the destinations; 0 if there are none.
};

class domain_spillover
{
public:
    domain_spillover(std::string ownDomain, spillover_parameters parameters);

    /// Sets the domain of this host; empty if unknown, which switches spillover off. A change
    /// discards everything that was learned.
    void setOwnDomain(const std::string &domain);

    /// Records the latency of a response from an instance in \a domain, and the latency \a expected
    /// of the same request without load.
    void recordLatency(const std::string &service, const std::string &domain, duration latency,
                       duration expected, time_point now);
    /// Records that an instance in \a domain had no room for a request.
    void recordRefusal(const std::string &service, const std::string &domain, time_point now);
    /// Records a send whose connection failed or broke. Counts against other domains only: in the
    /// own one, the ejection of instances handles these.
    void recordLoss(const std::string &service, const std::string &domain, time_point now);

    /// Discards all evidence on other domains; call it when this host's own network path has
    /// failed.
    void discardLosses();

    /// Brings the share of \a service up to \a now. \a domains are those with usable instances.
    /// \returns the share of requests that should leave; 0 if the own domain is not among them,
    /// because then placement has no choice.
    double update(const std::string &service, const std::set<std::string> &domains, time_point now);
    /// The domains for requests that leave, as of the last update().
    const std::set<std::string> &destinations(const std::string &service) const;
    /// Latency saved by leaving, relative to an unloaded service, as of the last update().
    double saving(const std::string &service) const;
    double share(const std::string &service) const;
    /// \returns a change of the share of \a service, at most once in changeInterval.
    std::optional<spillover_change> takeChange(const std::string &service, time_point now);

private:
    /// Exponentially weighted sums of relative latencies.
    struct evidence {
        double weight = 0;
        double sum = 0;
        double squares = 0;
        time_point at;
    };
    /// Estimate of a domain's relative latency.
    struct estimate {
        double mean = 1;
        double variance = 0; ///< Of the mean.
    };
    struct service_state {
        std::map<std::string, evidence> domains;
        double ownResponses = 0; ///< Responses and refusals of the own domain.
        double usual = 0;    ///< Relative latency in the own domain over a long time; 0: unknown.
        double expected = 0; ///< Seconds; mean latency without load.
        double interval = 0; ///< Seconds; mean time between responses from the own domain.
        double share = 0;
        double saving = 0;
        std::set<std::string> destinations;
        time_point updatedAt;
        time_point ownResponseAt;
        double loggedShare = 0;
        std::optional<time_point> loggedAt;
        double ownLatency = 0;
        double otherLatency = 0;
    };

    /// Sets the destinations and the saving. \returns the share that the evidence justifies.
    double targetShare(service_state &state, const std::set<std::string> &domains, time_point now);
    /// Sets the destinations: the \a domains that are better than \a own by more than \a cost.
    /// \returns the estimate of their mean latency; a default one if there are none.
    estimate selectDestinations(service_state &state, const std::set<std::string> &domains,
                                const estimate &own, double cost, time_point now);
    void record(service_state &state, const std::string &domain, double relative, time_point now);
    void age(const service_state &state, evidence &known, time_point now) const;
    static estimate estimateOf(const evidence &known, double usual);
    const service_state *find(const std::string &service) const;

    std::string m_ownDomain;
    spillover_parameters m_parameters;
    std::map<std::string, service_state> m_services;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_DOMAIN_SPILLOVER_H_
