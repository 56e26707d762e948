#ifndef MANGODECK_GATEWAY_REFUSAL_H
#define MANGODECK_GATEWAY_REFUSAL_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mangodeck {

/// Why the gateway answers a request itself.
enum class RefusalCause : std::uint8_t {
  NoConfiguration,
  Unconfirmed, ///< The configuration, which has no route or key for it.
  NoRoute,
  UnknownKey,
  Stopping,
  CrashingRequest, ///< It crashes the targets that run it.
  OverLimit,       ///< Of the customer.
  TargetsPause,
  NoTarget, ///< None of the service, or of the version that it needs.
  NoSlot,   ///< Within the latency target.
  NoSlotUntilExpiry,
  NoMemory, ///< For the request's body.
};

/// What Retry-After depends on.
struct RefusalFacts {
  RefusalCause Cause = RefusalCause::NoSlot;
  /// Time until the cause is expected to be gone: the rest of a pause, the wait
  /// for the customer's limit, the time to serve those that wait.
  Duration ExpectedWait{0};
  /// Time at which the slot broker expects a free slot for this request; 0 if
  /// it promised none.
  Duration PromisedAfter{0};
  /// The time that the caller has left; std::nullopt if it is not known.
  std::optional<Duration> TimeLeft;
  /// Drawn from [0, 1): spreads the retries of callers refused together.
  double Draw = 0;
};

struct Refusal {
  int Status = 503;
  std::string_view Reason;
  std::optional<Duration> RetryAfter; ///< Absent if a retry would not help.
};

/// The one place that chooses status and Retry-After of a refusal. All of these
/// answers promise that the request has not run; an exchange whose request may
/// have run answers 502 instead, see Exchange::refuse(). Retry-After is at most
/// a third of the time that the caller has left, so that its retry can still be
/// served; during a pause and for a request that crashes targets it is the time
/// until the cause ends.
Refusal chooseRefusal(const RefusalFacts &Facts);

} // namespace mangodeck

#endif
