#include "rolloutfleet.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace mangodeck {

namespace {

const ServiceName Service("s");
constexpr TimePoint Begin{std::chrono::hours(1)};
constexpr Duration Step = 10ms;
constexpr Duration OrderAt = 5s;
constexpr std::uint64_t Bad50 = 50;
constexpr Duration RollbackDeadline = 5s;
constexpr double LostShare = 0.03;
constexpr double DoubledShare = 0.02;
constexpr double LostWriteShare = 0.02;

struct RouteModel {
  const char *Name;
  double Weight;
  double FailureRate;
  double Seconds;
};
constexpr std::array<RouteModel, 3> Routes = {
    {{"a", 0.6, 0.004, 0.06}, {"b", 0.3, 0.03, 0.03}, {"c", 0.1, 0.14, 0.09}}};
constexpr std::array<double, 3> EngineSpeeds = {0.55, 1, 2.8};

struct Model;

struct ModelDaemon : RolloutOutlet {
  ModelDaemon(Model &Fleet, int Index);
  void restart();
  void sendToDelegate(std::string_view Bytes) override;
  void sendToOwnDomain(std::string_view Bytes) override;
  void sendToDelegates(std::string_view Bytes) override;
  void writeStatus(const RolloutStatus &Next, StoreRevision Expected) override;
  void writeRecord(const RolloutRecord &Next, StoreRevision Expected) override;
  std::uint32_t countElsewhere(const ServiceName &, VersionId) const override {
    return static_cast<std::uint32_t>(OldRunning.size());
  }
  void reconsider(const ServiceName &) override {}
  void giveUpElsewhere(const ServiceName &, VersionId) override;

  Model &Fleet;
  int Index;
  std::string Vm;
  int Domain;
  unsigned Start = 0; ///< Incarnation.
  TargetRegistry Targets;
  EventLog Log{-1, "m", "1", 1};
  std::unique_ptr<SeededRandom> Random;
  std::unique_ptr<RolloutController> Control;
  std::set<std::uint64_t> OldRunning; ///< Numbers of requests.
  TimePoint StoreSeenAt{};
};

struct ModelTarget {
  TargetEntry Entry;
  double Speed = 1;
  bool IsNew = false;
  std::uint32_t Running = 0;
  TimePoint DownUntil{};
};

struct ModelRequest {
  int Daemon;
  unsigned Start;
  std::size_t Target;
  std::size_t Route;
  bool IsBad;
  double Measured;
  TimePoint SentAt;
};

struct Model {
  explicit Model(const RolloutScenario &Played);
  RolloutOutcome run();

  void at(TimePoint When, std::function<void()> Do) {
    Events.push({When, ++EventNumber, std::move(Do)});
  }
  void send(const ModelDaemon &From, int To, std::string_view Bytes);
  bool isCut(int Domain) const {
    return Scene.CutFor > Duration{0} && Domain == 0 &&
           Now >= Begin + OrderAt + Scene.CutFrom &&
           Now < Begin + OrderAt + Scene.CutFrom + Scene.CutFor;
  }
  bool isStoreDown() const {
    return Scene.StoreDownFor > Duration{0} &&
           Now >= Begin + OrderAt + Scene.StoreDownFrom &&
           Now < Begin + OrderAt + Scene.StoreDownFrom + Scene.StoreDownFor;
  }
  int delegateOf(int Domain) const { return Domain; }
  void write(ModelDaemon &From, std::optional<RolloutStatus> Status,
             std::optional<RolloutRecord> Record, StoreRevision Expected);
  /// Tells the daemons that reach the store what it holds.
  void tell(ModelDaemon &To);
  void tellAll();
  void registerTargets(ModelDaemon &To, bool IsNew);
  void arrive();
  void place(ModelDaemon &Daemon, std::size_t Route, bool IsNewRequest);
  void end(std::uint64_t Number);
  Duration since(TimePoint Then) const { return Now - Then; }
  double uniform() { return Random.uniform(); }
  Duration storeDelay() {
    return 5ms + fromSeconds(0.03 * uniform() * uniform());
  }

  RolloutScenario Scene;
  SeededRandom Random;
  TimePoint Now = Begin;
  struct Event {
    TimePoint When;
    std::uint64_t Number;
    std::function<void()> Do;
    bool operator<(const Event &Other) const {
      return std::tie(When, Number) > std::tie(Other.When, Other.Number);
    }
  };
  std::priority_queue<Event> Events;
  std::uint64_t EventNumber = 0;
  std::vector<ModelTarget> Targets;
  std::vector<std::unique_ptr<ModelDaemon>> Daemons;
  std::map<std::uint64_t, ModelRequest> Running;
  std::uint64_t NextRequest = 0;

  std::uint64_t Era = 1;
  std::int64_t Revision = 10;
  std::optional<RolloutOrder> Order;
  std::optional<RolloutStatus> Status;
  std::optional<RolloutRecord> Record;
  bool HasNewTargets = false;

  RolloutOutcome Result;
  std::uint64_t BadOfNew = 0;
  TimePoint FiftiethBadAt{};
};

ModelDaemon::ModelDaemon(Model &Fleet, int Index)
    : Fleet(Fleet), Index(Index), Vm(fmt::format("d-{:03}", Index)),
      Domain(Index % Fleet.Scene.Domains) {
  restart();
}

void ModelDaemon::restart() {
  ++Start;
  OldRunning.clear();
  Targets = TargetRegistry();
  Random = std::make_unique<SeededRandom>(Fleet.Random.next());
  Control = std::make_unique<RolloutController>(
      RolloutLimits(),
      RolloutProcess{Vm, Start, FailureDomain(fmt::format("z{}", Domain))},
      Targets, *this, Log, *Random);
  Control->setServices(
      {{Service.Text, {Fleet.Scene.IsEngine, Fleet.Scene.IsEngine}}});
}

void ModelDaemon::sendToDelegate(std::string_view Bytes) {
  Fleet.send(*this, Fleet.delegateOf(Domain), Bytes);
}

void ModelDaemon::sendToOwnDomain(std::string_view Bytes) {
  for (const auto &Each : Fleet.Daemons)
    if (Each->Domain == Domain && Each.get() != this)
      Fleet.send(*this, Each->Index, Bytes);
}

void ModelDaemon::sendToDelegates(std::string_view Bytes) {
  for (int Other = 0; Other < Fleet.Scene.Domains; ++Other)
    if (Other != Domain)
      Fleet.send(*this, Fleet.delegateOf(Other), Bytes);
}

void ModelDaemon::writeStatus(const RolloutStatus &Next,
                              StoreRevision Expected) {
  Fleet.write(*this, Next, std::nullopt, Expected);
}

void ModelDaemon::writeRecord(const RolloutRecord &Next,
                              StoreRevision Expected) {
  Fleet.write(*this, std::nullopt, Next, Expected);
}

void ModelDaemon::giveUpElsewhere(const ServiceName &, VersionId) {
  const auto Given = std::exchange(OldRunning, {});
  Fleet.Result.GivenUp += Given.size();
  for (const auto Number : Given) {
    const auto Found = Fleet.Running.find(Number);
    if (Found == Fleet.Running.end())
      continue;
    --Fleet.Targets[Found->second.Target].Running;
    Fleet.Running.erase(Found);
  }
}

Model::Model(const RolloutScenario &Played)
    : Scene(Played), Random(Played.Seed) {
  for (const bool IsNew : {false, true})
    for (int I = 0; I < Scene.Targets; ++I) {
      ModelTarget Each;
      Each.IsNew = IsNew;
      Each.Speed = Scene.IsEngine ? EngineSpeeds[Random.below(3)]
                                  : std::exp(0.1 * (uniform() - 0.5));
      Each.Entry.Id = TargetName(fmt::format("{}{}", IsNew ? "n" : "o", I));
      Each.Entry.Service = Service;
      Each.Entry.Domain = FailureDomain(fmt::format("z{}", I % Scene.Domains));
      Each.Entry.Ip = "127.0.0.1";
      Each.Entry.Port = static_cast<std::uint16_t>(1000 + Targets.size());
      Each.Entry.Slots = Scene.IsEngine ? 10 : 12;
      Each.Entry.Version = IsNew ? "v2" : "v1";
      Each.Entry.Sequence = 1;
      Targets.push_back(Each);
    }
  for (int I = 0; I < Scene.Daemons; ++I) {
    Daemons.push_back(std::make_unique<ModelDaemon>(*this, I));
    registerTargets(*Daemons.back(), false);
    Daemons.back()->Control->onDirectoryComplete();
  }
}

void Model::registerTargets(ModelDaemon &To, bool IsNew) {
  for (const auto &Each : Targets)
    if (Each.IsNew == IsNew)
      To.Targets.update(Each.Entry);
  To.Control->markTargets(Now);
}

void Model::send(const ModelDaemon &From, int To, std::string_view Bytes) {
  ++Result.Messages;
  Result.Bytes += Bytes.size();
  const auto Receiver = Daemons[static_cast<std::size_t>(To)].get();
  if (From.Domain != Receiver->Domain &&
      (isCut(From.Domain) || isCut(Receiver->Domain)))
    return;
  const int Copies = uniform() < LostShare      ? 0
                     : uniform() < DoubledShare ? 2
                                                : 1;
  for (int I = 0; I < Copies; ++I) {
    auto Delay = 1ms + fromSeconds(0.005 * uniform());
    if (uniform() < 0.02)
      Delay += fromSeconds(0.4 * uniform());
    at(Now + Delay, [this, Receiver, Text = std::string(Bytes)] {
      Receiver->Control->handle(Text, Now);
    });
  }
}

void Model::write(ModelDaemon &From, std::optional<RolloutStatus> NewStatus,
                  std::optional<RolloutRecord> NewRecord,
                  StoreRevision Expected) {
  ++Result.StoreWrites;
  auto *Writer = &From;
  const auto Start = From.Start;
  const auto Answer = [this, Writer, Start](Duration Delay, bool Tell) {
    at(Now + Delay, [this, Writer, Start, Tell] {
      if (Writer->Start != Start)
        return;
      if (Tell)
        tell(*Writer);
      Writer->Control->onWritten(Service);
    });
  };
  if (isStoreDown() || isCut(From.Domain))
    return Answer(900ms, false);
  at(Now + storeDelay(), [this, NewStatus, NewRecord, Expected, Answer] {
    const auto Current = NewStatus
                             ? (Status ? Status->Revision : StoreRevision())
                             : (Record ? Record->Revision : StoreRevision());
    if (Current == Expected) {
      const StoreRevision Next{Era, ++Revision};
      if (NewStatus) {
        if (!Result.Verdict && NewStatus->State != RolloutState::Running) {
          Result.Verdict = NewStatus->State;
          Result.VerdictAt = Now - Begin - OrderAt;
          if (NewStatus->State == RolloutState::Completed)
            for (const auto &Each : Daemons)
              if (!isCut(Each->Domain))
                Result.Lost += Each->OldRunning.size();
        }
        Status = NewStatus;
        Status->Revision = Next;
      } else {
        Record = NewRecord;
        Record->Revision = Next;
      }
      tellAll();
    }
    const bool IsLost = uniform() < LostWriteShare;
    Answer(IsLost ? Duration(900ms) : storeDelay(), !IsLost);
  });
}

void Model::tell(ModelDaemon &To) {
  if (isStoreDown() || isCut(To.Domain))
    return;
  const auto InEra = [&](auto Item) {
    if (Item)
      Item->Revision.Era = Era;
    return Item;
  };
  To.StoreSeenAt = Now;
  To.Control->onRecord(Service, InEra(Record), Now);
  To.Control->onOrder(Service, InEra(Order), Now);
  To.Control->onStatus(Service, InEra(Status), Now);
}

void Model::tellAll() {
  for (const auto &Each : Daemons)
    at(Now + storeDelay(), [this, To = Each.get()] { tell(*To); });
}

void Model::place(ModelDaemon &Daemon, std::size_t Route, bool IsNewRequest) {
  const auto Choice =
      Daemon.Control->choose(Service, {IsNewRequest, false, false}, Now);
  std::optional<std::size_t> Best;
  double BestLoad = 0;
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    auto &Each = Targets[I];
    const auto Known = Daemon.Targets.find(Each.Entry.Id);
    if (!Known || !Known->isUsable(Now) || Each.DownUntil > Now ||
        Each.Running >= Each.Entry.Slots ||
        (Choice.Only != NoVersion && Known->Version != Choice.Only) ||
        (Choice.Avoided != NoVersion && Known->Version == Choice.Avoided))
      continue;
    const bool IsRemote =
        Each.Entry.Domain.Text != fmt::format("z{}", Daemon.Domain);
    const double Load = Each.Running + (IsRemote ? 1000 : 0) +
                        (Scene.IsEngine ? Each.Speed * 2 : 0);
    if (!Best || Load < BestLoad) {
      Best = I;
      BestLoad = Load;
    }
  }
  if (!Best) {
    Daemon.Control->reassign(Service, Choice.Only);
    return;
  }
  auto &Target = Targets[*Best];
  Daemon.Control->recordSend(*Daemon.Targets.find(Target.Entry.Id));
  const auto Elapsed = Now - Begin - OrderAt;
  const bool IsAfterOrder = Elapsed >= Duration{0};
  if (Target.IsNew && IsAfterOrder && Elapsed < Scene.TimeLimit) {
    ++Result.Exposed;
    if (!isCut(Daemon.Domain) && FiftiethBadAt != TimePoint{} &&
        Now > FiftiethBadAt + RollbackDeadline)
      ++Result.LateSends;
  }
  if (Target.IsNew && Result.Verdict == RolloutState::RolledBack &&
      !isCut(Daemon.Domain) && Elapsed > Result.VerdictAt + 1s)
    ++Result.SentAfterVerdict;
  // What the target does.
  const auto &Model = Routes[Route];
  double Rate = Model.FailureRate;
  double Factor = 1;
  const bool IsDegraded = Scene.DegradedFrom > Duration{0} &&
                          Elapsed >= Scene.DegradedFrom &&
                          Elapsed < Scene.DegradedFrom + 2s;
  if (IsDegraded) {
    Rate = std::min(0.5, Rate * 3 + 0.02);
    Factor *= 2;
  }
  const bool IsFaulty =
      Target.IsNew && Elapsed >= Scene.FaultFrom &&
      (Scene.Fault != VersionFault::OneRoute || Route == 1) &&
      (Scene.Fault != VersionFault::SlowOnOneRoute || Route == 1) &&
      (Scene.Fault != VersionFault::UnderLoad || Target.Running >= 2);
  const bool IsSlow = Scene.Fault == VersionFault::Slow ||
                      Scene.Fault == VersionFault::SlowOnOneRoute;
  if (IsFaulty && IsSlow)
    Factor *= Scene.Severity;
  else if (IsFaulty && Scene.Fault != VersionFault::None)
    Rate += (1 - Rate) * Scene.Severity;
  ++Target.Running;
  const double Noise =
      std::exp(0.35 * (uniform() + uniform() + uniform() - 1.5));
  const double Ratio = Target.Speed * Factor * Noise;
  const double Seconds =
      (Scene.IsEngine ? 1.0 + 1.5 * uniform() : Model.Seconds) * Ratio;
  const auto Number = ++NextRequest;
  Running[Number] = {
      Daemon.Index, Daemon.Start,     *Best,
      Route,        uniform() < Rate, Scene.IsEngine ? Ratio : Seconds,
      Now};
  if (!Target.IsNew)
    Daemon.OldRunning.insert(Number);
  at(Now + fromSeconds(Seconds), [this, Number] { end(Number); });
}

void Model::end(std::uint64_t Number) {
  const auto Found = Running.find(Number);
  if (Found == Running.end())
    return;
  const auto Ended = Found->second;
  Running.erase(Found);
  auto &Target = Targets[Ended.Target];
  --Target.Running;
  if (Target.IsNew && Ended.IsBad && ++BadOfNew == Bad50)
    FiftiethBadAt = Now;
  auto &Daemon = *Daemons[static_cast<std::size_t>(Ended.Daemon)];
  Daemon.OldRunning.erase(Number);
  const auto Known = Daemon.Targets.find(Target.Entry.Id);
  if (Daemon.Start == Ended.Start && Known && Target.DownUntil <= Now)
    Daemon.Control->recordAnswer(
        {*Known, Routes[Ended.Route].Name, Ended.IsBad, Ended.Measured}, Now);
}

void Model::arrive() {
  double Left = Scene.PerSecond * toSeconds(Step);
  const auto Elapsed = Now - Begin - OrderAt;
  while (Left > uniform()) {
    Left -= 1;
    auto &Daemon = *Daemons[Random.below(Daemons.size())];
    double Draw = uniform();
    std::size_t Route = 0;
    while (Route + 1 < Routes.size() && Draw >= Routes[Route].Weight)
      Draw -= Routes[Route++].Weight;
    if (Elapsed >= Duration{0} && Elapsed < Scene.TimeLimit)
      ++Result.Requests;
    place(Daemon, Route, true);
  }
}

RolloutOutcome Model::run() {
  at(Begin + OrderAt, [this] {
    Order = RolloutOrder{Service, "v2", Scene.TimeLimit, {Era, ++Revision}};
    tellAll();
  });
  if (Scene.TargetsAt >= Duration{0})
    at(Begin + OrderAt + Scene.TargetsAt, [this] {
      HasNewTargets = true;
      for (const auto &Each : Daemons)
        at(Now + storeDelay(),
           [this, To = Each.get()] { registerTargets(*To, true); });
    });
  if (Scene.KillAllAt > Duration{0})
    at(Begin + OrderAt + Scene.KillAllAt, [this] {
      for (const auto &Each : Daemons) {
        Each->restart();
        // The listing tells record, order, targets and status in this order.
        at(Now + 300ms + storeDelay(), [this, To = Each.get()] {
          registerTargets(*To, false);
          if (HasNewTargets)
            registerTargets(*To, true);
          tell(*To);
          To->Control->onDirectoryComplete();
        });
      }
      Running.clear();
      for (auto &Each : Targets)
        Each.Running = 0;
    });
  if (Scene.RestoreAt > Duration{0})
    at(Begin + OrderAt + Scene.RestoreAt, [this] {
      ++Era;
      Revision = Order->Revision.Number;
      Status.reset();
      Record.reset();
      tellAll();
    });
  if (Scene.CrashAt > Duration{0})
    at(Begin + OrderAt + Scene.CrashAt, [this] {
      for (auto &Each : Targets)
        if (Each.IsNew && Each.Running > 0) {
          Each.DownUntil = Now + 1s;
          break;
        }
    });
  const auto End = Begin + OrderAt + 2 * Scene.TimeLimit + 4s;
  std::vector<std::string> Domains;
  for (int I = 0; I < Scene.Domains; ++I)
    Domains.push_back(fmt::format("z{}", I));
  const auto Size = static_cast<std::size_t>(Scene.Daemons / Scene.Domains);
  const auto Period = std::clamp<Duration>(
      Duration(100ms) * std::max<std::size_t>(1, Size / 15) / 2, 100ms, 250ms);
  for (unsigned Ticks = 0; Now < End; Now += Step, ++Ticks) {
    while (!Events.empty() && Events.top().When <= Now) {
      const auto Do = Events.top().Do;
      Events.pop();
      Do();
    }
    arrive();
    for (const auto &Each : Daemons) {
      if ((Ticks + static_cast<unsigned>(Each->Index)) % 5 != 0)
        continue;
      if ((Ticks + static_cast<unsigned>(Each->Index)) % 100 == 0)
        tell(*Each);
      RolloutSurroundings Around;
      Around.IsDelegate = Each->Index == delegateOf(Each->Domain);
      Around.StoreConfirmedAt = Each->StoreSeenAt;
      Around.WallClock = std::chrono::duration_cast<std::chrono::milliseconds>(
          Now.time_since_epoch());
      Around.Period = Period;
      for (int I = 0; I < Scene.Domains; ++I)
        if (I != Each->Domain)
          Around.RemoteDomains.push_back(Domains[static_cast<std::size_t>(I)]);
      for (const auto &Other : Daemons)
        Around.ReachablePeers +=
            Other != Each && Other->Domain == Each->Domain ? 1 : 0;
      Each->Control->tick(Around, Now);
    }
    if (Result.Verdict && Now > Begin + OrderAt + Result.VerdictAt + 2s &&
        Now > Begin + OrderAt + Scene.TimeLimit)
      break;
  }
  Result.Evidence = Daemons.front()->Control->describe(Now);
  return Result;
}

} // namespace

RolloutOutcome playRollout(const RolloutScenario &Played) {
  return Model(Played).run();
}

} // namespace mangodeck
