#ifndef MANGODECK_PROCESS_DRAIN_H
#define MANGODECK_PROCESS_DRAIN_H

#include "mangodeck/common/units.h"

#include <cstddef>

namespace mangodeck {

/// Phases from normal service to exit, in order.
enum class DrainPhase : std::uint8_t {
  Serving,
  Leaving,   ///< Reported as not ready, but still accepts requests.
  Finishing, ///< Accepts no requests; those in progress continue.
  Done,      ///< No request is in progress; the daemon may exit.
};

/// Decides when a daemon that shuts down may stop accepting requests and exit.
/// The balancer learns with a delay of up to BalancerLag that the daemon is not
/// ready; until then the daemon still accepts requests. It exits when no
/// request is in progress, so that none is cut off.
class Drain {
public:
  explicit Drain(Duration BalancerLag) : m_BalancerLag(BalancerLag) {}

  /// Starts the shutdown; later calls change nothing.
  void begin(TimePoint Now);

  /// Moves to the next phase when its condition is met, by one phase at most.
  /// \p OpenRequests is the number of requests in progress.
  DrainPhase update(TimePoint Now, std::size_t OpenRequests);

  DrainPhase phase() const { return m_Phase; }

private:
  Duration m_BalancerLag;
  DrainPhase m_Phase = DrainPhase::Serving;
  TimePoint m_LeavingSince;
};

} // namespace mangodeck

#endif
