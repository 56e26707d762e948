#include "mangodeck/gateway/suspensiondetector.h"

#include <algorithm>
#include <time.h>

namespace mangodeck {

namespace {

/// A tick that is this much late counts as a stand-still: peers and targets
/// may have given this daemon up by then.
constexpr Duration StandStill = 800ms;

} // namespace

Duration SuspensionDetector::check(TimePoint Steady, Duration BootTime) {
  const bool First = m_LastSteady == TimePoint{};
  const Duration Passed =
      First ? Duration{0}
            : std::max<Duration>(Steady - m_LastSteady, BootTime - m_LastBoot);
  m_LastSteady = Steady;
  m_LastBoot = BootTime;
  return Passed > StandStill ? Passed : Duration{0};
}

Duration SuspensionDetector::check() {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return check(std::chrono::steady_clock::now(),
               std::chrono::seconds(Time.tv_sec) +
                   std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace mangodeck
