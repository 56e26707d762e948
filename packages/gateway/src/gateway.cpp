#include "mangodeck/gateway/gateway.h"

#include "mangodeck/gateway/refusal.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace mangodeck {

namespace {

/// Age up to which a target's pace is passed on to the slot broker as it
/// stands: it still holds for nine tenths of the machines then.
constexpr Duration MaxPaceDelay = 50ms;

/// Period of the main tick, which checks time limits: a tenth of the shortest
/// pause that has to be detected.
constexpr Duration TickPeriod = 25ms;
/// Period of the main tick while no request waits for a slot: the time limits
/// of running requests need not be met as closely.
constexpr Duration IdleTickPeriod = 100ms;
/// Period of the maintenance work that is not urgent.
constexpr Duration SlowTickPeriod = 250ms;
/// After SIGTERM connections are still accepted for this long: the load
/// balancer needs two failed readiness checks, one second apart, before it
/// uses other daemons.
constexpr Duration LoadBalancerDelay = 2500ms;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

Gateway::Gateway(asio::io_context &Loop, GatewaySettings Settings,
                 const HeaderNames &Names, EventLog &Log,
                 GatewayMetrics &Metrics, RandomSource &Random)
    : m_Loop(Loop), m_Settings(std::move(Settings)), m_Names(Names), m_Log(Log),
      m_Metrics(Metrics), m_Random(Random), m_Acceptor(Loop),
      m_ReadyAcceptor(Loop), m_MetricsAcceptor(Loop), m_PeerSocket(Loop),
      m_TickTimer(Loop), m_AcceptTimer(Loop),
      m_Pool(Loop.get_executor(), Names), m_RetryBudget(m_Settings.RetryLimits),
      m_Quotas(Random), m_CrashCauses(m_Settings.Vm),
      m_Origins(m_Settings.Vm, m_Settings.Domain, *this),
      m_Peers(m_Settings.Vm, m_Settings.Domain),
      m_LocalBroker(m_Settings.Domain, m_Targets, *this),
      m_Spill(m_Settings.Domain, m_Settings.Spill, Random),
      m_Callers(m_Settings.MemoryLimitBytes, m_Settings.Memory,
                m_Settings.MaxDescriptors, Log, Metrics) {
  if (m_Settings.Rollouts)
    m_Rollouts = std::make_unique<RolloutController>(
        *m_Settings.Rollouts,
        RolloutProcess{m_Settings.Vm, m_Settings.Incarnation,
                       m_Settings.Domain},
        m_Targets, static_cast<RolloutOutlet &>(*this), m_Log, m_Random);
}

Gateway::~Gateway() = default;

bool Gateway::isReady() const {
  return m_DirectoryComplete && m_Plan && !m_Stopping && m_Targets.size() > 0;
}

void Gateway::answerCaller(http::CallerConnection &Connection, int Status,
                           std::string_view Reason,
                           std::optional<Duration> RetryAfter) {
  http::HeaderList Fields;
  if (RetryAfter)
    Fields.add(m_Names.RetryAfter,
               fmt::format("{:.2f}", toSeconds(*RetryAfter)));
  Fields.add("Content-Type", "text/plain");
  Connection.sendAnswer(Status, std::move(Fields), Reason);
  m_Metrics.countRequest("none", std::to_string(Status));
}

ServiceName Gateway::pickService(const Route &Matched) {
  double Total = 0;
  for (const auto &Share : Matched.Shares)
    Total += Share.Weight;
  double Draw = m_Random.uniform() * Total;
  for (const auto &Share : Matched.Shares) {
    Draw -= Share.Weight;
    if (Draw < 0)
      return Share.Service;
  }
  return Matched.Shares.empty() ? ServiceName() : Matched.Shares.back().Service;
}

void Gateway::onRequest(http::CallerConnection &Connection,
                        http::Request &&Message, TimePoint FirstByte) {
  const auto Now = steadyNow();
  checkSuspension(Now);
  const auto Facts = parseRequestFacts(Message, m_Names);
  const auto RefuseRequest = [&](RefusalCause Cause,
                                 Duration ExpectedWait = Duration{0}) {
    refuseNew(Connection, Message.Head, Facts, Cause, ExpectedWait);
  };
  // Step 1. Without a plan no request can be judged: let the caller retry.
  if (!m_Plan)
    return RefuseRequest(RefusalCause::NoConfiguration);

  // Step 2. Find the route of the request.
  const auto *Matched =
      m_Plan->findRoute(Message.Head.Fields.get("Host"), Message.Head.Target);
  if (!Matched)
    return refuseByPlan(Connection, std::move(Message), FirstByte, Facts,
                        RefusalCause::NoRoute);

  // Step 3. Find the customer by its API key.
  const PlannedCustomer *Customer = nullptr;
  if (!m_Plan->Customers.empty() && !Matched->OpenToAll) {
    Customer = m_Plan->findCustomerByKey(Facts.ApiKey);
    if (!Customer)
      return refuseByPlan(Connection, std::move(Message), FirstByte, Facts,
                          RefusalCause::UnknownKey);
  }

  // Step 4. Refuse requests that arrive late in the shutdown: they might be
  // terminated before they are complete.
  if (m_Stopping && Now - m_StopStartedAt > LoadBalancerDelay)
    return RefuseRequest(RefusalCause::Stopping);

  // Step 5. Refuse a request that has crashed the targets that ran it.
  if (const auto Left = m_CrashCauses.refuseNew(Facts.PossibleCauses, Now))
    return RefuseRequest(RefusalCause::CrashingRequest, *Left);

  // Step 6. Charge the request to its customer's limit.
  if (Customer) {
    const auto Refusal =
        m_Quotas.charge(Customer->Name, quotaCost(Facts, *Customer), Now);
    if (Refusal) {
      m_Log.write("over_limit", {{"id", Facts.AttemptId},
                                 {"customer", Customer->Name.Text},
                                 {"cost", quotaCost(Facts, *Customer)},
                                 {"limit_per_s", Customer->PerSecond},
                                 {"decided_by", toString(Refusal->DecidedBy)},
                                 {"units_left", Refusal->UnitsLeft},
                                 {"units_required", Refusal->RequiredUnits},
                                 {"own_demand_per_s", Refusal->OwnDemand},
                                 {"others_demand_per_s", Refusal->OthersDemand},
                                 {"admitted_share", Refusal->AdmittedShare},
                                 {"reach", Refusal->LimitShare},
                                 {"wait_ms", toMs(Refusal->WaitTime)}});
      return RefuseRequest(RefusalCause::OverLimit, Refusal->WaitTime);
    }
  }

  // Step 7. Choose a service of the route and admit the request to it.
  const auto Service = pickService(*Matched);
  m_RetryBudget.recordRequest(Service, Now);
  auto Caller = m_Callers.find(Connection);
  ExchangeContext Context{m_Pool,  m_RetryBudget, m_Log,    m_Metrics,
                          m_Names, *this,         m_Lengths};
  auto New = std::make_shared<Exchange>(
      Context, m_NextTicketNumber++, std::move(Caller), std::move(Message),
      Facts, m_Plan, *Matched, Customer, Service, FirstByte);
  m_ExchangeByCaller[&Connection] = New;
  m_ExchangeByNumber[New->number()] = New;
  if (Matched->Kind == RouteKind::Stream && Matched->Resumable &&
      Facts.isResume())
    return resumeStream(New, Now);
  admit(New, Now);
}

bool Gateway::refuseIfPaused(const ExchangePtr &Waiting, TimePoint Now) {
  const auto Pause = commonPause(m_Targets.targetsOf(Waiting->service()),
                                 Waiting->version(), Now);
  if (!Pause || Now + *Pause <= Waiting->slotWaitDeadline())
    return false;
  Waiting->refuse(503, "all targets pause", retryAfter(*Waiting));
  return true;
}

void Gateway::admit(const ExchangePtr &New, TimePoint Now) {
  chooseVersion(New, true, Now);
  // Step 1. Refuse the request if no target accepts any in time.
  if (refuseIfPaused(New, Now))
    return;
  if (!hasTargetOfVersion(*New))
    return New->refuse(503, VersionGoneReason, std::nullopt);

  // Step 2. Leave the decision to the broker while it is reachable.
  if (isBrokerReachable(Now)) {
    enqueue(New);
    return requestSlot(New, true, Now);
  }

  // Step 3. Dispatch the request now if no waiting request goes before it.
  auto &State = m_Services[New->service().Text];
  const bool NeedsVersion = New->requirements().Version != NoVersion;
  const auto Waiting = State.Queue.countAhead(New->rank(), NeedsVersion, Now);
  if (Waiting == 0 && tryDispatch(New, false, Now))
    return;

  // Step 4. Refuse it now if its turn would come too late for the latency
  // target.
  if (State.Rate.timeToDispatch(Waiting + 1, Now) > New->latestStart() - Now)
    return New->refuse(503, "no slot within the latency target",
                       retryAfter(*New));
  enqueue(New);
  // Those before it may wait for a version without a free slot.
  scheduleDispatch(New->service());
}

bool Gateway::hasOtherTarget(const Exchange &Running, bool IsFree) const {
  const auto Now = steadyNow();
  auto Input = choiceInput(Running, Now);
  std::vector<TargetPtr> Excluded(Input.Excluded.begin(), Input.Excluded.end());
  Excluded.push_back(Running.target());
  const auto Targets = m_Targets.targetsOf(Running.service());
  if (!IsFree)
    return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
      return Target->isUsable(Now) && isOfVersion(*Target, Running.version()) &&
             std::find(Excluded.begin(), Excluded.end(), Target) ==
                 Excluded.end();
    });
  Input.Excluded = Excluded;
  Input.LoadsAreExact = true; // The broker decides, which knows them.
  return chooseTarget(Targets, Input, Now).has_value();
}

void Gateway::waitForSlot(const ExchangePtr &Waiting) {
  const auto Now = steadyNow();
  chooseVersion(Waiting, false, Now);
  const auto &Causes = Waiting->facts().PossibleCauses;
  if (!Waiting->hasStreamStarted() &&
      (Waiting->mayHaveRun() ? m_CrashCauses.isRepeatRefused(Causes, Now)
                             : m_CrashCauses.isRefused(Causes, Now)))
    return Waiting->stopCrashing();
  if (!Waiting->hasStreamStarted() && refuseIfPaused(Waiting, Now))
    return;
  if (!Waiting->hasStreamStarted() && !hasTargetOfVersion(*Waiting))
    return Waiting->refuse(503, VersionGoneReason, std::nullopt);
  enqueue(Waiting);
  if (isBrokerReachable(Now))
    requestSlot(Waiting, false, Now);
  else
    scheduleDispatch(Waiting->service());
}

void Gateway::enqueue(const ExchangePtr &Waiting) {
  const auto Now = steadyNow();
  Waiting->setWaiting();
  QueuedTicket Ticket;
  Ticket.Number = Waiting->number();
  Ticket.Rank = Waiting->hasStreamStarted() ? RequestRank() : Waiting->rank();
  Ticket.LatestStart = Waiting->latestStart();
  Ticket.ExpiresAt = Waiting->slotWaitDeadline();
  Ticket.NeedsVersion = Waiting->requirements().Version != NoVersion;
  if (Ticket.LatestStart < Now && Waiting->hasStreamStarted())
    Ticket.LatestStart = Ticket.ExpiresAt;
  m_Services[Waiting->service().Text].Queue.push(Ticket);
  hastenTick(Now);
}

void Gateway::scheduleDispatch(const ServiceName &Service) {
  const bool AlreadyScheduled = !m_ServicesToDispatch.empty();
  if (std::find(m_ServicesToDispatch.begin(), m_ServicesToDispatch.end(),
                Service) == m_ServicesToDispatch.end())
    m_ServicesToDispatch.push_back(Service);
  if (!AlreadyScheduled)
    asio::post(m_Loop, [this] {
      const auto Services = std::exchange(m_ServicesToDispatch, {});
      for (const auto &Name : Services)
        dispatchWaiting(Name);
    });
}

TargetChoiceInput Gateway::choiceInput(const Exchange &Waiting,
                                       TimePoint Now) const {
  TargetChoiceInput Input;
  Input.Work = Waiting.work();
  Input.OwnDomain = m_Settings.Domain;
  Input.TimeToLatencyTarget = Waiting.latencyDeadline() - Now;
  Input.TimeToDeadline = Waiting.deadline() - Now;
  Input.GapTarget = Waiting.route().GapTarget;
  Input.Excluded = Waiting.triedTargets();
  const auto Required = Waiting.requirements();
  Input.Version = Required.Version;
  Input.AvoidedVersion = Required.AvoidedVersion;
  Input.BeginsStream = Required.BeginsStream;
  return Input;
}

bool Gateway::tryDispatch(const ExchangePtr &Waiting, bool RemoteDomainsOnly,
                          TimePoint Now) {
  auto Input = choiceInput(*Waiting, Now);
  Input.RemoteDomainsOnly = RemoteDomainsOnly;
  auto Chosen =
      chooseTarget(m_Targets.targetsOf(Waiting->service()), Input, Now);
  if (!Chosen && !RemoteDomainsOnly && reassignVersion(Waiting))
    return tryDispatch(Waiting, false, Now);
  if (!Chosen || (RemoteDomainsOnly && !Chosen->MeetsLatencyTarget))
    return false;
  dispatchTo(Waiting, std::move(*Chosen), Now);
  return true;
}

void Gateway::dispatchTo(const ExchangePtr &Waiting, ChosenTarget Chosen,
                         TimePoint Now) {
  if (Chosen.Target->rateLimit().isActive())
    Chosen.Permit = PermitSource::Daemon;
  m_Services[Waiting->service().Text].Rate.recordDispatch(Now);
  m_Metrics.observeSlotWait(Waiting->route().Name, Now - Waiting->arrival());
  Chosen.Target->rateLimit().takePermit(Now);
  Waiting->dispatch(Chosen, Now);
}

void Gateway::refuseExpired(const ServiceName &Service, TimePoint Now) {
  auto &Queue = m_Services[Service.Text].Queue;
  const auto Pause = commonPause(m_Targets.targetsOf(Service), NoVersion, Now);
  for (const auto &Ticket :
       Queue.takeExpired(Now + Pause.value_or(Duration{0}))) {
    const auto Found = m_ExchangeByNumber.find(Ticket.Number);
    if (Found == m_ExchangeByNumber.end())
      continue;
    const auto Expired = Found->second;
    // A stream that has started waits on: another target may register.
    if (Expired->hasStreamStarted() && Ticket.ExpiresAt > Now) {
      Queue.push(Ticket);
      continue;
    }
    withdrawSlotRequest(Ticket.Number, Now);
    if (Expired->hasStreamStarted())
      Expired->terminate();
    else
      Expired->refuse(503, Pause ? "all targets pause" : "no slot in time",
                      retryAfter(*Expired));
  }
}

void Gateway::dispatchWaiting(const ServiceName &Service) {
  const auto Now = steadyNow();
  m_LocalBroker.dispatchWaiting(Service, Now);
  auto &State = m_Services[Service.Text];
  // Step 1. Refuse requests that have waited too long; terminate those whose
  // stream has begun.
  refuseExpired(Service, Now);

  // Step 2. Dispatch the other requests in order. One that no target can take
  // does not hold up those behind it, and those that the broker decides on are
  // skipped.
  std::set<TicketNumber> Skipped;
  for (const auto &[Number, Pending] : m_PendingSlotRequests)
    Skipped.insert(Number);
  for (const auto &[Number, Pending] : m_PendingPermits)
    Skipped.insert(Number);
  while (const auto Next = State.Queue.next(Now, Skipped)) {
    const auto Found = m_ExchangeByNumber.find(Next->Number);
    if (Found == m_ExchangeByNumber.end()) {
      State.Queue.remove(Next->Number);
      continue;
    }
    const auto Waiting = Found->second;
    if (capacityOf(m_Targets.targetsOf(Service), Now).FreeSlots == 0)
      return;
    State.Queue.remove(Next->Number);
    if (!tryDispatch(Waiting, false, Now)) {
      State.Queue.push(*Next);
      Skipped.insert(Next->Number);
    }
  }
}

void Gateway::onSlotFreed(const ServiceName &Service) {
  const auto Found = m_Services.find(Service.Text);
  const bool HasWaiting =
      Found != m_Services.end() && !Found->second.Queue.empty();
  if (HasWaiting || m_LocalBroker.waitingCount() > 0)
    scheduleDispatch(Service);
}

void Gateway::onFirstEvent(const Exchange &Running) {
  const auto Reported = Running.reportedRequest();
  if (!Reported || !m_RemoteBroker)
    return;
  SlotUpdate Update;
  Update.Vm = m_Settings.Vm;
  Update.Incarnation = m_Settings.Incarnation;
  Update.Number = Reported->Number;
  Update.Change = SlotUpdate::Kind::PrefillDone;
  Update.Target = Reported->Target;
  // The head of the answer, which states the pace, has come just before.
  Update.Pace = Running.target()->Pace.statedWithin(MaxPaceDelay, steadyNow());
  sendToBroker(Update, steadyNow());
}

void Gateway::onTargetReleased(const Exchange &Released,
                               const SlotUpdate &Update) {
  const auto Target = m_Targets.findByHash(Update.Target);
  if (m_RemoteBroker && Target && Target->Entry.Domain == m_Settings.Domain) {
    auto Sent = Update;
    Sent.Vm = m_Settings.Vm;
    Sent.Incarnation = m_Settings.Incarnation;
    sendToBroker(Sent, steadyNow());
  }
  recordAnswer(Released, Update);
  onSlotFreed(Released.service());
}

std::optional<Duration> Gateway::retryAfter(const Exchange &Refused) {
  const auto Now = steadyNow();
  if (!hasTargetOfVersion(Refused))
    return std::nullopt;
  const auto &State = m_Services[Refused.service().Text];
  RefusalFacts Facts;
  Facts.Draw = m_Random.uniform();
  if (const auto Pause = commonPause(m_Targets.targetsOf(Refused.service()),
                                     Refused.version(), Now)) {
    Facts.Cause = RefusalCause::TargetsPause;
    Facts.ExpectedWait = *Pause;
    return chooseRefusal(Facts).RetryAfter;
  }
  // The backlog gives the time until a slot is likely to be free.
  const auto Rate = std::max(1.0, State.Rate.perSecond(Now));
  Facts.ExpectedWait =
      isBrokerReachable(Now)
          ? State.BrokerBacklog
          : fromSeconds(static_cast<double>(State.Queue.size()) / Rate);
  Facts.TimeLeft = Refused.deadline() - Now;
  return chooseRefusal(Facts).RetryAfter;
}

void Gateway::onExchangeEnded(Exchange &Ended, bool MayHaveRun) {
  if (!MayHaveRun && Ended.customer())
    m_Quotas.refund(Ended.customer()->Name,
                    quotaCost(Ended.facts(), *Ended.customer()));
  m_Services[Ended.service().Text].Queue.remove(Ended.number());
  if (m_PendingSlotRequests.contains(Ended.number()))
    withdrawSlotRequest(Ended.number(), steadyNow());
  m_PendingPermits.erase(Ended.number());
  m_Origins.cancel(Ended.number());
  const auto Found = m_ExchangeByNumber.find(Ended.number());
  if (Found == m_ExchangeByNumber.end())
    return;
  // Keep the exchange alive until its member functions on the call stack have
  // returned.
  asio::post(m_Loop, [Kept = Found->second] {});
  std::erase_if(m_ExchangeByCaller, [&](const auto &Entry) {
    return Entry.second == Found->second;
  });
  m_ExchangeByNumber.erase(Found);
}

void Gateway::checkSuspension(TimePoint Now) {
  const auto Suspended = m_SuspensionDetector.check();
  if (Suspended <= Duration{0})
    return;
  m_Log.write("woken", {{"stood_still_ms", toMs(Suspended)}});
  m_View.invalidate(Now);
  m_Pool.closeIdle();
  for (const auto &[Number, Each] : m_ExchangeByNumber)
    Each->restartSilence(Now);
  m_LocalBroker.clear();
  m_Offers.restart(Now);
  // Another daemon may have granted the permits of this time.
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets)
      Target->rateLimit().setShare(0, Now);
  if (OnResumed)
    OnResumed();
}

void Gateway::tick() {
  const auto Now = steadyNow();
  ++m_TickCount;
  m_LoopDelay.record(m_NextTickAt, Now);
  checkSuspension(Now);
  updateBroker(Now);
  if (std::exchange(m_UsedOwnSummary, usesOwnSummary()) != usesOwnSummary())
    m_Quotas.forgetPeers(Now);
  sendReports(Now);
  updateCrashCauses(Now);
  updateRollouts(Now);
  refreshTargetLoads(Now);
  checkSlotRequests(Now);
  checkPermits(Now);
  m_Origins.update(Now);
  std::vector<ExchangePtr> Running;
  Running.reserve(m_ExchangeByNumber.size());
  for (const auto &[Number, Each] : m_ExchangeByNumber)
    Running.push_back(Each);
  for (const auto &Each : Running)
    Each->checkTimeouts(Now);
  for (auto &[Name, State] : m_Services)
    if (!State.Queue.empty())
      dispatchWaiting(ServiceName(Name));
  m_LocalBroker.dispatchAllWaiting(Now);
  while (auto Held = m_Unconfirmed.popExpired(Now))
    refuseNew(*Held->Connection, Held->Message.Head,
              parseRequestFacts(Held->Message, m_Names),
              RefusalCause::Unconfirmed, Duration{0});
  for (const auto &Expired : std::vector<ExpiredTarget>(m_ExpiredTargets))
    if (Expired.Until <= Now) {
      m_Log.write("target_dropped",
                  {{"target", Expired.Id.Text}, {"reason", "lapsed"}});
      m_Targets.remove(Expired.Id, false);
    }
  std::erase_if(m_ExpiredTargets,
                [&](const auto &Expired) { return Expired.Until <= Now; });
  if (Now - m_LastSlowTickAt >= SlowTickPeriod) {
    m_LastSlowTickAt = Now;
    updateDaemonCount(Now);
    m_Callers.update(Now);
    m_Pool.prune(Now);
    updateVersions(Now);
    m_Metrics.setGauge("directory_age_seconds",
                       m_View.confirmedAt() == TimePoint{}
                           ? -1
                           : toSeconds(Now - m_View.confirmedAt()));
    m_Metrics.setGauge("in_flight",
                       static_cast<double>(m_ExchangeByNumber.size()));
    const auto Support = m_Peers.delegateSupport(Now);
    m_Metrics.setGauge("broker_share",
                       m_RemoteBroker
                           ? 0
                           : brokerShare(Support.Supporters, Support.Daemons,
                                         Support.IsMajority));
    m_Metrics.setGauge("stream_origins",
                       static_cast<double>(m_Origins.recordCount()));
    m_Metrics.setGauge("refused_causes",
                       static_cast<double>(m_CrashCauses.refusals().size()));
    m_Metrics.setGauge("crash_suspects",
                       static_cast<double>(m_CrashCauses.suspectCount()));
    m_Metrics.setGauge("rate_limited_targets",
                       static_cast<double>(m_Targets.countRateLimited()));
    const auto &Account = m_Callers.account();
    for (const auto &[Name, Pool] : {std::pair{"head_bytes", MemoryPool::Heads},
                                     {"body_bytes", MemoryPool::Bodies},
                                     {"answer_bytes", MemoryPool::Answers},
                                     {"unread_bytes", MemoryPool::Unread}})
      m_Metrics.setGauge(Name, static_cast<double>(Account.bytes(Pool)));
    m_Metrics.setGauge("connections", static_cast<double>(m_Callers.size()));
    m_Metrics.setGauge("ticks", static_cast<double>(m_TickCount));
    m_Metrics.setGauge("target_connections_opened",
                       static_cast<double>(m_Pool.opened()));
    m_Metrics.setGauge("target_connections_reused",
                       static_cast<double>(m_Pool.reused()));
    m_Metrics.setGauge("target_start_queries",
                       static_cast<double>(m_Pool.startQueries()));
    m_Metrics.setGauge("log_dropped",
                       static_cast<double>(m_Log.droppedLines()));
    m_Log.flush();
  }
  if (m_Stopping)
    continueStop(Now);
  scheduleTick(Now + tickPeriod());
}

Duration Gateway::tickPeriod() const {
  const bool HasWaiting =
      !m_PendingSlotRequests.empty() || m_Origins.hasLookups() ||
      m_Unconfirmed.size() > 0 || m_LocalBroker.waitingCount() > 0 ||
      std::any_of(m_Services.begin(), m_Services.end(), [](const auto &Entry) {
        return !Entry.second.Queue.empty();
      });
  // Reports are sent at a tick.
  return HasWaiting ? TickPeriod
                    : std::clamp<Duration>(reportPeriod() / 2, TickPeriod,
                                           IdleTickPeriod);
}

void Gateway::scheduleTick(TimePoint When) {
  m_NextTickAt = When;
  m_TickTimer.expires_at(When);
  m_TickTimer.async_wait([this](std::error_code Error) {
    if (!Error)
      tick();
  });
}

void Gateway::hastenTick(TimePoint Now) {
  if (m_NextTickAt > Now + TickPeriod)
    scheduleTick(Now + TickPeriod);
}

} // namespace mangodeck
