#include "spillmodel.h"

#include "mangodeck/common/random.h"
#include "mangodeck/gateway/domainoffers.h"
#include "mangodeck/gateway/peerregistry.h"
#include "mangodeck/gateway/slotbroker.h"
#include "mangodeck/gateway/spillcontrol.h"
#include "mangodeck/gateway/targetregistry.h"

#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <optional>
#include <set>

namespace mangodeck {

namespace {

constexpr std::uint32_t SlotsPerTarget = 6;
constexpr Duration SlotTime = 60ms;
constexpr Duration LocalDelay = 1ms;
constexpr Duration RemoteDelay = 3ms; ///< One way between failure domains.
constexpr Duration ReportPeriod = 100ms;
constexpr Duration TickPeriod = 25ms;
constexpr Duration SlowDaemonDelay = 30ms;
constexpr Duration LateCopyDelay = 400ms;
constexpr Duration BrokerTimeout = 90ms;
constexpr Duration LocalDecisionPeriod = 500ms;
constexpr Duration DeadTime = 3s;
constexpr std::size_t RequestBytes = 2000;
constexpr std::size_t AnswerBytes = 6000;
constexpr double WaveSeconds = 13;
/// Requests that leave are counted for the deviation in steps of this length,
/// after the brokers have learned the demand.
constexpr Duration FlowStep = 500ms;
constexpr Duration SettlingTime = 3s;
const ServiceName Service("s");

class Model;

/// A target: six requests at a time, the others wait in order.
struct ModelTarget {
  TargetEntry Entry;
  unsigned Running = 0;
  std::deque<std::function<void()>> Waiting;
};

struct ModelRequest {
  TicketNumber Number = 0;
  TimePoint Arrival{};
  TimePoint ExpectedAt{};
  TimePoint AskedAt{};
  bool Answered = false;
};

class ModelDaemon : private SlotDecisionSink {
public:
  ModelDaemon(Model &Owner, std::string Vm, unsigned Domain, bool IsSlow);
  void arrive();
  void handleDecision(const SlotDecision &Decision);
  void handleReport(PeerReport Report);
  void handleSlotMessage(const SlotMessage &Message);
  void report();
  void tick();
  void restart(bool IsAlive);

  Model &Fleet;
  std::string Name;
  unsigned DomainNumber;
  bool Slow;
  bool Alive = true;
  IncarnationId Process = 1;
  struct State;
  std::unique_ptr<State> Self;

private:
  void onSlotDecision(const std::string &Vm,
                      const SlotDecision &Decision) override;
  void sendToBroker(const SlotMessage &Message);
  bool tryElsewhere(const ModelRequest &Request,
                    std::optional<Duration> HomeWait, bool OffersOnly);
  bool dispatchAnywhere(const ModelRequest &Request);
  void dispatch(const ModelRequest &Request, const TargetPtr &Target);
  void ask(ModelRequest &Request);
  TargetChoiceInput input(const ModelRequest &Request) const;
};

class Model {
public:
  Model(const SpillScenario &Scenario, SpillPolicy Policy);
  SpillResult play();
  void after(Duration Delay, std::function<void()> Act) {
    Events.emplace(Now + Delay, std::move(Act));
  }
  FailureDomain domain(unsigned Number) const {
    return FailureDomain(fmt::format("d{}", Number));
  }
  ModelDaemon *find(const std::string &Vm);
  /// A message to a daemon, lost if that is dead when it arrives.
  void send(const std::string &To, Duration Delay,
            std::function<void(ModelDaemon &)> Act);
  void run(ModelTarget &Target, std::function<void()> OnEnd);
  void start(ModelTarget &Target, std::function<void()> OnEnd);
  void arriveNext(unsigned Domain);
  double rateOf(unsigned Domain) const;
  void finish(TimePoint Arrival);

  const SpillScenario &Plan;
  SpillPolicy Rule;
  TimePoint Now{std::chrono::hours(1)};
  TimePoint Start = Now;
  SeededRandom Random;
  std::multimap<TimePoint, std::function<void()>> Events;
  std::vector<std::unique_ptr<ModelDaemon>> Daemons;
  std::vector<std::unique_ptr<ModelTarget>> Targets;
  SpillResult Result;
  std::vector<unsigned> LeftInStep;
};

struct ModelDaemon::State {
  State(ModelDaemon &Daemon, Model &Owner)
      : Peers(Daemon.Name, Owner.domain(Daemon.DomainNumber)),
        Broker(Owner.domain(Daemon.DomainNumber), Targets, Daemon),
        Control(Owner.domain(Daemon.DomainNumber), SpillSettings(),
                Owner.Random) {}
  TargetRegistry Targets;
  PeerRegistry Peers;
  SlotBroker Broker;
  DomainOffers Offers;
  SpillControl Control;
  std::optional<PeerRegistry::Delegate> RemoteBroker;
  std::map<TicketNumber, ModelRequest> Pending;
  std::map<TicketNumber, std::uint64_t> Running; ///< Targets by request.
  TimePoint LocalUntil{};
  std::uint64_t Sequence = 0;
  TicketNumber Next = 0;
  Duration Backlog{0};
};

ModelDaemon::ModelDaemon(Model &Owner, std::string Vm, unsigned Domain,
                         bool IsSlow)
    : Fleet(Owner), Name(std::move(Vm)), DomainNumber(Domain), Slow(IsSlow) {}

void ModelDaemon::restart(bool IsAlive) {
  Alive = IsAlive;
  if (Self)
    Fleet.Result.Failed +=
        Self->Pending.size() + (IsAlive ? 0 : Self->Running.size());
  Self = std::make_unique<State>(*this, Fleet);
  if (!IsAlive)
    return;
  ++Process;
  for (const auto &Target : Fleet.Targets)
    Self->Targets.update(Target->Entry);
  for (const auto &Other : Fleet.Daemons)
    if (Other.get() != this)
      Self->Peers.markListed(
          Other->Name, {"127.0.0.1", 1, Fleet.domain(Other->DomainNumber)});
  Self->Offers.restart(Fleet.Now);
}

TargetChoiceInput ModelDaemon::input(const ModelRequest &Request) const {
  TargetChoiceInput Input;
  Input.OwnDomain = Fleet.domain(DomainNumber);
  Input.TimeToLatencyTarget =
      Request.Arrival + Fleet.Plan.LatencyTarget - Fleet.Now;
  Input.TimeToDeadline = Request.Arrival + Fleet.Plan.TimeLimit - Fleet.Now;
  return Input;
}

void ModelDaemon::arrive() {
  ++Fleet.Result.Requests;
  ModelRequest Request;
  Request.Number = ++Self->Next;
  Request.Arrival = Fleet.Now;
  Self->Control.recordRequest(hashOf(Service), Fleet.Now);
  if (Fleet.Rule == SpillPolicy::LeastLoaded) {
    TargetPtr Best;
    for (const auto &Target : Self->Targets.targetsOf(Service))
      if (!Best || Target->running() < Best->running())
        Best = Target;
    return dispatch(Request, Best);
  }
  if (Self->LocalUntil > Fleet.Now && dispatchAnywhere(Request))
    return;
  ask(Self->Pending[Request.Number] = Request);
}

void ModelDaemon::ask(ModelRequest &Request) {
  Request.AskedAt = Fleet.Now;
  SlotRequest Message;
  Message.Vm = Name;
  Message.Incarnation = Process;
  Message.Number = Request.Number;
  Message.Service = Service;
  const auto Input = input(Request);
  Message.TimeToLatencyTarget = Input.TimeToLatencyTarget;
  Message.TimeToDeadline = Input.TimeToDeadline;
  Message.TimeToLatestStart = Input.TimeToLatencyTarget - 40ms;
  Message.TimeToExpiry = Input.TimeToLatencyTarget;
  Message.RefuseIfLate = !Request.Answered;
  sendToBroker(Message);
}

void ModelDaemon::sendToBroker(const SlotMessage &Message) {
  const auto &To = Self->RemoteBroker ? Self->RemoteBroker->Vm : Name;
  Fleet.send(
      To, To == Name ? Duration{0} : LocalDelay,
      [Message](ModelDaemon &Broker) { Broker.handleSlotMessage(Message); });
}

void ModelDaemon::handleSlotMessage(const SlotMessage &Message) {
  const auto Now = Fleet.Now;
  if (const auto *Request = std::get_if<SlotRequest>(&Message)) {
    Self->Offers.recordRequest(
        Service, {Request->Vm, Request->Incarnation, Request->Number}, Now);
    return Self->Broker.requestSlot(*Request, Now);
  }
  const auto &Update = std::get<SlotUpdate>(Message);
  Self->Offers.recordEnd({Update.Vm, Update.Incarnation, Update.Number},
                         Update.Outcome == SlotOutcome::Success, Now);
  Self->Broker.applyUpdate(Update, Now);
  Self->Broker.dispatchWaiting(Service, Now);
}

void ModelDaemon::onSlotDecision(const std::string &Vm,
                                 const SlotDecision &Decision) {
  const DomainOffers::RequestKey Key(Vm, Decision.Incarnation, Decision.Number);
  if (Decision.Result == SlotDecision::Kind::Granted)
    Self->Offers.recordGrant(Key, Fleet.Now);
  else if (Decision.Result == SlotDecision::Kind::Refused)
    Self->Offers.recordEnd(Key, false, Fleet.Now);
  Fleet.send(Vm, Vm == Name ? Duration{0} : LocalDelay,
             [Decision](ModelDaemon &Asking) {
               if (Decision.Incarnation == Asking.Process)
                 Asking.handleDecision(Decision);
             });
}

void ModelDaemon::handleDecision(const SlotDecision &Decision) {
  const auto Found = Self->Pending.find(Decision.Number);
  SlotUpdate Withdrawal;
  Withdrawal.Vm = Name;
  Withdrawal.Incarnation = Process;
  Withdrawal.Number = Decision.Number;
  if (Found == Self->Pending.end()) {
    if (Decision.Result == SlotDecision::Kind::Granted &&
        !Self->Running.contains(Decision.Number))
      sendToBroker(Withdrawal);
    return;
  }
  auto &Request = Found->second;
  const auto Now = Fleet.Now;
  if (Decision.Result == SlotDecision::Kind::Granted) {
    const auto Granted = Request;
    Self->Pending.erase(Found);
    return dispatch(Granted, Self->Targets.findByHash(Decision.Target));
  }
  Self->Backlog = Decision.BacklogTime;
  if (!Request.Answered)
    Request.ExpectedAt = Now + Decision.BacklogTime;
  Request.Answered = true;
  const bool IsRefused = Decision.Result == SlotDecision::Kind::Refused;
  const auto Copy = Request;
  if (tryElsewhere(
          Copy, IsRefused ? std::nullopt : std::optional(Decision.BacklogTime),
          false)) {
    Self->Pending.erase(Copy.Number);
    return sendToBroker(Withdrawal);
  }
  if (IsRefused) {
    ++Fleet.Result.Refused;
    Self->Pending.erase(Copy.Number);
  }
}

bool ModelDaemon::tryElsewhere(const ModelRequest &Request,
                               std::optional<Duration> HomeWait,
                               bool OffersOnly) {
  const auto Targets = Self->Targets.targetsOf(Service);
  auto Input = input(Request);
  const auto Now = Fleet.Now;
  if (Fleet.Rule == SpillPolicy::ByOffers) {
    const auto Leaving =
        chooseElsewhere(Self->Control,
                        {hashOf(Service), HomeWait, Input.TimeToLatencyTarget,
                         Input.TimeToDeadline, RequestBytes},
                        Targets, Input, OffersOnly, Now);
    if (Leaving)
      dispatch(Request, Leaving->Chosen.Target);
    return Leaving.has_value();
  }
  if (Fleet.Rule != SpillPolicy::ByLoads || OffersOnly)
    return false;
  Input.RemoteDomainsOnly = true;
  const auto Chosen = chooseTarget(Targets, Input, Now);
  if (!Chosen || !Chosen->MeetsLatencyTarget)
    return false;
  dispatch(Request, Chosen->Target);
  return true;
}

bool ModelDaemon::dispatchAnywhere(const ModelRequest &Request) {
  auto Targets = Self->Targets.targetsOf(Service);
  std::vector<TargetPtr> Own;
  for (const auto &Target : Targets)
    if (Target->Entry.Domain == Fleet.domain(DomainNumber))
      Own.push_back(Target);
  if (Fleet.Rule == SpillPolicy::NeverLeave)
    Targets = Own;
  const auto Chosen = chooseTarget(Targets, input(Request), Fleet.Now);
  if (Chosen)
    dispatch(Request, Chosen->Target);
  return Chosen.has_value();
}

void ModelDaemon::dispatch(const ModelRequest &Request,
                           const TargetPtr &Target) {
  const bool IsRemote = Target->Entry.Domain != Fleet.domain(DomainNumber);
  if (IsRemote) {
    ++Fleet.Result.Left;
    Fleet.Result.RequestBytes += RequestBytes + AnswerBytes;
    if (Fleet.Now - Fleet.Start >= SettlingTime) {
      const auto Step = static_cast<std::size_t>(
          (Fleet.Now - Fleet.Start - SettlingTime) / FlowStep);
      Fleet.LeftInStep.resize(std::max(Fleet.LeftInStep.size(), Step + 1));
      ++Fleet.LeftInStep[Step];
    }
  }
  ++Target->OwnRunning;
  Self->Running[Request.Number] = Target->Hash;
  // The broker's own requests hold no slot there once they are sent.
  SlotUpdate Update;
  Update.Vm = Name;
  Update.Incarnation = Process;
  Update.Number = Request.Number;
  if (!Self->RemoteBroker && !IsRemote)
    Self->Broker.applyUpdate(Update, Fleet.Now);
  const auto Delay = IsRemote ? RemoteDelay : LocalDelay;
  const auto SentAt = Fleet.Now;
  auto *Real = std::find_if(Fleet.Targets.begin(), Fleet.Targets.end(),
                            [&](const auto &Each) {
                              return Each->Entry.Id == Target->Entry.Id;
                            })
                   ->get();
  Fleet.after(Delay, [=, this, Incarnation = Process] {
    Fleet.run(*Real, [=, this] {
      const unsigned Load =
          Real->Running + static_cast<unsigned>(Real->Waiting.size());
      Fleet.after(Delay, [=, this] {
        if (Incarnation != Process || !Alive)
          return;
        Fleet.finish(Request.Arrival);
        --Target->OwnRunning;
        Target->recordLoad(Load, Fleet.Now);
        Self->Running.erase(Request.Number);
        Self->Control.recordAnswer(hashOf(Service), Fleet.Now - SentAt,
                                   AnswerBytes);
        if (IsRemote)
          return;
        auto Ended = Update;
        Ended.Change = SlotUpdate::Kind::Ended;
        Ended.Target = Target->Hash;
        Ended.Outcome = SlotOutcome::Success;
        sendToBroker(Ended);
      });
    });
  });
}

void ModelDaemon::handleReport(PeerReport Report) {
  const auto Now = Fleet.Now;
  const bool IsOwnDomain = Report.Domain == Fleet.domain(DomainNumber);
  const auto Copy = Report;
  if (!Self->Peers.accept(std::move(Report), Now))
    return;
  if (!Copy.IsDomainSummary && IsOwnDomain && !Self->RemoteBroker)
    Self->Broker.reconcile(Copy, Now);
  if (IsOwnDomain ? Self->RemoteBroker && Copy.Vm == Self->RemoteBroker->Vm
                  : Copy.IsDomainSummary) {
    for (const auto &Each : Copy.Offers)
      if (Each.LackingSlots > 0 && !IsOwnDomain)
        Self->Offers.recordLacking(Each.Service, Now);
    Self->Control.onOffers(Copy.Domain, Copy.Offers, Now);
  }
  if (Copy.IsDomainSummary && !IsOwnDomain && !Copy.Forwarded &&
      Self->Peers.isDelegate(Now)) {
    auto Forwarded = Copy;
    Forwarded.Forwarded = true;
    for (const auto &Other : Fleet.Daemons)
      if (Other.get() != this && Other->DomainNumber == DomainNumber)
        Fleet.send(Other->Name, LocalDelay, [Forwarded](ModelDaemon &To) {
          To.handleReport(Forwarded);
        });
  }
}

void ModelDaemon::report() {
  const auto Now = Fleet.Now;
  const auto Own = Fleet.domain(DomainNumber);
  PeerReport Report;
  Report.Vm = Name;
  Report.Domain = Own;
  Report.Incarnation = Process;
  Report.Sequence = ++Self->Sequence;
  for (const auto &[Number, Target] : Self->Running)
    Report.RunningRequests.push_back({Number, Target, 0});
  Report.Loads = sumLoadsByTarget(Report.RunningRequests);
  Self->Peers.updateJoining(Now);
  Report.Joining = Self->Peers.isJoining();
  const bool IsDelegate = Self->Peers.isDelegate(Now);
  if (IsDelegate && Fleet.Rule == SpillPolicy::ByOffers) {
    const DomainSlots Slots{
        Service, SlotsPerTarget * Fleet.Plan.TargetsByDomain[DomainNumber]};
    Report.Offers = Self->Offers.offers(std::span(&Slots, 1), Now);
    Self->Control.onOffers(Own, Report.Offers, Now);
  }
  auto Summary = Self->Peers.summarizeDomain(Report, Now);
  std::map<unsigned, unsigned> Receivers;
  for (const auto &Other : Fleet.Daemons) {
    if (Other.get() == this)
      continue;
    const auto Deliver = [&](const PeerReport &Sent, Duration Delay) {
      Fleet.send(Other->Name, Delay,
                 [Sent](ModelDaemon &To) { To.handleReport(Sent); });
    };
    if (Other->DomainNumber == DomainNumber) {
      Deliver(Report, LocalDelay);
    } else if (IsDelegate && Receivers[Other->DomainNumber]++ < 2) {
      Fleet.Result.SummaryBytes += encodeReport(Summary).size();
      const auto &Scenario = Fleet.Plan;
      if (Scenario.CutsOneWay && DomainNumber == 0 &&
          Other->DomainNumber == 1 && Now - Fleet.Start > 10s)
        continue;
      Deliver(Summary, Scenario.SummaryDelay);
      if (Scenario.DuplicatesLate)
        Deliver(Summary, Scenario.SummaryDelay + LateCopyDelay);
    }
  }
  auto Loads = Self->RemoteBroker ? Self->Peers.peerLoads(Now)
                                  : Self->Peers.remoteDomainLoads(Now);
  if (!Self->RemoteBroker)
    Self->Broker.addLoads(Loads);
  for (const auto &Target : Self->Targets.targetsOf(Service)) {
    const auto Found = Loads.find(Target->Hash);
    Target->expireLoad(Now);
    Target->PeerRunning = Found == Loads.end() ? 0 : Found->second.Running;
  }
}

void ModelDaemon::tick() {
  const auto Now = Fleet.Now;
  auto Current = Self->Peers.delegate(Now);
  if (Current != Self->RemoteBroker) {
    Self->RemoteBroker = std::move(Current);
    Self->Broker.clear();
    Self->Offers.restart(Now);
    Self->LocalUntil = TimePoint{};
    for (auto &[Number, Request] : Self->Pending)
      ask(Request);
  }
  std::vector<TicketNumber> Numbers;
  for (const auto &[Number, Request] : Self->Pending)
    Numbers.push_back(Number);
  for (const auto Number : Numbers) {
    const auto Found = Self->Pending.find(Number);
    if (Found == Self->Pending.end())
      continue;
    const auto Request = Found->second;
    SlotUpdate Withdrawal;
    Withdrawal.Vm = Name;
    Withdrawal.Incarnation = Process;
    Withdrawal.Number = Number;
    if (Now - Request.Arrival >= Fleet.Plan.LatencyTarget) {
      ++Fleet.Result.Refused;
      Self->Pending.erase(Found);
      sendToBroker(Withdrawal);
    } else if (!Request.Answered && Now - Request.AskedAt > BrokerTimeout) {
      Self->LocalUntil = Now + LocalDecisionPeriod;
      if (dispatchAnywhere(Request))
        Self->Pending.erase(Number);
    } else if (Request.Answered) {
      const auto Left = Request.ExpectedAt - Now;
      if (tryElsewhere(Request, Left > Duration{0} ? Left : Self->Backlog / 2,
                       true)) {
        Self->Pending.erase(Number);
        sendToBroker(Withdrawal);
      } else if (Now - Request.AskedAt > 150ms) {
        ask(Found->second);
      }
    }
  }
  Self->Broker.dispatchAllWaiting(Now);
}

Model::Model(const SpillScenario &Scenario, SpillPolicy Policy)
    : Plan(Scenario), Rule(Policy), Random(Scenario.Seed) {
  const auto Domains = static_cast<unsigned>(Scenario.TargetsByDomain.size());
  for (unsigned Domain = 0; Domain < Domains; ++Domain) {
    for (unsigned I = 0; I < Scenario.TargetsByDomain[Domain]; ++I) {
      auto Target = std::make_unique<ModelTarget>();
      Target->Entry.Id = TargetName(fmt::format("t{}-{}", Domain, I));
      Target->Entry.Service = Service;
      Target->Entry.Domain = domain(Domain);
      Target->Entry.Slots = SlotsPerTarget;
      Targets.push_back(std::move(Target));
    }
    for (unsigned I = 0; I < Scenario.DaemonsByDomain; ++I)
      Daemons.push_back(std::make_unique<ModelDaemon>(
          *this, fmt::format("vm{}-{:02}", Domain, I), Domain,
          Scenario.HasSlowDaemon && I % 5 == 4));
  }
}

ModelDaemon *Model::find(const std::string &Vm) {
  for (const auto &Each : Daemons)
    if (Each->Name == Vm)
      return Each.get();
  return nullptr;
}

void Model::send(const std::string &To, Duration Delay,
                 std::function<void(ModelDaemon &)> Act) {
  auto *Receiver = find(To);
  after(Delay + (Receiver->Slow ? Duration(SlowDaemonDelay) : Duration{0}),
        [Receiver, Act = std::move(Act)] {
          if (Receiver->Alive)
            Act(*Receiver);
        });
}

void Model::run(ModelTarget &Target, std::function<void()> OnEnd) {
  if (Target.Running < SlotsPerTarget)
    return start(Target, std::move(OnEnd));
  Target.Waiting.push_back(std::move(OnEnd));
}

void Model::start(ModelTarget &Target, std::function<void()> OnEnd) {
  ++Target.Running;
  const auto Time =
      fromSeconds(toSeconds(SlotTime) * (0.9 + 0.2 * Random.uniform()));
  after(Time, [this, &Target, OnEnd = std::move(OnEnd)] {
    --Target.Running;
    OnEnd();
    if (Target.Waiting.empty())
      return;
    auto Next = std::move(Target.Waiting.front());
    Target.Waiting.pop_front();
    start(Target, std::move(Next));
  });
}

void Model::finish(TimePoint Arrival) {
  const auto Age = Now - Arrival;
  ++(Age <= Plan.LatencyTarget ? Result.InTime
     : Age <= Plan.TimeLimit   ? Result.Late
                               : Result.Failed);
}

double Model::rateOf(unsigned Domain) const {
  const auto Domains = Plan.TargetsByDomain.size();
  const double Seconds = toSeconds(Now - Start);
  const double Mean = Plan.LoadShare *
                      static_cast<double>(Targets.size() * SlotsPerTarget) /
                      toSeconds(SlotTime) / static_cast<double>(Domains);
  const auto WaveOf = [&](unsigned Of) {
    return Mean *
           (1 + Plan.WaveShare * std::sin(2 * std::numbers::pi *
                                          (Seconds / WaveSeconds +
                                           static_cast<double>(Of) /
                                               static_cast<double>(Domains))));
  };
  const bool HaveMoved =
      Plan.MovesCallers && static_cast<int>(Seconds / 10) % 2 == 1;
  if (HaveMoved && Domain == 0)
    return WaveOf(0) / 2;
  return WaveOf(Domain) + (HaveMoved && Domain == 1 ? WaveOf(0) / 2 : 0);
}

void Model::arriveNext(unsigned Domain) {
  const double Pause =
      -std::log(1 - Random.uniform()) / std::max(1.0, rateOf(Domain));
  after(fromSeconds(Pause), [this, Domain] {
    if (Now - Start >= Plan.Time)
      return;
    auto &Daemon = *Daemons[Domain * Plan.DaemonsByDomain +
                            Random.below(Plan.DaemonsByDomain)];
    if (Daemon.Alive)
      Daemon.arrive();
    arriveNext(Domain);
  });
}

SpillResult Model::play() {
  for (const auto &Daemon : Daemons)
    Daemon->restart(true);
  const auto Repeat = [&](ModelDaemon &Daemon, Duration Period, auto Act) {
    auto Again = std::make_shared<std::function<void()>>();
    *Again = [this, &Daemon, Period, Act, Weak = std::weak_ptr(Again)] {
      if (Daemon.Alive)
        (Daemon.*Act)();
      if (Now - Start < Plan.Time)
        after(Period, [Self = Weak.lock()] { (*Self)(); });
    };
    after(fromSeconds(toSeconds(Period) * Random.uniform()),
          [Again] { (*Again)(); });
  };
  for (const auto &Daemon : Daemons) {
    Repeat(*Daemon, ReportPeriod, &ModelDaemon::report);
    Repeat(*Daemon, TickPeriod, &ModelDaemon::tick);
  }
  for (unsigned Domain = 0; Domain < Plan.TargetsByDomain.size(); ++Domain)
    arriveNext(Domain);
  if (Plan.KillsBrokers)
    for (unsigned Kill = 1; 8s * Kill < Plan.Time; ++Kill) {
      auto &Victim =
          *Daemons[(Kill % Plan.TargetsByDomain.size()) * Plan.DaemonsByDomain];
      after(8s * Kill, [&Victim] { Victim.restart(false); });
      after(8s * Kill + DeadTime, [&Victim] { Victim.restart(true); });
    }
  while (!Events.empty()) {
    auto Next = Events.extract(Events.begin());
    Now = Next.key();
    Next.mapped()();
  }
  double Sum = 0;
  double Squares = 0;
  for (const double Left : LeftInStep) {
    Sum += Left;
    Squares += Left * Left;
  }
  const double Mean = Sum / std::max<std::size_t>(1, LeftInStep.size());
  if (Mean > 0)
    Result.FlowDeviation =
        std::sqrt(std::max(0.0, Squares / LeftInStep.size() - Mean * Mean)) /
        Mean;
  return Result;
}

} // namespace

std::string_view nameOf(SpillPolicy Policy) {
  switch (Policy) {
  case SpillPolicy::ByLoads:
    return "by loads";
  case SpillPolicy::NeverLeave:
    return "never leave";
  case SpillPolicy::LeastLoaded:
    return "least loaded";
  case SpillPolicy::ByOffers:
    break;
  }
  return "by offers";
}

SpillResult playSpill(const SpillScenario &Scenario, SpillPolicy Policy) {
  return Model(Scenario, Policy).play();
}

} // namespace mangodeck
