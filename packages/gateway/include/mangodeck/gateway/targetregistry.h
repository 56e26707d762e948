#ifndef MANGODECK_GATEWAY_TARGETREGISTRY_H
#define MANGODECK_GATEWAY_TARGETREGISTRY_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// A target as its registration describes it.
struct TargetEntry {
  TargetName Id;
  ServiceName Service;
  FailureDomain Domain;
  std::string Ip;
  std::uint16_t Port = 0;
  std::uint32_t Slots = 1;
  bool Draining = false;
  std::int64_t StartedUnixMs = 0; ///< Unix milliseconds; 0 if unknown.
};

/// Work that a request puts on a target.
struct RequestWork {
  bool IsEngine = false;
  TokenCount PromptTokens = 0;
  TokenCount OutputTokens = 0; ///< Expected, not the maximum.
};

/// What a daemon knows of one target.
class TrackedTarget {
public:
  explicit TrackedTarget(TargetEntry Entry);

  TargetEntry Entry;
  std::uint64_t Hash = 0; ///< Of the id and start; names it among daemons.

  /// Requests and prompt tokens without a first token, sent from here.
  std::uint32_t OwnRunning = 0;
  TokenCount OwnPrefillTokens = 0;
  /// The same, as the other daemons told.
  std::uint32_t PeerRunning = 0;
  TokenCount PeerPrefillTokens = 0;

  /// Requests of other daemons as its last answer told; 0 when that is old.
  std::uint32_t ForeignRunning = 0;
  TimePoint ForeignRunningAt{};

  /// Requests that this daemon may still send before it hears again what the
  /// others sent. All daemons see the same free slots; each takes its part of
  /// them, and the slots that its own requests free.
  std::uint32_t Allowance = 1;

  /// Time that it takes for work, relative to the nominal engine.
  double Slowdown = 1.0;
  bool HasSlowdownSample = false;

  /// Not used before this; set by failures.
  TimePoint AvoidUntil{};
  std::uint32_t ConsecutiveFailures = 0;
  /// Crashed, or its address answers for another target: unusable until its
  /// registration changes or it was seen well.
  bool MarkedDown = false;
  /// Last byte that it sent on any connection.
  TimePoint LastByteAt{};

  /// Requests at the target, own ones and those of other daemons.
  std::uint32_t running() const {
    return OwnRunning + std::max(PeerRunning, ForeignRunning);
  }
  /// Takes over what an answer said of the target's load: \p Total requests
  /// run or wait there.
  void recordLoad(std::uint32_t Total, TimePoint Now);
  /// Drops what the last answers said once it is old.
  void expireLoad(TimePoint Now);
  TokenCount prefillTokens() const {
    return OwnPrefillTokens + PeerPrefillTokens;
  }
  bool isUsable(TimePoint Now) const {
    return !Entry.Draining && !MarkedDown && AvoidUntil <= Now;
  }
  /// Learns from the mean pause between two events of \p Tokens tokens each.
  void recordEventGap(Duration Gap, std::uint32_t Tokens);
  void recordSuccess(TimePoint Now);
  /// A failure that may be the target's fault; avoids it for a while, longer
  /// each time.
  void recordFailure(TimePoint Now);
  /// Nobody listens at its address; avoids it at once.
  void recordUnreachable(TimePoint Now);
  /// Failed lately and not seen well since: it is tried with one request.
  bool isOnTrial() const;
};

using TargetPtr = std::shared_ptr<TrackedTarget>;

/// All targets by service.
class TargetRegistry {
public:
  /// Takes a registration over. Returns its state; a target that started
  /// anew, or moved, gets a new one.
  TargetPtr update(const TargetEntry &Entry);
  /// The registration is gone. Returns the state that was dropped.
  TargetPtr remove(const TargetName &Id);
  TargetPtr find(const TargetName &Id) const;
  TargetPtr findByHash(std::uint64_t Hash) const;
  std::span<const TargetPtr> targetsOf(const ServiceName &Service) const;
  const std::map<std::string, std::vector<TargetPtr>> &
  targetsByService() const {
    return m_ByService;
  }
  std::size_t size() const { return m_ById.size(); }

private:
  void unlink(const TargetPtr &State);
  std::unordered_map<std::string, TargetPtr> m_ById;
  std::unordered_map<std::uint64_t, TargetPtr> m_ByHash;
  std::map<std::string, std::vector<TargetPtr>> m_ByService;
};

} // namespace mangodeck

#endif
