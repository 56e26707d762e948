#include "replayrun.h"

namespace mangodeck {

namespace {

constexpr Duration TickInterval = 100ms;
constexpr std::uint64_t TicksPerReport = 5;
/// Cache events come this much after the change, and some never.
constexpr Duration CacheEventLag = 1s;
constexpr double CacheEventLoss = 0.05;
/// Until a target that died is known to refuse connections.
constexpr Duration DownDetection = 500ms;
/// Until the platform's list shows a leaving target.
constexpr Duration ListLag = 2s;
/// A leaving target refuses new requests after this time.
constexpr Duration LeavingGrace = 5s;
constexpr Duration ReplaceRetry = 1s;
constexpr Duration PoisonedRestart = 10s;
/// A replay that has not ended so long after its trace is given up.
constexpr Duration LongestTail = std::chrono::hours(1);

} // namespace

void ReplayRun::startStep(Machine &Item) {
  const auto Span = Item.Engine->begin();
  if (!Span)
    return;
  const auto Number = ++Item.StepNumber;
  m_Loop.after(*Span, [this, &Item, Number] {
    if (Item.StepNumber == Number)
      finishStep(Item);
  });
}

void ReplayRun::finishStep(Machine &Item) {
  for (const auto &Event : Item.Engine->step()) {
    auto &Request = *find(Event.Request);
    const auto Link = linkTo(Request, *Item.Record);
    switch (Event.What) {
    case EngineEvent::Kind::FirstToken:
      Request.FirstTokenAt = m_Loop.now() + Link;
      break;
    case EngineEvent::Kind::Completed:
      m_Loop.after(Link, [this, Id = Event.Request,
                          Use = *Item.Engine->cancel(Event.Request)] {
        if (!find(Id)->Ended)
          complete(Id, Use);
      });
      break;
    case EngineEvent::Kind::Crashed:
      ++m_CrashesBy[Request.Request.Fingerprint];
      return crash(Item, PoisonedRestart);
    }
  }
  startStep(Item);
}

void ReplayRun::crash(Machine &Item, Duration DownFor) {
  if (Item.Down)
    return;
  Item.Down = true;
  ++Item.StepNumber;
  for (const auto &[Id, Use] : Item.Engine->crash())
    m_Loop.after(linkTo(*find(Id), *Item.Record),
                 [this, Id = Id, Use = Use] { fail(Id, Use); });
  m_Loop.after(DownDetection, [this, &Item] {
    if (Item.Down)
      m_Policy->markDown(Item.Record->Name);
  });
  m_Loop.after(DownFor, [this, &Item] { restart(Item); });
}

void ReplayRun::restart(Machine &Item) {
  Item.Down = false;
  Item.Leaving = false;
  Item.Accepting = true;
}

/// The target finishes what runs and refuses new requests after a while.
void ReplayRun::leave(Machine &Item, Duration For) {
  Item.Leaving = true;
  m_Loop.after(ListLag, [this, &Item, Started = Item.Engine->incarnation()] {
    m_Policy->markLeaving(Item.Record->Name, Started);
  });
  m_Loop.after(LeavingGrace, [&Item] { Item.Accepting = false; });
  m_Loop.after(For, [this, &Item] { replaceWhenIdle(Item); });
}

void ReplayRun::replaceWhenIdle(Machine &Item) {
  if (Item.Engine->inProgress() > 0)
    return m_Loop.after(ReplaceRetry, [this, &Item] { replaceWhenIdle(Item); });
  ++Item.StepNumber;
  Item.Engine->crash();
  restart(Item);
}

void ReplayRun::publishReports() {
  for (const auto &Name : m_MachineOrder) {
    auto &Item = m_Machines.at(Name);
    if (Item.Down)
      continue;
    auto Report = Item.Engine->load();
    Report.Age = m_ReportLag;
    Report.Leaving = Item.Leaving;
    m_Loop.after(m_ReportLag, [this, Report] { m_Policy->reportLoad(Report); });
    const auto Changes = Item.Engine->takeCacheChanges();
    if (m_LossRandom.uniform() >= CacheEventLoss)
      m_Loop.after(CacheEventLag,
                   [this, Changes] { m_Policy->reportCache(Changes); });
  }
}

void ReplayRun::scheduleTick() {
  const bool TooLong =
      m_Loop.now() - m_Start > m_Trace.Header.Length + LongestTail;
  if (isDone() || TooLong)
    return;
  if (m_Ticks++ % TicksPerReport == 0)
    publishReports();
  m_Policy->tick();
  m_Loop.after(TickInterval, [this] { scheduleTick(); });
}

void ReplayRun::apply(const TraceFault &Fault) {
  if (Fault.Kind == FaultKind::ReportLag) {
    m_ReportLag = Fault.Lag;
    return;
  }
  if (Fault.Kind == FaultKind::StoreOutage) {
    m_StoreDown = true;
    m_Loop.after(Fault.For, [this] { m_StoreDown = false; });
    return;
  }
  const auto It = m_Machines.find(Fault.Target);
  if (It == m_Machines.end())
    return;
  auto &Item = It->second;
  switch (Fault.Kind) {
  case FaultKind::Crash:
    return crash(Item, Fault.For);
  case FaultKind::Leave:
    return leave(Item, Fault.For);
  case FaultKind::Slow:
    Item.Engine->setSlowness(Fault.Factor);
    return m_Loop.after(Fault.For, [&Item] { Item.Engine->setSlowness(1); });
  case FaultKind::ReportLag:
  case FaultKind::StoreOutage:
    return;
  }
}

} // namespace mangodeck
