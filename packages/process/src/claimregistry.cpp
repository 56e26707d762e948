#include "mangodeck/process/claimregistry.h"

#include <utility>

namespace mangodeck {

namespace {

/// New claims use the same store lease for the retention divided by this.
constexpr int LeasePeriodsPerRetention = 4;

ClaimOutcome outcomeOf(ClaimStatus Status) {
  ClaimOutcome Result;
  Result.Status = Status;
  return Result;
}

} // namespace

/// State shared with the callbacks of calls in progress; they do nothing once
/// the registry is destroyed and Closed is set.
struct ClaimRegistry::Context {
  ClaimOptions Options;
  Store &Platform;
  RandomSource &Random;
  bool Closed = false;
  std::int64_t Lease = 0;
  TimePoint LeaseGranted;
};

/// One operation on one claim: claim, finish or release. The callbacks of its
/// calls keep it alive.
struct ClaimRegistry::Operation
    : public std::enable_shared_from_this<ClaimRegistry::Operation> {
  std::shared_ptr<Context> Shared;
  Claim OwnClaim;
  ClaimCallback Granted;
  DoneCallback Done;
  std::uint32_t CallsLeft = 0;

  bool takeCall() { return !Shared->Closed && CallsLeft-- > 0; }

  void create(std::int64_t ExpectedModRevision);
  void onCreated(Expected<StoreWriteResult> Result, std::int64_t Expected);
  void resolveConflict(const StoreEntry &Current);
  void endUnreachable();
  void writeState();
  void onStateWritten(Expected<StoreWriteResult> Result);
};

ClaimRegistry::ClaimRegistry(ClaimOptions Options, Store &Platform,
                             RandomSource &Random)
    : m_Context(std::make_shared<Context>(
          Context{std::move(Options), Platform, Random, false, 0, {}})) {}

ClaimRegistry::~ClaimRegistry() { m_Context->Closed = true; }

void ClaimRegistry::claim(ClaimRequest Request, TimePoint Now,
                          ClaimCallback Done) {
  auto Op = std::make_shared<Operation>();
  Op->Shared = m_Context;
  Op->CallsLeft = m_Context->Options.MaxCalls;
  Op->Granted = std::move(Done);
  Op->OwnClaim.StoreKey = claimKey(Request.Customer, Request.Key);
  auto &Record = Op->OwnClaim.Record;
  Record.Daemon = m_Context->Options.Vm;
  Record.Started = m_Context->Options.Started;
  Record.Nonce = m_Context->Random.nextRequestId();
  Record.Fingerprint = Request.Fingerprint;

  const auto LeasePeriod =
      m_Context->Options.Retention / LeasePeriodsPerRetention;
  if (m_Context->Lease != 0 && Now - m_Context->LeaseGranted < LeasePeriod) {
    Op->OwnClaim.Lease = m_Context->Lease;
    Op->create(0);
    return;
  }
  m_Context->Platform.grantLease(m_Context->Options.Retention + LeasePeriod,
                                 [Op, Now](Expected<StoreLease> Result) {
                                   if (Op->Shared->Closed)
                                     return;
                                   if (!Result)
                                     return Op->Granted(
                                         outcomeOf(ClaimStatus::Unreachable));
                                   Op->Shared->Lease = Result->Id;
                                   Op->Shared->LeaseGranted = Now;
                                   Op->OwnClaim.Lease = Result->Id;
                                   Op->create(0);
                                 });
}

/// Creates the claim, or replaces a released one. A call without an answer is
/// repeated with the same nonce: whichever of the calls takes effect, the nonce
/// shows that the claim belongs to this operation. After the last call without
/// an answer the request must not run, although that call may still create the
/// claim; release() then settles it.
void ClaimRegistry::Operation::create(std::int64_t ExpectedModRevision) {
  if (!takeCall())
    return endUnreachable();
  StoreWrite Write;
  Write.Key = OwnClaim.StoreKey;
  Write.Value = encodeClaim(OwnClaim.Record);
  Write.ExpectedModRevision = ExpectedModRevision;
  Write.Lease = OwnClaim.Lease;
  Shared->Platform.compareAndSwap(
      Write, [Self = shared_from_this(),
              ExpectedModRevision](Expected<StoreWriteResult> Result) {
        if (!Self->Shared->Closed)
          Self->onCreated(std::move(Result), ExpectedModRevision);
      });
}

/// Ends the operation without a confirmed claim. The next claim requests a new
/// store lease, in case the store has lost the current one.
void ClaimRegistry::Operation::endUnreachable() {
  if (Shared->Closed)
    return;
  Shared->Lease = 0;
  auto Outcome = outcomeOf(ClaimStatus::Unreachable);
  OwnClaim.ModRevision = 0;
  Outcome.Held = OwnClaim;
  Granted(std::move(Outcome));
}

void ClaimRegistry::Operation::onCreated(Expected<StoreWriteResult> Result,
                                         std::int64_t ExpectedModRevision) {
  if (!Result)
    return create(ExpectedModRevision);
  if (Result->Succeeded) {
    OwnClaim.ModRevision = Result->ModRevision;
    auto Outcome = outcomeOf(ClaimStatus::Granted);
    Outcome.Held = OwnClaim;
    return Granted(std::move(Outcome));
  }
  if (Result->Current.empty())
    return create(0);
  resolveConflict(Result->Current.front());
}

/// Decides the outcome from the claim found in the store: this operation's own,
/// written by a call whose answer was lost; a released one; or one of another
/// operation.
void ClaimRegistry::Operation::resolveConflict(const StoreEntry &Current) {
  const auto Found = decodeClaim(Current.Value);
  if (!Found)
    return Granted(outcomeOf(ClaimStatus::Unknown));
  if (Found->Nonce == OwnClaim.Record.Nonce &&
      Found->State == ClaimState::Claimed) {
    OwnClaim.ModRevision = Current.ModRevision;
    auto Outcome = outcomeOf(ClaimStatus::Granted);
    Outcome.Held = OwnClaim;
    return Granted(std::move(Outcome));
  }
  if (Found->State == ClaimState::Released)
    return create(Current.ModRevision);
  if (Found->Fingerprint != OwnClaim.Record.Fingerprint)
    return Granted(outcomeOf(ClaimStatus::KeyInUse));
  if (Found->State == ClaimState::Claimed)
    return Granted(outcomeOf(ClaimStatus::Unknown));
  auto Outcome = outcomeOf(ClaimStatus::Finished);
  Outcome.Answer = Found->Answer;
  Granted(std::move(Outcome));
}

void ClaimRegistry::finish(Claim Held, StoredAnswer Answer, DoneCallback Done) {
  auto Op = std::make_shared<Operation>();
  Op->Shared = m_Context;
  Op->CallsLeft = m_Context->Options.MaxCalls;
  Op->Done = std::move(Done);
  Op->OwnClaim = std::move(Held);
  Op->OwnClaim.Record.State = ClaimState::Finished;
  if (Answer.Body.size() > m_Context->Options.MaxAnswerBytes) {
    Answer.Body.clear();
    Answer.BodyOmitted = true;
  }
  Op->OwnClaim.Record.Answer = std::move(Answer);
  Op->writeState();
}

void ClaimRegistry::release(Claim Held, DoneCallback Done) {
  auto Op = std::make_shared<Operation>();
  Op->Shared = m_Context;
  Op->CallsLeft = m_Context->Options.MaxCalls;
  Op->Done = std::move(Done);
  Op->OwnClaim = std::move(Held);
  Op->OwnClaim.Record.State = ClaimState::Released;
  Op->writeState();
}

/// Writes the next state of this operation's claim. No other daemon changes a
/// claim that is not released, so a conflict means that an earlier call took
/// effect or that the claim has expired. Releasing a claim that was never
/// confirmed writes a released claim in its place: a create call that reaches
/// the store later then expects an older revision and fails.
void ClaimRegistry::Operation::writeState() {
  if (!takeCall()) {
    if (!Shared->Closed)
      Done(Errc::Unavailable);
    return;
  }
  StoreWrite Write;
  Write.Key = OwnClaim.StoreKey;
  Write.Value = encodeClaim(OwnClaim.Record);
  Write.ExpectedModRevision = OwnClaim.ModRevision;
  Write.Lease = OwnClaim.Lease;
  Shared->Platform.compareAndSwap(
      Write, [Self = shared_from_this()](Expected<StoreWriteResult> Result) {
        if (!Self->Shared->Closed)
          Self->onStateWritten(std::move(Result));
      });
}

void ClaimRegistry::Operation::onStateWritten(
    Expected<StoreWriteResult> Result) {
  if (!Result)
    return writeState();
  if (Result->Succeeded)
    return Done(std::error_code());
  if (Result->Current.empty())
    return Done(Errc::NotFound);
  const auto &Current = Result->Current.front();
  const auto Found = decodeClaim(Current.Value);
  const bool IsOwn = Found && Found->Nonce == OwnClaim.Record.Nonce;
  if (IsOwn && Found->State == OwnClaim.Record.State)
    return Done(std::error_code());
  const bool IsRelease = OwnClaim.Record.State == ClaimState::Released;
  const bool StillClaimed = IsOwn && Found->State == ClaimState::Claimed;
  const bool OtherReleased = Found && Found->State == ClaimState::Released;
  if (StillClaimed || (IsRelease && OtherReleased)) {
    OwnClaim.ModRevision = Current.ModRevision;
    return writeState();
  }
  Done(Errc::Conflict);
}

} // namespace mangodeck
