#include "mangodeck/gateway/rolloutorder.h"

namespace mangodeck {

OrderRelation relate(const RolloutOrder &Known, const RolloutOrder &Listed) {
  if (Listed.Revision == Known.Revision)
    return OrderRelation::Same;
  const bool IsSameText =
      Listed.To == Known.To && Listed.TimeLimit == Known.TimeLimit;
  // The restored store gives revisions out again, and the operator may have
  // written the order a second time after the restore.
  if (Listed.Revision.Era > Known.Revision.Era && IsSameText)
    return OrderRelation::Restored;
  if (Listed.Revision < Known.Revision)
    return OrderRelation::Outdated;
  return Listed.To == Known.To ? OrderRelation::Repeated
                               : OrderRelation::Changed;
}

bool belongsTo(const RolloutStatus &Status, const RolloutOrder &Order) {
  return Status.To == Order.To && Status.Revision > Order.Revision;
}

std::string_view nameOf(RolloutState State) {
  switch (State) {
  case RolloutState::Completed:
    return "completed";
  case RolloutState::RolledBack:
    return "rolled_back";
  case RolloutState::Running:
    break;
  }
  return "running";
}

std::string_view nameOf(RolloutStep Step) {
  switch (Step) {
  case RolloutStep::Trial:
    return "trial";
  case RolloutStep::Confirm:
    return "confirm";
  case RolloutStep::Switched:
    return "switched";
  case RolloutStep::Final:
    return "final";
  case RolloutStep::Waiting:
    break;
  }
  return "waiting";
}

} // namespace mangodeck
