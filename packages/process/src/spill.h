#ifndef MANGODECK_PROCESS_SPILL_H
#define MANGODECK_PROCESS_SPILL_H

#include "mangodeck/process/dispatchgroup.h"

#include <map>
#include <optional>
#include <string>

namespace mangodeck {

/// Chooses another group of the service for a ticket that this group would
/// queue or refuse. Uses the latest summary of each group until it expires;
/// tickets spilled to a group since its summary are subtracted from its free
/// sequences.
class Spill {
public:
  void recordSummary(const GroupSummary &Summary, Duration LinkDelay,
                     TimePoint Now);

  /// The group with free sequences and the least link delay; among equals the
  /// one with the most free sequences.
  std::optional<GroupId> nearestWithFreeSequences(TimePoint Now) const;

  /// A group with free sequences; failing that, the group with the least queue
  /// delay that admits \p Tier and has tickets of lower tiers waiting, which it
  /// would evict first.
  std::optional<GroupId> groupAdmitting(TierRank Tier, TimePoint Now) const;

  /// The group that should run all requests with \p Prefix: the winner of a
  /// rendezvous hash over \p Self and the groups with a current summary.
  /// std::nullopt if that is \p Self, or if the winner has no free sequences.
  std::optional<GroupId> groupForPrefix(std::uint64_t Prefix,
                                        const GroupId &Self,
                                        TimePoint Now) const;

  /// Requests per second of each customer with limits, summed over the groups
  /// with a current summary.
  std::map<std::string, double> demandPerSecond(TimePoint Now) const;

  /// Records that a ticket was spilled to \p Group.
  void recordSpill(const GroupId &Group);

private:
  struct OtherGroup {
    GroupSummary Summary;
    Duration LinkDelay{0};
    TimePoint ReceivedAt;
  };

  static bool isFresh(const OtherGroup &Other, TimePoint Now);

  std::map<GroupId, OtherGroup> m_OtherGroups;
};

} // namespace mangodeck

#endif
