#ifndef MANGODECK_PROCESS_TARGETLIMIT_H
#define MANGODECK_PROCESS_TARGETLIMIT_H

#include "mangodeck/common/units.h"

#include <cstdint>

namespace mangodeck {

/// Adaptive limit of a target's running sequences. An answer slower than its
/// tier's latency target, with a tolerance, shrinks the limit by a factor, at
/// most once a second. Any other answer that ran while the limit was reached
/// grows it by 1/limit, which is one sequence for as many answers as the limit.
class TargetLimit {
public:
  explicit TargetLimit(std::uint32_t MaxSequences = 1) { setMax(MaxSequences); }

  /// Sets the configured maximum; a new limit starts there.
  void setMax(std::uint32_t MaxSequences);

  /// Adjusts the limit by one answer. \p SlowdownFactor is the measured time
  /// over the latency target: 1 is just in time. \p LimitReached: as many
  /// sequences ran as the limit allows.
  void observe(double SlowdownFactor, bool LimitReached, TimePoint Now);

  /// Resets the limit to one sequence.
  void restart() { m_Limit = 1; }

  std::uint32_t sequences() const;

private:
  double m_Limit = 0;
  double m_MaxSequences = 0;
  TimePoint m_LastDecrease{};
};

} // namespace mangodeck

#endif
