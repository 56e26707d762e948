#ifndef MANGODECK_GATEWAY_REQUESTFACTS_H
#define MANGODECK_GATEWAY_REQUESTFACTS_H

#include "mangodeck/gateway/headernames.h"
#include "mangodeck/gateway/targetregistry.h"
#include "mangodeck/http/message.h"
#include "mangodeck/version/routeplan.h"

#include <optional>
#include <string>
#include <vector>

namespace mangodeck {

/// Identifies what may make a request crash targets: a part of its prompt that
/// other requests share, or the whole request.
using CauseId = std::uint64_t;

/// What a daemon reads from a request before it decides how to serve it.
struct RequestFacts {
  std::string AttemptId;
  /// Of a request that resumes a stream of an earlier attempt: that attempt, as
  /// the caller names it, and the last event that the caller has received.
  std::string ResumedAttempt;
  std::string ResumedAfter;
  std::optional<std::int64_t> ResumedAfterId; ///< The same as a number.
  std::optional<Duration>
      RemainingTime;  ///< The caller waits this long at most.
  std::string ApiKey; ///< Empty if there is none.
  TokenCount PromptTokens = 0;
  TokenCount MaxOutputTokens = 0;
  std::optional<TokenCount> OutputHint;
  /// The shared parts of the prompt: all but the last.
  std::vector<CauseId> SharedParts;
  CauseId Fingerprint = 0; ///< Hash of path, key and body.
  /// SharedParts and Fingerprint, sorted.
  std::vector<CauseId> PossibleCauses;

  /// Whether the request states that it resumes a stream.
  bool isResume() const {
    return !ResumedAttempt.empty() || !ResumedAfter.empty();
  }
};

RequestFacts parseRequestFacts(const http::Request &Message,
                               const HeaderNames &Names);

/// The shared parts of a prompt, from the header field
/// HeaderNames::PromptParts: all but the last, without repetitions. Entries
/// without a hexadecimal id are left out.
std::vector<CauseId> parseSharedParts(std::string_view Field);

/// The numeric id of an event of a stream; std::nullopt if it has none.
std::optional<std::int64_t> parseEventId(std::string_view Event);

/// Number of requests that run or wait at a target, from the header field
/// HeaderNames::TargetLoad; std::nullopt if \p Field is malformed.
std::optional<TargetLoadStatement> parseTargetLoad(std::string_view Field);

/// Whether the header field HeaderNames::TargetLeaving states that the target
/// leaves.
bool parseTargetLeaving(std::string_view Field);

/// Time for which a target wants no requests, from the header field
/// HeaderNames::RetryAfter in decimal seconds (RFC 9110, 10.2.3, and
/// fractions), at most MaxTargetPause; std::nullopt if \p Field is malformed,
/// negative or a date.
std::optional<Duration> parseTargetPause(std::string_view Field);
/// Upper bound of a pause: a mistaken value must not exclude a target for good.
inline constexpr Duration MaxTargetPause = 600s;
/// Pause after a value that cannot be read.
inline constexpr Duration DefaultTargetPause = 1s;

/// Requests per second that a target accepts from all daemons together, from
/// the header field HeaderNames::TargetRateLimit, a decimal number;
/// std::nullopt if \p Field is malformed or negative.
std::optional<double> parseTargetRateLimit(std::string_view Field);

/// The work that a request is expected to cause at a target.
RequestWork expectedWork(const RequestFacts &Facts,
                         const PlannedService *Service);

/// Units that a request is charged to its customer's limit: tokens, or 1 if the
/// limit counts requests.
double quotaCost(const RequestFacts &Facts, const PlannedCustomer &Customer);

} // namespace mangodeck

#endif
