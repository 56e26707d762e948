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

/// Used on the executor only.
struct StoreClaimClient::State
    : public std::enable_shared_from_this<StoreClaimClient::State> {
  ExecutorStore Platform;
  Executor &Loop;
  const Clock &Time;
  ClaimRegistry Registry;
  std::map<RequestId, Claim> Held;

  State(ClaimOptions Options, Store &Shared, RandomSource &Random,
        Executor &Given, const Clock &Now)
      : Platform(Shared, Given), Loop(Given), Time(Now),
        Registry(std::move(Options), Platform, Random) {}

  void claim(ClaimRequest Wanted, const RequestId &Request,
             std::function<void(ClaimReply)> Done);
  void finish(const Claim &Kept, const StoredAnswer &Answer, Duration Delay,
              std::uint32_t RetriesLeft);
  void release(const Claim &Kept, Duration Delay, std::uint32_t RetriesLeft);
  std::optional<Claim> take(const RequestId &Request);

  /// Runs \p Again later unless \p Error says that it would be in vain.
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

/// A request that holds its claim already, and was granted again after a
/// proven non-delivery, has won. A claim that was given up is released.
void StoreClaimClient::State::claim(ClaimRequest Wanted,
                                    const RequestId &Request,
                                    std::function<void(ClaimReply)> Done) {
  if (Held.contains(Request)) {
    ClaimReply Reply;
    Reply.Result = ClaimResult::Won;
    return Done(Reply);
  }
  Registry.claim(std::move(Wanted), Time.now(),
                 [Weak = weak_from_this(), Request,
                  Done = std::move(Done)](const ClaimOutcome &Outcome) {
                   const auto Self = Weak.lock();
                   if (!Self)
                     return;
                   if (Outcome.Status == ClaimStatus::Granted)
                     Self->Held.emplace(Request, *Outcome.Held);
                   else if (Outcome.Held)
                     Self->release(*Outcome.Held, MinRetryDelay, RetryLimit);
                   Done(toReply(Outcome));
                 });
}

std::optional<Claim> StoreClaimClient::State::take(const RequestId &Request) {
  auto Node = Held.extract(Request);
  if (Node.empty())
    return std::nullopt;
  return std::move(Node.mapped());
}

void StoreClaimClient::State::finish(const Claim &Kept,
                                     const StoredAnswer &Answer, Duration Delay,
                                     std::uint32_t RetriesLeft) {
  Registry.finish(Kept, Answer, [=, this](std::error_code Error) {
    retry(Error, Delay, RetriesLeft, [=](State &Self) {
      Self.finish(Kept, Answer, std::min(Delay * 2, MaxRetryDelay),
                  RetriesLeft - 1);
    });
  });
}

void StoreClaimClient::State::release(const Claim &Kept, Duration Delay,
                                      std::uint32_t RetriesLeft) {
  Registry.release(Kept, [=, this](std::error_code Error) {
    retry(Error, Delay, RetriesLeft, [=](State &Self) {
      Self.release(Kept, std::min(Delay * 2, MaxRetryDelay), RetriesLeft - 1);
    });
  });
}

void StoreClaimClient::complete(const ClaimKey &, const RequestId &Request,
                                StoredAnswer Answer) {
  m_State->Loop.post([State = m_State, Request, Answer = std::move(Answer)] {
    if (const auto Kept = State->take(Request))
      State->finish(*Kept, Answer, MinRetryDelay, RetryLimit);
  });
}

void StoreClaimClient::release(const ClaimKey &, const RequestId &Request) {
  m_State->Loop.post([State = m_State, Request] {
    if (const auto Kept = State->take(Request))
      State->release(*Kept, MinRetryDelay, RetryLimit);
  });
}

} // namespace mangodeck
