#ifndef MANGODECK_PROCESS_DISPATCHEXCLUSIONS_H
#define MANGODECK_PROCESS_DISPATCHEXCLUSIONS_H

#include "mangodeck/common/ids.h"

#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace mangodeck {

/// The targets and requests that no daemon may dispatch. Checked right before
/// each dispatch. Immutable; request threads read it by read-copy-update.
struct DispatchExclusions {
  /// Leaving targets with the incarnation that leaves. An entry holds for that
  /// incarnation and all earlier ones, whatever their reports say.
  std::unordered_map<TargetName, Incarnation> Leaving;
  /// Fingerprints of requests that crashed two targets.
  std::unordered_set<std::uint64_t> Quarantined;

  bool isLeaving(const TargetName &Target, Incarnation Started) const {
    const auto It = Leaving.find(Target);
    return It != Leaving.end() && Started <= It->second;
  }

  bool isQuarantined(std::uint64_t Fingerprint) const {
    return Quarantined.contains(Fingerprint);
  }
};

/// Publishes exclusions to all daemons; safe from any thread.
class ExclusionPublisher {
public:
  virtual ~ExclusionPublisher() = default;
  virtual void publishLeaving(const TargetName &Target,
                              Incarnation Started) = 0;
  virtual void publishQuarantine(std::uint64_t Fingerprint) = 0;
};

} // namespace mangodeck

#endif
