#ifndef MANGODECK_GATEWAY_TEST_ROLLOUTFLEET_H
#define MANGODECK_GATEWAY_TEST_ROLLOUTFLEET_H

#include "mangodeck/gateway/rolloutcontroller.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace mangodeck {

/// How the ordered version behaves in a model run.
enum class VersionFault {
  None,
  Failures,  ///< A portion of the answers fails.
  Slow,      ///< All answers take longer.
  Later,     ///< Failures from some time on.
  UnderLoad, ///< Failures at targets that run several requests.
  OneRoute,  ///< Failures on one route.
  SlowOnOneRoute,
};

/// A fleet, its load, and what happens to it.
struct RolloutScenario {
  int Daemons = 8;
  int Domains = 3;
  int Targets = 3; ///< Of each version.
  double PerSecond = 300;
  bool IsEngine = false;
  Duration TimeLimit = 12s;
  VersionFault Fault = VersionFault::None;
  double Severity = 0; ///< Share of bad answers, or factor of the time.
  Duration FaultFrom{0};
  std::uint64_t Seed = 1;
  bool HasDisturbances = false; ///< A few, drawn by the seed.
  Duration KillAllAt{0};        ///< Not if 0.
  Duration StoreDownFrom{0};
  Duration StoreDownFor{0};
  Duration CutFrom{0}; ///< The first domain is cut off from all, store as well.
  Duration CutFor{0};
  Duration RestoreAt{0};    ///< The store comes back as it was at the order.
  Duration TargetsAt{0};    ///< The new ones come this late; negative: never.
  Duration DegradedFrom{0}; ///< All targets fail and take longer for 2 s.
  Duration CrashAt{0};      ///< One new target ends and restarts.
};

struct RolloutOutcome {
  std::optional<RolloutState> Verdict;
  Duration VerdictAt{0};
  std::uint64_t Requests = 0; ///< Until the time limit.
  std::uint64_t Exposed = 0;  ///< Of these, sent to the new version.
  std::uint64_t ExposedBeforeSwitch = 0;
  std::uint64_t LateSends = 0; ///< To it, 5 s after its 50th bad answer.
  std::uint64_t Lost = 0;      ///< Ran at the old version at the completion.
  std::uint64_t GivenUp = 0;   ///< Ended by the fleet at the old version.
  std::uint64_t SentAfterVerdict = 0; ///< To the version that was rolled back,
                                      ///< a second later and more.
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t StoreWrites = 0;
  std::string Evidence; ///< RolloutController::describe() of the first daemon.
};

/// Plays one order with the real controllers in virtual time. Messages between
/// daemons are delayed, lost in 3 of 100 cases and doubled in 2; the store
/// answers after some milliseconds and loses 2 of 100 answers to writes.
RolloutOutcome playRollout(const RolloutScenario &Played);

} // namespace mangodeck

#endif
