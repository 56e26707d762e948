#ifndef MANGODECK_PROCESS_CLAIMREGISTRY_H
#define MANGODECK_PROCESS_CLAIMREGISTRY_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "mangodeck/process/claimclient.h"
#include "mangodeck/version/store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mangodeck {

enum class ClaimState : std::uint8_t {
  Claimed,  ///< The request may have been dispatched.
  Finished, ///< The request ran; its answer is stored.
  Released, ///< The request provably did not run; may be claimed again.
};

/// Value of a claim's key in the store.
struct ClaimRecord {
  VmName Daemon;
  Incarnation Started = 0;
  RequestId Nonce; ///< Identifies the call of claim() that wrote the record.
  std::uint64_t Fingerprint = 0;
  ClaimState State = ClaimState::Claimed;
  StoredAnswer Answer;
};

std::string encodeClaim(const ClaimRecord &Record);
Expected<ClaimRecord> decodeClaim(std::string_view Bytes);

/// Key of a claim: once/CUSTOMER/SHA-256 of the idempotency key.
std::string claimKey(const CustomerName &Customer, std::string_view Key);

/// A keyed non-idempotent request that is about to be dispatched.
struct ClaimRequest {
  CustomerName Customer;
  std::string Key; ///< The caller's idempotency key.
  std::uint64_t Fingerprint = 0;
};

/// A claim held by this daemon, which may dispatch the request once.
struct Claim {
  std::string StoreKey;
  ClaimRecord Record;
  std::int64_t ModRevision = 0;
  std::int64_t Lease = 0;
};

enum class ClaimStatus : std::uint8_t {
  Granted,     ///< The request may be dispatched; Held is set.
  Finished,    ///< The request ran before; Answer is set.
  Unknown,     ///< Claimed before, no result stored: must not be run again.
  KeyInUse,    ///< The key was used with another request body.
  Unreachable, ///< The store did not confirm the claim: must not be run.
};

struct ClaimOutcome {
  ClaimStatus Status = ClaimStatus::Unreachable;
  /// Set with Granted, and with Unreachable if a call that timed out may still
  /// create the claim; pass it to release() then.
  std::optional<Claim> Held;
  std::optional<StoredAnswer> Answer;
};

struct ClaimOptions {
  VmName Vm;
  Incarnation Started = 0;
  /// The store removes a claim after this time at the earliest and a quarter
  /// more at the latest.
  Duration Retention = std::chrono::hours(24);
  std::size_t MaxAnswerBytes = 256 << 10;
  /// Maximum number of store calls per operation; when all of them fail, the
  /// operation ends as unreachable.
  std::uint32_t MaxCalls = 3;
};

/// Claims of keyed non-idempotent requests in the store. They make such a
/// request run at most once, whichever daemon dispatches it. A claim is a key
/// that is created by compare-and-swap after the grant and before the dispatch.
/// All claims that a daemon makes within a quarter of the retention share one
/// store lease. The lease is never renewed, so the store removes the claims
/// when it ends; the registry deletes none.
///
/// Used from one thread, on which the store's callbacks must run too.
class ClaimRegistry {
public:
  using ClaimCallback = std::function<void(ClaimOutcome)>;
  using DoneCallback = std::function<void(std::error_code)>;

  /// \p Platform and \p Random must outlive this object.
  ClaimRegistry(ClaimOptions Options, Store &Platform, RandomSource &Random);
  ~ClaimRegistry();

  /// Claims the request; calls \p Done once. A granted claim has to be used
  /// before the retention, counted from \p Now, is over.
  void claim(ClaimRequest Request, TimePoint Now, ClaimCallback Done);

  /// Stores the answer with the claim. On Errc::Unavailable call it again after
  /// a delay; until it succeeds, a resend of the request gets Unknown.
  void finish(Claim Held, StoredAnswer Answer, DoneCallback Done);

  /// Releases a claim whose request provably did not run. On Errc::Unavailable
  /// call it again; until it succeeds, a resend of the request gets Unknown.
  void release(Claim Held, DoneCallback Done);

private:
  struct Operation;
  struct Context;

  std::shared_ptr<Context> m_Context;
};

} // namespace mangodeck

#endif
