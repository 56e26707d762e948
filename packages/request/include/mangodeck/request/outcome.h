#ifndef MANGODECK_REQUEST_OUTCOME_H
#define MANGODECK_REQUEST_OUTCOME_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Whether a target ran a request, as reported to the caller.
enum class Run : std::uint8_t { No, Yes, Unknown };

/// Value of the X-Mangodeck-Run header: "no", "yes" or "unknown".
std::string_view toString(Run Value);

/// Why a request was answered without being run.
enum class NotRunReason : std::uint8_t {
  Shed,             ///< Queue full of requests of the same or a higher tier.
  Expired,          ///< Could not start before its deadline.
  Quarantined,      ///< The same request crashed two targets before.
  NoTarget,         ///< No target of the service is usable.
  StoreUnreachable, ///< Its claim could not be recorded.
  Draining,         ///< This daemon is shutting down.
  RateLimited,      ///< The customer's own limit is reached.
  MemoryFull,       ///< Bodies of waiting requests exceed the memory limit.
  CallerGone,       ///< Caller hung up while the request waited.
  KeyInUse,         ///< Idempotency key was used with another body.
};

/// Stable identifier for metrics, problem types and logs, e.g. "shed".
std::string_view toString(NotRunReason Reason);

/// HTTP status of the answer that reports \p Reason to the caller.
int httpStatusOf(NotRunReason Reason);

/// Refusal of a request before its dispatch.
struct Refusal {
  NotRunReason Reason = NotRunReason::Shed;
  /// Delay after which the caller may retry; above 0 for retryable reasons.
  Duration RetryAfter{0};
};

} // namespace mangodeck

#endif
