#ifndef MANGODECK_GATEWAY_LOOPDELAY_H
#define MANGODECK_GATEWAY_LOOPDELAY_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// How late the event loop handles what is due, measured at its ticks. Made for
/// a VM with 0.084 of a core whose demand exceeds it: a batch of events then
/// takes several hundred milliseconds.
///
/// Owned by the gateway and kept nowhere else; a process that has just started
/// counts as punctual.
class LoopDelay {
public:
  /// A tick that was due at \p Due runs at \p Now.
  void record(TimePoint Due, TimePoint Now);
  /// The longest delay of the last DelayWindow to twice that.
  Duration worst() const;

private:
  TimePoint m_WindowStart{};
  Duration m_Current{0};
  Duration m_Previous{0};
};

/// The end of a graceful stop.
struct StopTiming {
  /// The loop may have handled the signal late by the measured delay, so the
  /// grace may end that much earlier than \p Grace after \p Handled.
  static TimePoint graceEnd(TimePoint Handled, Duration Grace, Duration Delay);
  /// How long before the end of the grace the running requests are terminated:
  /// the tick that does it, and the end of the process, may be late, too. At
  /// most MaxMarginShare of the grace, which is left to the requests.
  static Duration terminationMargin(Duration Grace, Duration Delay);
};

} // namespace mangodeck

#endif
