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

/// Counters and latencies of a gateway, in Prometheus' text format.
class GatewayMetrics {
public:
  GatewayMetrics();

  /// A request ended. \p Route and \p Outcome label the counter.
  void countRequest(std::string_view Route, std::string_view Outcome);
  void observeFirstEvent(std::string_view Route, Duration Latency);
  void observeRequest(std::string_view Route, Duration Latency);
  void observeSlotWait(std::string_view Route, Duration Latency);
  void countSend(std::string_view Service, std::string_view Reason);
  void countStoreCall(std::string_view Call, std::string_view Outcome);
  void setGauge(std::string_view Name, double Value);
  /// All metrics as text.
  std::string serialize() const;

private:
  prometheus::Histogram &
  histogram(prometheus::Family<prometheus::Histogram> &Family,
            std::string_view Route);
  std::shared_ptr<prometheus::Registry> m_Registry;
  prometheus::Family<prometheus::Counter> &m_Requests;
  prometheus::Family<prometheus::Counter> &m_Sends;
  prometheus::Family<prometheus::Counter> &m_StoreCalls;
  prometheus::Family<prometheus::Histogram> &m_FirstEventLatency;
  prometheus::Family<prometheus::Histogram> &m_RequestLatency;
  prometheus::Family<prometheus::Histogram> &m_SlotWait;
  prometheus::Family<prometheus::Gauge> &m_Gauges;
};

} // namespace mangodeck

#endif
