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

/// A caller's request that passed all checks and can be scheduled.
struct CheckedRequest {
  /// Ticket without Id, Entry, Arrival, Deadline and Hops, which the daemon
  /// fills in later.
  Ticket Draft;
  /// Time from arrival to the deadline.
  Duration DeadlineAfter{0};
  ServiceKind Kind = ServiceKind::Model;
  std::string IdempotencyKey; ///< Empty if the caller gave none.
  bool Streaming = false;     ///< The caller asked for an SSE stream.
  /// Request line and headers for the target; the caller's body is sent with
  /// them unchanged.
  std::string TargetMethod;
  std::string TargetPath;
  std::vector<Header> TargetHeaders;
};

/// Either a request to schedule, or an answer that needs no scheduling: a list
/// of models, or a problem (400, 401, 403, 404, 405, 415, 422, 503) with
/// X-Mangodeck-Run: no.
using CallerInput = std::variant<CheckedRequest, CallerAnswer>;

/// Checks \p Request against the configuration in force. The customer is found
/// by the SHA-256 of the bearer key. Headers may select a lower tier, set the
/// deadline, give an idempotency key and mark the request non-idempotent. See
/// docs/API.md. Hashes the body once and, for completions, parses it.
CallerInput readCallerInput(const CallerRequest &Request,
                            const Snapshot &Config);

/// SHA-256 of a bearer key as 64 lower-case hexadecimal digits, the form that
/// Customer::KeyHashes holds.
std::string hashBearerKey(std::string_view Key);

} // namespace mangodeck

#endif
