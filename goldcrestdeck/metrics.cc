#include "goldcrestdeck/metrics.h"

#include <prometheus/text_serializer.h>

namespace goldcrestdeck {

namespace {

/// Upper bounds, in seconds.
const prometheus::Histogram::BucketBoundaries latencyBuckets
    = {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 0.91, 2, 5, 10, 30};

prometheus::Family<prometheus::Counter> &
counterFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name("goldcrestdeck_" + name).Help(help).Register(registry);
}

prometheus::Histogram &histogram(prometheus::Registry &registry, const std::string &name,
                                 const std::string &help)
{
    return prometheus::BuildHistogram()
        .Name("goldcrestdeck_" + name)
        .Help(help)
        .Register(registry)
        .Add({}, latencyBuckets);
}

} // namespace

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_completed(counterFamily(*m_registry, "answered_total", "Requests answered in whole."))
    , m_refused(counterFamily(*m_registry, "refused_total", "Requests refused, by code."))
    , m_storeCalls(counterFamily(*m_registry, "kv_calls_total", "Calls to the key-value service."))
    , retries(counter("retries_total", "Requests sent to a further upstream."))
    , streamsCut(counter("streams_cut_total", "Answers that broke off upstream."))
    , disconnectedClients(
          counter("callers_gone_total", "Callers that left before their answer's end."))
    , ratings(counter("ratings_total", "Ratings received for answers of this host."))
    , accountsUnreplicated(counter("accounts_unreplicated_total",
                                   "Records that no other host held when the caller was answered."))
    , operationsMayHaveRun(
          counter("operations_may_have_run_total", "Operations whose outcome could not be known."))
    , droppedRatings(
          counter("ratings_dropped_total", "Ratings not asked for, the queue being full."))
    , revisionInForce(gauge("revision_in_force", "Revision of the configuration in force."))
    , admitting(gauge("admitting", "1 while new work is admitted."))
    , requestsInProgress(gauge("requests_in_progress", "Requests being served."))
    , batchesHeld(gauge("batches_held", "Account batches held for other hosts."))
    , batchesUnwritten(gauge("batches_unwritten", "Own account batches not yet in the account."))
    , liveHosts(gauge("live_hosts", "Hosts heard of lately, this one included."))
    , peerBytes(gauge("peer_bytes", "Bytes sent and received on the peer link."))
    , firstByteSeconds(
          histogram(*m_registry, "first_byte_seconds", "Time to an answer's first byte."))
    , requestSeconds(histogram(*m_registry, "request_seconds", "Time to an answer's last byte."))
{ }

std::string metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

prometheus::Counter &metrics::completed(const std::string &version)
{
    return m_completed.Add({{"version", version}});
}

prometheus::Counter &metrics::refused(const std::string &code, const std::string &run)
{
    return m_refused.Add({{"code", code}, {"run", run}});
}

prometheus::Counter &metrics::storeCalls(const std::string &outcome)
{
    return m_storeCalls.Add({{"outcome", outcome}});
}

prometheus::Counter &metrics::counter(const std::string &name, const std::string &help)
{
    return counterFamily(*m_registry, name, help).Add({});
}

prometheus::Gauge &metrics::gauge(const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge()
        .Name("goldcrestdeck_" + name)
        .Help(help)
        .Register(*m_registry)
        .Add({});
}

} // namespace goldcrestdeck
