#ifndef MANGODECK_GATEWAY_CALLLOG_H
#define MANGODECK_GATEWAY_CALLLOG_H

#include "mangodeck/gateway/eventlog.h"
#include "mangodeck/gateway/gatewaymetrics.h"
#include "mangodeck/http/client.h"

#include <string>

namespace mangodeck {

/// Logs the calls of the control plane to one kind of server that fail or that
/// the network delays, and measures all of them. Shows whether a call was too
/// slow or too large for the path, or got no connection at all.
class CallLog : public http::CallObserver {
public:
  /// \p Kind labels the metrics: "store" or "peer".
  CallLog(EventLog &Log, GatewayMetrics &Metrics, std::string Kind);

  void onCallEnded(const http::CallRecord &Record) override;

private:
  EventLog &m_Log;
  GatewayMetrics &m_Metrics;
  std::string m_Kind;
  TimePoint m_SecondStart{};
  unsigned m_LinesInSecond = 0;
  unsigned m_Omitted = 0; ///< Lines since the last one that was written.
};

} // namespace mangodeck

#endif
