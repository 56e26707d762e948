#ifndef MANGODECK_GATEWAY_TEST_SIMULATEDLINK_H
#define MANGODECK_GATEWAY_TEST_SIMULATEDLINK_H

#include "mangodeck/common/units.h"

#include <algorithm>
#include <cstddef>

namespace mangodeck {

/// One direction of a VM's link: bytes leave one after the other at its rate.
/// What is queued leaves at the rate at which it was queued, so a queue from a
/// narrow time outlasts it, as a shaper that schedules packets on arrival does.
class SimulatedLink {
public:
  static constexpr double WideMbps = 10;

  void setRate(double Mbps) { m_BytesPerSecond = Mbps * 1e6 / 8; }
  /// Queues \p Bytes; returns when the last one has left.
  TimePoint send(std::size_t Bytes, TimePoint Now) {
    m_FreeAt = std::max(m_FreeAt, Now) +
               fromSeconds(static_cast<double>(Bytes) / m_BytesPerSecond);
    return m_FreeAt;
  }
  /// How long bytes that are queued at \p Now wait.
  Duration queueDelay(TimePoint Now) const {
    return std::max<Duration>(m_FreeAt - Now, Duration{0});
  }

private:
  double m_BytesPerSecond = WideMbps * 1e6 / 8;
  TimePoint m_FreeAt{};
};

} // namespace mangodeck

#endif
