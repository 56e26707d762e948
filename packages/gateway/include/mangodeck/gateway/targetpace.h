#ifndef MANGODECK_GATEWAY_TARGETPACE_H
#define MANGODECK_GATEWAY_TARGETPACE_H

#include "mangodeck/common/units.h"

#include <optional>

namespace mangodeck {

/// How long work takes on a target's machine at this moment, relative to the
/// usual time, by the target's last statement (TargetLoadStatement::Pace). The
/// pace is kept apart from TrackedTarget::Slowdown, which is learned over many
/// answers.
///
/// Machines are slowed down by 2.5 for 0.6 s at a time, 15% of them at once. If
/// the lengths of slow and usual times are exponential, the state has a
/// correlation of exp(-age / 0.51 s) with a statement: 0.56 after 300 ms. What
/// is expected is therefore the usual pace plus that part of the difference.
class TargetPace {
public:
  /// Records that \p Pace was stated at \p Time. An older statement than the
  /// last one is ignored.
  void record(double Pace, TimePoint Time);
  /// The expected pace; 1 if none was stated.
  double expected(TimePoint Now) const;
  /// The mean of the expected pace from \p Now on over \p Span.
  double expectedOver(Duration Span, TimePoint Now) const;

  /// The last statement, if it is at most \p MaxAge old.
  std::optional<double> statedWithin(Duration MaxAge, TimePoint Now) const;

private:
  double m_Stated = 1;
  TimePoint m_StatedAt{};
};

} // namespace mangodeck

#endif
