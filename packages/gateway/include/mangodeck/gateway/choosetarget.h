#ifndef MANGODECK_GATEWAY_CHOOSETARGET_H
#define MANGODECK_GATEWAY_CHOOSETARGET_H

#include "mangodeck/gateway/targetregistry.h"

#include <span>

namespace mangodeck {

/// What a choice of a target goes by.
struct TargetChoiceInput {
  RequestWork Work;
  FailureDomain OwnDomain; ///< This daemon's failure domain.
  Duration TimeToLatencyTarget{
      0};                     ///< Until the latency target passes; may be < 0.
  Duration TimeToDeadline{0}; ///< Until the whole answer is worth nothing.
  Duration GapTarget{0};      ///< Longest pause between events; 0: none.
  std::span<const TargetPtr> Excluded; ///< Targets that were tried already.
  /// Targets of the own failure domain are left to the slot broker there.
  bool RemoteDomainsOnly = false;
  /// The slots that are free are known, not estimated: no allowance applies.
  bool LoadsAreExact = false;
};

/// A chosen target and what is expected of it.
struct ChosenTarget {
  TargetPtr Target;
  Duration TimeToFirstEvent{0};    ///< Expected time to the first event.
  bool MeetsLatencyTarget = false; ///< It is within the latency target.
};

/// Chooses a target for a request, or none if no usable target has a free
/// slot. Answers the load of bursts on engines of unlike speed that know no
/// priorities: a slot is given only where the request starts at once, so that
/// waiting requests stay in the daemons, where they can be ordered.
///
/// Targets of the own failure domain go first, since bytes between failure
/// domains cost; another one's are taken when no target at home makes the
/// latency target. Among targets that make it, the fastest is taken: a step
/// takes nearly the same time for one request as for a full batch, so that a
/// fast engine's free slot is the cheapest place there is. Linear in the
/// service's targets.
std::optional<ChosenTarget> chooseTarget(std::span<const TargetPtr> Targets,
                                         const TargetChoiceInput &Input,
                                         TimePoint Now);

/// Expected time to the first event of \p Work on \p Target.
Duration expectedTimeToFirstEvent(const TrackedTarget &Target,
                                  const RequestWork &Work);

/// Time to the first event of \p Work on an idle nominal target.
Duration nominalTimeToFirstEvent(const RequestWork &Work);

/// Expected time to the end of \p Work on \p Target.
Duration expectedTotalTime(const TrackedTarget &Target,
                           const RequestWork &Work);

/// The part of a target's free slots that one of \p Rivals daemons takes;
/// \p Draw in [0, 1) rounds it up or down by chance. Answers bursts at many
/// daemons: without it, all of them fill the slots that they see free.
std::uint32_t drawAllowance(const TrackedTarget &Target, std::size_t Rivals,
                            double Draw);

/// Usable targets of a service and the slots that are free on them.
struct TargetCapacity {
  std::uint32_t UsableTargets = 0;
  std::uint32_t Slots = 0;
  std::uint32_t FreeSlots = 0;
};
TargetCapacity capacityOf(std::span<const TargetPtr> Targets, TimePoint Now);

} // namespace mangodeck

#endif
