#include "mangodeck/gateway/transitdelay.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Difference in speed of two steady clocks.
constexpr double MaxClockDrift = 2e-4;

} // namespace

Duration TransitDelay::record(Duration SentAt, TimePoint Now) {
  const Duration Offset = Now.time_since_epoch() - SentAt;
  if (m_UpdatedAt == TimePoint{})
    m_LeastOffset = Offset;
  const auto Drift = fromSeconds(toSeconds(Now - m_UpdatedAt) * MaxClockDrift);
  m_LeastOffset = std::min<Duration>(Offset, m_LeastOffset + Drift);
  m_UpdatedAt = Now;
  return Offset - m_LeastOffset;
}

} // namespace mangodeck
