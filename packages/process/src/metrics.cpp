#include "mangodeck/process/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <mutex>

namespace mangodeck {

namespace {

using CounterFamily = prometheus::Family<prometheus::Counter>;
using GaugeFamily = prometheus::Family<prometheus::Gauge>;
using HistogramFamily = prometheus::Family<prometheus::Histogram>;
using Boundaries = prometheus::Histogram::BucketBoundaries;

constexpr std::size_t MaxTiers = 16;
constexpr MemberState MemberStates[] = {MemberState::Alive,
                                        MemberState::Suspect, MemberState::Dead,
                                        MemberState::Left};

/// Histogram boundaries in seconds, denser around the first-token targets.
const Boundaries FirstTokenBoundaries = {0.01, 0.02, 0.05, 0.1, 0.2, 0.3,
                                         0.4,  0.5,  0.75, 1,   2,   5,
                                         10,   20,   30,   60,  120, 300};
/// Histogram boundaries in seconds, denser around the token gap targets.
const Boundaries TokenGapBoundaries = {0.005, 0.01, 0.015, 0.02, 0.03, 0.04,
                                       0.05,  0.06, 0.07,  0.08, 0.1,  0.15,
                                       0.2,   0.5,  1,     2};

std::string tierLabel(TierRank Tier) {
  return std::to_string(std::min<std::size_t>(Tier, MaxTiers - 1));
}

/// CPU time (user and system) that this process has used, in seconds.
double cpuSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec;
  const auto Microseconds = Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec;
  return static_cast<double>(Seconds) + static_cast<double>(Microseconds) / 1e6;
}

/// Resident memory of this process, in bytes; 0 if it cannot be read.
double residentBytes() {
  std::ifstream In("/proc/self/statm");
  double TotalPages = 0, ResidentPages = 0;
  In >> TotalPages >> ResidentPages;
  return In ? ResidentPages * static_cast<double>(sysconf(_SC_PAGESIZE)) : 0;
}

/// A Prometheus counter that mirrors a total kept by another object.
class MirroredCounter {
public:
  explicit MirroredCounter(prometheus::Counter &Counter) : m_Counter(Counter) {}

  void setTotal(std::uint64_t Total) {
    if (Total > m_Total)
      m_Counter.Increment(static_cast<double>(Total - m_Total));
    m_Total = Total;
  }

private:
  prometheus::Counter &m_Counter;
  std::uint64_t m_Total = 0;
};

} // namespace

class Metrics::Impl {
public:
  Impl();
  std::string serialize(const MetricsSample &Sample);
  void countEnded(const RequestSummary &Summary);
  void countWastedPrefill(const RequestSummary &Summary);
  void observeDuration(HistogramFamily &Family, const Boundaries &Buckets,
                       TierRank Tier, Duration Value);

  prometheus::Registry Registry;

  CounterFamily &counterFamily(const char *Name, const char *Help) {
    return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
  }
  GaugeFamily &gaugeFamily(const char *Name, const char *Help) {
    return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry);
  }
  HistogramFamily &histogramFamily(const char *Name, const char *Help) {
    return prometheus::BuildHistogram().Name(Name).Help(Help).Register(
        Registry);
  }
  prometheus::Counter &counter(const char *Name, const char *Help) {
    return counterFamily(Name, Help).Add({});
  }
  prometheus::Gauge &gauge(const char *Name, const char *Help) {
    return gaugeFamily(Name, Help).Add({});
  }

  // Requests.
  CounterFamily &Accepted = counterFamily("mangodeck_requests_accepted_total",
                                          "Requests accepted from callers");
  CounterFamily &Ended =
      counterFamily("mangodeck_requests_total",
                    "Requests answered, by the run state told and why not run");
  CounterFamily &Dispatched = counterFamily("mangodeck_dispatches_total",
                                            "Requests dispatched to a target");
  CounterFamily &GrantReturns = counterFamily(
      "mangodeck_grant_returns_total", "Grants returned without a dispatch");
  CounterFamily &GoodputRequests =
      counterFamily("mangodeck_goodput_requests_total",
                    "Requests whose whole answer was sent in time");
  CounterFamily &GoodputTokens =
      counterFamily("mangodeck_goodput_tokens_total",
                    "Output tokens of whole answers sent in time");
  CounterFamily &PromptTokens = counterFamily(
      "mangodeck_prompt_tokens_total", "Prompt tokens of dispatched requests");
  CounterFamily &CachedTokens =
      counterFamily("mangodeck_cached_tokens_total",
                    "Prompt tokens that targets found in their cache");
  CounterFamily &WastedPrefillTokens =
      counterFamily("mangodeck_wasted_prefill_tokens_total",
                    "Prompt tokens computed for answers that were not whole "
                    "in time");
  HistogramFamily &FirstToken =
      histogramFamily("mangodeck_first_token_seconds",
                      "Time from acceptance to the first token");
  HistogramFamily &TokenGap = histogramFamily(
      "mangodeck_token_gap_seconds", "Mean time between tokens of a request");
  prometheus::Counter &Resumes =
      counter("mangodeck_stream_resumes_total", "Streams resumed at a target");
  prometheus::Counter &HangUps = counter("mangodeck_caller_hang_ups_total",
                                         "Callers that left before the end");

  // Store and datagrams.
  CounterFamily &StoreCalls = counterFamily("mangodeck_store_calls_total",
                                            "Calls to the platform's store");
  CounterFamily &DatagramsDropped = counterFamily(
      "mangodeck_datagrams_dropped_total", "Datagrams not accepted");

private:
  GaugeFamily &m_WaitingTickets = gaugeFamily(
      "mangodeck_waiting_tickets", "Waiting tickets in groups owned here");
  GaugeFamily &m_Members =
      gaugeFamily("mangodeck_members", "Daemons as this one sees them");
  prometheus::Gauge &m_RevisionInForce =
      gauge("mangodeck_revision_in_force", "Configuration revision in force");
  prometheus::Gauge &m_StoreUp =
      gauge("mangodeck_store_up", "1 if the store answers, else 0");
  prometheus::Gauge &m_OpenRequests =
      gauge("mangodeck_open_requests", "Requests that are not answered yet");
  prometheus::Gauge &m_WaitingBodyBytes = gauge(
      "mangodeck_waiting_body_bytes", "Memory of waiting requests' bodies");
  prometheus::Gauge &m_PeersConnected =
      gauge("mangodeck_peers_connected", "Daemons with an open connection");
  prometheus::Gauge &m_CpuSeconds =
      gauge("mangodeck_process_cpu_seconds", "Processor time used so far");
  prometheus::Gauge &m_ResidentBytes =
      gauge("mangodeck_process_resident_bytes", "Resident memory");

  CounterFamily &m_PeerMessages = counterFamily("mangodeck_peer_messages_total",
                                                "Messages between daemons");
  CounterFamily &m_PeerBytes = counterFamily(
      "mangodeck_peer_bytes_total", "Bytes on connections between daemons");
  MirroredCounter m_MessagesSent{m_PeerMessages.Add({{"event", "sent"}})};
  MirroredCounter m_MessagesReceived{
      m_PeerMessages.Add({{"event", "received"}})};
  MirroredCounter m_MessagesDropped{m_PeerMessages.Add({{"event", "dropped"}})};
  MirroredCounter m_MessagesRejected{
      m_PeerMessages.Add({{"event", "rejected"}})};
  MirroredCounter m_BytesSent{m_PeerBytes.Add({{"direction", "sent"}})};
  MirroredCounter m_BytesReceived{m_PeerBytes.Add({{"direction", "received"}})};
  MirroredCounter m_Connections{counter("mangodeck_peer_connections_total",
                                        "Connections opened to daemons")};
  MirroredCounter m_GossipPackets{
      counter("mangodeck_gossip_packets_total", "Gossip datagrams sent")};
  MirroredCounter m_GossipBytes{
      counter("mangodeck_gossip_bytes_total",
              "Bytes of gossip datagrams sent, with IP and UDP headers")};
  MirroredCounter m_WrongAnswers{
      counter("mangodeck_wrong_answers_total",
              "Targets' answers that carried another request's id")};
  MirroredCounter m_EventsOverwritten{
      counter("mangodeck_timeline_overwritten_total",
              "Events that the time line no longer holds")};

  void applySample(const MetricsSample &Sample);

  std::mutex m_Mutex; ///< Guards the MirroredCounters.
};

/// Metrics without labels and the member states are registered at the start, so
/// that a scrape finds them with the value 0 before their first event.
/// Otherwise a rate over them would miss that event.
Metrics::Impl::Impl() {
  for (const auto State : MemberStates)
    m_Members.Add({{"state", std::string(toString(State))}});
}

void Metrics::Impl::applySample(const MetricsSample &Sample) {
  const auto Tiers = std::min(Sample.WaitingPerTier.size(), MaxTiers);
  for (std::size_t I = 0; I < Tiers; ++I)
    m_WaitingTickets.Add({{"tier", std::to_string(I)}})
        .Set(Sample.WaitingPerTier[I]);
  for (const auto State : MemberStates) {
    const auto It = Sample.Members.find(State);
    const auto Count = It == Sample.Members.end() ? 0 : It->second;
    m_Members.Add({{"state", std::string(toString(State))}})
        .Set(static_cast<double>(Count));
  }
  m_RevisionInForce.Set(static_cast<double>(Sample.RevisionInForce));
  m_StoreUp.Set(Sample.StoreUp ? 1 : 0);
  m_OpenRequests.Set(static_cast<double>(Sample.OpenRequests));
  m_WaitingBodyBytes.Set(static_cast<double>(Sample.WaitingBodyBytes));
  m_PeersConnected.Set(static_cast<double>(Sample.PeersConnected));
  m_CpuSeconds.Set(cpuSeconds());
  m_ResidentBytes.Set(residentBytes());
  m_MessagesSent.setTotal(Sample.PeerMessagesSent);
  m_MessagesReceived.setTotal(Sample.PeerMessagesReceived);
  m_MessagesDropped.setTotal(Sample.PeerMessagesDropped);
  m_MessagesRejected.setTotal(Sample.PeerMessagesRejected);
  m_BytesSent.setTotal(Sample.PeerBytesSent);
  m_BytesReceived.setTotal(Sample.PeerBytesReceived);
  m_Connections.setTotal(Sample.PeerConnections);
  m_GossipPackets.setTotal(Sample.GossipPacketsSent);
  m_GossipBytes.setTotal(Sample.GossipBytesSent);
  m_WrongAnswers.setTotal(Sample.WrongAnswers);
  m_EventsOverwritten.setTotal(Sample.EventsOverwritten);
}

std::string Metrics::Impl::serialize(const MetricsSample &Sample) {
  const std::lock_guard Guard(m_Mutex);
  applySample(Sample);
  return prometheus::TextSerializer().Serialize(Registry.Collect());
}

void Metrics::Impl::observeDuration(HistogramFamily &Family,
                                    const Boundaries &Buckets, TierRank Tier,
                                    Duration Value) {
  if (Value > Duration(0))
    Family.Add({{"tier", tierLabel(Tier)}}, Buckets).Observe(toSeconds(Value));
}

void Metrics::Impl::countEnded(const RequestSummary &Summary) {
  const auto Tier = tierLabel(Summary.Tier);
  const std::string Reason(Summary.Reason ? toString(*Summary.Reason) : "");
  Ended
      .Add({{"service", Summary.Service.Text},
            {"tier", Tier},
            {"run", std::string(toString(Summary.RunState))},
            {"reason", Reason}})
      .Increment();
  if (Summary.RunState == Run::No)
    return;
  const prometheus::Labels ByTier{{"tier", Tier}};
  PromptTokens.Add(ByTier).Increment(static_cast<double>(Summary.PromptTokens));
  CachedTokens.Add(ByTier).Increment(static_cast<double>(Summary.CachedTokens));
  observeDuration(FirstToken, FirstTokenBoundaries, Summary.Tier,
                  Summary.TimeToFirstToken);
  observeDuration(TokenGap, TokenGapBoundaries, Summary.Tier,
                  Summary.MeanTokenGap);
  if (!Summary.InTime || Summary.RunState != Run::Yes)
    return countWastedPrefill(Summary);
  GoodputRequests.Add(ByTier).Increment();
  GoodputTokens.Add(ByTier).Increment(
      static_cast<double>(Summary.OutputTokens));
}

/// Counts the prompt tokens that were computed for an answer that was not whole
/// in time. Tokens from the target's prefix cache are excluded, as they were
/// not computed for this request.
void Metrics::Impl::countWastedPrefill(const RequestSummary &Summary) {
  const auto Computed =
      std::max<TokenCount>(Summary.PromptTokens - Summary.CachedTokens, 0);
  const char *Cause = Summary.RunState == Run::Yes ? "not-in-time" : "unknown";
  WastedPrefillTokens.Add({{"tier", tierLabel(Summary.Tier)}, {"cause", Cause}})
      .Increment(static_cast<double>(Computed));
}

Metrics::Metrics() : m_Impl(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::onAccepted(const Ticket &Request) {
  m_Impl->Accepted
      .Add({{"service", Request.Service.Text},
            {"tier", tierLabel(Request.Tier)}})
      .Increment();
}

void Metrics::onDispatched(const Ticket &Request) {
  m_Impl->Dispatched
      .Add({{"service", Request.Service.Text},
            {"tier", tierLabel(Request.Tier)}})
      .Increment();
}

void Metrics::onGrantReturned(ReturnReason Reason) {
  m_Impl->GrantReturns.Add({{"reason", std::string(toString(Reason))}})
      .Increment();
}

void Metrics::onStreamResumed() { m_Impl->Resumes.Increment(); }

void Metrics::onCallerHungUp() { m_Impl->HangUps.Increment(); }

void Metrics::onEnded(const RequestSummary &Summary) {
  m_Impl->countEnded(Summary);
}

void Metrics::countStoreCall(std::string_view Kind, std::string_view Result) {
  m_Impl->StoreCalls
      .Add({{"kind", std::string(Kind)}, {"result", std::string(Result)}})
      .Increment();
}

void Metrics::countDatagramDropped(std::string_view Cause) {
  m_Impl->DatagramsDropped.Add({{"cause", std::string(Cause)}}).Increment();
}

std::string Metrics::serialize(const MetricsSample &Sample) {
  return m_Impl->serialize(Sample);
}

std::string_view toString(ReturnReason Reason) {
  switch (Reason) {
  case ReturnReason::Withdrawn:
    return "withdrawn";
  case ReturnReason::Expired:
    return "expired";
  case ReturnReason::TargetLeaving:
    return "target-leaving";
  case ReturnReason::Quarantined:
    return "quarantined";
  case ReturnReason::NotDelivered:
    return "not-delivered";
  case ReturnReason::ClaimFailed:
    return "claim-failed";
  case ReturnReason::Duplicate:
    return "duplicate";
  }
  return "withdrawn";
}

} // namespace mangodeck
