#ifndef MANGODECK_PROCESS_TARGETHEALTH_H
#define MANGODECK_PROCESS_TARGETHEALTH_H

#include "mangodeck/common/units.h"

#include <cstddef>
#include <cstdint>

namespace mangodeck {

/// Ejects a target that fails one request after another. It is probed back:
/// after a time that doubles with each ejection it may run one request, and a
/// success makes it whole. Ejections are capped by the caller.
class TargetHealth {
public:
  enum class State : std::uint8_t { Healthy, Ejected, Probing };

  /// The target answered a request as it should.
  void recordSuccess();

  /// The target failed a request, or could not be reached. Returns true if it
  /// should be ejected.
  bool recordFailure();

  /// Ejects the target until its next probe.
  void eject(TimePoint Now);

  /// Lets the probe through when its time has come.
  void update(TimePoint Now);

  State state() const { return m_State; }

private:
  State m_State = State::Healthy;
  unsigned m_Failures = 0;
  unsigned m_Ejections = 0;
  TimePoint m_ProbeAt{};
};

/// Whether one more target may be ejected: at most a third of \p Usable ones,
/// and never the last.
bool mayEject(std::size_t Ejected, std::size_t Usable);

} // namespace mangodeck

#endif
