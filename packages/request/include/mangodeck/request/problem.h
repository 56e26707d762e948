#ifndef MANGODECK_REQUEST_PROBLEM_H
#define MANGODECK_REQUEST_PROBLEM_H

#include "mangodeck/request/callerexchange.h"
#include "mangodeck/request/outcome.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// Header that tells a caller whether its request was run.
constexpr std::string_view RunHeader = "X-Mangodeck-Run";

/// An error as reported to a caller (RFC 9457).
struct Problem {
  int Status = 500;
  std::string Type;   ///< Stable identifier, e.g. "shed"; part of a URN.
  std::string Detail; ///< One sentence for people.
  Run RunState = Run::No;
  /// Delay after which the caller may retry; sent in whole seconds, rounded up.
  std::optional<Duration> RetryAfter;
};

/// A complete answer, as CallerExchange::respond() takes it.
struct CallerAnswer {
  int Status = 500;
  std::vector<Header> Headers;
  std::string Body;
};

/// Describes a request that was refused before its dispatch.
Problem describeRefusal(const Refusal &Reason);

/// Describes a dispatched request whose complete answer was not received, so
/// that it is unknown whether the request ran.
Problem describeUnknownEnd(std::string_view Detail);

/// Writes \p Error as an application/problem+json answer with X-Mangodeck-Run
/// and, where it is set, Retry-After.
CallerAnswer makeAnswer(const Problem &Error);

/// Answers \p Exchange with \p Error.
void respondWith(CallerExchange &Exchange, const Problem &Error);

/// Standard reason phrase of an HTTP status, e.g. "Not Found"; "Status" for a
/// status that is not listed.
std::string_view reasonPhrase(int Status);

} // namespace mangodeck

#endif
