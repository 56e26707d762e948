#ifndef MANGODECK_PROCESS_PLACEMENT_H
#define MANGODECK_PROCESS_PLACEMENT_H

#include "prefixcacheestimate.h"
#include "targetstate.h"

#include "mangodeck/version/snapshot.h"

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangodeck {

/// A target rated for a ticket.
struct RatedTarget {
  TargetIndex Target = 0;
  TokenCount CachedTokens = 0; ///< Prompt tokens estimated to be cached there.
  /// Expected time to the first token, plus the time of a bounded number of
  /// output tokens at the target's load. The lowest cost wins.
  Duration Cost{0};
};

/// Result of Placement::choose.
struct PlacementResult {
  std::optional<RatedTarget> Best;
  /// Some target fits the ticket but has too much pending prefill.
  bool PrefillLimited = false;
};

/// The targets of a dispatch group, and the choice of a target for a ticket.
/// Targets with free sequences are kept in order of load, so that a choice
/// examines only a few candidates however many targets there are.
class Placement {
public:
  /// Applies the configured targets. Known targets keep their index.
  void configure(std::span<const Target *const> Records, TimePoint Now);

  std::optional<TargetIndex> find(const TargetName &Name) const;
  TargetState &target(TargetIndex Index) { return m_Targets[Index]; }
  const TargetState &target(TargetIndex Index) const {
    return m_Targets[Index];
  }
  std::size_t size() const { return m_Targets.size(); }
  PrefixCacheEstimate &prefixCache() { return m_PrefixCache; }

  /// Chooses the target with the lowest cost among those that fit the ticket.
  /// Excludes \p Reserved, and targets with more than \p MaxPendingPrefill of
  /// pending prefill unless more than half of the prompt is cached there.
  PlacementResult choose(const Ticket &Request,
                         std::optional<TargetIndex> Reserved,
                         Duration MaxPendingPrefill, TimePoint Now) const;

  /// The usable target that is expected to fit \p Work first: the one with the
  /// most free KV cache among those that fit it when empty. std::nullopt if
  /// there is none. Linear in the number of targets; called only for large
  /// tickets, which are rare.
  std::optional<TargetIndex> chooseToReserve(const GrantedWork &Work,
                                             TimePoint Now) const;

  /// Updates the index after a change of a target.
  void refresh(TargetIndex Index, TimePoint Now);

  /// Updates the health of all targets, then the index of targets with free
  /// sequences and the counts.
  void refreshAll(TimePoint Now);

  /// Moves the estimated speeds of idle targets towards the median target's, so
  /// that a target that was slow is tried again. Linear in the number of
  /// targets.
  void relaxIdleSpeeds(TimePoint Now);

  /// Records a failure of the target and ejects the target if it failed often
  /// enough and the limit on ejected targets allows it.
  void recordFailure(TargetIndex Index, TimePoint Now);

  bool hasFreeSequences() const { return !m_FreeByLoad.empty(); }
  bool hasUsableTarget() const { return m_UsableCount > 0; }
  std::size_t usableCount() const { return m_UsableCount; }
  std::uint32_t freeSequences() const { return m_FreeSequences; }

private:
  /// The values of a target that m_FreeByLoad and the counts contain.
  struct IndexedState {
    bool HasFree = false; ///< Usable with a free sequence.
    bool Usable = false;
    bool Ejected = false;
    double Load = 0; ///< Expected seconds per output token.
    std::uint32_t FreeSequences = 0;
  };

  void setInitialSpeed(TargetIndex Index);

  std::optional<RatedTarget> rateTarget(TargetIndex Index,
                                        const Ticket &Request,
                                        const GrantedWork &Work,
                                        TimePoint Now) const;

  std::vector<TargetState> m_Targets;
  std::vector<IndexedState> m_IndexedStates;
  std::unordered_map<std::string, TargetIndex> m_ByName;
  /// Load and index of the targets with free sequences.
  std::set<std::pair<double, TargetIndex>> m_FreeByLoad;
  std::size_t m_UsableCount = 0;
  std::size_t m_EjectedCount = 0;
  std::uint32_t m_FreeSequences = 0;
  PrefixCacheEstimate m_PrefixCache;
};

} // namespace mangodeck

#endif
