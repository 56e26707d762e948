#include "mangodeck/process/storeclaimclient.h"

#include "mangodeck/process/executorstore.h"

#include <algorithm>
#include <map>

namespace mangodeck {

namespace {

constexpr Duration MinRetryDelay = 1s;
constexpr Duration MaxRetryDelay = 60s;

ClaimReply toReply(const ClaimOutcome &Outcome) {
  ClaimReply Reply;
  switch (Outcome.Status) {
  case ClaimStatus::Granted:
    Reply.Result = ClaimResult::Won;
    break;
  case ClaimStatus::Finished:
  case ClaimStatus::Unknown:
  case ClaimStatus::KeyInUse:
    Reply.Result = ClaimResult::Held;
    break;
  case ClaimStatus::Unreachable:
    Reply.Result = ClaimResult::Unreachable;
    break;
  }
  Reply.Answer = Outcome.Answer;
  Reply.BodyDiffers = Outcome.Status == ClaimStatus::KeyInUse;
  return Reply;
}

} // namespace

/// Accessed on the executor only.
struct StoreClaimClient::State
    : public std::enable_shared_from_this<StoreClaimClient::State> {
  ExecutorStore Platform;
  Executor &Loop;
  const Clock &Time;
  ClaimRegistry Registry;
  std::map<RequestId, Claim> Held;

  State(ClaimOptions Options, Store &Backend, RandomSource &Random,
        Executor &CallbackLoop, const Clock &Source)
      : Platform(Backend, CallbackLoop), Loop(CallbackLoop), Time(Source),
        Registry(std::move(Options), Platform, Random) {}

  void claim(ClaimRequest ToClaim, const RequestId &Request,
             std::function<void(ClaimReply)> Done);
  void finish(const Claim &HeldClaim, const StoredAnswer &Answer,
              Duration Delay, std::uint32_t RetriesLeft);
  void release(const Claim &HeldClaim, Duration Delay,
               std::uint32_t RetriesLeft);
  std::optional<Claim> take(const RequestId &Request);

  /// Runs \p Again after \p Delay if \p Error is Errc::Unavailable and retries
  /// are left; any other error is final.
  template <typename Function>
  void retry(std::error_code Error, Duration Delay, std::uint32_t RetriesLeft,
             Function Again) {
    if (Error != make_error_code(Errc::Unavailable) || RetriesLeft == 0)
      return;
    Loop.postAfter(Delay, [Weak = weak_from_this(), Again] {
      if (const auto Self = Weak.lock())
        Again(*Self);
    });
  }
};

StoreClaimClient::StoreClaimClient(ClaimOptions Options, Store &Platform,
                                   RandomSource &Random, Executor &Loop,
                                   const Clock &Time)
    : m_State(std::make_shared<State>(std::move(Options), Platform, Random,
                                      Loop, Time)) {}

StoreClaimClient::~StoreClaimClient() = default;

void StoreClaimClient::claim(const ClaimKey &Key, std::uint64_t Fingerprint,
                             const RequestId &Request,
                             std::function<void(ClaimReply)> Done) {
  m_State->Loop.post(
      [State = m_State, Key, Fingerprint, Request, Done = std::move(Done)] {
        State->claim({Key.Customer, Key.Key, Fingerprint}, Request, Done);
      });
}

/// A request that is granted again after its delivery provably failed holds its
/// claim already and wins without a store call. A claim that the store did not
/// confirm is released, as the store may still create it.
void StoreClaimClient::State::claim(ClaimRequest ToClaim,
                                    const RequestId &Request,
                                    std::function<void(ClaimReply)> Done) {
  if (Held.contains(Request)) {
    ClaimReply Reply;
    Reply.Result = ClaimResult::Won;
    return Done(Reply);
  }
  Registry.claim(std::move(ToClaim), Time.now(),
                 [Weak = weak_from_this(), Request,
                  Done = std::move(Done)](const ClaimOutcome &Outcome) {
                   const auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (Outcome.Status == ClaimStatus::Granted)
                     Self->Held.emplace(Request, *Outcome.Held);
                   else if (Outcome.Held)
                     Self->release(*Outcome.Held, MinRetryDelay, MaxRetries);
                   Done(toReply(Outcome));
                 });
}

std::optional<Claim> StoreClaimClient::State::take(const RequestId &Request) {
  auto Node = Held.extract(Request);
  if (Node.empty())
    return std::nullopt;
  return std::move(Node.mapped());
}

void StoreClaimClient::State::finish(const Claim &HeldClaim,
                                     const StoredAnswer &Answer, Duration Delay,
                                     std::uint32_t RetriesLeft) {
  Registry.finish(HeldClaim, Answer, [=, this](std::error_code Error) {
    retry(Error, Delay, RetriesLeft, [=](State &Self) {
      Self.finish(HeldClaim, Answer, std::min(Delay * 2, MaxRetryDelay),
                  RetriesLeft - 1);
    });
  });
}

void StoreClaimClient::State::release(const Claim &HeldClaim, Duration Delay,
                                      std::uint32_t RetriesLeft) {
  Registry.release(HeldClaim, [=, this](std::error_code Error) {
    retry(Error, Delay, RetriesLeft, [=](State &Self) {
      Self.release(HeldClaim, std::min(Delay * 2, MaxRetryDelay),
                   RetriesLeft - 1);
    });
  });
}

void StoreClaimClient::complete(const ClaimKey &, const RequestId &Request,
                                StoredAnswer Answer) {
  m_State->Loop.post([State = m_State, Request, Answer = std::move(Answer)] {
    if (const auto HeldClaim = State->take(Request))
      State->finish(*HeldClaim, Answer, MinRetryDelay, MaxRetries);
  });
}

void StoreClaimClient::release(const ClaimKey &, const RequestId &Request) {
  m_State->Loop.post([State = m_State, Request] {
    if (const auto HeldClaim = State->take(Request))
      State->release(*HeldClaim, MinRetryDelay, MaxRetries);
  });
}

} // namespace mangodeck
