#include "targethealth.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr unsigned FailuresToEject = 3;
constexpr Duration FirstProbe = 5s;
constexpr unsigned MostDoublings = 4;
/// One in so many targets may be ejected.
constexpr std::size_t EjectedShareDivisor = 3;

} // namespace

void TargetHealth::recordSuccess() {
  m_State = State::Healthy;
  m_Failures = 0;
  m_Ejections = 0;
}

bool TargetHealth::recordFailure() {
  ++m_Failures;
  return m_State == State::Probing ||
         (m_State == State::Healthy && m_Failures >= FailuresToEject);
}

void TargetHealth::eject(TimePoint Now) {
  m_State = State::Ejected;
  m_Failures = 0;
  m_ProbeAt = Now + FirstProbe * (1 << std::min(m_Ejections, MostDoublings));
  ++m_Ejections;
}

void TargetHealth::update(TimePoint Now) {
  if (m_State == State::Ejected && Now >= m_ProbeAt)
    m_State = State::Probing;
}

bool mayEject(std::size_t Ejected, std::size_t Usable) {
  return Usable > 1 && (Ejected + 1) * EjectedShareDivisor <= Ejected + Usable;
}

} // namespace mangodeck
