#include "mangodeck/process/claimregistry.h"

#include <utility>

namespace mangodeck {

namespace {

/// Claims share a store lease for this fraction of the retention.
constexpr int LeasePeriods = 4;

ClaimOutcome withStatus(ClaimStatus Status) {
  ClaimOutcome Result;
  Result.Status = Status;
  return Result;
}

} // namespace

/// Shared with the callbacks of calls in progress, which do nothing once the
/// registry is gone.
struct ClaimRegistry::Context {
  ClaimOptions Options;
  Store &Platform;
  RandomSource &Random;
  bool Closed = false;
  std::int64_t Lease = 0;
  TimePoint LeaseGranted;
};

/// One operation on one claim. It lives as long as a callback refers to it.
struct ClaimRegistry::Attempt
    : public std::enable_shared_from_this<ClaimRegistry::Attempt> {
  std::shared_ptr<Context> Owner;
  Claim Wanted;
  ClaimCallback Granted;
  DoneCallback Done;
  std::uint32_t CallsLeft = 0;

  bool spendCall() { return !Owner->Closed && CallsLeft-- > 0; }

  void create(std::int64_t ExpectedModRevision);
  void onCreated(Expected<StoreWriteResult> Result, std::int64_t Expected);
  void judge(const StoreEntry &Current);
  void giveUp();
  void replace();
  void onReplaced(Expected<StoreWriteResult> Result);
};

ClaimRegistry::ClaimRegistry(ClaimOptions Options, Store &Platform,
                             RandomSource &Random)
    : m_Context(std::make_shared<Context>(
          Context{std::move(Options), Platform, Random, false, 0, {}})) {}

ClaimRegistry::~ClaimRegistry() { m_Context->Closed = true; }

void ClaimRegistry::claim(ClaimRequest Request, TimePoint Now,
                          ClaimCallback Done) {
  auto Work = std::make_shared<Attempt>();
  Work->Owner = m_Context;
  Work->CallsLeft = m_Context->Options.Attempts;
  Work->Granted = std::move(Done);
  Work->Wanted.StoreKey = claimKey(Request.Customer, Request.Key);
  auto &Record = Work->Wanted.Record;
  Record.Daemon = m_Context->Options.Vm;
  Record.Started = m_Context->Options.Started;
  Record.Nonce = m_Context->Random.nextRequestId();
  Record.Fingerprint = Request.Fingerprint;

  const auto Period = m_Context->Options.Retention / LeasePeriods;
  if (m_Context->Lease != 0 && Now - m_Context->LeaseGranted < Period) {
    Work->Wanted.Lease = m_Context->Lease;
    Work->create(0);
    return;
  }
  m_Context->Platform.grantLease(m_Context->Options.Retention + Period,
                                 [Work, Now](Expected<StoreLease> Result) {
                                   if (Work->Owner->Closed)
                                     return;
                                   if (!Result)
                                     return Work->Granted(
                                         withStatus(ClaimStatus::Unreachable));
                                   Work->Owner->Lease = Result->Id;
                                   Work->Owner->LeaseGranted = Now;
                                   Work->Wanted.Lease = Result->Id;
                                   Work->create(0);
                                 });
}

/// Creates the claim, or replaces a released one. A call without an answer is
/// repeated with the same nonce: whichever of the calls takes effect, the
/// nonce shows that the claim is this attempt's. When the calls are used up,
/// the request is not run, although the claim may come into being; it is
/// then settled by release().
void ClaimRegistry::Attempt::create(std::int64_t ExpectedModRevision) {
  if (!spendCall())
    return giveUp();
  StoreWrite Write;
  Write.Key = Wanted.StoreKey;
  Write.Value = encodeClaim(Wanted.Record);
  Write.ExpectedModRevision = ExpectedModRevision;
  Write.Lease = Wanted.Lease;
  Owner->Platform.compareAndSwap(
      Write, [Self = shared_from_this(),
              ExpectedModRevision](Expected<StoreWriteResult> Result) {
        if (!Self->Owner->Closed)
          Self->onCreated(std::move(Result), ExpectedModRevision);
      });
}

/// Ends without a claim. The next claim asks for a new store lease, in case
/// the store has lost this one.
void ClaimRegistry::Attempt::giveUp() {
  if (Owner->Closed)
    return;
  Owner->Lease = 0;
  auto Outcome = withStatus(ClaimStatus::Unreachable);
  Wanted.ModRevision = 0;
  Outcome.Held = Wanted;
  Granted(std::move(Outcome));
}

void ClaimRegistry::Attempt::onCreated(Expected<StoreWriteResult> Result,
                                       std::int64_t ExpectedModRevision) {
  if (!Result)
    return create(ExpectedModRevision);
  if (Result->Succeeded) {
    Wanted.ModRevision = Result->ModRevision;
    auto Outcome = withStatus(ClaimStatus::Granted);
    Outcome.Held = Wanted;
    return Granted(std::move(Outcome));
  }
  if (Result->Current.empty())
    return create(0);
  judge(Result->Current.front());
}

/// Decides by the claim that exists: its own from a call whose answer was
/// lost, a released one, or another attempt's.
void ClaimRegistry::Attempt::judge(const StoreEntry &Current) {
  const auto Found = decodeClaim(Current.Value);
  if (!Found)
    return Granted(withStatus(ClaimStatus::Unknown));
  if (Found->Nonce == Wanted.Record.Nonce &&
      Found->State == ClaimState::Claimed) {
    Wanted.ModRevision = Current.ModRevision;
    auto Outcome = withStatus(ClaimStatus::Granted);
    Outcome.Held = Wanted;
    return Granted(std::move(Outcome));
  }
  if (Found->State == ClaimState::Released)
    return create(Current.ModRevision);
  if (Found->Fingerprint != Wanted.Record.Fingerprint)
    return Granted(withStatus(ClaimStatus::KeyInUse));
  if (Found->State == ClaimState::Claimed)
    return Granted(withStatus(ClaimStatus::Unknown));
  auto Outcome = withStatus(ClaimStatus::Finished);
  Outcome.Answer = Found->Answer;
  Granted(std::move(Outcome));
}

void ClaimRegistry::finish(Claim Held, StoredAnswer Answer, DoneCallback Done) {
  auto Work = std::make_shared<Attempt>();
  Work->Owner = m_Context;
  Work->CallsLeft = m_Context->Options.Attempts;
  Work->Done = std::move(Done);
  Work->Wanted = std::move(Held);
  Work->Wanted.Record.State = ClaimState::Finished;
  if (Answer.Body.size() > m_Context->Options.MaxAnswerBytes) {
    Answer.Body.clear();
    Answer.BodyOmitted = true;
  }
  Work->Wanted.Record.Answer = std::move(Answer);
  Work->replace();
}

void ClaimRegistry::release(Claim Held, DoneCallback Done) {
  auto Work = std::make_shared<Attempt>();
  Work->Owner = m_Context;
  Work->CallsLeft = m_Context->Options.Attempts;
  Work->Done = std::move(Done);
  Work->Wanted = std::move(Held);
  Work->Wanted.Record.State = ClaimState::Released;
  Work->replace();
}

/// Moves this attempt's own claim on to its next state. Nobody else changes a
/// claim that is not released, so a conflict means that an earlier call took
/// effect, or that the claim has expired. Releasing a claim that was never
/// confirmed leaves a released one in its place, upon which a call that is
/// still on its way finds other versions than it expects and fails.
void ClaimRegistry::Attempt::replace() {
  if (!spendCall()) {
    if (!Owner->Closed)
      Done(Errc::Unavailable);
    return;
  }
  StoreWrite Write;
  Write.Key = Wanted.StoreKey;
  Write.Value = encodeClaim(Wanted.Record);
  Write.ExpectedModRevision = Wanted.ModRevision;
  Write.Lease = Wanted.Lease;
  Owner->Platform.compareAndSwap(
      Write, [Self = shared_from_this()](Expected<StoreWriteResult> Result) {
        if (!Self->Owner->Closed)
          Self->onReplaced(std::move(Result));
      });
}

void ClaimRegistry::Attempt::onReplaced(Expected<StoreWriteResult> Result) {
  if (!Result)
    return replace();
  if (Result->Succeeded)
    return Done(std::error_code());
  if (Result->Current.empty())
    return Done(Errc::NotFound);
  const auto &Current = Result->Current.front();
  const auto Found = decodeClaim(Current.Value);
  const bool Own = Found && Found->Nonce == Wanted.Record.Nonce;
  if (Own && Found->State == Wanted.Record.State)
    return Done(std::error_code());
  const bool Releasing = Wanted.Record.State == ClaimState::Released;
  const bool Unsettled = Own && Found->State == ClaimState::Claimed;
  const bool OtherReleased = Found && Found->State == ClaimState::Released;
  if (Unsettled || (Releasing && OtherReleased)) {
    Wanted.ModRevision = Current.ModRevision;
    return replace();
  }
  Done(Errc::Conflict);
}

} // namespace mangodeck
