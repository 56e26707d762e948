#ifndef MANGODECK_COMMON_UNITS_H
#define MANGODECK_COMMON_UNITS_H

#include <chrono>
#include <cstdint>

namespace mangodeck {

/// A point on the monotonic clock. Scheduling code receives the current time as
/// an argument, so that tests and replays can run in virtual time.
using TimePoint = std::chrono::steady_clock::time_point;

/// A span of monotonic time.
using Duration = std::chrono::nanoseconds;

/// Milliseconds since the Unix epoch, for dates in records and to number the
/// starts of a process. Scheduling and time-outs use TimePoint, since the wall
/// clock can be set back.
using WallMilliseconds = std::int64_t;

/// A number of prompt or output tokens.
using TokenCount = std::int64_t;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

/// Converts a duration to fractional seconds.
constexpr double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Converts fractional seconds to a duration.
constexpr Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace mangodeck

#endif
