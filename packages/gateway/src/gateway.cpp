#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace mangodeck {

namespace {

/// Period of the main tick, which checks time limits: a tenth of the shortest
/// pause that has to be detected.
constexpr Duration TickPeriod = 25ms;
/// Period of the main tick while no request waits for a slot: the time limits
/// of running requests need not be met as closely.
constexpr Duration IdleTickPeriod = 100ms;
/// Period of the reports to the other daemons of the failure domain while
/// there are at most DaemonsAtFullRate of them. It grows in proportion to
/// their number beyond that, so that the message rate of a daemon does not.
constexpr Duration BaseReportPeriod = 100ms;
constexpr std::size_t DaemonsAtFullRate = 15;
/// Upper bound of the period; several reports fit into the time after which a
/// silent daemon counts as unreachable.
constexpr Duration MaxReportPeriod = 500ms;
/// A daemon relays only after it has been the delegate for this long: at their
/// start all daemons are, until they receive reports.
constexpr Duration RelayStartDelay = 1s;
/// Period of the maintenance work that is not urgent.
constexpr Duration SlowTickPeriod = 250ms;
/// Time for which the reports to other daemons name a target that leaves, was
/// removed or has stated its rate limit.
constexpr Duration StatementReportPeriod = 5s;
/// A target whose registration expired during an outage of the store is removed
/// only after this time, so that it can register again. Stays within the time
/// allowed for noticing that a target has left.
constexpr Duration ExpiredTargetRetention = 1700ms;
/// After SIGTERM connections are still accepted for this long: the load
/// balancer needs two failed readiness checks, one second apart, before it
/// uses other daemons.
constexpr Duration LoadBalancerDelay = 2500ms;
/// Retry-After for a request that arrives on a kept-alive connection after
/// LoadBalancerDelay: short, since another daemon can take it immediately.
constexpr Duration StoppingRetryAfter = 20ms;
/// Requests that still run this long before the end of the shutdown grace are
/// terminated.
constexpr Duration TerminationMargin = 250ms;
/// Time over which callers return whose bodies there was no memory for.
constexpr Duration MaxMemoryRetryAfter = 1s;
/// Bounds of the Retry-After of refused requests.
constexpr Duration MinRetryAfter = 300ms;
constexpr Duration MaxRetryAfter = 4s;
/// Time over which the retries are spread after a pause of all targets.
constexpr Duration RetrySpreadAfterPause = 500ms;
/// Largest share of a request's remaining time that its Retry-After may take.
constexpr double MaxRetryAfterShare = 0.3;
/// Bytes of a rejected request's first line that are logged. The header fields
/// are not logged, since they may hold API keys.
constexpr std::size_t MaxLoggedLineBytes = 120;
/// Connections that the kernel queues until they are accepted.
constexpr int ListenBacklog = 512;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

/// Removes the targets from \p Leaving that have been reported for
/// StatementReportPeriod, and returns the others.
template <typename Name>
std::vector<Name> recentlyLeaving(std::map<Name, TimePoint> &Leaving,
                                  TimePoint Now) {
  std::erase_if(Leaving, [&](const auto &Entry) {
    return Now - Entry.second > StatementReportPeriod;
  });
  std::vector<Name> Names;
  for (const auto &[Target, Since] : Leaving)
    Names.push_back(Target);
  return Names;
}

} // namespace

Gateway::Gateway(asio::io_context &Loop, GatewaySettings Settings,
                 const HeaderNames &Names, EventLog &Log,
                 GatewayMetrics &Metrics, RandomSource &Random)
    : m_Loop(Loop), m_Settings(std::move(Settings)), m_Names(Names), m_Log(Log),
      m_Metrics(Metrics), m_Random(Random), m_Acceptor(Loop),
      m_ReadyAcceptor(Loop), m_MetricsAcceptor(Loop), m_PeerSocket(Loop),
      m_TickTimer(Loop), m_Pool(Loop.get_executor()),
      m_RetryBudget(m_Settings.RetryLimits), m_Quotas(Random),
      m_CrashCauses(m_Settings.Vm),
      m_Origins(m_Settings.Vm, m_Settings.Domain, *this),
      m_Peers(m_Settings.Vm, m_Settings.Domain),
      m_LocalBroker(m_Settings.Domain, m_Targets, *this),
      m_Buffers(m_Settings.MemoryLimitBytes) {}

Gateway::~Gateway() = default;

bool Gateway::listen(asio::ip::tcp::acceptor &Acceptor, std::uint16_t Port,
                     std::error_code &Error) {
  const auto Address = asio::ip::make_address(m_Settings.Ip, Error);
  if (!Error)
    Acceptor.open(asio::ip::tcp::v4(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind({Address, Port}, Error);
  if (!Error)
    Acceptor.listen(ListenBacklog, Error);
  if (Error)
    m_Log.write("listen_failed", {{"port", Port}, {"error", Error.message()}});
  return !Error;
}

std::error_code Gateway::start() {
  std::error_code Error;
  if (!listen(m_Acceptor, m_Settings.CallerPort, Error) ||
      !listen(m_ReadyAcceptor, m_Settings.ReadyPort, Error))
    return Error;
  if (m_Settings.MetricsPort != 0 &&
      listen(m_MetricsAcceptor, m_Settings.MetricsPort, Error))
    acceptReadiness(m_MetricsAcceptor);
  const auto Address = asio::ip::make_address(m_Settings.Ip, Error);
  m_PeerSocket.open(asio::ip::udp::v4(), Error);
  if (!Error)
    m_PeerSocket.bind({Address, m_Settings.PeerPort}, Error);
  if (Error)
    return Error;
  m_PeerSocket.non_blocking(true, Error);
  m_BrokerSince = steadyNow();
  acceptCallers();
  acceptReadiness(m_ReadyAcceptor);
  receivePeerMessage();
  tick();
  m_Log.write("start", {{"domain", m_Settings.Domain.Text},
                        {"callers", m_Settings.CallerPort},
                        {"peers", m_Settings.PeerPort},
                        {"grace_ms", toMs(m_Settings.ShutdownGrace)}});
  return {};
}

bool Gateway::isReady() const {
  return m_DirectoryComplete && m_Plan && !m_Stopping && m_Targets.size() > 0;
}

void Gateway::acceptCallers() {
  m_Acceptor.async_accept(
      [this](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          startCaller(std::move(Socket));
        acceptCallers();
      });
}

void Gateway::startCaller(asio::ip::tcp::socket Socket) {
  http::CallerBounds Bounds;
  if (m_Plan) {
    const auto &Limits = m_Plan->Limits;
    Bounds.MaxHeadBytes = Limits.MaxHeadBytes;
    Bounds.MaxBodyBytes = Limits.MaxBodyBytes;
    Bounds.HeadTimeout = Limits.HeadTimeout;
    Bounds.IdleTimeout = Limits.IdleTimeout;
  }
  auto New = std::make_shared<http::CallerConnection>(
      std::move(Socket), static_cast<http::CallerConnectionHandler &>(*this),
      Bounds);
  m_Callers.emplace(New.get(), New);
  New->start();
}

void Gateway::acceptPending() {
  std::error_code Error;
  m_Acceptor.non_blocking(true, Error);
  while (!Error) {
    asio::ip::tcp::socket Socket(m_Loop);
    m_Acceptor.accept(Socket, Error);
    if (!Error)
      startCaller(std::move(Socket));
  }
}

void Gateway::acceptReadiness(asio::ip::tcp::acceptor &Acceptor) {
  Acceptor.async_accept(
      [this, &Acceptor](std::error_code Error, asio::ip::tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          serveReadiness(
              std::make_shared<asio::ip::tcp::socket>(std::move(Socket)));
        acceptReadiness(Acceptor);
      });
}

void Gateway::serveReadiness(std::shared_ptr<asio::ip::tcp::socket> Socket) {
  struct DiscardingSink : http::MessageSink {
    void onHead() override {}
    void onBody(std::string_view) override {}
  };
  struct Session {
    DiscardingSink Sink;
    http::RequestParser Parser{Sink, 8192, 0};
    std::array<char, 2048> Buffer;
    std::string Reply;
  };
  auto Client = std::make_shared<Session>();
  // Each pending read or write keeps this function alive; the function itself
  // holds only a weak reference, so that the session ends with its connection.
  auto Read = std::make_shared<std::function<void()>>();
  *Read = [this, Socket, Client, Weak = std::weak_ptr(Read)] {
    const auto Self = Weak.lock();
    Socket->async_read_some(
        asio::buffer(Client->Buffer),
        [this, Socket, Client, Self](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          Client->Parser.feed({Client->Buffer.data(), Size});
          if (Client->Parser.fault() != http::ParseFault::None)
            return;
          if (!Client->Parser.isComplete())
            return (*Self)();
          const auto &Target = Client->Parser.head().Target;
          const bool IsMetrics = Target == m_Settings.MetricsPath;
          const bool IsKnownPath = IsMetrics || Target == m_Settings.ReadyPath;
          const auto Body = IsMetrics ? m_Metrics.serialize() : std::string();
          http::ResponseHead Answer;
          Answer.Status = !IsKnownPath             ? 404
                          : IsMetrics || isReady() ? 200
                                                   : 503;
          if (IsMetrics)
            Answer.Fields.add("Content-Type", "text/plain; version=0.0.4");
          Answer.Fields.add("Content-Length", std::to_string(Body.size()));
          Client->Reply = http::serialize(Answer) + Body;
          Client->Parser.reset();
          asio::async_write(
              *Socket, asio::buffer(Client->Reply),
              [Socket, Client, Self](std::error_code Failure, std::size_t) {
                if (!Failure)
                  (*Self)();
              });
        });
  };
  (*Read)();
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
  const auto RefuseRequest = [&](int Status, std::string_view Reason,
                                 std::optional<Duration> RetryAfter) {
    m_Log.write("refused", {{"id", Facts.AttemptId},
                            {"status", Status},
                            {"reason", Reason},
                            {"path", Message.Head.Target},
                            {"plan", m_Plan ? m_Plan->Version : 0}});
    answerCaller(Connection, Status, Reason, RetryAfter);
  };
  // Step 1. Without a plan no request can be judged: let the caller retry.
  if (!m_Plan)
    return RefuseRequest(503, "no configuration yet", 1s);

  // Step 2. Find the route of the request.
  const auto *Matched =
      m_Plan->findRoute(Message.Head.Fields.get("Host"), Message.Head.Target);
  if (!Matched)
    return RefuseRequest(404, "no such route", std::nullopt);

  // Step 3. Find the customer by its API key.
  const PlannedCustomer *Customer = nullptr;
  if (!m_Plan->Customers.empty() && !Matched->OpenToAll) {
    Customer = m_Plan->findCustomerByKey(Facts.ApiKey);
    if (!Customer)
      return RefuseRequest(401, "unknown key", std::nullopt);
  }

  // Step 4. Refuse requests that arrive late in the shutdown: they might be
  // terminated before they are complete.
  if (m_Stopping && Now - m_StopStartedAt > LoadBalancerDelay)
    return RefuseRequest(503, "stopping", StoppingRetryAfter);

  // Step 5. Refuse a request that has crashed the targets that ran it.
  if (const auto Left = m_CrashCauses.refuseNew(Facts.PossibleCauses, Now))
    return RefuseRequest(503, CrashingRequestReason,
                         std::max<Duration>(*Left, MinRetryAfter));

  // Step 6. Charge the request to its customer's limit.
  if (Customer) {
    const auto WaitTime =
        m_Quotas.charge(Customer->Name, quotaCost(Facts, *Customer), Now);
    if (WaitTime) {
      m_Log.write("over_limit",
                  {{"id", Facts.AttemptId},
                   {"customer", Customer->Name.Text},
                   {"cost", quotaCost(Facts, *Customer)},
                   {"limit_per_s", Customer->PerSecond},
                   {"reach", m_Quotas.reachableShare(Customer->Name, Now)},
                   {"wait_ms", toMs(*WaitTime)}});
      return RefuseRequest(
          429, "over the customer's limit",
          std::clamp<Duration>(*WaitTime, MinRetryAfter, MaxRetryAfter));
    }
  }

  // Step 7. Choose a service of the route and admit the request to it.
  const auto Service = pickService(*Matched);
  m_RetryBudget.recordRequest(Service, Now);
  auto Caller = m_Callers.at(&Connection);
  ExchangeContext Context{m_Pool,    m_RetryBudget, m_Log,
                          m_Metrics, m_Names,       *this};
  // The connection has just released as much or more.
  m_Buffers.reserveBody(Message.Body.size(), 0);
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
  const bool NeedsVersion = New->version() != NoVersion;
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
  Ticket.NeedsVersion = Waiting->version() != NoVersion;
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
  Input.Version = Waiting.version();
  Input.BeginsStream = Waiting.requirements().BeginsStream;
  return Input;
}

bool Gateway::tryDispatch(const ExchangePtr &Waiting, bool RemoteDomainsOnly,
                          TimePoint Now) {
  auto Input = choiceInput(*Waiting, Now);
  Input.RemoteDomainsOnly = RemoteDomainsOnly;
  auto Chosen =
      chooseTarget(m_Targets.targetsOf(Waiting->service()), Input, Now);
  if (!Chosen || (RemoteDomainsOnly && !Chosen->MeetsLatencyTarget))
    return false;
  if (Chosen->Target->rateLimit().isActive())
    Chosen->Permit = PermitSource::Daemon;
  m_Services[Waiting->service().Text].Rate.recordDispatch(Now);
  m_Metrics.observeSlotWait(Waiting->route().Name, Now - Waiting->arrival());
  Chosen->Target->rateLimit().takePermit(Now);
  Waiting->dispatch(*Chosen, Now);
  return true;
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
  onSlotFreed(Released.service());
}

std::optional<Duration> Gateway::retryAfter(const Exchange &Refused) {
  const auto Now = steadyNow();
  if (!hasTargetOfVersion(Refused))
    return std::nullopt;
  const auto &State = m_Services[Refused.service().Text];
  // Before the end of a common pause, a retry would only be refused again.
  if (const auto Pause = commonPause(m_Targets.targetsOf(Refused.service()),
                                     Refused.version(), Now))
    return *Pause +
           fromSeconds(toSeconds(RetrySpreadAfterPause) * m_Random.uniform());
  // The backlog gives the time until a slot is likely to be free; the random
  // part spreads the retries of callers that were refused together.
  const auto Rate = std::max(1.0, State.Rate.perSecond(Now));
  const auto Backlog =
      isBrokerReachable(Now)
          ? State.BrokerBacklog
          : fromSeconds(static_cast<double>(State.Queue.size()) / Rate);
  const auto MinWait = std::max<Duration>(Backlog, MinRetryAfter);
  const auto Spread =
      fromSeconds(toSeconds(MaxRetryAfter) * m_Random.uniform());
  const auto MaxWait = fromSeconds(
      MaxRetryAfterShare * std::max(0.0, toSeconds(Refused.deadline() - Now)));
  return std::max<Duration>(
      Duration{10ms}, std::min({MinWait + Spread, MaxRetryAfter, MaxWait}));
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
  m_Buffers.releaseBody(Ended.bodyBytes());
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

void Gateway::onTargetLeaving(const TargetPtr &Target) {
  if (!Target->markAnnouncedLeaving())
    return;
  m_Log.write("target_draining",
              {{"target", Target->Entry.Id.Text}, {"told_by", "its answer"}});
  m_AnnouncedLeaving[Target->Hash] = steadyNow();
}

void Gateway::onOtherTargetLeaving(const TargetPtr &Expected) {
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets)
      if (Target != Expected && Target->Entry.Ip == Expected->Entry.Ip &&
          Target->Entry.Port == Expected->Entry.Port)
        onTargetLeaving(Target);
}

void Gateway::onTargetPaused(const TargetPtr &Target) {
  scheduleDispatch(Target->Entry.Service);
}

void Gateway::onCallerLeft(http::CallerConnection &Connection) {
  const auto Found = m_ExchangeByCaller.find(&Connection);
  if (Found == m_ExchangeByCaller.end())
    return;
  const auto Cancelled = Found->second;
  Cancelled->cancel();
}

void Gateway::onRejected(int Status, std::string_view Start) {
  m_Log.write(
      "caller_rejected",
      {{"status", Status},
       {"line", std::string(Start.substr(
                    0, std::min(Start.find('\r'), MaxLoggedLineBytes)))}});
  m_Metrics.countRequest("none", std::to_string(Status));
}

void Gateway::onClosed(http::CallerConnection &Connection) {
  const auto Found = m_Callers.find(&Connection);
  if (Found == m_Callers.end())
    return;
  asio::post(m_Loop, [Kept = Found->second] {});
  m_Callers.erase(Found);
}

http::HeaderList Gateway::rejectionFields(int Status) {
  http::HeaderList Fields;
  if (Status == 503) // There is no memory for the body.
    Fields.add(m_Names.RetryAfter,
               fmt::format("{:.2f}", toSeconds(MinRetryAfter) +
                                         toSeconds(MaxMemoryRetryAfter) *
                                             m_Random.uniform()));
  return Fields;
}

void Gateway::onPlan(RoutePlanPtr Plan) {
  if (m_Plan && Plan->Version <= m_Plan->Version)
    return;
  m_Log.write("plan_in_force", {{"version", Plan->Version},
                                {"before", m_Plan ? m_Plan->Version : 0},
                                {"routes", Plan->Routes.size()},
                                {"customers", Plan->Customers.size()}});
  m_Plan = std::move(Plan);
  recordStreamServices(steadyNow());
  m_Quotas.configure(*m_Plan, steadyNow());
  m_Pool.configure(*m_Plan);
}

void Gateway::onTargetUpdated(const TargetEntry &Entry) {
  const auto Previous = m_Targets.find(Entry.Id);
  const bool WasDraining = Previous && Previous->Entry.Draining;
  const auto Current = m_Targets.update(Entry);
  if (!Current) {
    m_Log.write("target_entry_outdated",
                {{"target", Entry.Id.Text}, {"sequence", Entry.Sequence}});
    return;
  }
  m_VersionHistory.recordRegistered(Current->Entry, steadyNow());
  Current->NewStreamsFrom =
      m_VersionHistory.settledAt(Current->Entry.Service, Current->Version);
  std::erase_if(m_ExpiredTargets,
                [&](const auto &Expired) { return Expired.Id == Entry.Id; });
  if (Current == Previous && WasDraining == Entry.Draining)
    return;
  m_Log.write(Entry.Draining ? "target_draining" : "target_ready",
              {{"target", Entry.Id.Text},
               {"service", Entry.Service.Text},
               {"domain", Entry.Domain.Text},
               {"version", Entry.Version.value_or("")},
               {"started_unix_ms", Entry.StartedUnixMs},
               {"slots", Entry.Slots}});
  if (Entry.Draining)
    m_LeavingTargets[{Current->Hash, Entry.Sequence}] = steadyNow();
  else
    onSlotFreed(Entry.Service);
}

void Gateway::onTargetRemoved(const TargetName &Id, bool AfterOutage) {
  const auto Known = m_Targets.find(Id);
  if (!Known)
    return;
  m_Log.write("target_gone",
              {{"target", Id.Text}, {"after_outage", AfterOutage}});
  if (AfterOutage && !Known->Entry.Draining) {
    m_ExpiredTargets.push_back({Id, steadyNow() + ExpiredTargetRetention});
    return;
  }
  m_LeavingTargets[{Known->Hash, Known->Entry.Sequence}] = steadyNow();
  m_Targets.remove(Id, true);
}

void Gateway::updateDaemonCount(TimePoint Now) {
  const auto Daemons = m_Peers.daemonCount(Now);
  m_RetryBudget.setDaemonCount(Daemons);
  m_Quotas.setDaemonCount(Daemons);
  m_Pool.setDaemonCount(Daemons);
  m_Metrics.setGauge("daemons", static_cast<double>(Daemons));
  if (OnDaemonCount)
    OnDaemonCount(Daemons);
}

void Gateway::onPeerUpdated(const std::string &Vm,
                            const PeerEndpoint &Address) {
  if (Vm == m_Settings.Vm)
    return;
  m_Peers.markListed(Vm, Address);
  m_Origins.addDaemon(Vm, Address.Domain);
  m_UnlistedHolders.erase(Vm);
  updateDaemonCount(steadyNow());
  m_Log.write("peer_listed", {{"peer", Vm}, {"ip", Address.Ip}});
}

void Gateway::onPeerRemoved(const std::string &Vm) {
  if (Vm == m_Settings.Vm)
    return;
  m_Peers.markUnlisted(Vm, steadyNow());
  m_UnlistedHolders.try_emplace(Vm, steadyNow());
  m_Log.write("peer_unlisted", {{"peer", Vm}});
}

void Gateway::onDirectoryComplete() {
  if (!std::exchange(m_DirectoryComplete, true)) {
    m_Log.write("directory_complete", {{"targets", m_Targets.size()}});
    m_VersionHistory.settleMain(m_Targets.targetsByService(), steadyNow());
    updateSettled();
  }
}

void Gateway::onDirectoryConfirmed(TimePoint Time) {
  // A call of before the suspension tells nothing of the time since.
  if (Time >= m_ResumedAt)
    m_DirectoryConfirmedAt = std::max(m_DirectoryConfirmedAt, Time);
}

void Gateway::receivePeerMessage() {
  m_PeerSocket.async_receive_from(
      asio::buffer(m_PeerBuffer), m_PeerSender,
      [this](std::error_code Error, std::size_t Size) {
        if (Error == asio::error::operation_aborted)
          return;
        const auto Now = steadyNow();
        checkSuspension(Now);
        const std::string_view Bytes(m_PeerBuffer.data(), Error ? 0 : Size);
        m_Metrics.countPeerMessage("received", Bytes.size());
        if (const auto Changes = decodeRelayedChanges(Bytes)) {
          if (OnRelayedChanges)
            OnRelayedChanges(*Changes);
          return receivePeerMessage();
        }
        if (const auto Evidence = decodeCrashEvidence(Bytes)) {
          m_CrashCauses.merge(*Evidence, Now);
          return receivePeerMessage();
        }
        if (const auto Message = decodeOriginMessage(Bytes)) {
          m_Origins.handle(*Message, Now);
          return receivePeerMessage();
        }
        if (auto Message = decodeSlotMessage(Bytes))
          handlePeerSlotMessage(std::move(*Message), Now);
        auto Report = decodeReport(Bytes);
        if (Report && Report->Vm != m_Settings.Vm) {
          applyLeavingTargets(*Report);
          applyRateLimits(*Report, Now);
          handleReport(std::move(*Report), Now);
        }
        receivePeerMessage();
      });
}

void Gateway::applyLeavingTargets(const PeerReport &Report) {
  const auto LogDraining = [&](const TrackedTarget &Target) {
    m_Log.write("target_draining",
                {{"target", Target.Entry.Id.Text}, {"told_by", Report.Vm}});
  };
  for (const auto &[Hash, Sequence] : Report.LeavingTargets)
    if (const auto Target = m_Targets.findByHash(Hash);
        Target && !Target->Entry.Draining &&
        Target->Entry.Sequence <= Sequence) {
      LogDraining(*Target);
      Target->Entry.Draining = true;
    }
  for (const auto Hash : Report.AnnouncedLeaving)
    if (const auto Target = m_Targets.findByHash(Hash);
        Target && Target->markAnnouncedLeaving())
      LogDraining(*Target);
}

void Gateway::handleReport(PeerReport Report, TimePoint Now) {
  // The summary of this daemon's own domain is for this daemon alone, and only
  // the delegate's view of the domain counts.
  const bool IsOwnDomain = Report.Domain == m_Settings.Domain;
  if (Report.IsDomainSummary && IsOwnDomain &&
      (!usesOwnSummary() || Report.Vm != m_RemoteBroker->Vm))
    return;
  PeerUsage Usage;
  Usage.Source = Report.IsDomainSummary ? Report.Domain.Text : Report.Vm;
  Usage.Incarnation = Report.Incarnation;
  Usage.DaemonCount = Report.DaemonCount;
  Usage.IsDomainSummary = Report.IsDomainSummary;
  Usage.Stopping = Report.Stopping;
  Usage.Usage = Report.Usage;
  const auto Standing = observePeer(Report.Vm, Report.Incarnation, Now);
  if (!m_Peers.accept(Report, Now)) {
    if (Standing == IncarnationStanding::Former)
      m_Metrics.countStaleMessage("report");
    return;
  }
  if (!Report.IsDomainSummary && IsOwnDomain && !m_RemoteBroker)
    m_LocalBroker.reconcile(Report, Now);
  if (Report.IsDomainSummary || !IsOwnDomain || !usesOwnSummary())
    m_Quotas.onPeerUsage(Usage, Now);
  if (Report.IsDomainSummary && !IsOwnDomain && !Report.Forwarded &&
      m_Peers.isDelegate(Now)) {
    Report.Forwarded = true;
    sendTo(m_Peers.ownDomainEndpoints(), encodeReport(Report));
  }
}

IncarnationStanding Gateway::observePeer(const std::string &Vm,
                                         IncarnationId Incarnation,
                                         TimePoint Now) {
  const auto Previous = m_Peers.incarnationOf(Vm);
  const auto Standing = m_Peers.observe(Vm, Incarnation, Now);
  if (Standing != IncarnationStanding::Started)
    return Standing;
  m_LocalBroker.releaseFormer(Vm, Incarnation);
  if (Previous)
    m_Log.write(
        "peer_restarted",
        {{"peer", Vm}, {"peer_inc", Incarnation}, {"before", *Previous}});
  return Standing;
}

bool Gateway::isRelaying() const {
  return !m_RemoteBroker && steadyNow() - m_BrokerSince >= RelayStartDelay &&
         m_Peers.ownDomainSize() + 1 >=
             minDaemonsForRelay(m_Settings.ChangeDeadline);
}

void Gateway::sendToDomain(std::string_view Bytes) {
  sendTo(m_Peers.ownDomainEndpoints(), Bytes);
}

void Gateway::sendTo(std::span<const PeerEndpoint> Peers,
                     std::string_view Bytes) {
  for (const auto &Peer : Peers) {
    std::error_code Error;
    const auto Address = asio::ip::make_address(Peer.Ip, Error);
    // Failures are ignored: the next report holds current data, and slot
    // requests without an answer are resent.
    if (!Error)
      m_PeerSocket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                           {Address, Peer.Port}, 0, Error);
    m_Metrics.countPeerMessage("sent", Bytes.size());
  }
}

Duration Gateway::reportPeriod() const {
  const auto Peers = m_Peers.ownDomainSize();
  return std::min<Duration>(
      MaxReportPeriod,
      BaseReportPeriod *
          std::max<std::size_t>(1, (Peers + DaemonsAtFullRate - 1) /
                                       DaemonsAtFullRate));
}

void Gateway::sendOwnDomainSummaries(const PeerReport &Summary, TimePoint Now) {
  for (const auto &[Vm, Endpoint] : m_Peers.reportingDaemons(Now)) {
    auto ForPeer = m_Peers.summaryWithout(Vm, Summary);
    ForPeer.Usage = m_Quotas.domainUsageWithout(Vm, Now);
    sendTo(std::span(&Endpoint, 1), encodeReport(ForPeer));
  }
}

void Gateway::sendReports(TimePoint Now) {
  if (Now - m_LastReportAt < reportPeriod())
    return;
  const auto Peers = m_Peers.reportReceivers(Now);
  m_LastReportAt = Now;
  PeerReport Report;
  Report.Vm = m_Settings.Vm;
  Report.Domain = m_Settings.Domain;
  Report.Incarnation = m_Settings.Incarnation;
  Report.Sequence = ++m_ReportSequence;
  Report.Stopping = m_Stopping;
  m_Peers.updateJoining(Now);
  Report.Joining = m_Peers.isJoining();
  for (const auto &[Number, Each] : m_ExchangeByNumber)
    if (const auto Reported = Each->reportedRequest())
      Report.RunningRequests.push_back(*Reported);
  Report.Loads = sumLoadsByTarget(Report.RunningRequests);
  Report.Usage = m_Quotas.usage(Now);
  Report.LeavingTargets = recentlyLeaving(m_LeavingTargets, Now);
  Report.AnnouncedLeaving = recentlyLeaving(m_AnnouncedLeaving, Now);
  std::erase_if(m_OwnRateLimitStatements, [&](const auto &Entry) {
    return Now - Entry.second.StatedAt > StatementReportPeriod;
  });
  for (const auto &[Key, Statement] : m_OwnRateLimitStatements)
    Report.RateLimits.push_back(
        {Key.Target, Statement.PerSecond, Now - Statement.StatedAt});
  Report.Delegate = m_RemoteBroker ? m_RemoteBroker->Vm : m_Settings.Vm;
  sendTo(Peers, encodeReport(Report));
  if (!m_Peers.isDelegate(Now))
    return;
  auto Summary = m_Peers.summarizeDomain(Report, Now);
  Summary.Usage = m_Quotas.domainUsage(Now);
  // The domain goes on when the daemon that sends its summary stops.
  Summary.Stopping = false;
  sendTo(m_Peers.remoteDomainEndpoints(), encodeReport(Summary));
  if (m_Peers.isDomainLarge())
    sendOwnDomainSummaries(Summary, Now);
}

void Gateway::refreshTargetLoads(TimePoint Now) {
  if (Now - m_LastRefreshAt < reportPeriod())
    return;
  m_LastRefreshAt = Now;
  updateRateLimitShares(Now);
  m_Quotas.startReportPeriod(reportPeriod());
  // If this daemon is the broker, the grants of its SlotBroker are more recent
  // than the reports of the daemons of its domain.
  auto Loads =
      m_RemoteBroker ? m_Peers.peerLoads(Now) : m_Peers.remoteDomainLoads(Now);
  if (!m_RemoteBroker)
    m_LocalBroker.addLoads(Loads);
  const auto DaemonsInDomain = m_Peers.countReachableInOwnDomain(Now) + 1;
  const auto AllDaemons = std::max(DaemonsInDomain, m_Peers.daemonCount(Now));
  for (const auto &[Name, Targets] : m_Targets.targetsByService())
    for (const auto &Target : Targets) {
      const auto Found = Loads.find(Target->Hash);
      Target->expireLoad(Now);
      Target->PeerRunning = Found == Loads.end() ? 0 : Found->second.Running;
      const bool InOwnDomain = Target->Entry.Domain == m_Settings.Domain;
      Target->Allowance =
          drawAllowance(*Target, InOwnDomain ? DaemonsInDomain : AllDaemons,
                        m_Random.uniform());
      Target->PeerPrefillTokens =
          Found == Loads.end() ? 0 : Found->second.Prefill;
    }
}

void Gateway::checkSuspension(TimePoint Now) {
  const auto Suspended = m_SuspensionDetector.check();
  if (Suspended <= Duration{0})
    return;
  m_Log.write("woken", {{"stood_still_ms", toMs(Suspended)}});
  m_ResumedAt = Now;
  m_DirectoryConfirmedAt = TimePoint{};
  m_Pool.closeIdle();
  for (const auto &[Number, Each] : m_ExchangeByNumber)
    Each->restartSilence(Now);
  m_LocalBroker.clear();
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
  checkSuspension(Now);
  updateBroker(Now);
  if (std::exchange(m_UsedOwnSummary, usesOwnSummary()) != usesOwnSummary())
    m_Quotas.forgetPeers();
  sendReports(Now);
  updateCrashCauses(Now);
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
    std::vector<std::shared_ptr<http::CallerConnection>> Callers;
    for (const auto &[Key, Caller] : m_Callers)
      Callers.push_back(Caller);
    for (const auto &Caller : Callers)
      Caller->checkTimeouts(Now);
    m_Pool.prune(Now);
    updateVersions(Now);
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
    m_Metrics.setGauge("body_bytes",
                       static_cast<double>(m_Buffers.bodyBytes()));
    m_Metrics.setGauge("answer_bytes",
                       static_cast<double>(m_Buffers.answerBytes()));
    m_Metrics.setGauge("ticks", static_cast<double>(m_TickCount));
    m_Metrics.setGauge("target_connections_opened",
                       static_cast<double>(m_Pool.opened()));
    m_Metrics.setGauge("target_connections_reused",
                       static_cast<double>(m_Pool.reused()));
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
      m_LocalBroker.waitingCount() > 0 ||
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

void Gateway::stop() {
  if (m_Stopping)
    return;
  m_Stopping = true;
  m_StopStartedAt = steadyNow();
  m_Peers.markStopping();
  m_LastReportAt = TimePoint{};
  m_Log.write("stop", {{"running", m_ExchangeByNumber.size()},
                       {"connections", m_Callers.size()}});
  m_Log.flush();
}

void Gateway::continueStop(TimePoint Now) {
  const auto Elapsed = Now - m_StopStartedAt;
  // Step 1. Serve as before until the load balancer uses other daemons.
  if (Elapsed < LoadBalancerDelay)
    return;

  // Step 2. Accept no new connections, and close those without a request.
  if (!m_ListenerClosed) {
    m_ListenerClosed = true;
    acceptPending();
    std::error_code Ignored; // The process ends in any case.
    m_Acceptor.close(Ignored);
  }
  std::vector<std::shared_ptr<http::CallerConnection>> Callers;
  for (const auto &[Key, Caller] : m_Callers)
    Callers.push_back(Caller);
  for (const auto &Caller : Callers)
    Caller->closeIfIdle();

  // Step 3. At the end of the shutdown grace, terminate the requests that
  // still run.
  if (Elapsed > m_Settings.ShutdownGrace - TerminationMargin) {
    std::vector<ExchangePtr> Running;
    for (const auto &[Number, Each] : m_ExchangeByNumber)
      Running.push_back(Each);
    for (const auto &Each : Running)
      Each->terminate();
  }

  // Step 4. Stop the loop when no request is left, and no connection is left
  // or the shutdown grace is over.
  if (m_ExchangeByNumber.empty() &&
      (m_Callers.empty() ||
       Elapsed > m_Settings.ShutdownGrace - TerminationMargin)) {
    m_Log.write("stopped", {{"after_ms", ageMs(m_StopStartedAt, Now)}});
    m_Log.flush();
    m_Loop.stop();
  }
}

} // namespace mangodeck
