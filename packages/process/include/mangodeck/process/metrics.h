#ifndef MANGODECK_PROCESS_METRICS_H
#define MANGODECK_PROCESS_METRICS_H

#include "mangodeck/process/entryobserver.h"
#include "mangodeck/process/member.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Values that other parts of the daemon keep; read from them whenever the
/// metrics are requested.
struct MetricsSample {
  /// Waiting tickets by tier, in the groups that this daemon owns.
  std::vector<std::uint32_t> WaitingPerTier;
  std::map<MemberState, std::uint64_t> Members;
  std::uint64_t RevisionInForce = 0;
  bool StoreUp = true;
  std::uint64_t OpenRequests = 0;
  std::uint64_t WaitingBodyBytes = 0;
  std::uint64_t PeersConnected = 0;
  // Totals since the daemon's start.
  std::uint64_t PeerMessagesSent = 0;
  std::uint64_t PeerMessagesReceived = 0;
  std::uint64_t PeerMessagesDropped = 0;
  std::uint64_t PeerMessagesRejected = 0;
  std::uint64_t PeerBytesSent = 0;
  std::uint64_t PeerBytesReceived = 0;
  std::uint64_t PeerConnections = 0;
  std::uint64_t GossipPacketsSent = 0;
  std::uint64_t GossipBytesSent = 0;
  std::uint64_t WrongAnswers = 0;
  std::uint64_t EventsOverwritten = 0; ///< See Timeline::overwrittenCount().
};

/// The daemon's metrics in Prometheus's text format; docs/METRICS.md lists
/// them. Safe from any thread.
class Metrics : public EntryObserver {
public:
  Metrics();
  ~Metrics() override;

  void onAccepted(const Ticket &Request) override;
  void onDispatched(const Ticket &Request) override;
  void onGrantReturned(ReturnReason Reason) override;
  void onStreamResumed() override;
  void onCallerHungUp() override;
  void onEnded(const RequestSummary &Summary) override;

  /// Counts a call to the store. \p Kind names the call, e.g. "get"; \p Result
  /// is "ok" or the name of an error.
  void countStoreCall(std::string_view Kind, std::string_view Result);

  /// Counts a datagram that was dropped. \p Cause is "authentication" or
  /// "malformed", for instance.
  void countDatagramDropped(std::string_view Cause);

  /// Sets the sampled metrics to \p Sample and writes all metrics.
  std::string serialize(const MetricsSample &Sample);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Name of \p Reason in metrics and logs, e.g. "target-leaving".
std::string_view toString(ReturnReason Reason);

} // namespace mangodeck

#endif
