#include "mangodeck/gateway/transitdelay.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Difference in speed of two steady clocks.
constexpr double MaxClockDrift = 2e-4;

} // namespace

Duration TransitDelay::leastOffset(TimePoint Now) const {
  return m_LeastOffset -
         fromSeconds(toSeconds(Now - m_MeasuredAt) * MaxClockDrift);
}

void TransitDelay::recordRoundTrip(Duration SentAt, TimePoint RequestedAt) {
  Duration Offset = RequestedAt.time_since_epoch() - SentAt;
  if (m_MeasuredAt != TimePoint{})
    Offset = std::max<Duration>(Offset, leastOffset(RequestedAt));
  m_LeastOffset = Offset;
  m_MeasuredAt = RequestedAt;
}

std::optional<Duration> TransitDelay::longest(Duration SentAt,
                                              TimePoint Now) const {
  if (m_MeasuredAt == TimePoint{})
    return std::nullopt;
  return std::max<Duration>(Now.time_since_epoch() - SentAt - leastOffset(Now),
                            Duration{0});
}

} // namespace mangodeck
