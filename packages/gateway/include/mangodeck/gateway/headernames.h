#ifndef MANGODECK_GATEWAY_HEADERNAMES_H
#define MANGODECK_GATEWAY_HEADERNAMES_H

#include <string>
#include <vector>

namespace mangodeck {

/// Names of the header fields that callers, the daemon and targets exchange.
struct HeaderNames {
  std::string AttemptId;      ///< Names one attempt of a caller.
  std::string RemainingTime;  ///< Milliseconds that the sender will wait.
  std::string TokenCounts;    ///< "PROMPT,OUTPUT": tokens, the latter at most.
  std::string OutputHint;     ///< Caller's estimate of output tokens.
  std::string LastEventId;    ///< A stream goes on after this event.
  std::string Authorization;  ///< Carries the caller's key.
  std::string AuthScheme;     ///< Scheme of that field, e.g. Bearer.
  std::string Customer;       ///< Set by the daemon: whose key it was.
  std::string ExpectedTarget; ///< Set by the daemon: id of the target meant.
  std::string NotExecuted;    ///< A target's promise that it ran nothing.
  std::string ResponseStamp;  ///< A target's proof that an answer is its own.
  std::string TargetLoad;     ///< "RUNNING,WAITING,SLOTS" of a target.
  std::string RetryAfter;     ///< Seconds until a caller should come back.
  /// Fields that only the daemon may set; removed from callers' requests.
  std::vector<std::string> Reserved;
};

} // namespace mangodeck

#endif
