// Rollouts: messages between daemons, and what delegates decide.
#include "mangodeck/gateway/rolloutcontroller.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace mangodeck {

namespace {

/// Age of a statement of another delegate or daemon up to which it counts.
constexpr Duration StatementTime = 1s;
/// Time after which a delegate that is not the first by name does what is due.
constexpr Duration FollowerDelay = 700ms;
/// Time between two writes of one order. Failed ones are repeated after it.
constexpr Duration WritePeriod = 300ms;
/// Period of the judgement, which goes through all rows.
constexpr Duration JudgePeriod = 150ms;
/// Periods at which the targets are marked apart from changes: what is known of
/// them, and the time for which a version is held.
constexpr Duration ActiveMarkPeriod = 50ms;
constexpr Duration IdleMarkPeriod = 250ms;
/// Time after a verdict for which it is told, also to daemons that the store
/// refuses.
constexpr Duration VerdictTellTime = 5s;

} // namespace

bool RolloutController::handle(std::string_view Bytes, TimePoint Now) {
  if (const auto Evidence = decodeEvidence(Bytes)) {
    handleEvidence(*Evidence, Now);
    return true;
  }
  if (const auto Message = decodePlanMessage(Bytes)) {
    handlePlan(*Message, Now);
    return true;
  }
  return false;
}

void RolloutController::handleEvidence(const EvidenceMessage &Message,
                                       TimePoint Now) {
  auto *Current = planOf(Message.Service);
  // A sender may not have noticed that the store was restored.
  if (!Current || (Message.Order != Current->Order.Revision &&
                   Message.Order.Era == Current->Order.Revision.Era))
    return;
  for (const auto &Each : Message.Processes) {
    Current->Evidence.merge(Each, ownId());
    if (!Message.IsReport || Message.Domain != m_Own.Domain.Text)
      continue;
    auto &Report = Current->Reports[{Each.Vm, Each.Incarnation}];
    Report = {Now, Each.Step, Each.OtherRunning};
  }
}

void RolloutController::handlePlan(const PlanMessage &Message, TimePoint Now) {
  if (Message.Vm == m_Own.Vm)
    return;
  auto &At = m_Services[Message.Order.Service.Text];
  // Step 1. Learn an order that the store has not told yet.
  const auto Relation = At.Current ? relate(At.Current->Order, Message.Order)
                                   : OrderRelation::Changed;
  const bool IsBeforeRestore =
      At.Current &&
      Message.Order.Revision.Era < At.Current->Order.Revision.Era &&
      Message.Order.To == At.Current->Order.To &&
      Message.Order.TimeLimit == At.Current->Order.TimeLimit;
  if (Relation == OrderRelation::Outdated && !IsBeforeRestore)
    return;
  if (Relation == OrderRelation::Repeated || Relation == OrderRelation::Changed)
    begin(At, Message.Order, Now);
  auto &Current = *At.Current;
  if (Current.IsRemoved)
    return;

  // Step 2. Apply what only ever grows.
  if (!Current.Verdict)
    Current.StartedAt =
        std::min<TimePoint>(Current.StartedAt, Now - Message.Elapsed);
  Current.ContactAt =
      std::max<TimePoint>(Current.ContactAt, Now - Message.ContactAge);
  applyStep(Current, Message.Step, "told by " + Message.Vm, Now);
  if (Message.IsCondemned && !Current.IsCondemned)
    condemn(Current, Message.Reason, Now);

  // Step 3. Note the state of another failure domain.
  if (Message.Domain != m_Own.Domain.Text)
    Current.Remote[Message.Domain] = {Message.Vm, Now, Message.Step,
                                      Message.IsDrained};
}

void RolloutController::condemn(Plan &Current, std::string Reason,
                                TimePoint Now) {
  if (std::exchange(Current.IsCondemned, true) || Current.Verdict)
    return;
  Current.Reason = std::move(Reason);
  Current.IsAnnounced = false;
  const auto Totals = Current.Evidence.totals();
  m_Log.write("rollout_condemned",
              {{"service", Current.Order.Service.Text},
               {"to", Current.Order.To},
               {"reason", Current.Reason},
               {"step", nameOf(Current.Step)},
               {"elapsed_ms", ageMs(Current.StartedAt, Now)},
               {"requests", Totals.Requests},
               {"sent", Totals.Sent},
               {"answers", Totals.Answers},
               {"bad", Totals.Bad},
               {"other_answers", Totals.OtherAnswers},
               {"other_bad", Totals.OtherBad}});
  markTargets(Now);
  m_Outlet.reconsider(Current.Order.Service);
}

void RolloutController::updateContact(Plan &Current,
                                      const RolloutSurroundings &Around,
                                      TimePoint Now) {
  Current.ContactAt = std::max(Current.ContactAt, Around.StoreConfirmedAt);
  if (Around.IsDelegate) {
    // Without the store, the word of all other domains.
    auto Oldest = Now;
    for (const auto &Domain : Around.RemoteDomains) {
      const auto Found = Current.Remote.find(Domain);
      Oldest = std::min(Oldest, Found == Current.Remote.end()
                                    ? Current.StartedAt
                                    : Found->second.HeardAt);
    }
    Current.ContactAt = std::max(Current.ContactAt, Oldest);
  }
  const bool IsOut = !isInContact(Current, Now);
  if (std::exchange(Current.IsOutOfContact, IsOut) != IsOut)
    m_Log.write(IsOut ? "rollout_contact_lost" : "rollout_contact_regained",
                {{"service", Current.Order.Service.Text},
                 {"to", Current.Order.To},
                 {"contact_ms", ageMs(Current.ContactAt, Now)}});
}

bool RolloutController::isDomainDrained(const Plan &Current,
                                        const RolloutSurroundings &Around,
                                        TimePoint Now) const {
  if (Current.Step < RolloutStep::Switched ||
      m_Outlet.countElsewhere(Current.Order.Service, Current.To) > 0)
    return false;
  std::size_t Drained = 0;
  for (const auto &[Id, Report] : Current.Reports) {
    if (Now - Report.HeardAt > StatementTime)
      continue;
    if (Report.Step < Current.Step || Report.OtherRunning > 0)
      return false;
    ++Drained;
  }
  return Drained >= Around.ReachablePeers;
}

bool RolloutController::isFleetDrained(const Plan &Current,
                                       const RolloutSurroundings &Around,
                                       TimePoint Now) const {
  if (!Current.IsDrained)
    return false;
  return std::all_of(Around.RemoteDomains.begin(), Around.RemoteDomains.end(),
                     [&](const auto &Domain) {
                       const auto Found = Current.Remote.find(Domain);
                       const auto HeardAt = Found == Current.Remote.end()
                                                ? Current.StartedAt
                                                : Found->second.HeardAt;
                       if (Now - HeardAt > m_Limits.ContactTime)
                         return true;
                       return Found != Current.Remote.end() &&
                              Now - HeardAt < StatementTime &&
                              Found->second.Step >= Current.Step &&
                              Found->second.IsDrained;
                     });
}

RampInput RolloutController::rampInput(const Plan &Current,
                                       TimePoint Now) const {
  RampInput Input;
  Input.Step = Current.Step;
  Input.Elapsed = Now - Current.StartedAt;
  Input.SinceStep = Now - Current.SteppedAt;
  Input.LogRatio = Current.Judged.LogRatio;
  Input.IsBad = Current.Judged.IsBad;
  for (const auto &Target : m_Targets.targetsOf(Current.Order.Service)) {
    if (Target->isLeaving() || Target->MarkedDown)
      continue;
    const bool IsOrdered = Target->Version == Current.To;
    ++(IsOrdered ? Input.Targets : Input.OtherTargets);
    (IsOrdered ? Input.Slots : Input.OtherSlots) += Target->Entry.Slots;
  }
  // Other versions that are away for a moment have not been replaced, and those
  // of superseded orders are not to be kept.
  Input.OtherTargets =
      Current.Others.empty() ? 0 : std::max<std::size_t>(1, Input.OtherTargets);
  return Input;
}

bool RolloutController::isLeader(const Plan &Current, TimePoint Now) const {
  return std::none_of(Current.Remote.begin(), Current.Remote.end(),
                      [&](const auto &Entry) {
                        return Now - Entry.second.HeardAt < StatementTime &&
                               Entry.second.Vm < m_Own.Vm;
                      });
}

void RolloutController::writeVerdict(Service &At, RolloutState State,
                                     TimePoint Now) {
  At.IsWriting = true;
  At.LastWriteAt = Now;
  const auto Expected = At.Status ? At.Status->Revision : StoreRevision();
  m_Outlet.writeStatus(
      {At.Current->Order.Service, State, At.Current->Order.To, StoreRevision()},
      Expected);
}

void RolloutController::writeStep(Service &At,
                                  const RolloutSurroundings &Around,
                                  RolloutStep Step, TimePoint Now) {
  const auto &Current = *At.Current;
  RolloutRecord Next;
  Next.Service = Current.Order.Service;
  Next.Order = Current.Order.Revision;
  Next.To = Current.Order.To;
  Next.StartedAt =
      Around.WallClock - std::chrono::duration_cast<std::chrono::milliseconds>(
                             Now - Current.StartedAt);
  Next.Step = Step;
  Next.Totals = Current.Evidence.totals();
  for (const auto &[Version, Text] : At.Superseded)
    Next.Superseded.push_back(Text);
  At.IsWriting = true;
  At.LastWriteAt = Now;
  m_Outlet.writeRecord(Next, At.Record ? At.Record->Revision : StoreRevision());
}

void RolloutController::act(Service &At, const RolloutSurroundings &Around,
                            TimePoint Now) {
  auto &Current = *At.Current;
  const bool IsKnown =
      m_HasConfiguration && m_Known.contains(Current.Order.Service.Text);
  if (!Around.IsDelegate || !IsKnown)
    return;
  // Step 1. Judge the version.
  if (!Current.Verdict && Now - Current.LastJudgedAt >= JudgePeriod) {
    Current.LastJudgedAt = Now;
    const auto Targets = m_Targets.targetsOf(Current.Order.Service);
    const auto Candidates =
        std::count_if(Targets.begin(), Targets.end(), [&](const auto &Each) {
          return Each->Version == Current.To;
        });
    Current.Judged = judgeVersion(
        Current.Evidence.rowsWithStored(),
        {m_Known.at(Current.Order.Service.Text).IsEngine,
         static_cast<std::size_t>(Candidates),
         Current.Step >= RolloutStep::Switched ? Current.SwitchSlice
                                               : RolloutSlices});
  }

  // Step 2. Determine what is due. A bad version is condemned at once.
  auto Input = rampInput(Current, Now);
  Input.IsDrained = Current.Step >= RolloutStep::Switched
                        ? isFleetDrained(Current, Around, Now)
                        : Current.Others.empty();
  RampDecision Due;
  const bool IsStored = At.Status && belongsTo(*At.Status, Current.Order);
  if (Current.Verdict) {
    if (IsStored && At.Status->State == *Current.Verdict)
      return;
    Due.Action = *Current.Verdict == RolloutState::Completed
                     ? RampDecision::Kind::Complete
                     : RampDecision::Kind::RollBack;
  } else if (Current.IsCondemned) {
    Due.Action = RampDecision::Kind::RollBack;
  } else {
    Due = decideRamp(Current.Schedule, Input);
    if (Input.IsBad) {
      const auto &Judged = Current.Judged;
      condemn(Current,
              fmt::format("{} on route {:x}: {:.3f} against {:.3f} in {} "
                          "answers, log ratio {:.1f}",
                          Judged.Kind, Judged.Route, Judged.CandidateRate,
                          Judged.OtherRate, Judged.CandidateAnswers,
                          Judged.LogRatio),
              Now);
    }
  }
  const bool LacksRunning = !IsStored && !Current.Verdict;
  if (Due.Action == RampDecision::Kind::Keep && !LacksRunning) {
    Current.DueAction.reset();
    return;
  }

  // Step 3. Leave it to the first delegate by name for a moment.
  if (Current.DueAction != Due.Action) {
    Current.DueAction = Due.Action;
    Current.DueSince = Now;
  }
  if ((!isLeader(Current, Now) && Now - Current.DueSince < FollowerDelay) ||
      At.IsWriting || Now - At.LastWriteAt < WritePeriod)
    return;

  // Step 4. Write it.
  switch (Due.Action) {
  case RampDecision::Kind::Keep:
    return writeVerdict(At, RolloutState::Running, Now);
  case RampDecision::Kind::Advance:
    if (LacksRunning && Current.Step == RolloutStep::Waiting)
      return writeVerdict(At, RolloutState::Running, Now);
    return writeStep(At, Around, Due.Step, Now);
  case RampDecision::Kind::Complete:
    return writeVerdict(At, RolloutState::Completed, Now);
  case RampDecision::Kind::RollBack:
    condemn(Current, std::string(Due.Reason), Now);
    return writeVerdict(At, RolloutState::RolledBack, Now);
  }
}

void RolloutController::sendMessages(Plan &Current,
                                     const RolloutSurroundings &Around,
                                     TimePoint Now) {
  const bool IsDue = Now - Current.LastMessageAt >= Around.Period;
  if (!IsDue && (Current.IsAnnounced || !Around.IsDelegate))
    return;
  EvidenceMessage Message{Current.Order.Service,
                          Current.Order.Revision,
                          m_Own.Domain.Text,
                          false,
                          {}};
  auto &Own = Current.Evidence.own(m_Own.Vm, m_Own.Incarnation);
  ++Own.Sequence;
  Own.Step = Current.Step;
  Own.OtherRunning = m_Outlet.countElsewhere(Current.Order.Service, Current.To);
  if (!Around.IsDelegate) {
    Current.LastMessageAt = Now;
    Message.IsReport = true;
    Message.Processes.push_back(Current.Evidence.changesOf(ownId()));
    return m_Outlet.sendToDelegate(encodeEvidence(Message));
  }
  PlanMessage Told;
  Told.Order = Current.Order;
  Told.Vm = m_Own.Vm;
  Told.Incarnation = m_Own.Incarnation;
  Told.Domain = m_Own.Domain.Text;
  Told.Step = Current.Step;
  Told.IsCondemned =
      Current.IsCondemned || Current.Verdict == RolloutState::RolledBack;
  Told.Reason = Current.Reason;
  Told.Elapsed = Now - Current.StartedAt;
  Told.ContactAge = Now - Current.ContactAt;
  Told.IsDrained = Current.IsDrained;
  const auto Bytes = encodePlan(Told);
  m_Outlet.sendToOwnDomain(Bytes);
  m_Outlet.sendToDelegates(Bytes);
  Current.IsAnnounced = true;
  if (!IsDue)
    return;
  Current.LastMessageAt = Now;
  for (const auto &Each : Current.Evidence.takeMessages(Message))
    m_Outlet.sendToDelegates(encodeEvidence(Each));
}

void RolloutController::tick(const RolloutSurroundings &Around, TimePoint Now) {
  m_WallClock = Around.WallClock;
  if (Now - m_MarkedAt >= (isActive() ? ActiveMarkPeriod : IdleMarkPeriod))
    markTargets(Now);
  for (auto &[Name, At] : m_Services) {
    if (!At.Current || At.Current->IsRemoved)
      continue;
    auto &Current = *At.Current;
    updateContact(Current, Around, Now);
    Current.IsDrained = isDomainDrained(Current, Around, Now);
    act(At, Around, Now);
    if (Current.Step == RolloutStep::Final && !Current.Verdict &&
        !Current.IsCondemned && isInContact(Current, Now) &&
        !std::exchange(Current.IsGivenUp, true)) {
      m_Outlet.giveUpElsewhere(Current.Order.Service, Current.To);
      m_Outlet.reconsider(Current.Order.Service);
    }
    if (!Current.Verdict || Now - Current.VerdictAt < VerdictTellTime)
      sendMessages(Current, Around, Now);
  }
}

} // namespace mangodeck
