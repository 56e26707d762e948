#ifndef MANGODECK_GATEWAY_GATEWAYMETRICS_H
#define MANGODECK_GATEWAY_GATEWAYMETRICS_H

#include "mangodeck/common/units.h"

#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace mangodeck {

/// Counters, latency histograms and gauges of a gateway, in the Prometheus text
/// format.
class GatewayMetrics {
public:
  GatewayMetrics();

  /// A request ended. \p Route and \p Outcome label the counter.
  void countRequest(std::string_view Route, std::string_view Outcome);
  /// Time from the first byte of a request to the first event of its answer, or
  /// to the answer if that is not a stream.
  void observeFirstEvent(std::string_view Route, Duration Latency);
  /// Time from the first byte of a request to its end.
  void observeRequest(std::string_view Route, Duration Latency);
  /// Time that a request waited for a slot.
  void observeSlotWait(std::string_view Route, Duration Wait);
  /// A request was sent to a target of \p Service.
  void countSend(std::string_view Service, std::string_view Reason);
  /// Counts a request sent to a target whose rate limit is in force.
  void countLimitedSend(std::string_view Service);
  /// Counts a request sent to another failure domain. \p Rule tells whether
  /// that domain states offers.
  void countDomainExit(std::string_view Service, std::string_view Rule);
  /// A call to the store ended.
  void countStoreCall(std::string_view Call, std::string_view Outcome);
  /// A datagram to or from another daemon; \p Direction is sent or received.
  void countPeerMessage(std::string_view Direction, std::size_t Bytes);
  /// A query for changes of the store's keys: to another daemon (answered,
  /// failed) or of another one (served, unknown).
  void countPeerQuery(std::string_view Outcome);
  /// A request took up a stream; \p Source tells how its version is known.
  void countResume(std::string_view Source);
  /// Counts a datagram that was dropped since it is of a process that no longer
  /// runs, or for one.
  void countStaleMessage(std::string_view Kind);
  /// Counts demands on a pool of memory, or new connections, that were refused,
  /// and holders that were given up (\p Event) under pressure.
  void countMemory(std::string_view Pool, std::string_view Event,
                   std::size_t Count);
  /// A call of the control plane to the store or to another daemon (\p Kind)
  /// ended. \p Bytes: of the answer's body, also of an incomplete one.
  void observeCall(std::string_view Kind, std::string_view Outcome,
                   Duration Elapsed, std::size_t Bytes);
  /// This daemon's knowledge of the store was older than the time within which
  /// changes must take effect, for \p Span.
  void observeOutdated(Duration Span);
  void setGauge(std::string_view Name, double Value);
  /// All metrics in the text format.
  std::string serialize() const;

private:
  prometheus::Histogram &
  histogram(prometheus::Family<prometheus::Histogram> &Family,
            std::string_view Route);
  std::shared_ptr<prometheus::Registry> m_Registry;
  prometheus::Family<prometheus::Counter> &m_Requests;
  prometheus::Family<prometheus::Counter> &m_Sends;
  prometheus::Family<prometheus::Counter> &m_LimitedSends;
  prometheus::Family<prometheus::Counter> &m_DomainExits;
  prometheus::Family<prometheus::Counter> &m_StoreCalls;
  prometheus::Family<prometheus::Counter> &m_PeerMessages;
  prometheus::Family<prometheus::Counter> &m_PeerBytes;
  prometheus::Family<prometheus::Counter> &m_PeerQueries;
  prometheus::Family<prometheus::Counter> &m_Resumes;
  prometheus::Family<prometheus::Counter> &m_StaleMessages;
  prometheus::Family<prometheus::Counter> &m_Memory;
  prometheus::Family<prometheus::Histogram> &m_FirstEventLatency;
  prometheus::Family<prometheus::Histogram> &m_RequestLatency;
  prometheus::Family<prometheus::Histogram> &m_SlotWait;
  prometheus::Family<prometheus::Histogram> &m_CallLatency;
  prometheus::Family<prometheus::Counter> &m_CallBytes;
  prometheus::Family<prometheus::Histogram> &m_Outdated;
  prometheus::Family<prometheus::Gauge> &m_Gauges;
};

} // namespace mangodeck

#endif
