#include "mangodeck/gateway/calllog.h"

#include <utility>

namespace mangodeck {

namespace {

/// A connection takes one round trip, within a region.
constexpr Duration SlowConnect = 100ms;
/// Calls that fail at once, as while a store rejects them, are repeated several
/// times a second.
constexpr unsigned MaxLinesPerSecond = 5;

} // namespace

CallLog::CallLog(EventLog &Log, GatewayMetrics &Metrics, std::string Kind)
    : m_Log(Log), m_Metrics(Metrics), m_Kind(std::move(Kind)) {}

void CallLog::onCallEnded(const http::CallRecord &Record) {
  m_Metrics.observeCall(m_Kind, Record.Error ? "failed" : "answered",
                        Record.Elapsed, Record.ReceivedBytes);
  const bool IsSlow = Record.ConnectTime && *Record.ConnectTime > SlowConnect;
  if (!Record.Error && !IsSlow)
    return;
  const auto Now = std::chrono::steady_clock::now();
  if (Now - m_SecondStart >= 1s) {
    m_SecondStart = Now;
    m_LinesInSecond = 0;
  }
  if (++m_LinesInSecond > MaxLinesPerSecond) {
    ++m_Omitted;
    return;
  }
  m_Log.write(Record.Error ? "call_failed" : "call_slow",
              {{"to", m_Kind},
               {"call", Record.Target.substr(0, Record.Target.find('?'))},
               {"connect_ms", Record.ConnectTime ? toMs(*Record.ConnectTime)
                                                 : std::int64_t{-1}},
               {"connected", Record.HadConnection},
               {"whole_ms", toMs(Record.Elapsed)},
               {"bytes", Record.ReceivedBytes},
               {"error", Record.Error ? Record.Error.message() : ""},
               {"omitted", std::exchange(m_Omitted, 0)}});
}

} // namespace mangodeck
