#ifndef MANGODECK_TESTING_SESSION_HTTPCALL_H
#define MANGODECK_TESTING_SESSION_HTTPCALL_H

#include "mangodeck/request/callerexchange.h"

#include <string>
#include <string_view>
#include <vector>

namespace mangodeck::testing {

/// What a caller saw of one HTTP call.
struct HttpReply {
  bool IsWhole = false; ///< The transfer ended as HTTP says it must.
  int Status = 0;       ///< 0 when there was no answer.
  bool IsConnected = false;
  std::vector<Header> Headers;
  std::string Body;

  /// A header's value; empty if it is absent.
  std::string header(std::string_view Name) const;
};

/// Sends one request and waits for its end, at most \p LimitSeconds. An empty
/// \p Body sends a GET.
HttpReply call(const std::string &Url, std::vector<std::string> Headers = {},
               const std::string &Body = "", long LimitSeconds = 60);

} // namespace mangodeck::testing

#endif
