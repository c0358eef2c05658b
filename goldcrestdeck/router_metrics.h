#ifndef GOLDCRESTDECK_ROUTER_METRICS_H_
#define GOLDCRESTDECK_ROUTER_METRICS_H_

/// \file
/// Counters, gauges and histograms of the router daemon, in the Prometheus text format.

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace goldcrestdeck {

class router_metrics
{
public:
    router_metrics();

    /// \returns the body of /metrics.
    std::string serialize() const;

    /// Event streams of upstreams that ended in order, by how their end was marked and whether the
    /// last event was unfinished.
    prometheus::Counter &streamEnds(const std::string &framing, bool insideEvent);
    /// Final responses by route kind, HTTP status and outcome.
    prometheus::Counter &responses(const std::string &kind, unsigned status,
                                   const std::string &outcome);
    prometheus::Counter &sends(const std::string &result);
    prometheus::Counter &retries(const std::string &reason);
    /// Responses of instances and other hosts whose status promises that the request has not run,
    /// without a statement that this is so.
    prometheus::Counter &unconfirmedRefusals(unsigned status);
    prometheus::Counter &storeContacts(const std::string &outcome);
    /// Copies of all entries that were passed between hosts; \a event is "taken" or "served".
    prometheus::Counter &entryCopies(const std::string &event);
    /// Requests handed over to other hosts, by how that ended.
    prometheus::Counter &handovers(const std::string &outcome);
    /// Connections of clients closed, or refused, beyond the limits of client_memory.
    prometheus::Counter &closedClients(const std::string &reason);
    /// Share of the requests to a service that may leave this host's failure domain.
    prometheus::Gauge &spilloverShare(const std::string &service);
    prometheus::Histogram &firstByteSeconds(const std::string &kind);
    prometheus::Histogram &responseSeconds(const std::string &kind);

private:
    // Declared first: the metrics below are registered in it.
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_responses;
    prometheus::Family<prometheus::Counter> &m_sends;
    prometheus::Family<prometheus::Counter> &m_streamEnds;
    prometheus::Family<prometheus::Counter> &m_retries;
    prometheus::Family<prometheus::Counter> &m_unconfirmedRefusals;
    prometheus::Family<prometheus::Counter> &m_storeContacts;
    prometheus::Family<prometheus::Counter> &m_entryCopies;
    prometheus::Family<prometheus::Counter> &m_handovers;
    prometheus::Family<prometheus::Counter> &m_closedClients;
    prometheus::Family<prometheus::Gauge> &m_spilloverShare;
    prometheus::Family<prometheus::Histogram> &m_firstByteSeconds;
    prometheus::Family<prometheus::Histogram> &m_responseSeconds;

    prometheus::Gauge &gauge(const std::string &name, const std::string &help);

public:
    prometheus::Counter &disconnectedClients;
    prometheus::Counter &failedCallbacks; ///< Callbacks that an exception has left.
    prometheus::Gauge &configVersion;
    prometheus::Gauge &instances;
    prometheus::Gauge &requestsInProgress;
    prometheus::Gauge &upstreamConnections;
    prometheus::Gauge &clientBytes;       ///< That clients cause this host to hold.
    prometheus::Gauge &clientConnections; ///< Of clients, and of hosts that hand requests over.
    prometheus::Gauge &heldResponseBytes; ///< That cannot be passed on yet.
    prometheus::Gauge &quarantinedSegments;
    prometheus::Gauge &limitedInstances;
    prometheus::Gauge &brittleServices;
    prometheus::Gauge &emptiedDomains; ///< Failure domains evacuated by the operator.
    prometheus::Gauge &coldInstances;
    prometheus::Counter &sendsWithoutPermit; ///< Requests that found only cold instances.
    prometheus::Gauge &slowInstances;
    prometheus::Gauge &pathLost; ///< 1 while this host reaches no instance.
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_ROUTER_METRICS_H_
