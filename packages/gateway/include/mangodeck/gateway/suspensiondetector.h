#ifndef MANGODECK_GATEWAY_SUSPENSIONDETECTOR_H
#define MANGODECK_GATEWAY_SUSPENSIONDETECTOR_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Notices that the process stood still, from the clock that goes on while the
/// machine is suspended and from ticks that come late.
class SuspensionDetector {
public:
  /// Call on every tick with both clocks. Returns how long the process stood
  /// still since the last call, or 0 if that was within what load explains.
  Duration check(TimePoint Steady, Duration BootTime);
  /// Reads the machine's clocks.
  Duration check();

private:
  TimePoint m_LastSteady{};
  Duration m_LastBoot{0};
};

} // namespace mangodeck

#endif
