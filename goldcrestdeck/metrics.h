#ifndef GOLDCRESTDECK_METRICS_H_
#define GOLDCRESTDECK_METRICS_H_

/// \file
/// Counters, gauges and histograms of one host, in the Prometheus text format.

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace goldcrestdeck {

class metrics
{
public:
    metrics();

    /// \returns the body of /metrics.
    std::string serialize() const;

    prometheus::Counter &completed(const std::string &version);
    prometheus::Counter &refused(const std::string &code, const std::string &run);
    prometheus::Counter &storeCalls(const std::string &outcome);

private:
    // Declared first: the metrics below are registered in it.
    std::shared_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> &m_completed;
    prometheus::Family<prometheus::Counter> &m_refused;
    prometheus::Family<prometheus::Counter> &m_storeCalls;

    prometheus::Counter &counter(const std::string &name, const std::string &help);
    prometheus::Gauge &gauge(const std::string &name, const std::string &help);

public:
    prometheus::Counter &retries;
    prometheus::Counter &streamsCut; ///< Responses interrupted by the upstream.
    prometheus::Counter &disconnectedClients;
    prometheus::Counter &ratings;
    prometheus::Counter
        &accountsUnreplicated; ///< Responses sent before another host held the record.
    prometheus::Counter &operationsMayHaveRun;
    prometheus::Counter &droppedRatings;
    prometheus::Gauge &revisionInForce;
    prometheus::Gauge &admitting; ///< 1 while new work is admitted.
    prometheus::Gauge &requestsInProgress;
    prometheus::Gauge &batchesHeld;      ///< Held for other hosts.
    prometheus::Gauge &batchesUnwritten; ///< Own batches not yet written to the account.
    prometheus::Gauge &liveHosts;
    prometheus::Gauge &peerBytes; ///< Sent and received since startup.
    prometheus::Histogram &firstByteSeconds;
    prometheus::Histogram &requestSeconds;
};

} // namespace goldcrestdeck

#endif // GOLDCRESTDECK_METRICS_H_
