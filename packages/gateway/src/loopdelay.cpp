#include "mangodeck/gateway/loopdelay.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Some times the period of the ticks, and less than the shortest grace.
constexpr Duration DelayWindow = 2500ms;
/// Margin of a punctual loop: two periods of the tick without waiting requests,
/// and the end of the process.
constexpr Duration PunctualMargin = 250ms;
/// Delays of the loop for which the margin allows: of the tick, and of the end
/// of the process.
constexpr int MarginDelays = 2;
constexpr int MaxMarginShare = 4;

} // namespace

void LoopDelay::record(TimePoint Due, TimePoint Now) {
  if (Now - m_WindowStart >= DelayWindow) {
    m_Previous =
        Now - m_WindowStart < 2 * DelayWindow ? m_Current : Duration{0};
    m_Current = Duration{0};
    m_WindowStart = Now;
  }
  if (Due != TimePoint{})
    m_Current = std::max<Duration>(m_Current, Now - Due);
}

Duration LoopDelay::worst() const { return std::max(m_Current, m_Previous); }

TimePoint StopTiming::graceEnd(TimePoint Handled, Duration Grace,
                               Duration Delay) {
  return Handled + Grace - std::min(Delay, Grace / MaxMarginShare);
}

Duration StopTiming::terminationMargin(Duration Grace, Duration Delay) {
  return std::min(PunctualMargin + MarginDelays * Delay,
                  std::max(PunctualMargin, Grace / MaxMarginShare));
}

} // namespace mangodeck
