#include "mangodeck/common/clock.h"

namespace mangodeck {

namespace {

template <typename Point> WallMilliseconds toMilliseconds(Point Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

} // namespace

TimePoint SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallMilliseconds SystemClock::wallNow() const {
  return toMilliseconds(std::chrono::system_clock::now());
}

std::int64_t SystemClock::wallMicroseconds() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

WallMilliseconds ManualClock::wallNow() const { return toMilliseconds(m_Now); }

} // namespace mangodeck
