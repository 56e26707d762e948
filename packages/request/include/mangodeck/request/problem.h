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

/// An error as a caller is told of it (RFC 9457).
struct Problem {
  int Status = 500;
  std::string Type;   ///< Stable identifier, e.g. "shed"; part of a URN.
  std::string Detail; ///< One sentence for people.
  Run RunState = Run::No;
  /// When the caller may try again; sent in whole seconds, rounded up.
  std::optional<Duration> RetryAfter;
};

/// A whole answer, ready for CallerExchange::respond().
struct CallerAnswer {
  int Status = 500;
  std::vector<Header> Headers;
  std::string Body;
};

/// Describes a request that was given up before its dispatch.
Problem describeRefusal(const Refusal &Reason);

/// Describes a dispatched request whose whole answer was not received.
Problem describeUnknownEnd(std::string_view Detail);

/// Writes \p Error as an application/problem+json answer with X-Mangodeck-Run
/// and, where it is set, Retry-After.
CallerAnswer makeAnswer(const Problem &Error);

/// Answers \p Exchange with \p Error.
void respondWith(CallerExchange &Exchange, const Problem &Error);

/// Standard reason phrase of an HTTP status, e.g. "Not Found".
std::string_view reasonPhrase(int Status);

} // namespace mangodeck

#endif
