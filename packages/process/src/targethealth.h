#ifndef MANGODECK_PROCESS_TARGETHEALTH_H
#define MANGODECK_PROCESS_TARGETHEALTH_H

#include "mangodeck/common/units.h"

#include <cstddef>
#include <cstdint>

namespace mangodeck {

/// Ejects a target after several failures in a row. After a delay that doubles
/// with each ejection the target may run one request as a probe; a success
/// makes it healthy again, a failure ejects it again. The caller limits the
/// number of ejected targets with mayEject().
class TargetHealth {
public:
  enum class State : std::uint8_t { Healthy, Ejected, Probing };

  /// Records a request that the target answered without an error.
  void recordSuccess();

  /// Records a request that the target failed, or a failed connection. Returns
  /// true if the target should be ejected.
  bool recordFailure();

  /// Ejects the target until its next probe.
  void eject(TimePoint Now);

  /// Changes from Ejected to Probing once the probe delay is over.
  void update(TimePoint Now);

  State state() const { return m_State; }

private:
  State m_State = State::Healthy;
  unsigned m_ConsecutiveFailures = 0;
  unsigned m_Ejections = 0;
  TimePoint m_ProbeAt{};
};

/// Whether one more target may be ejected: never the last usable one, and at
/// most a third of all, that is of \p Ejected and \p Usable together.
bool mayEject(std::size_t Ejected, std::size_t Usable);

} // namespace mangodeck

#endif
