#ifndef MANGODECK_GATEWAY_TEST_SPILLMODEL_H
#define MANGODECK_GATEWAY_TEST_SPILLMODEL_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace mangodeck {

/// How a daemon treats a request that has no slot in its own failure domain.
enum class SpillPolicy : std::uint8_t {
  ByLoads,     ///< Each request to a target elsewhere that seems free.
  NeverLeave,  ///< Waits or is refused.
  LeastLoaded, ///< Each request to the least loaded target of all domains.
  ByOffers,    ///< SpillControl.
};
std::string_view nameOf(SpillPolicy Policy);

/// Failure domains with daemons and the targets of one plain service. Each
/// request holds one of six slots of a target for 60 ms. Demand varies by 55%
/// in waves of 13 s whose phases differ by domain.
struct SpillScenario {
  std::vector<unsigned> TargetsByDomain = {2, 1, 1};
  unsigned DaemonsByDomain = 6;
  double LoadShare = 0.8; ///< Of all slots, in the mean.
  double WaveShare = 0.55;
  Duration Time = 40s;
  Duration LatencyTarget = 150ms;
  Duration TimeLimit = 1s;
  Duration SummaryDelay = 5ms;
  std::uint64_t Seed = 1;
  bool KillsBrokers = false; ///< The first daemon of a domain, every 8 s.
  bool CutsOneWay = false;   ///< Domain 1 hears nothing of domain 0 from 10 s.
  bool DuplicatesLate = false; ///< Summaries arrive again 400 ms later.
  bool HasSlowDaemon = false;  ///< One of five handles messages 30 ms later.
  bool MovesCallers = false;   ///< Half of domain 0's to domain 1, each 10 s.
};

struct SpillResult {
  std::uint64_t Requests = 0;
  std::uint64_t InTime = 0;
  std::uint64_t Late = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0; ///< Of a daemon that was killed.
  std::uint64_t Left = 0;   ///< Sent to another failure domain.
  std::uint64_t SummaryBytes = 0;
  std::uint64_t RequestBytes = 0; ///< With the answers, between domains.
  /// Deviation of the requests that left in each 500 ms from 3 s on, relative
  /// to the mean.
  double FlowDeviation = 0;
};

SpillResult playSpill(const SpillScenario &Scenario, SpillPolicy Policy);

} // namespace mangodeck

#endif
