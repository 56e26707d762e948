#ifndef MANGODECK_COMMON_CLOCK_H
#define MANGODECK_COMMON_CLOCK_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Source of the current time for code that does input and output.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  virtual WallMilliseconds wallNow() const = 0;

  /// Microseconds since the Unix epoch, at the resolution of the source.
  virtual std::int64_t wallMicroseconds() const { return wallNow() * 1000; }
};

/// The machine's own clocks.
class SystemClock : public Clock {
public:
  TimePoint now() const override;
  WallMilliseconds wallNow() const override;
  std::int64_t wallMicroseconds() const override;
};

/// A clock that only advance() moves; for tests and replays.
class ManualClock : public Clock {
public:
  TimePoint now() const override { return m_Now; }
  WallMilliseconds wallNow() const override;
  void advance(Duration Span) { m_Now += Span; }

private:
  TimePoint m_Now{std::chrono::hours(1)};
};

} // namespace mangodeck

#endif
