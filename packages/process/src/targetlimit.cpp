#include "targetlimit.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

constexpr double MinLimit = 1.0;
/// An answer with a higher slowdown factor decreases the limit.
constexpr double ToleratedSlowdownFactor = 1.1;
constexpr double MinDecreaseFactor = 0.7;
constexpr Duration MinDecreaseInterval = 1s;

} // namespace

void TargetLimit::setMax(std::uint32_t MaxSequences) {
  const double NewMax = std::max<double>(MinLimit, MaxSequences);
  if (m_MaxSequences == 0)
    m_Limit = NewMax;
  m_MaxSequences = NewMax;
  m_Limit = std::min(m_Limit, m_MaxSequences);
}

void TargetLimit::observe(double SlowdownFactor, bool LimitReached,
                          TimePoint Now) {
  if (SlowdownFactor <= ToleratedSlowdownFactor) {
    if (LimitReached)
      m_Limit = std::min(m_MaxSequences, m_Limit + 1.0 / m_Limit);
    return;
  }
  if (Now - m_LastDecrease < MinDecreaseInterval)
    return;
  m_LastDecrease = Now;
  const double DecreaseFactor =
      std::max(MinDecreaseFactor, 1.0 / std::sqrt(SlowdownFactor));
  m_Limit = std::max(MinLimit, m_Limit * DecreaseFactor);
}

std::uint32_t TargetLimit::sequences() const {
  return static_cast<std::uint32_t>(m_Limit);
}

} // namespace mangodeck
