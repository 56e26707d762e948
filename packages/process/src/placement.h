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

/// A target chosen for a ticket.
struct Choice {
  TargetIndex Target = 0;
  TokenCount Cached = 0; ///< Prompt tokens believed cached there.
  Duration FirstToken{0};
};

/// The outcome of a choice.
struct Selection {
  std::optional<Choice> Best;
  /// Some target has room, but has too much prefill to do already.
  bool Deferred = false;
};

/// The targets of a dispatch group and the choice among them. Targets with
/// room are kept in order of their load, so that a choice looks at a few
/// candidates only, however many targets there are.
class Placement {
public:
  /// Takes the group's targets over; positions of known targets stay.
  void configure(std::span<const Target *const> Records, TimePoint Now);

  std::optional<TargetIndex> find(const TargetName &Name) const;
  TargetState &target(TargetIndex Index) { return m_Targets[Index]; }
  const TargetState &target(TargetIndex Index) const {
    return m_Targets[Index];
  }
  std::size_t size() const { return m_Targets.size(); }
  PrefixCacheEstimate &belief() { return m_Belief; }

  /// Chooses the target with the least expected time to the first token; none
  /// if no target has room for the ticket. \p Held is left out, and so are
  /// targets with more than \p MostAhead of prefill to do, unless they hold
  /// most of the prompt.
  Selection choose(const Ticket &Request, std::optional<TargetIndex> Held,
                   Duration MostAhead, TimePoint Now) const;

  /// The usable target that will soonest have room for \p Work; none if
  /// no target ever has. Linear in the targets; for rare large tickets.
  std::optional<TargetIndex> chooseToHold(const GrantedWork &Work,
                                          TimePoint Now) const;

  /// Call after any change of a target.
  void refresh(TargetIndex Index, TimePoint Now);

  /// Re-evaluates all targets.
  void refreshAll(TimePoint Now);

  /// Lets the speeds of idle targets drift towards the median target's, so
  /// that one that was slow is tried again. Linear in the targets.
  void relaxIdle(TimePoint Now);

  /// Books a failure of the target and ejects it if the cap allows.
  void noteFailure(TargetIndex Index, TimePoint Now);

  bool hasRoom() const { return !m_Open.empty(); }
  bool hasUsable() const { return m_UsableCount > 0; }
  std::size_t usableCount() const { return m_UsableCount; }
  std::uint32_t freeSequences() const { return m_FreeSequences; }

private:
  struct Summary {
    bool Open = false;
    bool Usable = false;
    bool Ejected = false;
    double Load = 0;
    std::uint32_t Free = 0;
  };

  void setPrior(TargetIndex Index);

  std::optional<Choice> rate(TargetIndex Index, const Ticket &Request,
                             const GrantedWork &Work, TimePoint Now) const;

  std::vector<TargetState> m_Targets;
  std::vector<Summary> m_Summaries;
  std::unordered_map<std::string, TargetIndex> m_ByName;
  std::set<std::pair<double, TargetIndex>> m_Open;
  std::size_t m_UsableCount = 0;
  std::size_t m_EjectedCount = 0;
  std::uint32_t m_FreeSequences = 0;
  PrefixCacheEstimate m_Belief;
};

} // namespace mangodeck

#endif
