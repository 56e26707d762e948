#ifndef MANGODECK_CONNECTION_HTTPTARGETWATCHER_H
#define MANGODECK_CONNECTION_HTTPTARGETWATCHER_H

#include "mangodeck/request/targetreport.h"

#include <memory>

namespace mangodeck {

/// Timeouts of an HttpTargetWatcher.
struct TargetWatcherOptions {
  Duration ConnectTimeout = 1s;
  /// A stream without a byte for this long is given up.
  Duration Silence = 3s;
  /// Wait before a connection that follows a broken one; doubled after each
  /// failure in a row.
  Duration ReconnectDelay = 100ms;
  Duration MaxReconnectDelay = 2s;
  /// Time between two looks at a target that publishes no events.
  Duration ProbePeriod = 1s;
};

/// Follows GET /mangodeck/events of targets, a text/event-stream with the
/// events load, cache and state (docs/TARGETS.md). A stream that breaks or
/// falls silent is replaced by a new one; the target counts as down when that
/// fails. A target that answers without publishing events is looked at again
/// after each ProbePeriod and counts as up with incarnation 0.
class HttpTargetWatcher : public TargetWatcher {
public:
  /// \p Handler must outlive the watcher.
  HttpTargetWatcher(TargetWatcherOptions Options, TargetReportHandler &Handler);
  ~HttpTargetWatcher() override;

  /// Starts to follow a target. A target that is followed already at another
  /// address is followed at the new one.
  void watch(const TargetName &Target, const std::string &Address) override;

  /// Stops without a report; the handler gets no further call for the target
  /// once the call in progress, if any, has returned.
  void unwatch(const TargetName &Target) override;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace mangodeck

#endif
