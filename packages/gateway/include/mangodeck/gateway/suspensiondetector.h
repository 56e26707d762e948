#ifndef MANGODECK_GATEWAY_SUSPENSIONDETECTOR_H
#define MANGODECK_GATEWAY_SUSPENSIONDETECTOR_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Detects that the process did not run for a while, e.g. since the VM was
/// suspended. Compares the times of successive ticks on the steady clock and on
/// the boot-time clock, which also advances during suspension.
class SuspensionDetector {
public:
  /// Called on every tick with both clocks. Returns the time since the previous
  /// call if it is too long for a delay under load, otherwise 0.
  Duration check(TimePoint SteadyTime, Duration BootTime);
  /// Calls check() with the current times of both clocks.
  Duration check();

private:
  TimePoint m_LastSteadyTime{};
  Duration m_LastBootTime{0};
};

} // namespace mangodeck

#endif
