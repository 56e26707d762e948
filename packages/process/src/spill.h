#ifndef MANGODECK_PROCESS_SPILL_H
#define MANGODECK_PROCESS_SPILL_H

#include "mangodeck/process/dispatchgroup.h"

#include <map>
#include <optional>
#include <string>

namespace mangodeck {

/// Chooses another group of the service for a ticket that this group would
/// make wait or give up. Other groups are known by their digests, which age;
/// tickets passed since a digest are taken off its free share.
class Spill {
public:
  void update(const GroupSummary &Digest, Duration LinkDelay, TimePoint Now);

  /// The reachable group with free sequences that is nearest.
  std::optional<GroupId> withRoom(TimePoint Now) const;

  /// A group that has room, or lower tiers than \p Tier waiting.
  std::optional<GroupId> admitting(TierRank Tier, TimePoint Now) const;

  /// The group where requests with a prefix are to be gathered: the winner of
  /// a rendezvous over \p Self and the reachable groups. std::nullopt if that
  /// is \p Self, or if the winner has no room.
  std::optional<GroupId> homeOf(std::uint64_t Prefix, const GroupId &Self,
                                TimePoint Now) const;

  /// Demand of customers with limits on the reachable groups.
  std::map<std::string, double> demand(TimePoint Now) const;

  /// Books a ticket as passed to \p Group.
  void onPassed(const GroupId &Group);

private:
  struct Peer {
    GroupSummary Digest;
    Duration LinkDelay{0};
    TimePoint Received;
  };

  static bool isFresh(const Peer &Other, TimePoint Now);

  std::map<GroupId, Peer> m_Peers;
};

} // namespace mangodeck

#endif
