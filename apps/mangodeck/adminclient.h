#ifndef MANGODECK_APPS_MANGODECK_ADMINCLIENT_H
#define MANGODECK_APPS_MANGODECK_ADMINCLIENT_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/units.h"

#include <span>
#include <string>
#include <string_view>

namespace mangodeck {

/// An answer of a daemon's admin listener.
struct AdminResponse {
  long Status = 0; ///< HTTP status.
  std::string Body;
};

/// Calls a daemon's admin listener at \p Address (IP:PORT). With a \p Body the
/// call is a POST, without it a GET. Errc::InvalidInput if \p Address is
/// not IP:PORT, Errc::Unavailable if the daemon cannot be reached,
/// Errc::Timeout after \p Timeout, Errc::LimitExceeded for an answer above 64
/// MiB. \p Fields are sent with the call, each as "Name: value".
Expected<AdminResponse> callAdmin(std::string_view Address,
                                  std::string_view Path,
                                  std::string_view Body = {},
                                  Duration Timeout = 5s,
                                  std::span<const std::string> Fields = {});

} // namespace mangodeck

#endif
