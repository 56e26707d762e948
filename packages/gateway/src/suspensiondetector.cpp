#include "mangodeck/gateway/suspensiondetector.h"

#include <algorithm>
#include <time.h>

namespace mangodeck {

namespace {

/// Time between two ticks above which the process counts as suspended. Peers
/// and targets may have timed out this daemon by then.
constexpr Duration SuspensionThreshold = 800ms;

} // namespace

Duration SuspensionDetector::check(TimePoint SteadyTime, Duration BootTime) {
  const bool IsFirst = m_LastSteadyTime == TimePoint{};
  const Duration Elapsed =
      IsFirst ? Duration{0}
              : std::max<Duration>(SteadyTime - m_LastSteadyTime,
                                   BootTime - m_LastBootTime);
  m_LastSteadyTime = SteadyTime;
  m_LastBootTime = BootTime;
  return Elapsed > SuspensionThreshold ? Elapsed : Duration{0};
}

Duration SuspensionDetector::check() {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return check(std::chrono::steady_clock::now(),
               std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace mangodeck
