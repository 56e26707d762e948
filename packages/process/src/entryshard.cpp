#include "mangodeck/process/entryshard.h"

#include "activerequest.h"
#include "mangodeck/common/overload.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace mangodeck {

namespace {

/// Wait before a ticket is sent again that its owner's queue did not take.
constexpr Duration ResubmitDelay = 100ms;

/// Bounds of the random Retry-After of requests that no group gave up.
constexpr Duration MinRetryDelay = 1s;
constexpr Duration MaxRetryDelay = 3s;

/// Header in which a target reports prompt tokens found in its prefix cache.
constexpr std::string_view CachedTokensHeader = "X-Cached-Tokens";

std::int64_t parseTokens(const std::string *Text) {
  std::int64_t Value = 0;
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Value);
  return Value;
}

} // namespace

/// Carries a target's answer from the target client's thread to the shard.
class EntryShard::Relay : public TargetAnswer {
public:
  Relay(EntryShard &Shard, const RequestId &Id,
        std::shared_ptr<CallerExchange> Exchange)
      : m_Shard(Shard), m_Id(Id), m_Exchange(std::move(Exchange)) {}

  void onHead(int Status, std::span<const Header> Headers) override {
    const auto *Type = findHeader(Headers, "Content-Type");
    m_Shard.m_Ports.Loop.post(
        [this, Self = m_Self, Status,
         ContentType = Type ? *Type : "application/octet-stream",
         Cached = parseTokens(findHeader(Headers, CachedTokensHeader))] {
          m_Shard.onHead(m_Id, Status, ContentType, Cached);
        });
  }

  void onBody(std::string_view Bytes) override {
    m_Queued.fetch_add(Bytes.size(), std::memory_order_relaxed);
    m_Shard.m_Ports.Loop.post(
        [this, Self = m_Self, Copy = std::string(Bytes)]() mutable {
          m_Queued.fetch_sub(Copy.size(), std::memory_order_relaxed);
          m_Shard.onBody(m_Id, std::move(Copy));
        });
  }

  /// A caller that reads slowly holds the target back instead of filling this
  /// process's memory.
  std::size_t pendingBytes() const override {
    return m_Queued.load(std::memory_order_relaxed) +
           m_Exchange->pendingBytes();
  }

  void onEnd(TargetEnd End, bool Gone) override {
    m_Shard.m_Ports.Loop.post([this, Self = std::move(m_Self), End, Gone] {
      m_Shard.onEnd(m_Id, End, Gone);
    });
  }

  void onResumed() override {
    m_Shard.m_Ports.Observer.onStreamResumed();
    m_Shard.m_Ports.Events.record({EventKind::StreamResumed, m_Id, "", ""});
  }

  /// Keeps the object alive until its last callback has run.
  void keepAlive(std::shared_ptr<Relay> Self) { m_Self = std::move(Self); }

private:
  EntryShard &m_Shard;
  RequestId m_Id;
  std::shared_ptr<CallerExchange> m_Exchange;
  std::atomic<std::size_t> m_Queued = 0;
  std::shared_ptr<Relay> m_Self;
};

EntryShard::EntryShard(EntryShardDependencies Ports)
    : m_Ports(std::move(Ports)) {}

EntryShard::~EntryShard() = default;

ActiveRequest *EntryShard::find(const RequestId &Id) {
  const auto It = m_Requests.find(Id);
  return It == m_Requests.end() ? nullptr : It->second.get();
}

Duration EntryShard::retryDelay() {
  const auto Range =
      static_cast<double>((MaxRetryDelay - MinRetryDelay).count());
  return MinRetryDelay +
         Duration(static_cast<std::int64_t>(m_Ports.Random.uniform() * Range));
}

VmName EntryShard::ownerOf(const GroupId &Group) const {
  const auto Owners = m_Ports.Owners.read();
  const auto *Owner = Owners->ownerOf(Group);
  return Owner ? *Owner : m_Ports.Vm;
}

void EntryShard::accept(AcceptedRequest Accepted) {
  m_Open.fetch_add(1, std::memory_order_relaxed);
  m_Ports.Observer.onAccepted(Accepted.Request);
  m_Ports.Loop.post([this, Moved = std::move(Accepted)]() mutable {
    start(std::move(Moved));
  });
}

void EntryShard::start(AcceptedRequest Accepted) {
  // Step 1. Join a request with the same key that is in progress here.
  const auto Id = Accepted.Request.Id;
  m_Ports.Events.record({EventKind::RequestArrived, Id,
                         Accepted.Request.Service.Text,
                         Accepted.Request.Customer.Text});
  if (!Accepted.Key.empty() && joinKeyed(Accepted))
    return;

  // Step 2. Register the request with its caller.
  const bool NeedsClaim = !Accepted.Request.Idempotent && !Accepted.Key.empty();
  const auto Exchange = std::move(Accepted.Exchange);
  auto Owned = std::make_unique<ActiveRequest>(std::move(Accepted), NeedsClaim);
  auto &Active = *Owned;
  m_Requests.emplace(Id, std::move(Owned));
  Active.Exchange = Exchange;
  Active.Sinks.push_back(std::make_unique<CallerSink>(Exchange, Id));
  if (Active.isKeyed())
    m_ByKey[Active.keyIndex()] = Id;
  Active.BudgetedBytes = Active.Outgoing.Body.size();
  m_Ports.Bodies.add(Active.Facts.Tier, Active.BudgetedBytes);

  // Step 3. Wait for a grant, the deadline or the caller's hang-up.
  Exchange->onHangUp(
      [this, Id] { m_Ports.Loop.post([this, Id] { onHangUp(Id); }); });
  scheduleExpiry(Active);
  submit(Active);
}

/// Lets a repeated keyed request follow the one in progress. Returns false if
/// there is none.
bool EntryShard::joinKeyed(AcceptedRequest &Accepted) {
  const auto It =
      m_ByKey.find(Accepted.Request.Customer.Text + '/' + Accepted.Key);
  if (It == m_ByKey.end())
    return false;
  auto *Leader = find(It->second);
  assert(Leader && "the key index names requests in progress only");
  auto Sink =
      std::make_unique<CallerSink>(Accepted.Exchange, Accepted.Request.Id);
  m_Open.fetch_sub(1, std::memory_order_relaxed);
  if (Leader->Facts.Fingerprint != Accepted.Request.Fingerprint) {
    Sink->fail(describeRefusal({NotRunReason::KeyInUse, Duration{0}}));
    return true;
  }
  if (Leader->Streaming) {
    Sink->begin(Leader->Status, Leader->ContentType);
    Sink->write(Leader->Answer);
  }
  Leader->Sinks.push_back(std::move(Sink));
  return true;
}

void EntryShard::submit(ActiveRequest &Active) {
  Active.Owner = ownerOf(Active.Group);
  m_Ports.Events.record({EventKind::TicketSubmitted, Active.id(),
                         Active.Owner.Text, toString(Active.Group)});
  if (m_Ports.Router.send(Active.Owner,
                          SubmitTicket{Active.Group, Active.Facts}))
    return;
  m_Ports.Loop.postAfter(ResubmitDelay, [this, Id = Active.id()] {
    auto *Waiting = find(Id);
    if (Waiting && Waiting->Life.state() == RequestState::Waiting)
      submit(*Waiting);
  });
}

void EntryShard::withdraw(ActiveRequest &Active) {
  m_Ports.Router.send(Active.Owner, WithdrawTicket{Active.Group, Active.id()});
}

void EntryShard::scheduleExpiry(const ActiveRequest &Active) {
  m_Ports.Loop.postAfter(Active.Facts.Deadline - m_Ports.Time.now(),
                         [this, Id = Active.id()] { onExpiry(Id); });
}

void EntryShard::onExpiry(const RequestId &Id) {
  auto *Active = find(Id);
  if (!Active || !Active->Life.onExpiry(m_Ports.Time.now()))
    return;
  withdraw(*Active);
  refuse(*Active, {NotRunReason::Expired, retryDelay()});
}

void EntryShard::onHangUp(const RequestId &Id) {
  auto *Active = find(Id);
  if (!Active || Active->Sinks.size() > 1)
    return;
  const auto Verdict = Active->Life.onHangUp();
  if (Verdict == HangUpVerdict::Ignore)
    return;
  m_Ports.Observer.onCallerHungUp();
  m_Ports.Events.record({EventKind::CallerHungUp, Id, "", ""});
  if (Verdict == HangUpVerdict::Withdraw) {
    withdraw(*Active);
    refuse(*Active, {NotRunReason::CallerGone, Duration{0}});
  } else if (Verdict == HangUpVerdict::Cancel) {
    m_Ports.Targets.cancel(Id);
  }
}

void EntryShard::onMessage(const VmName &From, PeerMessage Message) {
  m_Ports.Loop.post([this, From, Moved = std::move(Message)] {
    const auto Handle =
        Overload{[&](const GrantTicket &M) { onGrant(From, M.Granted); },
                 [&](const RefuseTicket &M) { onRefusal(M.Request, M.Reason); },
                 [&](const MoveTicket &M) { onMove(M.Request, M.To); },
                 [](const auto &) {}};
    std::visit(Handle, Moved);
  });
}

DispatchCondition EntryShard::conditionOf(const ActiveRequest &Active,
                                          const Grant &Offered) const {
  DispatchCondition Condition;
  {
    const auto Config = m_Ports.Config.read();
    const auto *Found = Config->findTarget(Offered.Target);
    Condition.TargetUsable = Found && !Found->Draining;
  }
  const auto Marks = m_Ports.Exclusions.read();
  if (Marks->isLeaving(Offered.Target, Offered.TargetIncarnation))
    Condition.TargetUsable = false;
  Condition.Quarantined = Marks->isQuarantined(Active.Facts.Fingerprint);
  return Condition;
}

void EntryShard::onGrant(const VmName &Owner, const Grant &Offered) {
  // Step 1. A grant for a request that is not here any more is returned.
  auto *Active = find(Offered.Request);
  if (!Active)
    return returnGrant(Owner, Offered, ReturnReason::Withdrawn);

  // Step 2. A repeated message about the grant in use changes nothing.
  const bool InUse = Active->Granted &&
                     Active->Granted->Group == Offered.Group &&
                     Active->Granted->Target == Offered.Target;
  if (InUse && Active->Life.state() != RequestState::Waiting)
    return;

  // Step 3. Let the state machine decide with what is known right now.
  const auto Decision =
      Active->Life.onGrant(m_Ports.Time.now(), conditionOf(*Active, Offered));
  if (Decision.Verdict == GrantVerdict::Return) {
    returnGrant(Owner, Offered, Decision.Reason);
    if (Decision.Reason == ReturnReason::Quarantined &&
        Active->Life.onRefusal())
      refuse(*Active, {NotRunReason::Quarantined, Duration{0}});
    return;
  }

  // Step 4. Use the grant: record the claim first where one is needed.
  Active->Granted = Offered;
  Active->GrantOwner = Owner;
  if (Decision.Verdict == GrantVerdict::Dispatch)
    return dispatch(*Active);
  m_Ports.Claims.claim(
      Active->claimKey(), Active->Facts.Fingerprint, Active->id(),
      [this, Id = Active->id(), Key = Active->claimKey()](ClaimReply Reply) {
        m_Ports.Loop.post([this, Id, Key, Moved = std::move(Reply)] {
          onClaim(Id, Key, Moved);
        });
      });
}

void EntryShard::onClaim(const RequestId &Id, const ClaimKey &Key,
                         const ClaimReply &Reply) {
  auto *Active = find(Id);
  if (!Active) {
    if (Reply.Result == ClaimResult::Won)
      m_Ports.Claims.release(Key, Id);
    return;
  }
  const auto Verdict = Active->Life.onClaim(
      Reply.Result, m_Ports.Time.now(), conditionOf(*Active, *Active->Granted));
  if (Verdict == ClaimVerdict::Dispatch) {
    m_Ports.Events.record({EventKind::ClaimCreated, Id, Key.Key, ""});
    return dispatch(*Active);
  }
  returnGrant(Active->GrantOwner, *Active->Granted, ReturnReason::ClaimFailed);
  Active->Granted.reset();
  switch (Verdict) {
  case ClaimVerdict::Dispatch:
    return;
  case ClaimVerdict::WaitAgain:
    return submit(*Active);
  case ClaimVerdict::Release:
    return m_Ports.Claims.release(Key, Id);
  case ClaimVerdict::AnswerHeld:
    if (Reply.BodyDiffers)
      return refuse(*Active, {NotRunReason::KeyInUse, Duration{0}});
    if (!Reply.Answer)
      return failUnknown(*Active, "an earlier request with this key was "
                                  "started and its end is not known");
    if (Reply.Answer->BodyOmitted)
      return failUnknown(*Active, "an earlier request with this key ran; its "
                                  "answer was too long to keep");
    for (auto &Sink : Active->Sinks)
      Sink->respond(Reply.Answer->Status, Reply.Answer->ContentType,
                    Reply.Answer->Body);
    return erase(*Active);
  case ClaimVerdict::Refuse:
    return refuse(*Active, {NotRunReason::StoreUnreachable, retryDelay()});
  }
}

/// Sends a request whose dispatch transition was just taken.
void EntryShard::dispatch(ActiveRequest &Active) {
  assert(Active.Life.state() == RequestState::Dispatched);
  m_Ports.Bodies.remove(Active.Facts.Tier, Active.BudgetedBytes);
  Active.BudgetedBytes = 0;
  auto Outgoing = Active.Outgoing;
  Outgoing.Id = Active.id();
  Outgoing.Target = Active.Granted->Target;
  {
    const auto Config = m_Ports.Config.read();
    if (const auto *Found = Config->findTarget(Outgoing.Target))
      Outgoing.Address = Found->Address;
  }
  Active.Meter.start(m_Ports.Time.now());
  m_Ports.Observer.onDispatched(Active.Facts);
  m_Ports.Events.record({EventKind::RequestDispatched, Active.id(),
                         Outgoing.Target.Text, Outgoing.Address});
  auto Answer = std::make_shared<Relay>(*this, Active.id(), Active.Exchange);
  Answer->keepAlive(Answer);
  m_Ports.Targets.dispatch(std::move(Outgoing), Answer);
}

void EntryShard::onRefusal(const RequestId &Id, const Refusal &Reason) {
  auto *Active = find(Id);
  if (Active && Active->Life.onRefusal())
    refuse(*Active, Reason);
}

void EntryShard::onMove(const RequestId &Id, const GroupId &To) {
  auto *Active = find(Id);
  if (!Active || Active->Life.state() != RequestState::Waiting)
    return;
  Active->Group = To;
  ++Active->Facts.Hops;
  submit(*Active);
}

void EntryShard::returnGrant(const VmName &Owner, const Grant &Offered,
                             ReturnReason Reason) {
  m_Ports.Observer.onGrantReturned(Reason);
  m_Ports.Events.record(
      {EventKind::GrantReturned, Offered.Request, Offered.Target.Text, ""});
  m_Ports.Router.send(Owner, ReturnGrant{Offered.Group, Offered.Request,
                                         Offered.Target, Reason});
}

void EntryShard::erase(ActiveRequest &Active) {
  m_Ports.Bodies.remove(Active.Facts.Tier, Active.BudgetedBytes);
  if (Active.isKeyed())
    m_ByKey.erase(Active.keyIndex());
  m_Open.fetch_sub(1, std::memory_order_relaxed);
  const auto Id = Active.id();
  m_Requests.erase(Id);
}

void EntryShard::evictNewest(TierRank Tier) {
  m_Ports.Loop.post([this, Tier] {
    ActiveRequest *Newest = nullptr;
    for (const auto &[Id, Active] : m_Requests)
      if (Active->Facts.Tier == Tier &&
          Active->Life.state() == RequestState::Waiting &&
          (!Newest || Newest->Facts.Arrival < Active->Facts.Arrival))
        Newest = Active.get();
    if (!Newest || !Newest->Life.onRefusal())
      return;
    withdraw(*Newest);
    refuse(*Newest, {NotRunReason::MemoryFull, retryDelay()});
  });
}

void EntryShard::onPeerConnected(const VmName &Peer) {
  m_Ports.Loop.post([this, Peer] {
    reportRunning(Peer);
    for (const auto &[Id, Active] : m_Requests)
      if (Active->Life.state() == RequestState::Waiting &&
          Active->Owner == Peer)
        submit(*Active);
  });
}

void EntryShard::onOwnersChanged() {
  m_Ports.Loop.post([this] {
    std::vector<VmName> NewOwners;
    for (const auto &[Id, Active] : m_Requests) {
      const auto Owner = ownerOf(Active->Group);
      if (Active->Owner == Owner)
        continue;
      if (Active->Life.state() == RequestState::Waiting) {
        withdraw(*Active);
        submit(*Active);
      } else {
        Active->Owner = Owner;
      }
      if (std::find(NewOwners.begin(), NewOwners.end(), Owner) ==
          NewOwners.end())
        NewOwners.push_back(Owner);
    }
    for (const auto &Owner : NewOwners)
      reportRunning(Owner);
  });
}

/// Tells \p Owner what this shard runs on the targets of its groups, so that
/// its counts are right from then on.
void EntryShard::reportRunning(const VmName &Owner) {
  std::unordered_map<GroupId, std::vector<RunningRequest>> ByGroup;
  const auto Now = m_Ports.Time.now();
  for (const auto &[Id, Active] : m_Requests) {
    if (!Active->Granted || !(ownerOf(Active->Granted->Group) == Owner))
      continue;
    if (Active->Life.state() != RequestState::Dispatched)
      continue;
    ByGroup[Active->Granted->Group].push_back(
        {Active->Facts, Active->Granted->Target,
         Active->Granted->TargetIncarnation, Now - Active->Facts.Arrival});
  }
  for (auto &[Group, Running] : ByGroup)
    m_Ports.Router.send(Owner, ReportRunning{Group, std::move(Running)});
}

} // namespace mangodeck
