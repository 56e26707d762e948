#include "mangodeck/gateway/gatewaymetrics.h"

#include <prometheus/text_serializer.h>

namespace mangodeck {

namespace {

/// Upper bounds of the latency buckets, from the answer of a plain service to a
/// long stream.
const prometheus::Histogram::BucketBoundaries LatencyBucketsSeconds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8};

prometheus::Family<prometheus::Histogram> &
registerHistograms(prometheus::Registry &Registry, const char *Name,
                   const char *Help) {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(Registry);
}

prometheus::Family<prometheus::Counter> &
registerCounters(prometheus::Registry &Registry, const char *Name,
                 const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : m_Registry(std::make_shared<prometheus::Registry>()),
      m_Requests(registerCounters(*m_Registry, "mangodeck_requests_total",
                                  "Requests by route and outcome.")),
      m_Sends(registerCounters(*m_Registry, "mangodeck_sends_total",
                               "Requests sent to targets, by reason.")),
      m_LimitedSends(registerCounters(
          *m_Registry, "mangodeck_limited_sends_total",
          "Requests sent to targets whose rate limit is in force.")),
      m_DomainExits(registerCounters(
          *m_Registry, "mangodeck_domain_exits_total",
          "Requests for plain services sent to other failure domains.")),
      m_StoreCalls(registerCounters(*m_Registry, "mangodeck_store_calls_total",
                                    "Calls to the store by outcome.")),
      m_PeerMessages(registerCounters(*m_Registry,
                                      "mangodeck_peer_messages_total",
                                      "Datagrams between daemons.")),
      m_PeerBytes(registerCounters(*m_Registry, "mangodeck_peer_bytes_total",
                                   "Bytes of datagrams between daemons.")),
      m_PeerQueries(registerCounters(
          *m_Registry, "mangodeck_peer_queries_total",
          "Queries between daemons for changes of the store.")),
      m_Resumes(registerCounters(
          *m_Registry, "mangodeck_resumes_total",
          "Requests that took up a stream, by how its version is known.")),
      m_StaleMessages(registerCounters(
          *m_Registry, "mangodeck_stale_peer_messages_total",
          "Datagrams of or for a process that no longer runs, dropped.")),
      m_Memory(registerCounters(
          *m_Registry, "mangodeck_memory_events_total",
          "Demands refused and holders given up for lack of memory.")),
      m_FirstEventLatency(registerHistograms(
          *m_Registry, "mangodeck_first_event_seconds",
          "From the first byte of a request to the first event "
          "or the answer.")),
      m_RequestLatency(
          registerHistograms(*m_Registry, "mangodeck_request_seconds",
                             "From the first byte of a request to its end.")),
      m_SlotWait(registerHistograms(*m_Registry, "mangodeck_wait_seconds",
                                    "Time that a request waited for a slot.")),
      m_CallLatency(registerHistograms(
          *m_Registry, "mangodeck_call_seconds",
          "Calls to the store and to other daemons, with the wait of "
          "watches.")),
      m_CallBytes(
          registerCounters(*m_Registry, "mangodeck_call_bytes_total",
                           "Bytes of the answers, also of incomplete ones.")),
      m_Outdated(registerHistograms(
          *m_Registry, "mangodeck_directory_outdated_seconds",
          "Spans in which the knowledge of the store was older than changes "
          "may take.")),
      m_Gauges(prometheus::BuildGauge()
                   .Name("mangodeck_state")
                   .Help("State of the daemon, by name.")
                   .Register(*m_Registry)) {}

void GatewayMetrics::countRequest(std::string_view Route,
                                  std::string_view Outcome) {
  m_Requests
      .Add({{"route", std::string(Route)}, {"outcome", std::string(Outcome)}})
      .Increment();
}

prometheus::Histogram &
GatewayMetrics::histogram(prometheus::Family<prometheus::Histogram> &Family,
                          std::string_view Route) {
  return Family.Add({{"route", std::string(Route)}}, LatencyBucketsSeconds);
}

void GatewayMetrics::observeFirstEvent(std::string_view Route,
                                       Duration Latency) {
  histogram(m_FirstEventLatency, Route).Observe(toSeconds(Latency));
}

void GatewayMetrics::observeRequest(std::string_view Route, Duration Latency) {
  histogram(m_RequestLatency, Route).Observe(toSeconds(Latency));
}

void GatewayMetrics::observeSlotWait(std::string_view Route, Duration Wait) {
  histogram(m_SlotWait, Route).Observe(toSeconds(Wait));
}

void GatewayMetrics::countSend(std::string_view Service,
                               std::string_view Reason) {
  m_Sends.Add({{"service", std::string(Service)}, {"why", std::string(Reason)}})
      .Increment();
}

void GatewayMetrics::countLimitedSend(std::string_view Service) {
  m_LimitedSends.Add({{"service", std::string(Service)}}).Increment();
}

void GatewayMetrics::countDomainExit(std::string_view Service,
                                     std::string_view Rule) {
  m_DomainExits
      .Add({{"service", std::string(Service)}, {"rule", std::string(Rule)}})
      .Increment();
}

void GatewayMetrics::countStoreCall(std::string_view Call,
                                    std::string_view Outcome) {
  m_StoreCalls
      .Add({{"call", std::string(Call)}, {"outcome", std::string(Outcome)}})
      .Increment();
}

void GatewayMetrics::countPeerMessage(std::string_view Direction,
                                      std::size_t Bytes) {
  const prometheus::Labels Labels = {{"direction", std::string(Direction)}};
  m_PeerMessages.Add(Labels).Increment();
  m_PeerBytes.Add(Labels).Increment(static_cast<double>(Bytes));
}

void GatewayMetrics::countPeerQuery(std::string_view Outcome) {
  m_PeerQueries.Add({{"outcome", std::string(Outcome)}}).Increment();
}

void GatewayMetrics::countResume(std::string_view Source) {
  m_Resumes.Add({{"known_by", std::string(Source)}}).Increment();
}

void GatewayMetrics::countStaleMessage(std::string_view Kind) {
  m_StaleMessages.Add({{"kind", std::string(Kind)}}).Increment();
}

void GatewayMetrics::countMemory(std::string_view Pool, std::string_view Event,
                                 std::size_t Count) {
  m_Memory.Add({{"pool", std::string(Pool)}, {"event", std::string(Event)}})
      .Increment(static_cast<double>(Count));
}

void GatewayMetrics::observeCall(std::string_view Kind,
                                 std::string_view Outcome, Duration Elapsed,
                                 std::size_t Bytes) {
  const prometheus::Labels Labels = {{"to", std::string(Kind)},
                                     {"outcome", std::string(Outcome)}};
  m_CallLatency.Add(Labels, LatencyBucketsSeconds).Observe(toSeconds(Elapsed));
  m_CallBytes.Add(Labels).Increment(static_cast<double>(Bytes));
}

void GatewayMetrics::observeOutdated(Duration Span) {
  m_Outdated.Add({}, LatencyBucketsSeconds).Observe(toSeconds(Span));
}

void GatewayMetrics::setGauge(std::string_view Name, double Value) {
  m_Gauges.Add({{"name", std::string(Name)}}).Set(Value);
}

std::string GatewayMetrics::serialize() const {
  return prometheus::TextSerializer().Serialize(m_Registry->Collect());
}

} // namespace mangodeck
