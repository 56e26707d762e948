#ifndef MANGODECK_PROCESS_DRAIN_H
#define MANGODECK_PROCESS_DRAIN_H

#include "mangodeck/common/units.h"

#include <cstddef>

namespace mangodeck {

/// Phases of a daemon's life, in order.
enum class DrainPhase : std::uint8_t {
  Serving,
  Leaving,   ///< Not ready, but still accepts what the balancer sends.
  Finishing, ///< Accepts nothing; requests in progress go on.
  Done,
};

/// Decides when a daemon that shuts down may stop accepting and exit. It stops
/// accepting once the balancer has had time to notice, and exits once nothing
/// is in progress, so no request is cut off.
class Drain {
public:
  explicit Drain(Duration BalancerLag) : m_BalancerLag(BalancerLag) {}

  /// Starts the shutdown; later calls change nothing.
  void begin(TimePoint Now);

  /// Advances by time and by the number of requests in progress.
  DrainPhase update(TimePoint Now, std::size_t OpenRequests);

  DrainPhase phase() const { return m_Phase; }

private:
  Duration m_BalancerLag;
  DrainPhase m_Phase = DrainPhase::Serving;
  TimePoint m_LeavingSince;
};

} // namespace mangodeck

#endif
