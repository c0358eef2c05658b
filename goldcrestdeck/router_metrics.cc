#include "goldcrestdeck/router_metrics.h"

#include <prometheus/text_serializer.h>

namespace goldcrestdeck {

namespace {

/// Upper bounds, in seconds; finest around the users' latency targets.
const prometheus::Histogram::BucketBoundaries latencyBuckets
    = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 0.91, 1.5, 3, 6, 12, 25};

prometheus::Family<prometheus::Counter> &
counterFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name("goldcrestdeck_" + name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram> &
histogramFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name("goldcrestdeck_" + name).Help(help).Register(registry);
}

} // namespace

router_metrics::router_metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_responses(counterFamily(*m_registry, "router_answers_total",
                                "Final answers by route kind, status and outcome."))
    , m_sends(counterFamily(*m_registry, "router_sends_total",
                            "Sends to upstream instances by result."))
    , m_streamEnds(counterFamily(*m_registry, "router_upstream_stream_ends_total",
                                 "Upstream event streams that ended in order, by framing."))
    , m_retries(
          counterFamily(*m_registry, "router_repeats_total", "Requests sent once more, by reason."))
    , m_unconfirmedRefusals(
          counterFamily(*m_registry, "router_unconfirmed_refusals_total",
                        "Upstream refusals, by status, that do not state that nothing has run."))
    , m_storeContacts(counterFamily(*m_registry, "router_store_contacts_total",
                                    "Calls to the key-value service that confirmed the view."))
    , m_entryCopies(counterFamily(*m_registry, "router_copies_total",
                                  "Copies of all entries, taken from and served to other hosts."))
    , m_handovers(counterFamily(*m_registry, "router_handovers_total",
                                "Requests handed over to other hosts, by how that ended."))
    , m_closedClients(counterFamily(*m_registry, "router_closed_clients_total",
                                    "Connections of clients closed beyond a limit, by reason."))
    , m_spilloverShare(prometheus::BuildGauge()
                           .Name("goldcrestdeck_router_spillover_share")
                           .Help("Share of the requests to a service that may leave the domain.")
                           .Register(*m_registry))
    , m_firstByteSeconds(histogramFamily(*m_registry, "router_first_byte_seconds",
                                         "Time to an answer's first byte from upstream."))
    , m_responseSeconds(
          histogramFamily(*m_registry, "router_answer_seconds", "Time to an answer's end."))
    , disconnectedClients(counterFamily(*m_registry, "router_clients_gone_total",
                                        "Clients that left before their answer's end.")
                              .Add({}))
    , failedCallbacks(counterFamily(*m_registry, "router_failed_callbacks_total",
                                    "Callbacks that an exception has left.")
                          .Add({}))
    , configVersion(gauge("router_config_version", "Version of the configuration in force."))
    , instances(gauge("router_instances", "Upstream instances known."))
    , requestsInProgress(gauge("router_requests_in_progress", "Requests being served."))
    , upstreamConnections(gauge("router_upstream_connections", "Open connections to upstreams."))
    , clientBytes(gauge("router_client_bytes", "Bytes held for clients and their requests."))
    , clientConnections(gauge("router_client_connections", "Open connections of clients."))
    , heldResponseBytes(
          gauge("router_held_response_bytes", "Bytes of responses that cannot be passed on yet."))
    , quarantinedSegments(gauge("router_quarantined_segments",
                                "Prompt segments refused because they crash upstreams."))
    , limitedInstances(gauge("router_limited_instances",
                             "Upstream instances that have named a limit on their request rate."))
    , brittleServices(
          gauge("router_brittle_services", "Services whose instances bear few rejections."))
    , emptiedDomains(
          gauge("router_emptied_domains", "Failure domains that the operator has evacuated."))
    , coldInstances(
          gauge("router_cold_instances", "Upstream instances taken for cold by this host."))
    , sendsWithoutPermit(counterFamily(*m_registry, "router_no_permit_total",
                                       "Requests that found cold instances without a permit.")
                             .Add({}))
    , slowInstances(gauge("router_slow_instances",
                          "Upstream instances that take at least twice the usual time."))
    , pathLost(gauge("router_path_lost", "1 while this host reaches no upstream instance."))
{ }

std::string router_metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

prometheus::Counter &router_metrics::responses(const std::string &kind, unsigned status,
                                               const std::string &outcome)
{
    return m_responses.Add(
        {{"kind", kind}, {"status", std::to_string(status)}, {"outcome", outcome}});
}

prometheus::Counter &router_metrics::sends(const std::string &result)
{
    return m_sends.Add({{"result", result}});
}

prometheus::Counter &router_metrics::streamEnds(const std::string &framing, bool insideEvent)
{
    return m_streamEnds.Add({{"framing", framing}, {"inside_event", insideEvent ? "yes" : "no"}});
}

prometheus::Counter &router_metrics::retries(const std::string &reason)
{
    return m_retries.Add({{"reason", reason}});
}

prometheus::Counter &router_metrics::unconfirmedRefusals(unsigned status)
{
    return m_unconfirmedRefusals.Add({{"status", std::to_string(status)}});
}

prometheus::Counter &router_metrics::storeContacts(const std::string &outcome)
{
    return m_storeContacts.Add({{"outcome", outcome}});
}

prometheus::Counter &router_metrics::entryCopies(const std::string &event)
{
    return m_entryCopies.Add({{"event", event}});
}

prometheus::Counter &router_metrics::handovers(const std::string &outcome)
{
    return m_handovers.Add({{"outcome", outcome}});
}

prometheus::Counter &router_metrics::closedClients(const std::string &reason)
{
    return m_closedClients.Add({{"reason", reason}});
}

prometheus::Gauge &router_metrics::spilloverShare(const std::string &service)
{
    return m_spilloverShare.Add({{"service", service}});
}

prometheus::Histogram &router_metrics::firstByteSeconds(const std::string &kind)
{
    return m_firstByteSeconds.Add({{"kind", kind}}, latencyBuckets);
}

prometheus::Histogram &router_metrics::responseSeconds(const std::string &kind)
{
    return m_responseSeconds.Add({{"kind", kind}}, latencyBuckets);
}

prometheus::Gauge &router_metrics::gauge(const std::string &name, const std::string &help)
{
    return prometheus::BuildGauge()
        .Name("goldcrestdeck_" + name)
        .Help(help)
        .Register(*m_registry)
        .Add({});
}

} // namespace goldcrestdeck
