#include "targethealth.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr unsigned FailuresToEject = 3;
constexpr Duration FirstProbeDelay = 5s;
constexpr unsigned MaxDelayDoublings = 4;
/// At most the total number of targets divided by this may be ejected.
constexpr std::size_t MaxEjectedDivisor = 3;

} // namespace

void TargetHealth::recordSuccess() {
  m_State = State::Healthy;
  m_ConsecutiveFailures = 0;
  m_Ejections = 0;
}

bool TargetHealth::recordFailure() {
  ++m_ConsecutiveFailures;
  return m_State == State::Probing ||
         (m_State == State::Healthy &&
          m_ConsecutiveFailures >= FailuresToEject);
}

void TargetHealth::eject(TimePoint Now) {
  m_State = State::Ejected;
  m_ConsecutiveFailures = 0;
  m_ProbeAt =
      Now + FirstProbeDelay * (1 << std::min(m_Ejections, MaxDelayDoublings));
  ++m_Ejections;
}

void TargetHealth::update(TimePoint Now) {
  if (m_State == State::Ejected && Now >= m_ProbeAt)
    m_State = State::Probing;
}

bool mayEject(std::size_t Ejected, std::size_t Usable) {
  return Usable > 1 && (Ejected + 1) * MaxEjectedDivisor <= Ejected + Usable;
}

} // namespace mangodeck
