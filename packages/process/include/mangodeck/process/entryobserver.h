#ifndef MANGODECK_PROCESS_ENTRYOBSERVER_H
#define MANGODECK_PROCESS_ENTRYOBSERVER_H

#include "mangodeck/request/outcome.h"
#include "mangodeck/request/ticket.h"

namespace mangodeck {

/// How a request ended, for metrics.
struct RequestSummary {
  ServiceName Service;
  TierRank Tier = 0;
  Run RunState = Run::No;
  /// Set when the request was not run.
  std::optional<NotRunReason> Reason;
  bool InTime = false; ///< Whole answer sent by the deadline.
  TokenCount PromptTokens = 0;
  TokenCount CachedTokens = 0;
  TokenCount OutputTokens = 0;
  Duration TimeToFirstToken{0}; ///< From acceptance; 0 if no token came.
  Duration MeanTokenGap{0};     ///< 0 with fewer than two tokens.
};

/// Receives the events that entry shards count; safe from any thread.
class EntryObserver {
public:
  virtual ~EntryObserver() = default;
  virtual void onAccepted(const Ticket &Request) = 0;
  virtual void onDispatched(const Ticket &Request) = 0;
  virtual void onGrantReturned(ReturnReason Reason) = 0;
  virtual void onStreamResumed() = 0;
  virtual void onCallerHungUp() = 0;
  virtual void onEnded(const RequestSummary &Summary) = 0;
};

} // namespace mangodeck

#endif
