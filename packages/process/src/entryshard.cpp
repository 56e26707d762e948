#include "mangodeck/process/entryshard.h"

#include "activerequest.h"
#include "mangodeck/common/overload.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace mangodeck {

namespace {

/// Delay before a ticket is sent again when the send queue to the group's owner
/// rejected it.
constexpr Duration ResubmitDelay = 100ms;

/// Bounds of the random Retry-After of requests that this daemon refuses
/// without a decision of a group owner.
constexpr Duration MinRetryDelay = 1s;
constexpr Duration MaxRetryDelay = 3s;

/// Header in which a target reports how many prompt tokens its prefix cache
/// held.
constexpr std::string_view CachedTokensHeader = "X-Cached-Tokens";

std::int64_t parseTokens(const std::string *Text) {
  std::int64_t Value = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

} // namespace

/// Posts a target's answer from the target client's thread to the shard's
/// executor.
class EntryShard::AnswerForwarder : public TargetAnswer {
public:
  AnswerForwarder(EntryShard &Shard, const RequestId &Id,
                  std::shared_ptr<CallerExchange> Exchange)
      : m_Shard(Shard), m_Id(Id), m_Exchange(std::move(Exchange)) {}

  void onHead(int Status, std::span<const Header> Headers) override {
    const auto *Type = findHeader(Headers, "Content-Type");
    m_Shard.m_Dependencies.Loop.post(
        [this, Self = m_Self, Status,
         ContentType = Type ? *Type : "application/octet-stream",
         CachedTokens = parseTokens(findHeader(Headers, CachedTokensHeader))] {
          m_Shard.onHead(m_Id, Status, ContentType, CachedTokens);
        });
  }

  void onBody(std::string_view Bytes) override {
    m_QueuedBytes.fetch_add(Bytes.size(), std::memory_order_relaxed);
    m_Shard.m_Dependencies.Loop.post(
        [this, Self = m_Self, Copy = std::string(Bytes)]() mutable {
          m_QueuedBytes.fetch_sub(Copy.size(), std::memory_order_relaxed);
          m_Shard.onBody(m_Id, std::move(Copy));
        });
  }

  /// Includes the bytes that the caller has not read yet, so that the target
  /// client stops reading from the target while the caller reads slowly.
  /// Otherwise the answer would accumulate in this process's memory.
  std::size_t pendingBytes() const override {
    return m_QueuedBytes.load(std::memory_order_relaxed) +
           m_Exchange->pendingBytes();
  }

  void onEnd(TargetEnd End, bool TargetGone) override {
    m_Shard.m_Dependencies.Loop.post(
        [this, Self = std::move(m_Self), End, TargetGone] {
          m_Shard.onEnd(m_Id, End, TargetGone);
        });
  }

  void onResumed() override {
    m_Shard.m_Dependencies.Observer.onStreamResumed();
    m_Shard.m_Dependencies.Events.record(
        {EventKind::StreamResumed, m_Id, "", ""});
  }

  /// Keeps the object alive until onEnd(), its last callback, has run.
  void keepAlive(std::shared_ptr<AnswerForwarder> Self) {
    m_Self = std::move(Self);
  }

private:
  EntryShard &m_Shard;
  RequestId m_Id;
  std::shared_ptr<CallerExchange> m_Exchange;
  std::atomic<std::size_t> m_QueuedBytes = 0;
  std::shared_ptr<AnswerForwarder> m_Self;
};

EntryShard::EntryShard(EntryShardDependencies Dependencies)
    : m_Dependencies(std::move(Dependencies)) {}

EntryShard::~EntryShard() = default;

ActiveRequest *EntryShard::find(const RequestId &Id) {
  const auto It = m_Requests.find(Id);
  return It == m_Requests.end() ? nullptr : It->second.get();
}

Duration EntryShard::randomRetryDelay() {
  const auto Range =
      static_cast<double>((MaxRetryDelay - MinRetryDelay).count());
  return MinRetryDelay + Duration(static_cast<std::int64_t>(
                             m_Dependencies.Random.uniform() * Range));
}

VmName EntryShard::ownerOf(const GroupId &Group) const {
  const auto Owners = m_Dependencies.Owners.read();
  const auto *Owner = Owners->ownerOf(Group);
  return Owner ? *Owner : m_Dependencies.Vm;
}

void EntryShard::accept(AcceptedRequest Accepted) {
  m_OpenRequests.fetch_add(1, std::memory_order_relaxed);
  m_Dependencies.Observer.onAccepted(Accepted.Request);
  m_Dependencies.Loop.post([this, Moved = std::move(Accepted)]() mutable {
    start(std::move(Moved));
  });
}

void EntryShard::start(AcceptedRequest Accepted) {
  // Step 1. Join the request with the same key, if one is in progress here.
  const auto Id = Accepted.Request.Id;
  m_Dependencies.Events.record({EventKind::RequestArrived, Id,
                                Accepted.Request.Service.Text,
                                Accepted.Request.Customer.Text});
  if (!Accepted.IdempotencyKey.empty() && joinRequestWithSameKey(Accepted))
    return;

  // Step 2. Register the request, with its caller as receiver of the answer.
  const bool NeedsClaim =
      !Accepted.Request.Idempotent && !Accepted.IdempotencyKey.empty();
  const auto Exchange = std::move(Accepted.Exchange);
  auto Owned = std::make_unique<ActiveRequest>(std::move(Accepted), NeedsClaim);
  auto &Active = *Owned;
  m_Requests.emplace(Id, std::move(Owned));
  Active.Exchange = Exchange;
  Active.Sinks.push_back(std::make_unique<CallerSink>(Exchange, Id));
  if (Active.isKeyed())
    m_RequestsByKey[Active.customerScopedKey()] = Id;
  Active.BudgetedBytes = Active.Outgoing.Body.size();
  m_Dependencies.Bodies.add(Active.Request.Tier, Active.BudgetedBytes);

  // Step 3. Submit the ticket, and watch for the deadline and a hang-up.
  Exchange->onHangUp(
      [this, Id] { m_Dependencies.Loop.post([this, Id] { onHangUp(Id); }); });
  scheduleExpiry(Active);
  submit(Active);
}

/// Lets a repeated request receive the answer of the request in progress with
/// the same customer and key. Refuses it if its body differs. Returns false if
/// no such request is in progress.
bool EntryShard::joinRequestWithSameKey(AcceptedRequest &Accepted) {
  const auto It = m_RequestsByKey.find(Accepted.Request.Customer.Text + '/' +
                                       Accepted.IdempotencyKey);
  if (It == m_RequestsByKey.end())
    return false;
  auto *InProgress = find(It->second);
  assert(InProgress && "the key index names requests in progress only");
  auto Sink =
      std::make_unique<CallerSink>(Accepted.Exchange, Accepted.Request.Id);
  m_OpenRequests.fetch_sub(1, std::memory_order_relaxed);
  if (InProgress->Request.Fingerprint != Accepted.Request.Fingerprint) {
    Sink->fail(describeRefusal({NotRunReason::KeyInUse, Duration{0}}));
    return true;
  }
  if (InProgress->Streaming) {
    Sink->begin(InProgress->Status, InProgress->ContentType);
    Sink->write(InProgress->BufferedAnswer);
  }
  InProgress->Sinks.push_back(std::move(Sink));
  return true;
}

void EntryShard::submit(ActiveRequest &Active) {
  Active.GroupOwner = ownerOf(Active.Group);
  m_Dependencies.Events.record({EventKind::TicketSubmitted, Active.id(),
                                Active.GroupOwner.Text,
                                toString(Active.Group)});
  if (m_Dependencies.Router.send(Active.GroupOwner,
                                 SubmitTicket{Active.Group, Active.Request}))
    return;
  m_Dependencies.Loop.postAfter(ResubmitDelay, [this, Id = Active.id()] {
    auto *Waiting = find(Id);
    if (Waiting && Waiting->Lifecycle.state() == RequestState::Waiting)
      submit(*Waiting);
  });
}

void EntryShard::withdraw(ActiveRequest &Active) {
  m_Dependencies.Router.send(Active.GroupOwner,
                             WithdrawTicket{Active.Group, Active.id()});
}

void EntryShard::scheduleExpiry(const ActiveRequest &Active) {
  m_Dependencies.Loop.postAfter(Active.Request.Deadline -
                                    m_Dependencies.Time.now(),
                                [this, Id = Active.id()] { onExpiry(Id); });
}

void EntryShard::onExpiry(const RequestId &Id) {
  auto *Active = find(Id);
  if (!Active || !Active->Lifecycle.onExpiry(m_Dependencies.Time.now()))
    return;
  withdraw(*Active);
  refuse(*Active, {NotRunReason::Expired, randomRetryDelay()});
}

void EntryShard::onHangUp(const RequestId &Id) {
  auto *Active = find(Id);
  if (!Active || Active->Sinks.size() > 1)
    return;
  const auto Action = Active->Lifecycle.onHangUp();
  if (Action == HangUpDecision::Ignore)
    return;
  m_Dependencies.Observer.onCallerHungUp();
  m_Dependencies.Events.record({EventKind::CallerHungUp, Id, "", ""});
  if (Action == HangUpDecision::Withdraw) {
    withdraw(*Active);
    refuse(*Active, {NotRunReason::CallerGone, Duration{0}});
  } else if (Action == HangUpDecision::Cancel) {
    m_Dependencies.Targets.cancel(Id);
  }
}

void EntryShard::onMessage(const VmName &From, PeerMessage Message) {
  m_Dependencies.Loop.post([this, From, Moved = std::move(Message)] {
    const auto Handle =
        Overload{[&](const GrantTicket &M) { onGrant(From, M.Granted); },
                 [&](const RefuseTicket &M) { onRefusal(M.Request, M.Reason); },
                 [&](const MoveTicket &M) { onMove(M.Request, M.To); },
                 [](const auto &) {}};
    std::visit(Handle, Moved);
  });
}

DispatchCondition EntryShard::dispatchConditionOf(const ActiveRequest &Active,
                                                  const Grant &Offered) const {
  DispatchCondition Condition;
  {
    const auto Config = m_Dependencies.Config.read();
    const auto *Found = Config->findTarget(Offered.Target);
    Condition.TargetUsable = Found && !Found->Draining;
  }
  const auto Exclusions = m_Dependencies.Exclusions.read();
  if (Exclusions->isLeaving(Offered.Target, Offered.TargetIncarnation))
    Condition.TargetUsable = false;
  Condition.Quarantined = Exclusions->isQuarantined(Active.Request.Fingerprint);
  return Condition;
}

void EntryShard::onGrant(const VmName &Owner, const Grant &Offered) {
  // Step 1. Return a grant whose request has already ended.
  auto *Active = find(Offered.Request);
  if (!Active)
    return returnGrant(Owner, Offered, ReturnReason::Withdrawn);

  // Step 2. Ignore a repeated message about the grant in use.
  const bool InUse = Active->CurrentGrant &&
                     Active->CurrentGrant->Group == Offered.Group &&
                     Active->CurrentGrant->Target == Offered.Target;
  if (InUse && Active->Lifecycle.state() != RequestState::Waiting)
    return;

  // Step 3. Let the state machine decide, with the latest configuration and
  // exclusions.
  const auto Decision = Active->Lifecycle.onGrant(
      m_Dependencies.Time.now(), dispatchConditionOf(*Active, Offered));
  if (Decision.Use == GrantUse::Return) {
    returnGrant(Owner, Offered, Decision.Reason);
    if (Decision.Reason == ReturnReason::Quarantined &&
        Active->Lifecycle.onRefusal())
      refuse(*Active, {NotRunReason::Quarantined, Duration{0}});
    return;
  }

  // Step 4. Use the grant: dispatch the request, or first record its claim if
  // it needs one.
  Active->CurrentGrant = Offered;
  Active->GrantOwner = Owner;
  if (Decision.Use == GrantUse::Dispatch)
    return dispatch(*Active);
  m_Dependencies.Claims.claim(
      Active->claimKey(), Active->Request.Fingerprint, Active->id(),
      [this, Id = Active->id(), Key = Active->claimKey()](ClaimReply Reply) {
        m_Dependencies.Loop.post([this, Id, Key, Moved = std::move(Reply)] {
          onClaim(Id, Key, Moved);
        });
      });
}

void EntryShard::onClaim(const RequestId &Id, const ClaimKey &Key,
                         const ClaimReply &Reply) {
  auto *Active = find(Id);
  if (!Active) {
    if (Reply.Result == ClaimResult::Won)
      m_Dependencies.Claims.release(Key, Id);
    return;
  }
  const auto Action = Active->Lifecycle.onClaim(
      Reply.Result, m_Dependencies.Time.now(),
      dispatchConditionOf(*Active, *Active->CurrentGrant));
  if (Action == ClaimDecision::Dispatch) {
    m_Dependencies.Events.record({EventKind::ClaimCreated, Id, Key.Key, ""});
    return dispatch(*Active);
  }
  returnGrant(Active->GrantOwner, *Active->CurrentGrant,
              ReturnReason::ClaimFailed);
  Active->CurrentGrant.reset();
  switch (Action) {
  case ClaimDecision::Dispatch:
    return;
  case ClaimDecision::WaitAgain:
    return submit(*Active);
  case ClaimDecision::Release:
    return m_Dependencies.Claims.release(Key, Id);
  case ClaimDecision::AnswerFromRecord:
    if (Reply.BodyDiffers)
      return refuse(*Active, {NotRunReason::KeyInUse, Duration{0}});
    if (!Reply.Answer)
      return failWithUnknownOutcome(*Active,
                                    "an earlier request with this key was "
                                    "started and its end is not known");
    if (Reply.Answer->BodyOmitted)
      return failWithUnknownOutcome(*Active,
                                    "an earlier request with this key ran; its "
                                    "answer was too long to keep");
    for (auto &Sink : Active->Sinks)
      Sink->respond(Reply.Answer->Status, Reply.Answer->ContentType,
                    Reply.Answer->Body);
    return erase(*Active);
  case ClaimDecision::Refuse:
    return refuse(*Active,
                  {NotRunReason::StoreUnreachable, randomRetryDelay()});
  }
}

/// Sends a request that has just moved to RequestState::Dispatched to the
/// granted target.
void EntryShard::dispatch(ActiveRequest &Active) {
  assert(Active.Lifecycle.state() == RequestState::Dispatched);
  m_Dependencies.Bodies.remove(Active.Request.Tier, Active.BudgetedBytes);
  Active.BudgetedBytes = 0;
  auto Outgoing = Active.Outgoing;
  Outgoing.Id = Active.id();
  Outgoing.Target = Active.CurrentGrant->Target;
  {
    const auto Config = m_Dependencies.Config.read();
    if (const auto *Found = Config->findTarget(Outgoing.Target))
      Outgoing.Address = Found->Address;
  }
  Active.Meter.start(m_Dependencies.Time.now());
  m_Dependencies.Observer.onDispatched(Active.Request);
  m_Dependencies.Events.record({EventKind::RequestDispatched, Active.id(),
                                Outgoing.Target.Text, Outgoing.Address});
  auto Answer =
      std::make_shared<AnswerForwarder>(*this, Active.id(), Active.Exchange);
  Answer->keepAlive(Answer);
  m_Dependencies.Targets.dispatch(std::move(Outgoing), Answer);
}

void EntryShard::onRefusal(const RequestId &Id, const Refusal &Reason) {
  auto *Active = find(Id);
  if (Active && Active->Lifecycle.onRefusal())
    refuse(*Active, Reason);
}

void EntryShard::onMove(const RequestId &Id, const GroupId &To) {
  auto *Active = find(Id);
  if (!Active || Active->Lifecycle.state() != RequestState::Waiting)
    return;
  Active->Group = To;
  ++Active->Request.Hops;
  submit(*Active);
}

void EntryShard::returnGrant(const VmName &Owner, const Grant &Offered,
                             ReturnReason Reason) {
  m_Dependencies.Observer.onGrantReturned(Reason);
  m_Dependencies.Events.record(
      {EventKind::GrantReturned, Offered.Request, Offered.Target.Text, ""});
  m_Dependencies.Router.send(Owner, ReturnGrant{Offered.Group, Offered.Request,
                                                Offered.Target, Reason});
}

void EntryShard::erase(ActiveRequest &Active) {
  m_Dependencies.Bodies.remove(Active.Request.Tier, Active.BudgetedBytes);
  if (Active.isKeyed())
    m_RequestsByKey.erase(Active.customerScopedKey());
  m_OpenRequests.fetch_sub(1, std::memory_order_relaxed);
  const auto Id = Active.id();
  m_Requests.erase(Id);
}

void EntryShard::evictNewest(TierRank Tier) {
  m_Dependencies.Loop.post([this, Tier] {
    ActiveRequest *Newest = nullptr;
    for (const auto &[Id, Active] : m_Requests)
      if (Active->Request.Tier == Tier &&
          Active->Lifecycle.state() == RequestState::Waiting &&
          (!Newest || Newest->Request.Arrival < Active->Request.Arrival))
        Newest = Active.get();
    if (!Newest || !Newest->Lifecycle.onRefusal())
      return;
    withdraw(*Newest);
    refuse(*Newest, {NotRunReason::MemoryFull, randomRetryDelay()});
  });
}

void EntryShard::onPeerConnected(const VmName &Peer) {
  m_Dependencies.Loop.post([this, Peer] {
    reportRunning(Peer);
    for (const auto &[Id, Active] : m_Requests)
      if (Active->Lifecycle.state() == RequestState::Waiting &&
          Active->GroupOwner == Peer)
        submit(*Active);
  });
}

void EntryShard::onOwnersChanged() {
  m_Dependencies.Loop.post([this] {
    std::vector<VmName> NewOwners;
    for (const auto &[Id, Active] : m_Requests) {
      const auto Owner = ownerOf(Active->Group);
      if (Active->GroupOwner == Owner)
        continue;
      if (Active->Lifecycle.state() == RequestState::Waiting) {
        withdraw(*Active);
        submit(*Active);
      } else {
        Active->GroupOwner = Owner;
      }
      if (std::find(NewOwners.begin(), NewOwners.end(), Owner) ==
          NewOwners.end())
        NewOwners.push_back(Owner);
    }
    for (const auto &Owner : NewOwners)
      reportRunning(Owner);
  });
}

/// Reports to \p Owner which of this shard's requests run on the targets of its
/// groups. A new owner counts running requests per target; without the report
/// it would take busy targets for free.
void EntryShard::reportRunning(const VmName &Owner) {
  std::unordered_map<GroupId, std::vector<RunningRequest>> ByGroup;
  const auto Now = m_Dependencies.Time.now();
  for (const auto &[Id, Active] : m_Requests) {
    if (!Active->CurrentGrant ||
        !(ownerOf(Active->CurrentGrant->Group) == Owner))
      continue;
    if (Active->Lifecycle.state() != RequestState::Dispatched)
      continue;
    ByGroup[Active->CurrentGrant->Group].push_back(
        {Active->Request, Active->CurrentGrant->Target,
         Active->CurrentGrant->TargetIncarnation,
         Now - Active->Request.Arrival});
  }
  for (auto &[Group, Running] : ByGroup)
    m_Dependencies.Router.send(Owner, ReportRunning{Group, std::move(Running)});
}

} // namespace mangodeck
