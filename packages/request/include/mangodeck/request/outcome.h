#ifndef MANGODECK_REQUEST_OUTCOME_H
#define MANGODECK_REQUEST_OUTCOME_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

/// Whether a request was run by a target, as its caller is told.
enum class Run : std::uint8_t { No, Yes, Unknown };

/// Value of the X-Mangodeck-Run header: "no", "yes" or "unknown".
std::string_view toString(Run Value);

/// Why a request was answered without being run.
enum class NotRunReason : std::uint8_t {
  Shed,             ///< Queue full of work of the same or a higher tier.
  Expired,          ///< Could not start before its deadline.
  Quarantined,      ///< Crashed two targets before.
  NoTarget,         ///< No target of the service is usable.
  StoreUnreachable, ///< Its claim could not be recorded.
  Draining,         ///< This daemon is shutting down.
  RateLimited,      ///< Customer's own limit.
  MemoryFull,       ///< Waiting bodies exceed the memory bound.
  CallerGone,       ///< Caller hung up while the request waited.
  KeyInUse,         ///< Idempotency key was used with another body.
};

/// Stable identifier for metrics, problem types and logs, e.g. "shed".
std::string_view toString(NotRunReason Reason);

/// HTTP status that tells a caller about \p Reason.
int httpStatusOf(NotRunReason Reason);

/// A request that was given up before its dispatch.
struct Refusal {
  NotRunReason Reason = NotRunReason::Shed;
  /// When the caller may try again; always set for retryable reasons.
  Duration RetryAfter{0};
};

} // namespace mangodeck

#endif
