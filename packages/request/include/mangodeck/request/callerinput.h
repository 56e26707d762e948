#ifndef MANGODECK_REQUEST_CALLERINPUT_H
#define MANGODECK_REQUEST_CALLERINPUT_H

#include "mangodeck/request/callerexchange.h"
#include "mangodeck/request/problem.h"
#include "mangodeck/request/ticket.h"
#include "mangodeck/version/snapshot.h"

#include <string>
#include <variant>
#include <vector>

namespace mangodeck {

/// A caller's request that may be scheduled.
struct CheckedRequest {
  /// Everything but Id, Entry, Arrival, Deadline and Hops.
  Ticket Draft;
  /// Time from arrival to the deadline.
  Duration DeadlineAfter{0};
  ServiceKind Kind = ServiceKind::Model;
  std::string IdempotencyKey; ///< Empty if the caller gave none.
  bool Streaming = false;     ///< The caller asked for an SSE stream.
  /// What is sent to the target, beside the caller's body.
  std::string TargetMethod;
  std::string TargetPath;
  std::vector<Header> TargetHeaders;
};

/// Either a request to schedule or an answer to give at once: a list of
/// models, or a problem (400, 401, 403, 404, 405, 415, 422) with
/// X-Mangodeck-Run: no.
using CallerInput = std::variant<CheckedRequest, CallerAnswer>;

/// Checks \p Request against the configuration in force. The bearer key names
/// the customer by its SHA-256; headers may lower the tier, set the deadline,
/// name an idempotency key and mark the request non-idempotent. See
/// docs/API.md. Costs one hash of the body and, for models, parsing it.
CallerInput readCallerInput(const CallerRequest &Request,
                            const Snapshot &Config);

/// SHA-256 of \p Text as 64 lower-case hexadecimal digits.
std::string hashBearerKey(std::string_view Text);

} // namespace mangodeck

#endif
