#ifndef MANGODECK_REQUEST_TARGETREPORT_H
#define MANGODECK_REQUEST_TARGETREPORT_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangodeck {

/// A target's report of its own load; out of date by Age when it arrives.
struct LoadReport {
  TargetName Target;
  Incarnation TargetIncarnation = 0;
  Duration Age{0}; ///< Of the values when the report arrived.
  std::uint32_t RunningSequences = 0;
  std::uint32_t WaitingSequences = 0;
  TokenCount KvTokensUsed = 0;
  TokenCount KvTokensTotal = 0;
  bool Leaving = false;
};

/// A change in a target's prefix cache. Events are delayed and may be lost.
struct CacheEvent {
  TargetName Target;
  Incarnation TargetIncarnation = 0;
  std::uint64_t Sequence = 0;         ///< Ascending within one incarnation.
  std::vector<std::uint64_t> Stored;  ///< Prefix block hashes.
  std::vector<std::uint64_t> Evicted; ///< Prefix block hashes.
};

/// Receives the reports of targets; called on the watcher's thread.
class TargetReportHandler {
public:
  virtual ~TargetReportHandler() = default;
  virtual void onLoad(const LoadReport &Report) = 0;
  virtual void onCache(const CacheEvent &Report) = 0;

  /// The target answers, for the first time or again after onDown().
  virtual void onUp(const TargetName &Target,
                    Incarnation TargetIncarnation) = 0;

  /// A connection to the target ended without an answer, or another incarnation
  /// of the target answered; in the second case onUp() follows.
  virtual void onDown(const TargetName &Target) = 0;
};

/// Subscribes to the reports of targets. Only the owner of a dispatch group
/// watches the group's targets.
class TargetWatcher {
public:
  virtual ~TargetWatcher() = default;
  virtual void watch(const TargetName &Target, const std::string &Address) = 0;
  virtual void unwatch(const TargetName &Target) = 0;
};

} // namespace mangodeck

#endif
