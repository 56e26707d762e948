#ifndef MANGODECK_GATEWAY_TARGETREGISTRY_H
#define MANGODECK_GATEWAY_TARGETREGISTRY_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/gateway/softwareversion.h"
#include "mangodeck/gateway/targetpace.h"
#include "mangodeck/gateway/targetratelimit.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
  std::int64_t StartedUnixMs = 0; ///< 0 if unknown.
  /// Version of the target's software, an opaque text without an order;
  /// std::nullopt if the registration states none.
  std::optional<std::string> Version;
  /// Increases with each registration of the same start; 0 if unknown.
  std::uint64_t Sequence = 0;
  bool operator==(const TargetEntry &) const = default;
};

/// RequestWork::OutputSpread of a request of which nothing was learned: one
/// output in six is more than 1.8 times as long as its hint.
inline constexpr double DefaultOutputSpread = 0.6;

/// Work that a request causes at a target.
struct RequestWork {
  bool IsEngine = false; ///< Whether the service is an engine.
  TokenCount PromptTokens = 0;
  TokenCount OutputTokens = 0; ///< Median expectation, not the maximum.
  TokenCount MaxOutputTokens = 0;
  /// Standard deviation of the logarithm of the output's length; see
  /// OutputLength.
  double OutputSpread = DefaultOutputSpread;
};

/// Bounds of a plausible pace; see TargetLoadStatement.
inline constexpr double MinPace = 0.01;
inline constexpr double MaxPace = 100;

/// What a target states of its load in an answer.
struct TargetLoadStatement {
  std::uint32_t Requests = 0; ///< Running and waiting there.
  /// How long work takes on the target's machine at this moment, relative to
  /// the usual time: 2 is twice as long. The machine is shared with others, so
  /// this changes many times a second. std::nullopt if not stated.
  std::optional<double> Pace;
};

/// What a target has stated in its answers. It outlives the registration:
/// answers to requests that were sent before the target registered again count
/// for the requests that are sent afterwards. A target that has restarted
/// answers before its new registration is known, so all starts share their
/// statements; only the leaving of a start ends with it.
struct TargetStatements {
  /// The target has asked this daemon to send nothing before this time.
  TimePoint PausedUntil{};
  /// Requests per second that the target accepts from all daemons.
  TargetRateLimit RateLimit;
  /// TrackedTarget::Hash of the starts that have stated that they leave.
  std::set<std::uint64_t> LeavingStarts;
  /// The latest start that was registered, and its TrackedTarget::Hash.
  std::int64_t LatestStartUnixMs = 0;
  std::uint64_t LatestStart = 0;
};

/// A registered target: its registration, and the load, speed and failures
/// that this daemon knows of.
class TrackedTarget {
public:
  explicit TrackedTarget(TargetEntry New);

  TargetEntry Entry;
  /// Hash of id and start time, and of the software version if the start time
  /// is not known; identifies the target in messages between daemons.
  std::uint64_t Hash = 0;
  VersionId Version = NoVersion; ///< Of the target's software.

  /// Requests of this daemon at the target, and the prompt tokens of those
  /// without a first event.
  std::uint32_t OwnRunning = 0;
  TokenCount OwnPrefillTokens = 0;
  /// The same for the other daemons, as they reported; at the slot broker, as
  /// granted.
  std::uint32_t PeerRunning = 0;
  TokenCount PeerPrefillTokens = 0;

  /// Requests of other daemons by the load that the target stated in its last
  /// answer; 0 once that answer is older than LoadLifetime.
  std::uint32_t ForeignRunning = 0;
  TimePoint ForeignRunningAt{};

  /// Requests that this daemon may send before the next reports of the other
  /// daemons arrive. All daemons see the same free slots, so each uses only its
  /// share of them, and the slots that its own requests free.
  std::uint32_t Allowance = 1;

  /// Time for a given work relative to the nominal engine; 2 is half as fast.
  double Slowdown = 1.0;
  bool HasSlowdownSample = false;
  /// Of the machine at this moment, as last stated.
  TargetPace Pace;

  /// Of a target in another failure domain: time from which on this daemon may
  /// request a permit from the slot broker there.
  TimePoint RequestPermitAfter{};
  /// Its version is new beside others: it begins no stream that can be taken up
  /// before this time. See VersionSettleTime.
  TimePoint NewStreamsFrom{};
  /// The target is not used before this time, after failures.
  TimePoint AvoidUntil{};
  std::uint32_t ConsecutiveFailures = 0;
  /// Set if the registration was removed or replaced, or if another target
  /// answered at its address. Not used until it registers again or a request
  /// succeeds.
  bool MarkedDown = false;
  /// A start of another version has registered under the id. Streams that
  /// still run here may be that start's: it may have answered before it was
  /// registered.
  bool IsVersionReplaced = false;
  /// The rollout of its service lets no request go to the target.
  bool IsBarred = false;
  /// Time of the last byte that the target sent on any connection.
  TimePoint LastByteAt{};

  /// Requests of all daemons at the target.
  std::uint32_t running() const {
    return OwnRunning + std::max(PeerRunning, ForeignRunning);
  }
  /// Updates ForeignRunning from an answer of the target which states that
  /// \p Total requests run or wait there.
  void recordLoad(std::uint32_t Total, TimePoint Now);
  /// Resets ForeignRunning if it is older than LoadLifetime.
  void expireLoad(TimePoint Now);
  TokenCount prefillTokens() const {
    return OwnPrefillTokens + PeerPrefillTokens;
  }
  TargetRateLimit &rateLimit() const { return m_Statements->RateLimit; }
  TimePoint pausedUntil() const { return m_Statements->PausedUntil; }
  /// A copy that shares nothing with this target.
  std::shared_ptr<TrackedTarget> copy() const;
  /// Shares the statements of an earlier registration of the target.
  void adoptStatements(const TrackedTarget &Earlier);
  /// Records that the target has stated in an answer that it leaves, whatever
  /// its registration says. Holds for this start of the target, and for a later
  /// one that was known when this start was registered: then the store showed
  /// an older copy, and the later start has answered. Returns false if it was
  /// known.
  bool markAnnouncedLeaving();
  bool isLeaving() const {
    return Entry.Draining || m_Statements->LeavingStarts.contains(Hash);
  }
  bool isPaused(TimePoint Now) const { return pausedUntil() > Now; }
  bool isUsable(TimePoint Now) const {
    return !isLeaving() && !MarkedDown && !IsBarred && !isPaused(Now) &&
           AvoidUntil <= Now;
  }
  /// Records that the target asked this daemon to send nothing for \p Pause. A
  /// shorter pause than that in force changes nothing.
  void pauseFor(Duration Pause, TimePoint Now) {
    m_Statements->PausedUntil =
        std::max<TimePoint>(m_Statements->PausedUntil, Now + Pause);
  }
  /// Updates Slowdown from the mean pause between two events of \p Tokens
  /// tokens each.
  void recordEventGap(Duration Gap, std::uint32_t Tokens);
  /// Updates the mean time for which a request occupies the target.
  void recordOccupation(Duration Occupied);
  /// 0 if it was not measured.
  Duration meanOccupation() const { return m_MeanOccupation; }
  void recordSuccess(TimePoint Now);
  /// Records a failure that may be the target's fault. From FailuresToAvoid
  /// consecutive failures on, the target is avoided, each time for longer.
  void recordFailure(TimePoint Now);
  /// Records that nothing listens at the target's address; avoids the target
  /// without waiting for further failures.
  void recordUnreachable(TimePoint Now);
  /// The process has ended: another start, with another version, may answer at
  /// its address under the same id before its registration is known.
  void recordProcessEnd(TimePoint Now) { m_ProcessEndedAt = Now; }
  /// The target was registered at \p Time. If that is ReregistrationTime after
  /// the end of a process, the registration is not that process's.
  void confirmRegistration(TimePoint Time);
  /// Whether the process that answers is certainly the one that registered.
  bool isVersionCertain() const { return !m_ProcessEndedAt; }
  /// The target was avoided for failures and has not succeeded since. It gets
  /// one request at a time.
  bool isOnTrial() const;

private:
  std::optional<TimePoint> m_ProcessEndedAt;
  /// Hash of a later start that was registered before; 0 if there is none.
  std::uint64_t m_LaterStart = 0;
  Duration m_MeanOccupation{0};
  std::shared_ptr<TargetStatements> m_Statements =
      std::make_shared<TargetStatements>();
};

using TargetPtr = std::shared_ptr<TrackedTarget>;

/// The registered targets, by id, hash and service.
class TargetRegistry {
public:
  /// Adds or updates a target and returns it. A target that has restarted or
  /// changed its address, service or software version is replaced by a new
  /// TrackedTarget; one
  /// that was removed and registers again under the same start is continued.
  /// A store that was restored from an older copy may show a target as ready
  /// that has left since: returns nullptr, and changes nothing, if \p Entry is
  /// not newer than the registration with which the target left.
  TargetPtr update(const TargetEntry &Entry);
  /// Removes a target whose registration is gone, and returns it. \p HasLeft:
  /// the registration did not merely expire, so that only a newer one brings
  /// the target back.
  TargetPtr remove(const TargetName &Id, bool HasLeft);
  /// A registry of copies of the targets of \p Service. What is decided on them
  /// changes nothing here.
  TargetRegistry copyOf(const ServiceName &Service) const;
  TargetPtr find(const TargetName &Id) const;
  TargetPtr findByHash(std::uint64_t Hash) const;
  /// The same, also for a target whose registration was removed or replaced.
  TargetPtr findByHashOrDeparted(std::uint64_t Hash) const;
  std::span<const TargetPtr> targetsOf(const ServiceName &Service) const;
  const std::map<std::string, std::vector<TargetPtr>> &
  targetsByService() const {
    return m_ByService;
  }
  std::size_t size() const { return m_ById.size(); }
  /// Number of targets whose rate limit is in force.
  std::size_t countRateLimited() const;

private:
  /// A target whose registration was removed or replaced.
  struct Departure {
    TargetPtr Target;
    bool HasLeft = false; ///< See remove().
  };
  /// Removes the target from the indexes by hash and service, marks it down,
  /// and remembers its departure.
  void unlink(const TargetPtr &Target, bool HasLeft);
  /// Whether \p Entry is of a start before the one with which the target left.
  bool isOfStartBeforeLeaving(const TargetEntry &Entry) const;
  /// The last known registration of a target; nullptr if there is none.
  TargetPtr findLast(const TargetName &Id) const;
  /// Continues or creates the target that \p Entry describes; nullptr if it has
  /// left.
  TargetPtr recallOrCreate(const TargetEntry &Entry);
  std::unordered_map<std::uint64_t, Departure> m_Departures; ///< By hash.
  std::deque<std::uint64_t> m_DepartureOrder; ///< Hashes, oldest first.
  std::unordered_map<std::string, TargetPtr> m_ById;
  std::unordered_map<std::uint64_t, TargetPtr> m_ByHash;
  std::map<std::string, std::vector<TargetPtr>> m_ByService;
};

} // namespace mangodeck

#endif
