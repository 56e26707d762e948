// The gateway as a client of the slot broker, and as the broker itself: slots,
// and permits under the targets' rate limits.
#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace mangodeck {

namespace {

/// A slot request is resent if the broker has not answered it for this long,
/// which is about a hundred round trips to the broker.
constexpr Duration SlotRequestResendPeriod = 40ms;
/// Period at which a slot request that the broker has queued is resent, since
/// the datagram with the broker's decision may be lost.
constexpr Duration QueuedRequestResendPeriod = 150ms;
/// If the broker has not answered a slot request within BrokerTimeout, this
/// daemon chooses targets without the broker for LocalDecisionPeriod.
constexpr Duration BrokerTimeout = 90ms;
constexpr Duration LocalDecisionPeriod = 500ms;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

void Gateway::updateBroker(TimePoint Now) {
  auto Current = m_Peers.delegate(Now);
  if (Current == m_RemoteBroker)
    return;
  m_Log.write("broker_changed",
              {{"broker", Current ? Current->Vm : m_Settings.Vm},
               {"before", m_RemoteBroker ? m_RemoteBroker->Vm : m_Settings.Vm},
               {"waiting", m_PendingSlotRequests.size()}});
  m_RemoteBroker = std::move(Current);
  m_BrokerSince = Now;
  m_LocalBroker.clear();
  m_Offers.restart(Now);
  m_DecideLocallyUntil = TimePoint{};
  for (auto &[Number, Pending] : m_PendingSlotRequests) {
    Pending.Answered = false;
    Pending.FirstSent = Now;
    Pending.LastSent = TimePoint{};
  }
  updateRateLimitShares(Now);
  // Send a report now: the new broker learns the running requests from it.
  m_LastReportAt = TimePoint{};
}

SlotRequest Gateway::describe(const Exchange &Waiting, TimePoint Now) const {
  SlotRequest Request;
  Request.Vm = m_Settings.Vm;
  Request.Incarnation = m_Settings.Incarnation;
  Request.Number = Waiting.number();
  Request.Service = Waiting.service();
  Request.Rank = Waiting.hasStreamStarted() ? RequestRank() : Waiting.rank();
  Request.Work = Waiting.work();
  Request.TimeToLatencyTarget = Waiting.latencyDeadline() - Now;
  Request.TimeToDeadline = Waiting.deadline() - Now;
  Request.TimeToLatestStart =
      (Waiting.hasStreamStarted() ? Waiting.slotWaitDeadline()
                                  : Waiting.latestStart()) -
      Now;
  Request.TimeToExpiry = Waiting.slotWaitDeadline() - Now;
  Request.GapTarget = Waiting.route().GapTarget;
  const auto Required = Waiting.requirements();
  Request.Version = Required.Version;
  Request.AvoidedVersion = Required.AvoidedVersion;
  for (const auto &Tried : Waiting.triedTargets())
    Request.ExcludedTargets.push_back(Tried->Hash);
  return Request;
}

void Gateway::requestSlot(const ExchangePtr &Waiting, bool RefuseIfLate,
                          TimePoint Now) {
  auto [Pending, New] = m_PendingSlotRequests.try_emplace(Waiting->number());
  if (New) {
    Pending->second.FirstSent = Now;
    Pending->second.RefuseIfLate = RefuseIfLate;
    m_Spill.recordRequest(hashOf(Waiting->service()), Now);
  }
  Pending->second.LastSent = Now;
  hastenTick(Now);
  sendToBroker(slotRequestFor(*Waiting, Pending->second.RefuseIfLate, Now),
               Now);
}

SlotRequest Gateway::slotRequestFor(const Exchange &Waiting, bool RefuseIfLate,
                                    TimePoint Now) const {
  auto Request = describe(Waiting, Now);
  Request.RefuseIfLate = RefuseIfLate;
  for (const auto &Target : m_Targets.targetsOf(Waiting.service()))
    // The broker knows what the versions rule out.
    if (Target->Entry.Domain == m_Settings.Domain &&
        Waiting.versionChoice().allows(Target->Version) &&
        !obstacleToSend(*Target, Waiting.requirements(), Now).empty())
      Request.ExcludedTargets.push_back(Target->Hash);
  return Request;
}

void Gateway::sendToBroker(const SlotMessage &Message, TimePoint Now) {
  if (!m_RemoteBroker)
    return handleSlotMessage(Message, Now);
  if (m_RemoteBroker->Endpoint)
    sendTo(std::span(&*m_RemoteBroker->Endpoint, 1),
           encodeSlotMessage(Message));
}

void Gateway::handlePeerSlotMessage(SlotMessage Message, TimePoint Now) {
  // Step 1. Drop a decision for the process that ran here before.
  if (const auto *Decision = std::get_if<SlotDecision>(&Message)) {
    const bool IsForOther = Decision->Incarnation != UnknownIncarnation &&
                            Decision->Incarnation != m_Settings.Incarnation;
    return IsForOther ? m_Metrics.countStaleMessage("decision")
                      : handleDecision(*Decision);
  }

  // Step 2. Drop a message of a process that another one has followed. One that
  // may follow the current process is served, since what it asks for is kept
  // apart from what others have.
  const auto IsFormer = [&](auto &Sent) {
    if (Sent.Vm == m_Settings.Vm)
      return true;
    if (Sent.Incarnation == UnknownIncarnation)
      Sent.Incarnation =
          m_Peers.incarnationOf(Sent.Vm).value_or(UnknownIncarnation);
    return observePeer(Sent.Vm, Sent.Incarnation, Now) ==
           IncarnationStanding::Former;
  };
  auto *Request = std::get_if<SlotRequest>(&Message);
  if (Request ? IsFormer(*Request) : IsFormer(std::get<SlotUpdate>(Message)))
    return m_Metrics.countStaleMessage(Request ? "request" : "update");
  handleSlotMessage(Message, Now);
}

void Gateway::handleSlotMessage(const SlotMessage &Message, TimePoint Now) {
  recordDemand(Message, Now);
  if (const auto *Request = std::get_if<SlotRequest>(&Message)) {
    // After a change of the broker, daemons may disagree on which one it is.
    // Answer even if another daemon is the broker in this daemon's view.
    m_LocalBroker.requestSlot(*Request, Now);
    if (m_LocalBroker.waitingCount() > 0)
      hastenTick(Now);
    return;
  }
  if (const auto *Decision = std::get_if<SlotDecision>(&Message))
    return handleDecision(*Decision);
  const auto &Update = std::get<SlotUpdate>(Message);
  m_LocalBroker.applyUpdate(Update, Now);
  if (Update.Change != SlotUpdate::Kind::PrefillDone)
    if (const auto Target = m_Targets.findByHash(Update.Target))
      onSlotFreed(Target->Entry.Service);
}

void Gateway::onSlotDecision(const std::string &Vm,
                             const SlotDecision &Decision) {
  recordDecision(Vm, Decision);
  // Posted, since the broker must finish its loop over the waiting requests
  // before an exchange acts on the decision.
  if (Vm == m_Settings.Vm)
    return asio::post(m_Loop, [this, Decision] { handleDecision(Decision); });
  if (const auto Address = m_Peers.endpointOf(Vm))
    sendTo(std::span(&*Address, 1), encodeSlotMessage(Decision));
}

void Gateway::handleDecision(const SlotDecision &Decision) {
  const auto Now = steadyNow();
  // Decisions on targets of other failure domains concern permits.
  if (const auto Target = m_Targets.findByHash(Decision.Target);
      Target && Target->Entry.Domain != m_Settings.Domain)
    return handlePermit(Decision, Target);
  const auto Found = m_ExchangeByNumber.find(Decision.Number);
  const auto Pending = m_PendingSlotRequests.find(Decision.Number);
  // Step 1. Ignore the decision if its request has ended or no longer waits for
  // one. Return a granted slot then, unless the request is at that target.
  if (Found == m_ExchangeByNumber.end() ||
      Pending == m_PendingSlotRequests.end() || !Found->second->isWaiting()) {
    const auto Reported = Found == m_ExchangeByNumber.end()
                              ? std::nullopt
                              : Found->second->reportedRequest();
    const bool InUse = Reported && Reported->Target == Decision.Target;
    if (Decision.Result == SlotDecision::Kind::Granted && !InUse)
      withdrawSlotRequest(Decision.Number, Now);
    return;
  }
  const auto Waiting = Found->second;
  auto &State = m_Services[Waiting->service().Text];
  auto &Queue = State.Queue;
  Pending->second.Answered = true;
  if (Decision.Result != SlotDecision::Kind::Granted)
    State.BrokerBacklog = Decision.BacklogTime;

  // Step 2. Use a granted slot, unless this daemon knows that the target is
  // unusable or has a rate limit.
  if (Decision.Result == SlotDecision::Kind::Granted) {
    const auto Target = m_Targets.findByHash(Decision.Target);
    // A broker that does not know the target's rate limit yet takes no permit.
    const bool LacksPermit =
        Target && Target->rateLimit().isActive() && !Decision.HasPermit;
    const auto Obstacle =
        !Target       ? "unknown target"
        : LacksPermit ? "no permit"
                      : obstacleToSend(*Target, Waiting->requirements(), Now);
    if (!Obstacle.empty()) {
      logUnusedGrant(*Waiting, Decision, Obstacle);
      withdrawSlotRequest(Decision.Number, Now);
      return scheduleDispatch(Waiting->service());
    }
    m_PendingSlotRequests.erase(Pending);
    if (!m_RemoteBroker) // From here on counted by TrackedTarget::OwnRunning.
      withdrawSlotRequest(Decision.Number, Now);
    return dispatchGranted(
        Waiting, Target,
        Decision.HasPermit ? PermitSource::Broker : PermitSource::None, Now);
  }

  // Step 3. No slot yet: look for a target of another failure domain that is
  // expected to meet the latency target.
  const bool IsRefused = Decision.Result == SlotDecision::Kind::Refused;
  if (Pending->second.ExpectedAt == TimePoint{})
    Pending->second.ExpectedAt = Now + Decision.BacklogTime;
  Queue.remove(Decision.Number);
  if (tryLeaveDomain(Waiting,
                     IsRefused ? std::nullopt
                               : std::optional(Decision.BacklogTime),
                     false, Now))
    return withdrawSlotRequest(Decision.Number, Now);
  if (reassignVersion(Waiting)) {
    withdrawSlotRequest(Decision.Number, Now);
    enqueue(Waiting);
    return requestSlot(Waiting, true, Now);
  }
  const bool AwaitsPermit = requestPermit(Waiting, IsRefused, Now);
  if (IsRefused)
    m_PendingSlotRequests.erase(Pending);
  if (!IsRefused || AwaitsPermit)
    return enqueue(Waiting);
  Waiting->refuse(503, "no slot within the latency target",
                  retryAfter(*Waiting));
}

void Gateway::logUnusedGrant(const Exchange &Waiting,
                             const SlotDecision &Decision,
                             std::string_view Reason) {
  const auto Target = m_Targets.findByHash(Decision.Target);
  m_Log.write("grant_unused", {{"id", Waiting.facts().AttemptId},
                               {"reason", Reason},
                               {"service", Waiting.service().Text},
                               {"target", Target ? Target->Entry.Id.Text : ""},
                               {"broker", m_RemoteBroker ? m_RemoteBroker->Vm
                                                         : m_Settings.Vm}});
}

void Gateway::dispatchGranted(const ExchangePtr &Granted,
                              const TargetPtr &Target, PermitSource Permit,
                              TimePoint Now) {
  m_Services[Granted->service().Text].Queue.remove(Granted->number());
  m_Metrics.observeSlotWait(Granted->route().Name, Now - Granted->arrival());
  const auto TimeToFirstEvent =
      expectedTimeToFirstEvent(*Target, Granted->work());
  Granted->dispatch({Target, TimeToFirstEvent,
                     TimeToFirstEvent <= Granted->latencyDeadline() - Now,
                     Permit},
                    Now);
}

void Gateway::withdrawSlotRequest(TicketNumber Number, TimePoint Now) {
  m_PendingSlotRequests.erase(Number);
  SlotUpdate Update;
  Update.Vm = m_Settings.Vm;
  Update.Incarnation = m_Settings.Incarnation;
  Update.Number = Number;
  Update.Change = SlotUpdate::Kind::Withdrawn;
  sendToBroker(Update, Now);
}

void Gateway::checkSlotRequests(TimePoint Now) {
  std::vector<ExchangePtr> ToResend;
  for (const auto &[Number, Pending] : m_PendingSlotRequests) {
    const auto Found = m_ExchangeByNumber.find(Number);
    if (Found == m_ExchangeByNumber.end())
      continue;
    // Step 1. If the broker does not answer, decide without it.
    if (!Pending.Answered && Now - Pending.FirstSent > BrokerTimeout) {
      m_Log.write("broker_silent",
                  {{"broker", m_RemoteBroker ? m_RemoteBroker->Vm : ""},
                   {"waiting", m_PendingSlotRequests.size()}});
      m_DecideLocallyUntil = Now + LocalDecisionPeriod;
      m_PendingSlotRequests
          .clear(); // The tickets stay in this daemon's queues.
      return;
    }
    // Step 2. Resend a request whose message or answer may be lost.
    if (Now - Pending.LastSent > (Pending.Answered ? QueuedRequestResendPeriod
                                                   : SlotRequestResendPeriod))
      ToResend.push_back(Found->second);
  }
  for (const auto &Waiting : ToResend)
    requestSlot(Waiting, false, Now);
  tryLeaveQueue(Now);
}

bool Gateway::requestPermit(const ExchangePtr &Waiting, bool RefuseIfDenied,
                            TimePoint Now) {
  if (const auto Pending = m_PendingPermits.find(Waiting->number());
      Pending != m_PendingPermits.end()) {
    Pending->second.RefuseIfDenied |= RefuseIfDenied;
    return true;
  }
  auto Input = choiceInput(*Waiting, Now);
  Input.RemoteDomainsOnly = true;
  Input.NeedsPermit = true;
  const auto Chosen =
      chooseTarget(m_Targets.targetsOf(Waiting->service()), Input, Now);
  if (!Chosen || !Chosen->MeetsLatencyTarget)
    return false;
  const auto Broker = m_Peers.remoteDelegate(Chosen->Target->Entry.Domain, Now);
  if (!Broker)
    return false;
  auto Request = describe(*Waiting, Now);
  Request.OnlyTarget = Chosen->Target->Hash;
  m_PendingPermits[Waiting->number()] = {Request.OnlyTarget, Now,
                                         RefuseIfDenied};
  sendTo(std::span(&*Broker, 1), encodeSlotMessage(Request));
  return true;
}

void Gateway::handlePermit(const SlotDecision &Decision,
                           const TargetPtr &Target) {
  const auto Now = steadyNow();
  const bool IsGranted =
      Decision.Result == SlotDecision::Kind::Granted && Decision.HasPermit;
  if (!IsGranted)
    Target->RequestPermitAfter = Now + Decision.BacklogTime;
  const auto Pending = m_PendingPermits.find(Decision.Number);
  if (Pending == m_PendingPermits.end() ||
      Pending->second.Target != Decision.Target)
    return;
  const auto Found = m_ExchangeByNumber.find(Decision.Number);
  if (Found == m_ExchangeByNumber.end() || !Found->second->isWaiting()) {
    m_PendingPermits.erase(Pending);
    return;
  }
  const auto Obstacle =
      obstacleToSend(*Target, Found->second->requirements(), Now);
  if (IsGranted && !Obstacle.empty())
    logUnusedGrant(*Found->second, Decision, Obstacle);
  if (!IsGranted || !Obstacle.empty())
    return denyPermit(Decision.Number);
  m_PendingPermits.erase(Pending);
  if (m_PendingSlotRequests.contains(Decision.Number))
    withdrawSlotRequest(Decision.Number, Now);
  dispatchGranted(Found->second, Target, PermitSource::Broker, Now);
}

void Gateway::denyPermit(TicketNumber Number) {
  const auto Pending = m_PendingPermits.extract(Number);
  const auto Found = m_ExchangeByNumber.find(Number);
  if (Pending.empty() || !Pending.mapped().RefuseIfDenied ||
      Found == m_ExchangeByNumber.end() || !Found->second->isWaiting())
    return;
  const auto Refused = Found->second;
  Refused->refuse(503, "no slot within the latency target",
                  retryAfter(*Refused));
}

void Gateway::checkPermits(TimePoint Now) {
  std::vector<TicketNumber> Unanswered;
  for (const auto &[Number, Pending] : m_PendingPermits)
    if (Now - Pending.SentAt > BrokerTimeout) {
      Unanswered.push_back(Number);
      if (const auto Target = m_Targets.findByHash(Pending.Target))
        Target->RequestPermitAfter = Now + LocalDecisionPeriod;
    }
  for (const auto Number : Unanswered)
    denyPermit(Number);
}

void Gateway::onTargetRateLimit(const TargetPtr &Target, int Status,
                                const RateLimitStatement &Statement) {
  m_OwnRateLimitStatements[{Target->Hash, !Statement.PerSecond}] = Statement;
  applyRateLimit(*Target, Statement, "its answer", Status);
  if (m_Targets.find(Target->Entry.Id) != Target)
    m_Log.write("target_limit_unregistered",
                {{"target", Target->Entry.Id.Text},
                 {"per_s", Statement.PerSecond.value_or(-1)}});
}

void Gateway::applyRateLimit(TrackedTarget &Target,
                             const RateLimitStatement &Statement,
                             std::string_view Source, int Status) {
  const auto Previous = Target.rateLimit().perSecond();
  if (!Target.rateLimit().apply(Statement))
    return;
  m_Log.write("target_limit",
              {{"target", Target.Entry.Id.Text},
               {"per_s", Target.rateLimit().perSecond().value_or(-1)},
               {"before", Previous.value_or(-1)},
               {"told_by", Source},
               {"status", Status}});
  updateRateLimitShares(steadyNow());
}

void Gateway::applyRateLimits(const PeerReport &Report, TimePoint Now) {
  for (const auto &Limit : Report.RateLimits)
    if (const auto Target = m_Targets.findByHashOrDeparted(Limit.Target))
      applyRateLimit(*Target, {Limit.PerSecond, Now - Limit.Age}, Report.Vm, 0);
}

void Gateway::logBrokerShare(const PeerRegistry::DelegateSupport &Support,
                             double Share) {
  if (std::exchange(m_LoggedBrokerShare, Share) == Share)
    return;
  m_Log.write("broker_share", {{"share", Share},
                               {"supporters", Support.Supporters},
                               {"daemons", Support.Daemons},
                               {"stopping", m_Stopping}});
}

void Gateway::updateRateLimitShares(TimePoint Now) {
  if (m_Targets.countRateLimited() == 0)
    return;
  const auto Support = m_Peers.delegateSupport(Now);
  const auto Solo = soloShare(m_Peers.daemonCount(Now));
  const auto Broker =
      brokerShare(Support.Supporters, Support.Daemons, Support.IsMajority);
  logBrokerShare(Support, m_RemoteBroker ? 0 : Broker);
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets) {
      if (!Target->rateLimit().isActive())
        continue;
      const bool IsBroker =
          !m_RemoteBroker && Target->Entry.Domain == m_Settings.Domain;
      // Before the directory is complete, the number of daemons is unknown.
      Target->rateLimit().setShare(!m_DirectoryComplete ? 0
                                   : IsBroker           ? Broker
                                                        : Solo,
                                   Now);
      Target->rateLimit().drawPermit(m_Random.uniform(), Now);
    }
}

} // namespace mangodeck
