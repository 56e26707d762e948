#ifndef MANGODECK_COMMON_HYBRIDCLOCK_H
#define MANGODECK_COMMON_HYBRIDCLOCK_H

#include "mangodeck/common/clock.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// A stamp of a hybrid logical clock: wall time in microseconds and, in the
/// low 12 bits, a counter for events of the same microsecond. If one event can
/// have caused another, its stamp is the smaller one, on any VM.
struct HybridTime {
  std::uint64_t Value = 0;

  bool operator==(const HybridTime &) const = default;
  bool operator<(const HybridTime &Other) const { return Value < Other.Value; }

  std::uint64_t microseconds() const { return Value >> 12; }
  std::uint64_t counter() const { return Value & 0xfff; }
};

/// Writes MICROSECONDS.COUNTER in decimal digits.
std::string toString(HybridTime Time);

/// Reads what toString() writes; std::nullopt for anything else.
std::optional<HybridTime> parseHybridTime(std::string_view Text);

/// Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
/// Safe from any thread, lock-free.
class HybridClock {
public:
  explicit HybridClock(const Clock &Source) : m_Source(Source) {}

  /// Stamps an event: later than every stamp given or merged before.
  HybridTime tick();

  /// Merges the stamp of a received message. A stamp that is further than a
  /// minute ahead of the wall clock is ignored, so that one wrong clock does
  /// not spread; returns false then.
  bool merge(HybridTime Received);

  /// The latest stamp given or merged.
  HybridTime latest() const { return {m_Latest.load()}; }

private:
  const Clock &m_Source;
  std::atomic<std::uint64_t> m_Latest{0};
};

} // namespace mangodeck

#endif
