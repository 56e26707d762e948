#include "mangodeck/gateway/refusal.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Bounds of Retry-After while there is no slot or a limit is used up. A
/// shorter one would meet the same load again, a longer one would leave slots
/// unused.
constexpr Duration MinRetryAfter = 300ms;
constexpr Duration MaxRetryAfter = 4s;
/// Another daemon can serve the request at once.
constexpr Duration StoppingRetryAfter = 20ms;
/// The store is read within a second.
constexpr Duration ConfigurationRetryAfter = 1s;
/// Time over which the retries are spread after a pause of all targets.
constexpr Duration RetrySpreadAfterPause = 500ms;
constexpr Duration MemoryRetrySpread = 1s;
/// Largest share of the time that the caller has left.
constexpr double MaxRetryAfterShare = 0.3;
constexpr Duration ShortestRetryAfter = 10ms;

Duration spread(Duration Span, double Draw) {
  return fromSeconds(toSeconds(Span) * Draw);
}

Duration waitForSlot(const RefusalFacts &Facts) {
  // The broker spreads its promises itself.
  if (Facts.PromisedAfter > Duration{0})
    return std::min(Facts.PromisedAfter, MaxRetryAfter);
  return std::min(std::max(Facts.ExpectedWait, MinRetryAfter) +
                      spread(MaxRetryAfter, Facts.Draw),
                  MaxRetryAfter);
}

Refusal withoutBound(const RefusalFacts &Facts) {
  const auto Wait = Facts.ExpectedWait;
  switch (Facts.Cause) {
  case RefusalCause::NoConfiguration:
    return {503, "no configuration yet", ConfigurationRetryAfter};
  case RefusalCause::Unconfirmed:
    return {503, "configuration not confirmed", ConfigurationRetryAfter};
  case RefusalCause::NoRoute:
    return {404, "no such route", std::nullopt};
  case RefusalCause::UnknownKey:
    return {401, "unknown key", std::nullopt};
  case RefusalCause::Stopping:
    return {503, "stopping", StoppingRetryAfter};
  case RefusalCause::CrashingRequest:
    return {503, "request crashes targets", std::max(Wait, MinRetryAfter)};
  case RefusalCause::OverLimit:
    return {429, "over the customer's limit",
            std::clamp(Wait, MinRetryAfter, MaxRetryAfter)};
  case RefusalCause::TargetsPause:
    // Before the end of the pause, a retry would only be refused again.
    return {503, "all targets pause",
            Wait + spread(RetrySpreadAfterPause, Facts.Draw)};
  case RefusalCause::NoTarget:
    return {503, "no target", std::nullopt};
  case RefusalCause::NoSlot:
    return {503, "no slot within the latency target", waitForSlot(Facts)};
  case RefusalCause::NoSlotUntilExpiry:
    return {503, "no slot in time", waitForSlot(Facts)};
  case RefusalCause::NoMemory:
    return {503, "no memory",
            MinRetryAfter + spread(MemoryRetrySpread, Facts.Draw)};
  }
  return {};
}

} // namespace

Refusal chooseRefusal(const RefusalFacts &Facts) {
  auto Chosen = withoutBound(Facts);
  // During a pause, or while the request counts as crashing, an earlier retry
  // would only be refused again, so the true time is stated.
  const bool IsBounded = Facts.Cause != RefusalCause::TargetsPause &&
                         Facts.Cause != RefusalCause::CrashingRequest;
  if (Chosen.RetryAfter && Facts.TimeLeft && IsBounded)
    Chosen.RetryAfter = std::max(
        ShortestRetryAfter,
        std::min(*Chosen.RetryAfter,
                 fromSeconds(MaxRetryAfterShare *
                             std::max(0.0, toSeconds(*Facts.TimeLeft)))));
  return Chosen;
}

} // namespace mangodeck
