#ifndef MANGODECK_COMMON_HYBRIDCLOCK_H
#define MANGODECK_COMMON_HYBRIDCLOCK_H

#include "mangodeck/common/clock.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// A time stamp of a hybrid logical clock: wall time in microseconds and, in
/// the low 12 bits, a counter for events of the same microsecond. If one event
/// can have caused another, its stamp is smaller, also across VMs, provided
/// that HybridClock::merge() accepted the stamps of all received messages.
struct HybridTime {
  std::uint64_t Value = 0;

  bool operator==(const HybridTime &) const = default;
  bool operator<(const HybridTime &Other) const { return Value < Other.Value; }

  std::uint64_t microseconds() const { return Value >> 12; }
  std::uint64_t counter() const { return Value & 0xfff; }
};

/// Formats \p Time as MICROSECONDS.COUNTER in decimal digits.
std::string toString(HybridTime Time);

/// Parses the format of toString(); std::nullopt for anything else.
std::optional<HybridTime> parseHybridTime(std::string_view Text);

/// Hybrid logical clock (Kulkarni et al., "Logical Physical Clocks", 2014).
/// Thread-safe and lock-free.
class HybridClock {
public:
  explicit HybridClock(const Clock &Source) : m_Source(Source) {}

  /// Returns a stamp that is later than all stamps returned or merged before.
  HybridTime tick();

  /// Merges the stamp of a received message, so that later stamps exceed it.
  /// Returns false for a stamp more than one minute ahead of the wall clock and
  /// ignores it, so that one wrong clock does not set the others ahead.
  bool merge(HybridTime Received);

  /// The latest stamp returned or merged.
  HybridTime latest() const { return {m_Latest.load()}; }

private:
  const Clock &m_Source;
  std::atomic<std::uint64_t> m_Latest{0};
};

} // namespace mangodeck

#endif
