#ifndef MANGODECK_GATEWAY_REQUESTFACTS_H
#define MANGODECK_GATEWAY_REQUESTFACTS_H

#include "mangodeck/gateway/headernames.h"
#include "mangodeck/gateway/targetbook.h"
#include "mangodeck/http/message.h"
#include "mangodeck/version/routeplan.h"

#include <optional>
#include <string>

namespace mangodeck {

/// What a daemon reads from a request before it decides on it.
struct RequestFacts {
  std::string AttemptId;
  std::optional<Duration> RemainingTime; ///< How long the caller will wait.
  std::string ApiKey;                    ///< Empty if there is none.
  TokenCount PromptTokens = 0;
  TokenCount MaxOutputTokens = 0;
  std::optional<TokenCount> OutputHint;
  std::uint64_t Fingerprint = 0; ///< Of path, key and body.
};

RequestFacts parseRequestFacts(const http::Request &Message,
                               const HeaderNames &Names);

/// The numeric id of a stream's event; std::nullopt if it has none.
std::optional<std::int64_t> parseEventId(std::string_view Event);

/// Requests that run or wait at a target, from the field that tells its load;
/// std::nullopt if it cannot be read.
std::optional<std::uint32_t> parseTargetLoad(std::string_view Field);

/// The work that a request is expected to be.
RequestWork expectedWork(const RequestFacts &Facts,
                         const PlannedService *Service);

/// Units that a request counts against its customer's limit.
double quotaCost(const RequestFacts &Facts, const PlannedCustomer &Customer);

} // namespace mangodeck

#endif
