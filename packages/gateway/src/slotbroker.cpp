#include "mangodeck/gateway/slotbroker.h"

#include <algorithm>
#include <limits>
#include <set>

namespace mangodeck {

namespace {

/// Upper bound assumed for the delay of a report. A report may lack a grant
/// that is younger than this, so that grant is kept.
constexpr Duration MaxReportDelay = 250ms;
/// The slots of a daemon that has sent no report and no request for this long
/// are released: the daemon has crashed or is partitioned. Twice the longest
/// period of reports.
constexpr Duration DaemonTimeout = 2s;

/// Time after which a permit is requested again from a broker that does not
/// know the target or its rate limit. It learns of them with the next reports.
constexpr Duration UnknownLimitPause = 1s;
/// Period at which waiting requests are considered again for free slots where
/// none was expected to be in time, though the load there has not changed: the
/// time that they have left and the speed of engines change slowly.
constexpr Duration ReconsiderPeriod = 50ms;
/// Least gain of a request that is late wherever it runs: it stalls a third of
/// a stream of another request at most.
constexpr double HarmlessGain = -0.1;
constexpr double AnyGain = -std::numeric_limits<double>::infinity();
/// While at least this part of a domain's slots is free, a request is granted
/// the best of them at once: better ones are unlikely to come, and a free slot
/// that nobody uses serves no one.
constexpr std::uint32_t PlentyDivisor = 4;

bool hasPlentyFree(std::span<const TargetPtr> Targets, TimePoint Now) {
  const auto Capacity = capacityOf(Targets, Now);
  return Capacity.FreeSlots * PlentyDivisor >= Capacity.Slots;
}

/// The targets of \p Targets that accept a request now.
std::vector<TargetPtr> freeTargets(std::span<const TargetPtr> Targets,
                                   TimePoint Now) {
  std::vector<TargetPtr> Free;
  for (const auto &Target : Targets)
    if (capacityOf(std::span(&Target, 1), Now).FreeSlots > 0)
      Free.push_back(Target);
  return Free;
}

/// Least gain for which \p Request is granted a slot while it can still wait. A
/// part of the answer of a stream that goes on is done already, and few slots
/// will do for it.
double leastGainOf(const SlotRequest &Request) {
  return Request.Version == NoVersion ? MinGainInTime : HarmlessGain;
}

bool isFull(const TargetPtr &Target, TimePoint Now) {
  return capacityOf(std::span(&Target, 1), Now).FreeSlots == 0;
}

} // namespace

SlotBroker::SlotBroker(FailureDomain Domain, const TargetRegistry &Targets,
                       SlotDecisionSink &Sink)
    : m_Domain(std::move(Domain)), m_Targets(Targets), m_Sink(Sink) {}

SlotBroker::SlotBroker(const SlotBroker &Other, const TargetRegistry &Targets,
                       SlotDecisionSink &Sink)
    : m_Domain(Other.m_Domain), m_Targets(Targets), m_Sink(Sink),
      m_Waiting(Other.m_Waiting), m_BoundWaiting(Other.m_BoundWaiting),
      m_KeyByTicket(Other.m_KeyByTicket), m_Grants(Other.m_Grants),
      m_LastMessageAt(Other.m_LastMessageAt), m_Services(Other.m_Services),
      m_NextTicket(Other.m_NextTicket) {}

std::size_t SlotBroker::waitingAhead(const SlotRequest &Request,
                                     TimePoint Now) const {
  const auto Found = m_Services.find(Request.Service.Text);
  return Found == m_Services.end()
             ? 0
             : Found->second.Queue.countAhead(
                   Request.Rank, Request.Version != NoVersion, Now);
}

std::vector<TargetPtr>
SlotBroker::domainTargets(const ServiceName &Service) const {
  std::vector<TargetPtr> Targets;
  for (const auto &Target : m_Targets.targetsOf(Service))
    if (Target->Entry.Domain == m_Domain)
      Targets.push_back(Target);
  return Targets;
}

Duration SlotBroker::backlogTime(const ServiceState &State,
                                 TimePoint Now) const {
  return State.Rate.timeToDispatch(State.Queue.size(), Now);
}

void SlotBroker::requestSlot(const SlotRequest &Request, TimePoint Now) {
  if (Request.OnlyTarget != 0)
    return decideOnPermit(Request, Now);
  const auto RequestKey = keyOf(Request);
  m_LastMessageAt[RequestKey.first] = Now;
  // Step 1. Repeat the decision on a request that already has a slot or waits.
  // A slot on a target that is now excluded is released.
  if (const auto Held = m_Grants.find(RequestKey); Held != m_Grants.end()) {
    if (std::find(Request.ExcludedTargets.begin(),
                  Request.ExcludedTargets.end(),
                  Held->second.Target) == Request.ExcludedTargets.end())
      return decide(Request,
                    {Request.Number, SlotDecision::Kind::Granted,
                     Held->second.Target, Duration{0}, Held->second.HasPermit});
    release(RequestKey);
  }
  auto &State = m_Services[Request.Service.Text];
  if (m_Waiting.contains(RequestKey))
    return decide(Request, {Request.Number, SlotDecision::Kind::Queued, 0,
                            backlogTime(State, Now)});

  // Step 2. Grant a slot if no waiting request precedes this one. Those that
  // wait for a version without a free slot do not.
  const auto Targets = domainTargets(Request.Service);
  if (m_BoundWaiting > 0)
    dispatchWaiting(Request.Service, Now);
  const bool NeedsVersion = Request.Version != NoVersion;
  auto Ahead = State.Queue.countAhead(Request.Rank, NeedsVersion, Now);
  Ahead -= std::min(Ahead, m_BoundWaiting);
  const Waiting Waiter{Request, m_NextTicket++, Now};
  if (tryGrantAtOnce(Waiter, Ahead, Targets, Now))
    return;

  // Step 3. Refuse the request if it would be dispatched too late. One that
  // only waits for a better moment at an engine with a free slot is not.
  const bool WaitsForSlot =
      Ahead > 0 || capacityOf(Targets, Now, Request.Version).FreeSlots == 0;
  if (Request.RefuseIfLate && WaitsForSlot &&
      State.Rate.timeToDispatch(
          Ahead + dispatchesPerSlot(Request, Targets, Now), Now) >
          Request.TimeToLatestStart)
    return decide(Request, {Request.Number, SlotDecision::Kind::Refused, 0,
                            backlogTime(State, Now)});

  // Step 4. Queue the request.
  QueuedTicket Ticket;
  Ticket.Number = Waiter.Ticket;
  Ticket.Rank = Request.Rank;
  Ticket.LatestStart = Now + Request.TimeToLatestStart;
  Ticket.ExpiresAt = Now + Request.TimeToExpiry;
  Ticket.NeedsVersion = NeedsVersion;
  State.Queue.push(Ticket);
  m_KeyByTicket[Waiter.Ticket] = RequestKey;
  m_Waiting[RequestKey] = Waiter;
  m_BoundWaiting += Request.Version == NoVersion ? 0 : 1;
  decide(Request, {Request.Number, SlotDecision::Kind::Queued, 0,
                   backlogTime(State, Now)});
}

bool SlotBroker::tryGrantAtOnce(const Waiting &Waiter, std::size_t Ahead,
                                std::span<const TargetPtr> Targets,
                                TimePoint Now) {
  if (!Waiter.Request.Work.IsEngine)
    return Ahead == 0 && tryGrant(Waiter, Targets, AnyGain, Now);
  dispatchWaiting(Waiter.Request.Service, Now);
  if (tryGrant(Waiter, Targets, leastGainOf(Waiter.Request), Now) ||
      (hasPlentyFree(Targets, Now) && tryGrant(Waiter, Targets, AnyGain, Now)))
    return true;
  return Ahead == 0 && !mayBeInTime(Waiter, Targets, Now) &&
         tryGrant(Waiter, Targets, HarmlessGain, Now);
}

TargetChoiceInput
SlotBroker::choiceInput(const SlotRequest &Request, Duration Waited,
                        std::vector<TargetPtr> &Excluded) const {
  for (const auto Hash : Request.ExcludedTargets)
    if (auto Target = m_Targets.findByHash(Hash))
      Excluded.push_back(std::move(Target));
  TargetChoiceInput Input;
  Input.Work = Request.Work;
  Input.OwnDomain = m_Domain;
  Input.TimeToLatencyTarget = Request.TimeToLatencyTarget - Waited;
  Input.TimeToDeadline = Request.TimeToDeadline - Waited;
  Input.GapTarget = Request.GapTarget;
  Input.Excluded = Excluded;
  Input.Version = Request.Version;
  Input.AvoidedVersion = Request.AvoidedVersion;
  Input.LoadsAreExact = true;
  return Input;
}

bool SlotBroker::mayBeInTime(const Waiting &Waiter,
                             std::span<const TargetPtr> Targets,
                             TimePoint Now) const {
  std::vector<TargetPtr> Excluded;
  const auto Input =
      choiceInput(Waiter.Request, Now - Waiter.RequestedAt, Excluded);
  return canBeInTime(Targets, Input, Now);
}

void SlotBroker::decideOnPermit(const SlotRequest &Request, TimePoint Now) {
  const auto Target = m_Targets.findByHash(Request.OnlyTarget);
  SlotDecision Decision;
  Decision.Number = Request.Number;
  Decision.Target = Request.OnlyTarget;
  const bool IsOurs = Target && Target->Entry.Domain == m_Domain &&
                      Target->rateLimit().isActive();
  std::vector<TargetPtr> Excluded;
  const auto Input = choiceInput(Request, Duration{0}, Excluded);
  if (IsOurs && chooseTarget(std::span(&Target, 1), Input, Now)) {
    Target->rateLimit().takePermit(Now);
    Decision.Result = SlotDecision::Kind::Granted;
    Decision.HasPermit = true;
  } else {
    Decision.Result = SlotDecision::Kind::Refused;
    Decision.BacklogTime =
        IsOurs ? Target->rateLimit().refusePermit() : UnknownLimitPause;
  }
  decide(Request, Decision);
}

bool SlotBroker::tryGrant(const Waiting &Waiter,
                          std::span<const TargetPtr> Targets, double LeastGain,
                          TimePoint Now) {
  const auto &Request = Waiter.Request;
  std::vector<TargetPtr> Excluded;
  auto Input = choiceInput(Request, Now - Waiter.RequestedAt, Excluded);
  Input.LeastGain = LeastGain;
  const auto Chosen = chooseTarget(Targets, Input, Now);
  if (!Chosen)
    return false;
  m_Services[Request.Service.Text].Rate.recordDispatch(Now);
  const bool HasPermit = Chosen->Target->rateLimit().isActive();
  Chosen->Target->rateLimit().takePermit(Now);
  m_Grants[keyOf(Request)] = {Chosen->Target->Hash, Request.Work.PromptTokens,
                              Now, HasPermit};
  Chosen->Target->PeerRunning += 1;
  Chosen->Target->PeerPrefillTokens += Request.Work.PromptTokens;
  decide(Request, {Request.Number, SlotDecision::Kind::Granted,
                   Chosen->Target->Hash, Duration{0}, HasPermit});
  return true;
}

void SlotBroker::applyUpdate(const SlotUpdate &Update, TimePoint Now) {
  // Step 1. Release the slot or the place in the queue. After the first event
  // only the prompt tokens are released.
  const Key RequestKey({Update.Vm, Update.Incarnation}, Update.Number);
  const auto Target = m_Targets.findByHash(Update.Target);
  const auto Held = m_Grants.find(RequestKey);
  if (Target && Update.Pace)
    Target->Pace.record(*Update.Pace, Now);
  const bool Holds =
      Held != m_Grants.end() && (Held->second.Target == Update.Target ||
                                 Update.Change == SlotUpdate::Kind::Withdrawn);
  if (Update.Change == SlotUpdate::Kind::PrefillDone) {
    if (Holds && Target) {
      Target->PeerPrefillTokens -=
          std::min(Target->PeerPrefillTokens, Held->second.PrefillTokens);
      onLoadChanged(*Target);
    }
    if (Holds)
      Held->second.PrefillTokens = 0;
    return;
  }
  dequeue(RequestKey);
  if (Holds && Target && Update.Outcome == SlotOutcome::Success)
    Target->recordOccupation(Now - Held->second.GrantedAt);
  if (Holds)
    release(RequestKey);
  else if (Target) // It counts in TrackedTarget::OwnRunning.
    onLoadChanged(*Target);
  // Step 2. Update the target's speed and failures.
  if (!Target)
    return;
  if (Update.MeanEventGap > Duration{0} && Update.TokensPerEvent > 0)
    Target->recordEventGap(Update.MeanEventGap, Update.TokensPerEvent);
  if (Update.Outcome == SlotOutcome::Success)
    Target->recordSuccess(Now);
  else if (Update.Outcome == SlotOutcome::Failure)
    Target->recordFailure(Now);
  else if (Update.Outcome == SlotOutcome::Unreachable)
    Target->recordUnreachable(Now);
}

void SlotBroker::release(const Key &RequestKey) {
  const auto Found = m_Grants.find(RequestKey);
  if (Found == m_Grants.end())
    return;
  if (const auto Target = m_Targets.findByHash(Found->second.Target)) {
    Target->PeerRunning -= std::min<std::uint32_t>(Target->PeerRunning, 1);
    Target->PeerPrefillTokens -=
        std::min(Target->PeerPrefillTokens, Found->second.PrefillTokens);
    onLoadChanged(*Target);
  }
  m_Grants.erase(Found);
}

void SlotBroker::onLoadChanged(const TrackedTarget &Target) {
  if (const auto State = m_Services.find(Target.Entry.Service.Text);
      State != m_Services.end())
    State->second.Unsuited.erase(Target.Hash);
}

void SlotBroker::dequeue(const Key &RequestKey) {
  const auto Found = m_Waiting.find(RequestKey);
  if (Found == m_Waiting.end())
    return;
  m_Services[Found->second.Request.Service.Text].Queue.remove(
      Found->second.Ticket);
  m_KeyByTicket.erase(Found->second.Ticket);
  eraseWaiting(Found);
}

void SlotBroker::eraseWaiting(std::map<Key, Waiting>::iterator At) {
  m_BoundWaiting -= At->second.Request.Version == NoVersion ? 0 : 1;
  m_Waiting.erase(At);
}

std::size_t SlotBroker::dispatchesPerSlot(const SlotRequest &Request,
                                          std::span<const TargetPtr> Targets,
                                          TimePoint Now) {
  if (Request.Version == NoVersion)
    return 1;
  const auto All = capacityOf(Targets, Now).Slots;
  const auto OfVersion = capacityOf(Targets, Now, Request.Version).Slots;
  return std::max(1u, All / std::max(1u, OfVersion));
}

void SlotBroker::releaseFormer(const std::string &Vm,
                               IncarnationId Incarnation) {
  const auto IsFormer = [&](const Key &Each) {
    return Each.first.first == Vm && Each.first.second != Incarnation;
  };
  std::vector<Key> Former;
  for (const auto &[RequestKey, Held] : m_Grants)
    if (IsFormer(RequestKey))
      Former.push_back(RequestKey);
  for (const auto &[RequestKey, Waiter] : m_Waiting)
    if (IsFormer(RequestKey))
      Former.push_back(RequestKey);
  for (const auto &RequestKey : Former) {
    dequeue(RequestKey);
    release(RequestKey);
  }
}

void SlotBroker::decide(const SlotRequest &Request, SlotDecision Decision) {
  Decision.Incarnation = Request.Incarnation;
  m_Sink.onSlotDecision(Request.Vm, Decision);
}

void SlotBroker::reconcile(const PeerReport &Report, TimePoint Now) {
  const ProcessKey Process(Report.Vm, Report.Incarnation);
  m_LastMessageAt[Process] = Now;
  std::set<TicketNumber> Reported;
  for (const auto &Running : Report.RunningRequests) {
    Reported.insert(Running.Number);
    auto [At, New] = m_Grants.try_emplace(Key(Process, Running.Number));
    auto &Held = At->second;
    if (New)
      Held.GrantedAt = Now;
    else if (Held.Target != Running.Target &&
             Now - Held.GrantedAt < MaxReportDelay)
      continue; // The grant may be newer than the report.
    Held.Target = Running.Target;
    Held.PrefillTokens = Running.Prefill;
  }
  for (auto At = m_Grants.lower_bound(Key(Process, 0));
       At != m_Grants.end() && At->first.first == Process;) {
    const bool HasEnded = !Reported.contains(At->first.second) &&
                          Now - At->second.GrantedAt > MaxReportDelay;
    At = HasEnded ? m_Grants.erase(At) : std::next(At);
  }
}

void SlotBroker::addLoads(TargetLoads &Sums) const {
  for (const auto &[RequestKey, Held] : m_Grants)
    addLoad(Sums, {Held.Target, 1, Held.PrefillTokens});
}

void SlotBroker::dispatchWaiting(const ServiceName &Service, TimePoint Now) {
  auto &State = m_Services[Service.Text];
  if (State.Queue.empty())
    return;
  // Step 1. Drop expired requests. Their daemons refuse them on their own.
  for (const auto &Ticket : State.Queue.takeExpired(Now))
    if (const auto Found = m_KeyByTicket.find(Ticket.Number);
        Found != m_KeyByTicket.end()) {
      eraseWaiting(m_Waiting.find(Found->second));
      m_KeyByTicket.erase(Found);
    }

  // Step 2. Find the free slots, without those that no waiting request can use.
  if (Now - State.UnsuitedSince >= ReconsiderPeriod) {
    State.Unsuited.clear();
    State.UnsuitedSince = Now;
  }
  auto Free = freeTargets(domainTargets(Service), Now);
  std::erase_if(Free, [&](const TargetPtr &Target) {
    return State.Unsuited.contains(Target->Hash);
  });
  if (Free.empty())
    return;

  // Step 3. Grant them in order. A request for which no target is suitable does
  // not block the others.
  std::vector<QueuedTicket> Left;
  for (const auto &Ticket : State.Queue.inOrder(Now)) {
    if (Free.empty())
      return;
    const auto RequestKey = m_KeyByTicket.at(Ticket.Number);
    const auto Waiter = m_Waiting.at(RequestKey);
    if (tryGrant(Waiter, Free, leastGainOf(Waiter.Request), Now)) {
      dequeue(RequestKey);
      std::erase_if(Free, [&](const auto &Each) { return isFull(Each, Now); });
    } else {
      Left.push_back(Ticket);
    }
  }

  // Step 4. Give the rest to requests that are late wherever they run.
  grantLate(Left, Free, Now);
  for (const auto &Target : Free)
    State.Unsuited.insert(Target->Hash);
}

void SlotBroker::grantLate(std::span<const QueuedTicket> Tickets,
                           std::vector<TargetPtr> &Free, TimePoint Now) {
  if (Free.empty() || Tickets.empty())
    return;
  const auto Targets = domainTargets(Free.front()->Entry.Service);
  const bool IsPlenty = hasPlentyFree(Targets, Now);
  const auto WaiterOf = [&](const QueuedTicket &Ticket) {
    return m_Waiting.at(m_KeyByTicket.at(Ticket.Number));
  };
  if (!IsPlenty &&
      std::any_of(Tickets.begin(), Tickets.end(), [&](const auto &Ticket) {
        return mayBeInTime(WaiterOf(Ticket), Targets, Now);
      }))
    return;
  for (const auto &Ticket : Tickets) {
    if (Free.empty())
      return;
    if (!tryGrant(WaiterOf(Ticket), Free, IsPlenty ? AnyGain : HarmlessGain,
                  Now))
      continue;
    dequeue(m_KeyByTicket.at(Ticket.Number));
    std::erase_if(Free, [&](const auto &Each) { return isFull(Each, Now); });
  }
}

void SlotBroker::releaseSilentDaemons(TimePoint Now) {
  std::erase_if(m_LastMessageAt, [&](const auto &Daemon) {
    return Now - Daemon.second > DaemonTimeout;
  });
  std::vector<Key> Silent;
  for (const auto &[RequestKey, Held] : m_Grants)
    if (!m_LastMessageAt.contains(RequestKey.first))
      Silent.push_back(RequestKey);
  for (const auto &RequestKey : Silent)
    release(RequestKey);
}

void SlotBroker::dispatchAllWaiting(TimePoint Now) {
  releaseSilentDaemons(Now);
  for (const auto &[Name, State] : m_Services)
    dispatchWaiting(ServiceName(Name), Now);
}

void SlotBroker::clear() {
  m_Waiting.clear();
  m_BoundWaiting = 0;
  m_KeyByTicket.clear();
  m_Grants.clear();
  m_LastMessageAt.clear();
  m_Services.clear();
}

} // namespace mangodeck
