#include "mangodeck/common/hybridclock.h"

#include <fmt/format.h>

#include <charconv>

namespace mangodeck {

namespace {

constexpr unsigned CounterBits = 12;
constexpr std::uint64_t MaxAheadMicroseconds = 60'000'000;

std::optional<std::uint64_t> parseDecimal(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string toString(HybridTime Time) {
  return fmt::format("{}.{}", Time.microseconds(), Time.counter());
}

std::optional<HybridTime> parseHybridTime(std::string_view Text) {
  const auto Dot = Text.find('.');
  if (Dot == std::string_view::npos)
    return std::nullopt;
  const auto Microseconds = parseDecimal(Text.substr(0, Dot));
  const auto Counter = parseDecimal(Text.substr(Dot + 1));
  if (!Microseconds || !Counter || *Counter >> CounterBits ||
      *Microseconds >> (64 - CounterBits))
    return std::nullopt;
  return HybridTime{*Microseconds << CounterBits | *Counter};
}

/// Takes the wall time with counter 0 if that is later than the latest stamp,
/// otherwise the latest stamp plus one. A full counter carries into the
/// microseconds, which keeps stamps ascending.
HybridTime HybridClock::tick() {
  const auto Wall = static_cast<std::uint64_t>(m_Source.wallMicroseconds())
                    << CounterBits;
  auto Latest = m_Latest.load(std::memory_order_relaxed);
  std::uint64_t Next = 0;
  do {
    Next = Wall > Latest ? Wall : Latest + 1;
  } while (!m_Latest.compare_exchange_weak(Latest, Next));
  return {Next};
}

bool HybridClock::merge(HybridTime Received) {
  const auto Wall = static_cast<std::uint64_t>(m_Source.wallMicroseconds());
  if (Received.microseconds() > Wall + MaxAheadMicroseconds)
    return false;
  auto Latest = m_Latest.load(std::memory_order_relaxed);
  while (Received.Value > Latest &&
         !m_Latest.compare_exchange_weak(Latest, Received.Value))
    continue;
  return true;
}

} // namespace mangodeck
