#ifndef MANGODECK_GATEWAY_CHOOSETARGET_H
#define MANGODECK_GATEWAY_CHOOSETARGET_H

#include "mangodeck/gateway/targetregistry.h"

#include <limits>
#include <span>
#include <string_view>

namespace mangodeck {

/// AnswerForecast::gain() from which on a request is expected to be in time.
/// In the model of engines (placement_test), 0.15 and 0.7 gave callers less in
/// time at low demand.
inline constexpr double MinGainInTime = 0.5;

/// The request and the constraints for which a target is chosen.
struct TargetChoiceInput {
  RequestWork Work;
  FailureDomain OwnDomain; ///< This daemon's failure domain.
  /// Until the latency target passes; negative if it has passed.
  Duration TimeToLatencyTarget{0};
  Duration TimeToDeadline{0}; ///< Until the request's time limit passes.
  Duration GapTarget{0};      ///< Longest pause between events; 0: no limit.
  std::span<const TargetPtr> Excluded; ///< Targets that must not be chosen.
  /// The only version to be chosen, of a stream that goes on; NoVersion: any.
  VersionId Version = NoVersion;
  /// A version that must not be chosen; NoVersion: none.
  VersionId AvoidedVersion = NoVersion;
  bool BeginsStream = false; ///< See TargetRequirements.
  /// Consider no targets of the own failure domain: the slot broker decides on
  /// those.
  bool RemoteDomainsOnly = false;
  /// Consider only targets for which this daemon has no permit under their rate
  /// limit and may request one from their slot broker.
  bool NeedsPermit = false;
  /// Consider only engines where the gain is at least this much; see
  /// AnswerForecast::gain().
  double LeastGain = -std::numeric_limits<double>::infinity();
  /// The load of each target is known exactly, so that
  /// TrackedTarget::Allowance need not be observed.
  bool LoadsAreExact = false;
};

/// Whose share of a target's rate limit a request uses.
enum class PermitSource {
  None,   ///< No limit is known.
  Daemon, ///< The share of the daemon that sends the request.
  Broker, ///< The share of a slot broker, maybe of this daemon.
};

/// A chosen target and the expected latency of the request there.
struct ChosenTarget {
  TargetPtr Target;
  Duration TimeToFirstEvent{0}; ///< Expected.
  /// The request is expected to meet its latency target. At an engine, it is
  /// more likely than not to meet its deadline as well, without stalling as
  /// many streams of other requests (AnswerForecast::gain()).
  bool MeetsLatencyTarget = false;
  PermitSource Permit = PermitSource::None;
};

/// Chooses a target for a request; std::nullopt if no usable target has a free
/// slot and a permit under its rate limit. A request is sent only to a target
/// that can start it without delay. Engines differ in speed and know no
/// priorities, so during bursts the waiting requests stay in the daemons, which
/// order them by rank.
///
/// Targets that are expected to answer in time are preferred, then those of the
/// own failure domain, since traffic between failure domains has a cost. Of
/// several engines, the slowest one that is almost certain to be in time is
/// chosen, so that the faster ones stay free for the requests that only they
/// can end in time, else the one with the largest gain. Linear in the number of
/// targets.
std::optional<ChosenTarget> chooseTarget(std::span<const TargetPtr> Targets,
                                         const TargetChoiceInput &Input,
                                         TimePoint Now);

/// Whether an engine of \p Targets could answer the request in time if it was
/// idle. If not, the request need not wait for a better moment.
bool canBeInTime(std::span<const TargetPtr> Targets,
                 const TargetChoiceInput &Input, TimePoint Now);

/// Whether a stream that began at \p Version may go on at \p Target; with
/// NoVersion, whether a request may begin there.
bool isOfVersion(const TrackedTarget &Target, VersionId Version);

/// What a request requires of a target.
struct TargetRequirements {
  const ServiceName &Service;
  VersionId Version = NoVersion; ///< At which its stream goes on.
  bool BeginsStream = false;     ///< That can be taken up; see NewStreamsFrom.
  std::span<const TargetPtr> Tried;     ///< To which it was sent before.
  VersionId AvoidedVersion = NoVersion; ///< At which it must not run.
};

/// Why a request must not be sent to \p Target, for a log line; empty if it may
/// be. A decision of another process, or of an earlier moment, is made with an
/// older view of the targets, so what must never happen is checked where the
/// request is sent.
std::string_view obstacleToSend(const TrackedTarget &Target,
                                const TargetRequirements &Required,
                                TimePoint Now);

/// Expected time to the first event of \p Work on \p Target.
Duration expectedTimeToFirstEvent(const TrackedTarget &Target,
                                  const RequestWork &Work);

/// Time to the first event of \p Work on an idle nominal target.
Duration nominalTimeToFirstEvent(const RequestWork &Work);

/// The number of a target's free slots that one of \p CompetingDaemons daemons
/// may use: an equal share, rounded up or down at random by \p Draw in [0, 1).
/// Without this limit, all daemons would fill the same free slots in a burst.
std::uint32_t drawAllowance(const TrackedTarget &Target,
                            std::size_t CompetingDaemons, double Draw);

/// Time until the first of \p Targets of \p Version, or of any with NoVersion,
/// accepts requests again; std::nullopt if one does now, or if there is none
/// apart from those that leave or are down.
std::optional<Duration> commonPause(std::span<const TargetPtr> Targets,
                                    VersionId Version, TimePoint Now);

/// Slots of the usable targets of a service, or of a version of it.
struct TargetCapacity {
  std::uint32_t UsableTargets = 0;
  std::uint32_t Slots = 0;
  std::uint32_t FreeSlots = 0;
};
TargetCapacity capacityOf(std::span<const TargetPtr> Targets, TimePoint Now,
                          VersionId Version = NoVersion);

} // namespace mangodeck

#endif
