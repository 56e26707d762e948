#ifndef MANGODECK_PROCESS_CLAIMCLIENT_H
#define MANGODECK_PROCESS_CLAIMCLIENT_H

#include "mangodeck/common/ids.h"
#include "mangodeck/request/lifecycle.h"

#include <functional>
#include <optional>
#include <string>

namespace mangodeck {

/// An answer kept with a claim, for callers that send the request again.
struct StoredAnswer {
  int Status = 200;
  std::string ContentType;
  std::string Body;
  bool BodyOmitted = false; ///< The body was too long to keep and is left out.

  bool operator==(const StoredAnswer &) const = default;
};

/// Names one keyed request of one customer.
struct ClaimKey {
  CustomerName Customer;
  std::string Key; ///< As the caller gave it.

  bool operator==(const ClaimKey &) const = default;
};

/// Result of recording a claim.
struct ClaimReply {
  ClaimResult Result = ClaimResult::Unreachable;
  /// With Held: the answer of the request that holds the key, if it is stored.
  std::optional<StoredAnswer> Answer;
  /// With Held: the key was used with another request body.
  bool BodyDiffers = false;
};

/// Records claims of keyed non-idempotent requests. Safe from any thread.
class ClaimClient {
public:
  virtual ~ClaimClient() = default;

  /// Records that \p Request holds \p Key; calls \p Done once, on any thread.
  virtual void claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                     const RequestId &Request,
                     std::function<void(ClaimReply)> Done) = 0;

  /// Stores the answer with the claim of \p Request, held by this daemon.
  virtual void complete(const ClaimKey &Key, const RequestId &Request,
                        StoredAnswer Answer) = 0;

  /// Releases the claim of \p Request, which was never dispatched.
  virtual void release(const ClaimKey &Key, const RequestId &Request) = 0;
};

} // namespace mangodeck

#endif
