#include "mangodeck/gateway/gateway.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <utility>

namespace mangodeck {

namespace {

/// Period of time limit checks; a tenth of the shortest pause that matters.
constexpr Duration TickPeriod = 25ms;
/// Period of reports to the other daemons, for a few daemons; it grows with
/// their number, so that what a daemon sends and receives does not.
constexpr Duration ReportPeriod = 100ms;
constexpr std::size_t DaemonsAtFullRate = 10;
/// Period of everything that is not urgent.
constexpr Duration SlowPeriod = 250ms;
/// How long a leaving target is told to the other daemons.
constexpr Duration LeavingMemory = 5s;
/// A registration that lapsed with the store is kept this long before its
/// target counts as gone; within the bound for targets that leave.
constexpr Duration LapseWait = 1700ms;
/// After SIGTERM connections are still accepted this long: the balancer needs
/// two failed checks, a second apart, to turn elsewhere.
constexpr Duration BalancerLag = 2500ms;
/// When a request that comes on a kept connection while the daemon stops is
/// asked to come back: at once, by way of another daemon.
constexpr Duration ComeBackElsewhere = 20ms;
/// Time before the kill at which what still runs is cut off.
constexpr Duration StopMargin = 250ms;
/// Part of the memory that bodies of requests may take.
constexpr double BodyPart = 0.25;
/// An ask for a slot is sent again if nothing came back for this long: some
/// hundred times the way to the broker and back.
constexpr Duration AskAgain = 40ms;
/// An ask that waits at the broker is repeated this often, since its verdict
/// may be lost.
constexpr Duration AskWhileWaiting = 150ms;
/// Silence of the broker after which this daemon decides alone, and for how
/// long it does.
constexpr Duration BrokerPatience = 90ms;
constexpr Duration DecideAlone = 500ms;
/// Bounds of the time after which a refused caller is asked to come back.
constexpr Duration LeastComeBack = 300ms;
constexpr Duration MostComeBack = 4s;
/// Part of the remaining time that callers wait at most.
constexpr double ComeBackPart = 0.3;
/// Bytes of a rejected request's first line that are logged; the fields may
/// hold keys.
constexpr std::size_t MaxLoggedLine = 120;
/// Connections waiting at the listener.
constexpr int ListenBacklog = 512;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

} // namespace

Gateway::Gateway(asio::io_context &Loop, GatewaySettings Settings,
                 const HeaderNames &Names, EventLog &Log,
                 GatewayMetrics &Metrics, RandomSource &Random)
    : m_Loop(Loop), m_Settings(std::move(Settings)), m_Names(Names), m_Log(Log),
      m_Metrics(Metrics), m_Random(Random), m_Acceptor(Loop),
      m_ReadyAcceptor(Loop), m_MetricsAcceptor(Loop), m_PeerSocket(Loop),
      m_Timer(Loop), m_Pool(Loop.get_executor()),
      m_Budget(m_Settings.RetryLimits), m_Quotas(Random),
      m_Peers(m_Settings.Vm, m_Settings.Domain),
      m_Broker(m_Settings.Domain, m_Targets, *this) {}

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
    acceptReady(m_MetricsAcceptor);
  const auto Address = asio::ip::make_address(m_Settings.Ip, Error);
  m_PeerSocket.open(asio::ip::udp::v4(), Error);
  if (!Error)
    m_PeerSocket.bind({Address, m_Settings.PeerPort}, Error);
  if (Error)
    return Error;
  m_PeerSocket.non_blocking(true, Error);
  accept();
  acceptReady(m_ReadyAcceptor);
  receiveReport();
  tick();
  m_Log.write("start", {{"domain", m_Settings.Domain.Text},
                        {"callers", m_Settings.CallerPort},
                        {"peers", m_Settings.PeerPort},
                        {"grace_ms", toMs(m_Settings.ShutdownGrace)}});
  return {};
}

bool Gateway::isReady() const {
  return m_Complete && m_Plan && !m_Stopping && m_Targets.size() > 0;
}

void Gateway::accept() {
  m_Acceptor.async_accept([this](std::error_code Error,
                                 asio::ip::tcp::socket Socket) {
    if (Error == asio::error::operation_aborted)
      return;
    if (!Error) {
      http::CallerBounds Bounds;
      if (m_Plan) {
        const auto &Limits = m_Plan->Limits;
        Bounds.MaxHeadBytes = Limits.MaxHeadBytes;
        Bounds.MaxBodyBytes = Limits.MaxBodyBytes;
        Bounds.HeadTimeout = Limits.HeadTimeout;
        Bounds.IdleTimeout = Limits.IdleTimeout;
      }
      auto New = std::make_shared<http::CallerConnection>(
          std::move(Socket), static_cast<http::CallerHandler &>(*this), Bounds);
      m_Callers.emplace(New.get(), New);
      New->start();
    }
    accept();
  });
}

void Gateway::acceptReady(asio::ip::tcp::acceptor &Acceptor) {
  Acceptor.async_accept([this, &Acceptor](std::error_code Error,
                                          asio::ip::tcp::socket Socket) {
    if (Error == asio::error::operation_aborted)
      return;
    if (!Error)
      serveReady(std::make_shared<asio::ip::tcp::socket>(std::move(Socket)));
    acceptReady(Acceptor);
  });
}

void Gateway::serveReady(std::shared_ptr<asio::ip::tcp::socket> Socket) {
  struct Head : http::MessageSink {
    void onHead() override {}
    void onBody(std::string_view) override {}
  };
  struct Session {
    Head Sink;
    http::RequestParser Parser{Sink, 8192, 0};
    std::array<char, 2048> Buffer;
    std::string Reply;
  };
  auto State = std::make_shared<Session>();
  // The handler hands itself on to the next read.
  auto Read = std::make_shared<std::function<void()>>();
  *Read = [this, Socket, State, Weak = std::weak_ptr(Read)] {
    const auto Self = Weak.lock();
    Socket->async_read_some(
        asio::buffer(State->Buffer),
        [this, Socket, State, Self](std::error_code Error, std::size_t Size) {
          if (Error)
            return;
          State->Parser.feed({State->Buffer.data(), Size});
          if (State->Parser.fault() != http::ParseFault::None)
            return;
          if (!State->Parser.isComplete())
            return (*Self)();
          const auto &Target = State->Parser.head().Target;
          const bool Metrics = Target == m_Settings.MetricsPath;
          const bool Known = Metrics || Target == m_Settings.ReadyPath;
          const auto Body = Metrics ? m_Metrics.serialize() : std::string();
          http::ResponseHead Answer;
          Answer.Status = !Known ? 404 : Metrics || isReady() ? 200 : 503;
          if (Metrics)
            Answer.Fields.add("Content-Type", "text/plain; version=0.0.4");
          Answer.Fields.add("Content-Length", std::to_string(Body.size()));
          State->Reply = http::serialize(Answer) + Body;
          State->Parser.reset();
          asio::async_write(
              *Socket, asio::buffer(State->Reply),
              [Socket, State, Self](std::error_code Failure, std::size_t) {
                if (!Failure)
                  (*Self)();
              });
        });
  };
  (*Read)();
}

void Gateway::answer(http::CallerConnection &Connection, int Status,
                     std::string_view Reason,
                     std::optional<Duration> ComeBack) {
  http::HeaderList Fields;
  if (ComeBack)
    Fields.add(m_Names.RetryAfter, fmt::format("{:.2f}", toSeconds(*ComeBack)));
  Fields.add("Content-Type", "text/plain");
  Connection.sendAnswer(Status, std::move(Fields), Reason);
  m_Metrics.countRequest("none", std::to_string(Status));
}

ServiceName Gateway::pickService(const Route &Matched) {
  double Total = 0;
  for (const auto &Share : Matched.Shares)
    Total += Share.Weight;
  double Drawn = m_Random.uniform() * Total;
  for (const auto &Share : Matched.Shares) {
    Drawn -= Share.Weight;
    if (Drawn < 0)
      return Share.Service;
  }
  return Matched.Shares.empty() ? ServiceName() : Matched.Shares.back().Service;
}

void Gateway::onRequest(http::CallerConnection &Connection,
                        http::Request &&Message, TimePoint FirstByte) {
  const auto Now = steadyNow();
  const auto Facts = readFacts(Message, m_Names);
  const auto Refuse = [&](int Status, std::string_view Reason,
                          std::optional<Duration> ComeBack) {
    m_Log.write("refused", {{"id", Facts.AttemptId},
                            {"status", Status},
                            {"reason", Reason},
                            {"path", Message.Head.Target},
                            {"plan", m_Plan ? m_Plan->Version : 0}});
    answer(Connection, Status, Reason, ComeBack);
  };
  // Step 1. Without a plan nothing is known to be wrong with a request.
  if (!m_Plan)
    return Refuse(503, "no configuration yet", 1s);

  // Step 2. Find its route.
  const auto *Matched =
      m_Plan->findRoute(Message.Head.Fields.get("Host"), Message.Head.Target);
  if (!Matched)
    return Refuse(404, "no such route", std::nullopt);

  // Step 3. Find its customer.
  const PlannedCustomer *Customer = nullptr;
  if (!m_Plan->Customers.empty() && !Matched->OpenToAll) {
    Customer = m_Plan->findCustomerByKey(Facts.Key);
    if (!Customer)
      return Refuse(401, "unknown key", std::nullopt);
  }

  // Step 4. A request that comes while the daemon leaves might be cut off.
  if (m_Stopping && Now - m_StopSince > BalancerLag)
    return Refuse(503, "stopping", ComeBackElsewhere);

  // Step 5. Refuse what crashes the targets that run it.
  if (m_Crashes.isRefused(Facts.Fingerprint, Now))
    return Refuse(503, "crashes targets", MostComeBack);

  // Step 6. Book it against its customer's limit.
  if (Customer) {
    const auto Wait =
        m_Quotas.take(Customer->Name, costOf(Facts, *Customer), Now);
    if (Wait) {
      m_Log.write("over_limit", {{"id", Facts.AttemptId},
                                 {"customer", Customer->Name.Text},
                                 {"cost", costOf(Facts, *Customer)},
                                 {"limit_per_s", Customer->PerSecond},
                                 {"reach", m_Quotas.reach(Customer->Name, Now)},
                                 {"wait_ms", toMs(*Wait)}});
      return Refuse(429, "over the customer's limit",
                    std::clamp<Duration>(*Wait, LeastComeBack, MostComeBack));
    }
  }

  // Step 7. Admit it to its service.
  const auto Service = pickService(*Matched);
  m_Budget.noteRequest(Service, Now);
  auto Caller = m_Callers.at(&Connection);
  ExchangeParts Parts{m_Pool, m_Budget, m_Log, m_Metrics, m_Names, *this};
  m_BufferedBytes += Message.Body.size();
  auto New = std::make_shared<Exchange>(
      Parts, m_NextNumber++, std::move(Caller), std::move(Message), Facts,
      m_Plan, *Matched, Customer, Service, FirstByte);
  m_Active[&Connection] = New;
  m_ByNumber[New->number()] = New;
  admit(New, Now);
}

void Gateway::admit(const ExchangePtr &New, TimePoint Now) {
  // Step 1. The broker decides, if there is one.
  if (isBrokerHeard(Now)) {
    pushTicket(New);
    return askForSlot(New, true, Now);
  }

  // Step 2. Start it at once if nothing waits that goes before it.
  auto &State = m_Services[New->service().Text];
  if (State.Queue.countAhead(New->rank(), Now) == 0 &&
      tryDispatch(New, false, Now))
    return;

  // Step 3. Refuse it at once if its turn would come too late.
  const auto Ahead = State.Queue.countAhead(New->rank(), Now) + 1;
  if (State.Rate.timeFor(Ahead, Now) > New->latestStart() - Now)
    return New->refuse(503, "no slot within the latency target",
                       comeBackAfter(*New));
  pushTicket(New);
}

void Gateway::waitForSlot(const ExchangePtr &Waiting) {
  const auto Now = steadyNow();
  pushTicket(Waiting);
  if (isBrokerHeard(Now))
    askForSlot(Waiting, false, Now);
  else
    schedulePump(Waiting->service());
}

void Gateway::pushTicket(const ExchangePtr &Waiting) {
  const auto Now = steadyNow();
  Waiting->setWaiting();
  QueuedTicket Ticket;
  Ticket.Number = Waiting->number();
  Ticket.Rank = Waiting->hasStreamed() ? RequestRank() : Waiting->rank();
  Ticket.StartBy = Waiting->latestStart();
  Ticket.GiveUp = Waiting->latestWait();
  if (Ticket.StartBy < Now && Waiting->hasStreamed())
    Ticket.StartBy = Ticket.GiveUp;
  m_Services[Waiting->service().Text].Queue.push(Ticket);
}

void Gateway::schedulePump(const ServiceName &Service) {
  const bool Scheduled = !m_ToPump.empty();
  if (std::find(m_ToPump.begin(), m_ToPump.end(), Service) == m_ToPump.end())
    m_ToPump.push_back(Service);
  if (!Scheduled)
    asio::post(m_Loop, [this] {
      const auto Services = std::exchange(m_ToPump, {});
      for (const auto &Each : Services)
        pump(Each);
    });
}

bool Gateway::tryDispatch(const ExchangePtr &Waiting, bool ElsewhereOnly,
                          TimePoint Now) {
  ChoiceInput Input;
  Input.Work = Waiting->work();
  Input.Home = m_Settings.Domain;
  Input.TimeToTarget = Waiting->latencyDeadline() - Now;
  Input.TimeToEnd = Waiting->deadline() - Now;
  Input.GapTarget = Waiting->route().GapTarget;
  Input.Excluded = Waiting->triedTargets();
  Input.ElsewhereOnly = ElsewhereOnly;
  const auto Chosen =
      chooseTarget(m_Targets.of(Waiting->service()), Input, Now);
  if (!Chosen || (ElsewhereOnly && !Chosen->InTime))
    return false;
  m_Services[Waiting->service().Text].Rate.note(Now);
  m_Metrics.observeWait(Waiting->route().Name, Now - Waiting->arrival());
  Waiting->dispatch(*Chosen, Now);
  return true;
}

void Gateway::pump(const ServiceName &Service) {
  const auto Now = steadyNow();
  m_Broker.pump(Service, Now);
  auto &State = m_Services[Service.Text];
  // Step 1. Give up what waited too long.
  for (const auto &Ticket : State.Queue.takeExpired(Now)) {
    const auto Found = m_ByNumber.find(Ticket.Number);
    if (Found == m_ByNumber.end())
      continue;
    const auto Expired = Found->second;
    withdraw(Ticket.Number, Now);
    if (Expired->hasStreamed())
      Expired->cutOff();
    else
      Expired->refuse(503, "no slot in time", comeBackAfter(*Expired));
  }

  // Step 2. Start what can start, in order; one that fits nowhere does not
  // hold up the others.
  std::set<TicketNumber> Skipped;
  for (const auto &[Number, Ask] : m_Asks)
    Skipped.insert(Number);
  while (const auto Next = State.Queue.next(Now, Skipped)) {
    const auto Found = m_ByNumber.find(Next->Number);
    if (Found == m_ByNumber.end()) {
      State.Queue.remove(Next->Number);
      continue;
    }
    const auto Waiting = Found->second;
    if (roomOf(m_Targets.of(Service), Now).FreeSlots == 0)
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
  const bool Waits = Found != m_Services.end() && !Found->second.Queue.empty();
  if (Waits || m_Broker.waiting() > 0)
    schedulePump(Service);
}

void Gateway::onFirstEvent(const Exchange &Running) {
  const auto Run = Running.run();
  if (!Run || !m_RemoteBroker)
    return;
  SlotNote Note;
  Note.Vm = m_Settings.Vm;
  Note.Number = Run->Number;
  Note.What = SlotNote::Kind::Started;
  Note.Target = Run->Target;
  tellBroker(Note, steadyNow());
}

void Gateway::onTargetReleased(const Exchange &Left, const SlotNote &Use) {
  const auto Target = m_Targets.findByHash(Use.Target);
  if (m_RemoteBroker && Target && Target->Entry.Domain == m_Settings.Domain) {
    auto Note = Use;
    Note.Vm = m_Settings.Vm;
    tellBroker(Note, steadyNow());
  }
  onSlotFreed(Left.service());
}

void Gateway::updateBroker(TimePoint Now) {
  auto Current = m_Peers.delegate(Now);
  if (Current == m_RemoteBroker)
    return;
  m_Log.write("broker_changed",
              {{"broker", Current ? Current->Vm : m_Settings.Vm},
               {"before", m_RemoteBroker ? m_RemoteBroker->Vm : m_Settings.Vm},
               {"waiting", m_Asks.size()}});
  m_RemoteBroker = std::move(Current);
  m_Broker.clear();
  m_BrokerSilentUntil = TimePoint{};
  for (auto &[Number, Ask] : m_Asks) {
    Ask.Answered = false;
    Ask.FirstSent = Now;
    Ask.LastSent = TimePoint{};
  }
  // The new broker learns from it what runs.
  m_LastReport = TimePoint{};
}

void Gateway::askForSlot(const ExchangePtr &Waiting, bool MayRefuse,
                         TimePoint Now) {
  auto [At, New] = m_Asks.try_emplace(Waiting->number());
  if (New) {
    At->second.FirstSent = Now;
    At->second.MayRefuse = MayRefuse;
  }
  At->second.LastSent = Now;
  SlotAsk Ask;
  Ask.Vm = m_Settings.Vm;
  Ask.Number = Waiting->number();
  Ask.Service = Waiting->service();
  Ask.Rank = Waiting->hasStreamed() ? RequestRank() : Waiting->rank();
  Ask.Work = Waiting->work();
  Ask.ToTarget = Waiting->latencyDeadline() - Now;
  Ask.ToEnd = Waiting->deadline() - Now;
  Ask.ToStart = (Waiting->hasStreamed() ? Waiting->latestWait()
                                        : Waiting->latestStart()) -
                Now;
  Ask.ToGiveUp = Waiting->latestWait() - Now;
  Ask.GapTarget = Waiting->route().GapTarget;
  Ask.MayRefuse = At->second.MayRefuse;
  for (const auto &Tried : Waiting->triedTargets())
    Ask.Excluded.push_back(Tried->Hash);
  for (const auto &Target : m_Targets.of(Waiting->service()))
    if (Target->Entry.Domain == m_Settings.Domain && !Target->isUsable(Now))
      Ask.Excluded.push_back(Target->Hash);
  tellBroker(Ask, Now);
}

void Gateway::tellBroker(const SlotMessage &Message, TimePoint Now) {
  if (!m_RemoteBroker)
    return acceptSlotMessage(Message, Now);
  if (m_RemoteBroker->Endpoint)
    sendTo(std::span(&*m_RemoteBroker->Endpoint, 1),
           encodeSlotMessage(Message));
}

void Gateway::acceptSlotMessage(const SlotMessage &Message, TimePoint Now) {
  if (const auto *Ask = std::get_if<SlotAsk>(&Message)) {
    // Daemons differ for a moment on who the broker is; this one serves.
    return m_Broker.ask(*Ask, Now);
  }
  if (const auto *Verdict = std::get_if<SlotVerdict>(&Message))
    return onOwnVerdict(*Verdict);
  const auto &Note = std::get<SlotNote>(Message);
  m_Broker.note(Note, Now);
  if (Note.What != SlotNote::Kind::Started)
    if (const auto Target = m_Targets.findByHash(Note.Target))
      onSlotFreed(Target->Entry.Service);
}

void Gateway::onVerdict(const std::string &Vm, const SlotVerdict &Verdict) {
  // The broker's loop goes on before an exchange acts on its verdict.
  if (Vm == m_Settings.Vm)
    return asio::post(m_Loop, [this, Verdict] { onOwnVerdict(Verdict); });
  if (const auto Address = m_Peers.endpointOf(Vm))
    sendTo(std::span(&*Address, 1), encodeSlotMessage(Verdict));
}

void Gateway::onOwnVerdict(const SlotVerdict &Verdict) {
  const auto Now = steadyNow();
  const auto Found = m_ByNumber.find(Verdict.Number);
  const auto Asked = m_Asks.find(Verdict.Number);
  // Step 1. Return a slot that is no longer needed.
  if (Found == m_ByNumber.end() || Asked == m_Asks.end() ||
      !Found->second->isWaiting()) {
    const auto Run =
        Found == m_ByNumber.end() ? std::nullopt : Found->second->run();
    const bool InUse = Run && Run->Target == Verdict.Target;
    if (Verdict.Answer == SlotVerdict::Kind::Granted && !InUse)
      withdraw(Verdict.Number, Now);
    return;
  }
  const auto Waiting = Found->second;
  auto &State = m_Services[Waiting->service().Text];
  auto &Queue = State.Queue;
  Asked->second.Answered = true;
  if (Verdict.Answer != SlotVerdict::Kind::Granted)
    State.ToldBacklog = Verdict.Backlog;

  // Step 2. Use the slot, unless this daemon knows the target as unusable.
  if (Verdict.Answer == SlotVerdict::Kind::Granted) {
    const auto Target = m_Targets.findByHash(Verdict.Target);
    if (!Target || !Target->isUsable(Now)) {
      withdraw(Verdict.Number, Now);
      return schedulePump(Waiting->service());
    }
    m_Asks.erase(Asked);
    Queue.remove(Verdict.Number);
    if (!m_RemoteBroker) // From here on it counts as this daemon's own load.
      withdraw(Verdict.Number, Now);
    m_Metrics.observeWait(Waiting->route().Name, Now - Waiting->arrival());
    const auto First = expectedFirstEvent(*Target, Waiting->work());
    return Waiting->dispatch(
        {Target, First, First <= Waiting->latencyDeadline() - Now}, Now);
  }

  // Step 3. Another failure domain may have a slot that meets the target.
  Queue.remove(Verdict.Number);
  if (tryDispatch(Waiting, true, Now))
    return withdraw(Verdict.Number, Now);
  if (Verdict.Answer == SlotVerdict::Kind::Waits)
    return pushTicket(Waiting);
  m_Asks.erase(Asked);
  Waiting->refuse(503, "no slot within the latency target",
                  comeBackAfter(*Waiting));
}

void Gateway::withdraw(TicketNumber Number, TimePoint Now) {
  m_Asks.erase(Number);
  SlotNote Note;
  Note.Vm = m_Settings.Vm;
  Note.Number = Number;
  Note.What = SlotNote::Kind::Withdrawn;
  tellBroker(Note, Now);
}

void Gateway::checkAsks(TimePoint Now) {
  std::vector<ExchangePtr> Again;
  for (const auto &[Number, Ask] : m_Asks) {
    const auto Found = m_ByNumber.find(Number);
    if (Found == m_ByNumber.end())
      continue;
    // Step 1. Decide alone while the broker is silent.
    if (!Ask.Answered && Now - Ask.FirstSent > BrokerPatience) {
      m_Log.write("broker_silent",
                  {{"broker", m_RemoteBroker ? m_RemoteBroker->Vm : ""},
                   {"waiting", m_Asks.size()}});
      m_BrokerSilentUntil = Now + DecideAlone;
      m_Asks.clear(); // The tickets stay in this daemon's queues.
      return;
    }
    // Step 2. Repeat what may be lost.
    if (Now - Ask.LastSent > (Ask.Answered ? AskWhileWaiting : AskAgain))
      Again.push_back(Found->second);
  }
  for (const auto &Each : Again)
    askForSlot(Each, false, Now);
}

Duration Gateway::comeBackAfter(const Exchange &Refused) {
  const auto Now = steadyNow();
  const auto &State = m_Services[Refused.service().Text];
  // The queue's length says when a slot is likely; the draw spreads callers
  // that were refused together.
  const auto Rate = std::max(1.0, State.Rate.perSecond(Now));
  const auto Backlog =
      isBrokerHeard(Now)
          ? State.ToldBacklog
          : fromSeconds(static_cast<double>(State.Queue.size()) / Rate);
  const auto Base = std::max<Duration>(Backlog, LeastComeBack);
  const auto Spread = fromSeconds(toSeconds(MostComeBack) * m_Random.uniform());
  const auto Left = fromSeconds(
      ComeBackPart * std::max(0.0, toSeconds(Refused.deadline() - Now)));
  return std::max<Duration>(Duration{10ms},
                            std::min({Base + Spread, MostComeBack, Left}));
}

void Gateway::onExchangeOver(Exchange &Ended, bool Ran) {
  if (!Ran && Ended.customer())
    m_Quotas.giveBack(Ended.customer()->Name,
                      costOf(Ended.facts(), *Ended.customer()));
  m_Services[Ended.service().Text].Queue.remove(Ended.number());
  if (m_Asks.contains(Ended.number()))
    withdraw(Ended.number(), steadyNow());
  m_BufferedBytes -= Ended.bodyBytes();
  const auto Found = m_ByNumber.find(Ended.number());
  if (Found == m_ByNumber.end())
    return;
  // Its own call stack still uses it.
  asio::post(m_Loop, [Kept = Found->second] {});
  std::erase_if(m_Active, [&](const auto &Entry) {
    return Entry.second == Found->second;
  });
  m_ByNumber.erase(Found);
}

void Gateway::onBrokenOff(const TargetPtr &Target, std::uint64_t Fingerprint) {
  // A target that still listens has lost one answer; one that does not has
  // crashed with all that it ran.
  m_Pool.probe(Target, [this, Target, Fingerprint](bool Listens) {
    if (Listens)
      return;
    const auto Now = steadyNow();
    Target->noteFailure(Now);
    if (m_Crashes.note({Fingerprint, Target->Hash}, Now))
      m_Log.write("crash_mark",
                  {{"target", Target->Entry.Id.Text},
                   {"fingerprint", Fingerprint},
                   {"refused", m_Crashes.isRefused(Fingerprint, Now)}});
  });
}

void Gateway::onCallerLeft(http::CallerConnection &Connection) {
  const auto Found = m_Active.find(&Connection);
  if (Found == m_Active.end())
    return;
  const auto Gone = Found->second;
  Gone->callerLeft();
}

void Gateway::onRejected(int Status, std::string_view Start) {
  m_Log.write("caller_rejected",
              {{"status", Status},
               {"line", std::string(Start.substr(
                            0, std::min(Start.find('\r'), MaxLoggedLine)))}});
  m_Metrics.countRequest("none", std::to_string(Status));
}

void Gateway::onClosed(http::CallerConnection &Connection) {
  const auto Found = m_Callers.find(&Connection);
  if (Found == m_Callers.end())
    return;
  asio::post(m_Loop, [Kept = Found->second] {});
  m_Callers.erase(Found);
}

bool Gateway::mayBuffer(std::size_t Bytes) const {
  return static_cast<double>(m_BufferedBytes + Bytes) <
         BodyPart * static_cast<double>(m_Settings.MemoryLimitBytes);
}

void Gateway::onPlan(RoutePlanPtr Plan) {
  if (m_Plan && Plan->Version <= m_Plan->Version)
    return;
  m_Log.write("plan_in_force", {{"version", Plan->Version},
                                {"before", m_Plan ? m_Plan->Version : 0},
                                {"routes", Plan->Routes.size()},
                                {"customers", Plan->Customers.size()}});
  m_Plan = std::move(Plan);
  m_Quotas.configure(*m_Plan, steadyNow());
  m_Pool.configure(*m_Plan);
}

void Gateway::onTargetUpdated(const TargetEntry &Entry) {
  const auto Before = m_Targets.find(Entry.Id);
  const bool WasDraining = Before && Before->Entry.Draining;
  std::erase_if(m_Lapsed,
                [&](const auto &Lapsed) { return Lapsed.Id == Entry.Id; });
  const auto State = m_Targets.update(Entry);
  if (State == Before && WasDraining == Entry.Draining)
    return;
  m_Log.write(Entry.Draining ? "target_draining" : "target_ready",
              {{"target", Entry.Id.Text},
               {"service", Entry.Service.Text},
               {"domain", Entry.Domain.Text},
               {"slots", Entry.Slots}});
  if (Entry.Draining)
    m_Leaving[State->Hash] = steadyNow();
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
    m_Lapsed.push_back({Id, steadyNow() + LapseWait});
    return;
  }
  m_Leaving[Known->Hash] = steadyNow();
  m_Targets.remove(Id);
}

void Gateway::updateDaemonCount(TimePoint Now) {
  const auto Daemons = m_Peers.daemonCount(Now);
  m_Budget.setDaemons(Daemons);
  m_Quotas.setDaemons(Daemons);
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
  updateDaemonCount(steadyNow());
  m_Log.write("peer_listed", {{"peer", Vm}, {"ip", Address.Ip}});
}

void Gateway::onPeerRemoved(const std::string &Vm) {
  if (Vm == m_Settings.Vm)
    return;
  m_Peers.markUnlisted(Vm, steadyNow());
  m_Log.write("peer_unlisted", {{"peer", Vm}});
}

void Gateway::onDirectoryComplete() {
  if (!m_Complete)
    m_Log.write("directory_complete", {{"targets", m_Targets.size()}});
  m_Complete = true;
}

void Gateway::receiveReport() {
  m_PeerSocket.async_receive_from(
      asio::buffer(m_ReportBuffer), m_ReportSender,
      [this](std::error_code Error, std::size_t Size) {
        if (Error == asio::error::operation_aborted)
          return;
        const auto Now = steadyNow();
        const std::string_view Bytes(m_ReportBuffer.data(), Error ? 0 : Size);
        if (const auto Message = decodeSlotMessage(Bytes))
          acceptSlotMessage(*Message, Now);
        auto Report = decodeReport(Bytes);
        if (Report && Report->Vm != m_Settings.Vm) {
          for (const auto &Mark : Report->CrashMarks)
            m_Crashes.note(Mark, Now);
          for (const auto Hash : Report->LeavingTargets)
            if (const auto Target = m_Targets.findByHash(Hash);
                Target && !Target->Entry.Draining) {
              m_Log.write("target_draining", {{"target", Target->Entry.Id.Text},
                                              {"told_by", Report->Vm}});
              Target->Entry.Draining = true;
            }
          acceptReport(std::move(*Report), Now);
        }
        receiveReport();
      });
}

void Gateway::acceptReport(PeerReport Report, TimePoint Now) {
  // Digests of this domain come back only if a daemon was moved.
  if (Report.IsDomainSummary && Report.Domain == m_Settings.Domain)
    return;
  PeerUse Told;
  Told.Peer = Report.IsDomainSummary ? Report.Domain.Text : Report.Vm;
  Told.Incarnation = Report.Incarnation;
  Told.Daemons = Report.DaemonCount;
  Told.IsDigest = Report.IsDomainSummary;
  Told.Stopping = Report.Stopping;
  Told.Use = Report.Usage;
  if (!m_Peers.accept(Report, Now))
    return;
  if (!Report.IsDomainSummary && Report.Domain == m_Settings.Domain &&
      !m_RemoteBroker)
    m_Broker.reconcile(Report, Now);
  m_Quotas.onPeerUse(Told, Now);
  if (Report.IsDomainSummary && !Report.Forwarded && m_Peers.isDelegate(Now)) {
    Report.Forwarded = true;
    sendTo(m_Peers.ownDomainEndpoints(), encodeReport(Report));
  }
}

void Gateway::sendTo(std::span<const PeerEndpoint> Peers,
                     std::string_view Bytes) {
  for (const auto &Peer : Peers) {
    std::error_code Error;
    const auto Address = asio::ip::make_address(Peer.Ip, Error);
    // A report that cannot be sent is made up for by the next.
    if (!Error)
      m_PeerSocket.send_to(asio::buffer(Bytes.data(), Bytes.size()),
                           {Address, Peer.Port}, 0, Error);
  }
}

Duration Gateway::reportPeriod() const {
  const auto Peers = m_Peers.ownDomainEndpoints().size();
  return ReportPeriod *
         std::max<std::size_t>(1, (Peers + DaemonsAtFullRate - 1) /
                                      DaemonsAtFullRate);
}

void Gateway::sendReports(TimePoint Now) {
  const auto Peers = m_Peers.ownDomainEndpoints();
  if (Now - m_LastReport < reportPeriod())
    return;
  m_LastReport = Now;
  PeerReport Report;
  Report.Vm = m_Settings.Vm;
  Report.Domain = m_Settings.Domain;
  Report.Incarnation = m_Settings.Incarnation;
  Report.Sequence = ++m_ReportSequence;
  Report.Stopping = m_Stopping;
  for (const auto &[Number, Each] : m_ByNumber)
    if (const auto Run = Each->run())
      Report.RunningRequests.push_back(*Run);
  Report.Loads = sumLoadsByTarget(Report.RunningRequests);
  Report.Usage = m_Quotas.use(Now);
  Report.CrashMarks = m_Crashes.recent(Now);
  std::erase_if(m_Leaving, [&](const auto &Entry) {
    return Now - Entry.second > LeavingMemory;
  });
  for (const auto &[Hash, Since] : m_Leaving)
    Report.LeavingTargets.push_back(Hash);
  sendTo(Peers, encodeReport(Report));
  if (!m_Peers.isDelegate(Now))
    return;
  auto Digest = m_Peers.summarizeDomain(Report, Now);
  Digest.Usage = m_Quotas.domainUse(Now);
  // A domain does not stop with the daemon that speaks for it.
  Digest.Stopping = false;
  sendTo(m_Peers.remoteDomainEndpoints(), encodeReport(Digest));
}

void Gateway::refreshLoads(TimePoint Now) {
  if (Now - m_LastRefresh < reportPeriod())
    return;
  m_LastRefresh = Now;
  m_Quotas.startPeriod(reportPeriod());
  // The broker knows more of its own domain's daemons than they reported.
  auto Loads =
      m_RemoteBroker ? m_Peers.peerLoads(Now) : m_Peers.remoteDomainLoads(Now);
  if (!m_RemoteBroker)
    m_Broker.addLoads(Loads);
  const auto AtHome = m_Peers.countReachableInOwnDomain(Now) + 1;
  const auto All = std::max(AtHome, m_Peers.daemonCount(Now));
  for (const auto &[Name, Targets] : m_Targets.services())
    for (const auto &Target : Targets) {
      const auto Found = Loads.find(Target->Hash);
      Target->ageLoad(Now);
      Target->PeerRunning = Found == Loads.end() ? 0 : Found->second.Running;
      const bool Home = Target->Entry.Domain == m_Settings.Domain;
      Target->Allowance =
          drawAllowance(*Target, Home ? AtHome : All, m_Random.uniform());
      Target->PeerPrefill = Found == Loads.end() ? 0 : Found->second.Prefill;
    }
}

void Gateway::tick() {
  const auto Now = steadyNow();
  if (const auto Still = m_Wake.check(); Still > Duration{0}) {
    m_Log.write("woken", {{"stood_still_ms", toMs(Still)}});
    m_Pool.closeIdle();
    m_Broker.clear();
    if (OnResumed)
      OnResumed();
  }
  updateBroker(Now);
  sendReports(Now);
  refreshLoads(Now);
  checkAsks(Now);
  std::vector<ExchangePtr> Running;
  Running.reserve(m_ByNumber.size());
  for (const auto &[Number, Each] : m_ByNumber)
    Running.push_back(Each);
  for (const auto &Each : Running)
    Each->check(Now);
  for (auto &[Name, State] : m_Services)
    if (!State.Queue.empty())
      pump(ServiceName(Name));
  m_Broker.pumpAll(Now);
  for (const auto &Lapsed : std::vector<LapsedTarget>(m_Lapsed))
    if (Lapsed.Until <= Now) {
      m_Log.write("target_dropped",
                  {{"target", Lapsed.Id.Text}, {"reason", "lapsed"}});
      m_Targets.remove(Lapsed.Id);
    }
  std::erase_if(m_Lapsed, [&](const auto &L) { return L.Until <= Now; });
  if (Now - m_LastSlowTick >= SlowPeriod) {
    m_LastSlowTick = Now;
    updateDaemonCount(Now);
    std::vector<std::shared_ptr<http::CallerConnection>> Callers;
    for (const auto &[Key, Caller] : m_Callers)
      Callers.push_back(Caller);
    for (const auto &Caller : Callers)
      Caller->checkTimeouts(Now);
    m_Pool.prune(Now);
    m_Metrics.setGauge("in_flight", static_cast<double>(m_ByNumber.size()));
    m_Metrics.setGauge("log_dropped",
                       static_cast<double>(m_Log.droppedLines()));
    m_Log.flush();
  }
  if (m_Stopping)
    stopStep(Now);
  m_Timer.expires_after(TickPeriod);
  m_Timer.async_wait([this](std::error_code Error) {
    if (!Error)
      tick();
  });
}

void Gateway::stop() {
  if (m_Stopping)
    return;
  m_Stopping = true;
  m_StopSince = steadyNow();
  m_LastReport = TimePoint{};
  m_Log.write("stop", {{"running", m_ByNumber.size()},
                       {"connections", m_Callers.size()}});
  m_Log.flush();
}

void Gateway::stopStep(TimePoint Now) {
  const auto Passed = Now - m_StopSince;
  // Step 1. Until the balancer has turned elsewhere, serve as before.
  if (Passed < BalancerLag)
    return;

  // Step 2. Take no new connections, and close those without a request.
  if (!m_IdleClosed) {
    m_IdleClosed = true;
    std::error_code Ignored; // The listener goes with the process.
    m_Acceptor.close(Ignored);
  }
  std::vector<std::shared_ptr<http::CallerConnection>> Callers;
  for (const auto &[Key, Caller] : m_Callers)
    Callers.push_back(Caller);
  for (const auto &Caller : Callers)
    Caller->closeIfIdle();

  // Step 3. At the end of the grace, cut off what still runs.
  if (Passed > m_Settings.ShutdownGrace - StopMargin) {
    std::vector<ExchangePtr> Running;
    for (const auto &[Number, Each] : m_ByNumber)
      Running.push_back(Each);
    for (const auto &Each : Running)
      Each->cutOff();
  }

  // Step 4. Leave when nothing is left to do.
  if (m_ByNumber.empty() &&
      (m_Callers.empty() || Passed > m_Settings.ShutdownGrace - StopMargin)) {
    m_Log.write("stopped", {{"after_ms", ageMs(m_StopSince, Now)}});
    m_Log.flush();
    m_Loop.stop();
  }
}

} // namespace mangodeck
