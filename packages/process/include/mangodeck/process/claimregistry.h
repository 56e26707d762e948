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
  Claimed,  ///< May have been dispatched.
  Finished, ///< Ran; the answer is stored.
  Released, ///< Was provably not run; may be claimed again.
};

/// Value of a claim's key in the store.
struct ClaimRecord {
  VmName Daemon;
  Incarnation Started = 0;
  RequestId Nonce; ///< Of one attempt to claim.
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

/// Proof that this daemon may dispatch the request, once.
struct Claim {
  std::string StoreKey;
  ClaimRecord Record;
  std::int64_t ModRevision = 0;
  std::int64_t Lease = 0;
};

enum class ClaimStatus : std::uint8_t {
  Granted,     ///< Dispatch it; Held is set.
  Finished,    ///< Ran before; Answer is set.
  Unknown,     ///< Claimed before without a result: never run it.
  KeyInUse,    ///< The key belongs to another body.
  Unreachable, ///< The store did not confirm: not run.
};

struct ClaimOutcome {
  ClaimStatus Status = ClaimStatus::Unreachable;
  /// Set with Granted, and with Unreachable if a call without an answer may
  /// still create the claim: it should then be given to release().
  std::optional<Claim> Held;
  std::optional<StoredAnswer> Answer;
};

struct ClaimOptions {
  VmName Vm;
  Incarnation Started = 0;
  /// Claims vanish from the store between this time and a quarter more.
  Duration Retention = std::chrono::hours(24);
  std::size_t MaxAnswerBytes = 256 << 10;
  /// Calls made for one operation before it is given up.
  std::uint32_t Attempts = 3;
};

/// Claims of keyed non-idempotent requests in the store: what makes them run
/// at most once, whoever dispatches them. A claim is a key that is created by
/// compare-and-swap after the grant and before the dispatch. All claims of a
/// daemon within a quarter of the retention share one store lease that is
/// never renewed, so that the store itself removes them; no call of ours
/// deletes a claim.
///
/// Used from one thread, on which the store's callbacks must run too.
class ClaimRegistry {
public:
  using ClaimCallback = std::function<void(ClaimOutcome)>;
  using DoneCallback = std::function<void(std::error_code)>;

  /// \p Platform and \p Random must outlive this object.
  ClaimRegistry(ClaimOptions Options, Store &Platform, RandomSource &Random);
  ~ClaimRegistry();

  /// Claims the request. Calls \p Done once. If the claim is granted, it has
  /// to be used within the retention, counted from \p Now.
  void claim(ClaimRequest Request, TimePoint Now, ClaimCallback Done);

  /// Stores the answer with the claim. After an error call it again, with a
  /// delay; until then a resend is told that the outcome is unknown.
  void finish(Claim Held, StoredAnswer Answer, DoneCallback Done);

  /// Gives a claim back whose request was provably not run. After an error
  /// call it again; until then a resend is told that the outcome is unknown.
  void release(Claim Held, DoneCallback Done);

private:
  struct Attempt;
  struct Context;

  std::shared_ptr<Context> m_Context;
};

} // namespace mangodeck

#endif
