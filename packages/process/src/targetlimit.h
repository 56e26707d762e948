#ifndef MANGODECK_PROCESS_TARGETLIMIT_H
#define MANGODECK_PROCESS_TARGETLIMIT_H

#include "mangodeck/common/units.h"

#include <cstdint>

namespace mangodeck {

/// Adaptive limit of a target's running sequences: shrinks in proportion when
/// answers are slower than their tier's targets, grows by one sequence per
/// round when they are not and the limit was in use.
class TargetLimit {
public:
  explicit TargetLimit(std::uint32_t Max = 1) { setMax(Max); }

  /// Sets the configured maximum; a new limit starts there.
  void setMax(std::uint32_t Max);

  /// Learns from one answer. \p Slowness is measured time over the target's
  /// time, 1 being just in time; \p Full tells that the limit was reached.
  void observe(double Slowness, bool Full, TimePoint Now);

  /// Restarts from one sequence, e.g. after an ejection.
  void restart() { m_Limit = 1; }

  std::uint32_t sequences() const;

private:
  double m_Limit = 0;
  double m_Max = 0;
  TimePoint m_LastDecrease{};
};

} // namespace mangodeck

#endif
