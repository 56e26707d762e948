#include "targetlimit.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

constexpr double LeastLimit = 1.0;
constexpr double TolerableSlowness = 1.1;
constexpr double LargestDecrease = 0.7;
constexpr Duration DecreaseInterval = 1s;

} // namespace

void TargetLimit::setMax(std::uint32_t Max) {
  const double NewMax = std::max<double>(LeastLimit, Max);
  if (m_Max == 0)
    m_Limit = NewMax;
  m_Max = NewMax;
  m_Limit = std::min(m_Limit, m_Max);
}

void TargetLimit::observe(double Slowness, bool Full, TimePoint Now) {
  if (Slowness <= TolerableSlowness) {
    if (Full)
      m_Limit = std::min(m_Max, m_Limit + 1.0 / m_Limit);
    return;
  }
  if (Now - m_LastDecrease < DecreaseInterval)
    return;
  m_LastDecrease = Now;
  const double Factor = std::max(LargestDecrease, 1.0 / std::sqrt(Slowness));
  m_Limit = std::max(LeastLimit, m_Limit * Factor);
}

std::uint32_t TargetLimit::sequences() const {
  return static_cast<std::uint32_t>(m_Limit);
}

} // namespace mangodeck
