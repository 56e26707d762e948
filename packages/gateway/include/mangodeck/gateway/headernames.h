#ifndef MANGODECK_GATEWAY_HEADERNAMES_H
#define MANGODECK_GATEWAY_HEADERNAMES_H

#include <string>
#include <vector>

namespace mangodeck {

/// Names of the header fields that callers, the daemon and targets exchange.
struct HeaderNames {
  std::string AttemptId;     ///< Id of one attempt of a caller.
  std::string RemainingTime; ///< Milliseconds that the sender waits at most.
  std::string TokenCounts;   ///< "PROMPT,OUTPUT" tokens; OUTPUT is a maximum.
  /// Parts of the prompt in order, as comma-separated "ID:TOKENS" entries with
  /// a hexadecimal ID. Requests share parts; the last part is the request's
  /// own.
  std::string PromptParts;
  std::string OutputHint;  ///< Caller's estimate of output tokens.
  std::string LastEventId; ///< A stream is resumed after this event.
  /// Attempt id of the attempt that brought a resumed stream's first event.
  std::string ResumedAttempt;
  std::string Authorization;  ///< Carries the caller's key.
  std::string AuthScheme;     ///< Scheme in Authorization, e.g. Bearer.
  std::string Customer;       ///< Set by the daemon: the owner of the key.
  std::string ExpectedTarget; ///< Set by the daemon: id of the chosen target.
  std::string NotExecuted;    ///< A target's promise that it ran nothing.
  std::string ResponseStamp;  ///< A target's proof that it made the answer.
  std::string TargetLoad;     ///< "RUNNING,WAITING,SLOTS" of a target.
  std::string TargetLeaving;  ///< "1" in the answers of a target that leaves.
  /// Requests per second that a target accepts from all daemons together.
  std::string TargetRateLimit;
  /// Seconds after which a caller should retry, and for which a target that
  /// rejects a request wants none from this daemon.
  std::string RetryAfter;
  /// Path at which a target reports on itself, and the field of the report with
  /// the target's start; empty if targets have no report.
  std::string TargetReportPath;
  std::string TargetStartField;
  /// Fields that only the daemon may set; removed from callers' requests.
  std::vector<std::string> Reserved;
};

} // namespace mangodeck

#endif
