#include "mangodeck/gateway/rolloutcontroller.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace mangodeck {

namespace {

/// A version that appears beside others without an order gets no requests for
/// this long: its order may be under way.
constexpr Duration UnorderedHold = 2s;
/// Targets of the other versions whose times are told apart in the evidence;
/// enough to show how the speeds of targets differ.
constexpr std::ptrdiff_t ReferenceTargets = 12;
/// Age of a plan up to which the record of the store tells its start: this
/// process has just begun, and the fleet may have been killed.
constexpr Duration AdoptionTime = 1s;
constexpr double LogUnits = 1000;

std::uint16_t hashOfRoute(std::string_view Name) {
  return static_cast<std::uint16_t>(XXH3_64bits(Name.data(), Name.size()));
}

std::uint32_t hashOfTarget(const TrackedTarget &Target) {
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(Target.Hash));
}

/// Whether the target could be used but for the rollout.
bool isReady(const TrackedTarget &Target, TimePoint Now) {
  return !Target.isLeaving() && !Target.MarkedDown && Target.AvoidUntil <= Now;
}

/// Whether a daemon of the same fleet may call \p Stored and \p Listed the same
/// revision: a restored store keeps the numbers of the keys that it still has.
bool isSameNumber(const StoreRevision &Stored, const StoreRevision &Listed) {
  return Stored.Number == Listed.Number && Stored.Era <= Listed.Era;
}

} // namespace

RolloutController::Plan::Plan(RolloutOrder Given, double Phase, TimePoint Now)
    : Order(std::move(Given)), To(versionIdOf(Order.Service, Order.To)),
      StartedAt(Now), Schedule(RolloutSchedule::of(Order.TimeLimit, true)),
      SteppedAt(Now), Share(Phase), ContactAt(Now) {}

RolloutController::RolloutController(RolloutLimits Limits, RolloutProcess Own,
                                     const TargetRegistry &Targets,
                                     RolloutOutlet &Outlet, EventLog &Log,
                                     RandomSource &Random)
    : m_Limits(Limits), m_Own(std::move(Own)), m_Targets(Targets),
      m_Outlet(Outlet), m_Log(Log), m_Random(Random) {}

RolloutController::Plan *RolloutController::planOf(const ServiceName &Name) {
  const auto Found = m_Services.find(Name.Text);
  if (Found == m_Services.end() || !Found->second.Current ||
      Found->second.Current->IsRemoved)
    return nullptr;
  return &*Found->second.Current;
}

bool RolloutController::isActive() const {
  return std::any_of(m_Services.begin(), m_Services.end(), [](const auto &E) {
    const auto &Current = E.second.Current;
    return Current && !Current->IsRemoved && !Current->Verdict;
  });
}

void RolloutController::setServices(
    std::map<std::string, RolloutService> Services) {
  m_Known = std::move(Services);
  m_HasConfiguration = true;
  for (auto &[Name, At] : m_Services) {
    if (!At.Current)
      continue;
    updateSchedule(*At.Current);
    if (!At.Current->IsRemoved && !At.Current->Verdict &&
        !m_Known.contains(Name))
      m_Log.write("rollout_order_invalid",
                  {{"service", Name}, {"reason", "unknown service"}});
  }
}

void RolloutController::updateSchedule(Plan &Current) const {
  const auto Known = m_Known.find(Current.Order.Service.Text);
  Current.Schedule =
      RolloutSchedule::of(Current.Order.TimeLimit,
                          Known == m_Known.end() || Known->second.IsEngine ||
                              Known->second.HasStreams);
}

void RolloutController::begin(Service &At, const RolloutOrder &Order,
                              TimePoint Now) {
  const bool WasChanged = At.Current && At.Current->Order.To != Order.To;
  if (WasChanged && At.Current->Verdict != RolloutState::Completed)
    At.Superseded[At.Current->To] = At.Current->Order.To;
  At.Current.emplace(Order, m_Random.uniform(), Now);
  At.Current->Evidence.own(m_Own.Vm, m_Own.Incarnation);
  updateSchedule(*At.Current);
  At.Superseded.erase(At.Current->To);
  m_Log.write("rollout_order", {{"service", Order.Service.Text},
                                {"to", Order.To},
                                {"limit_ms", toMs(Order.TimeLimit)},
                                {"era", Order.Revision.Era},
                                {"revision", Order.Revision.Number}});
  if (m_HasConfiguration && !m_Known.contains(Order.Service.Text))
    m_Log.write("rollout_order_invalid", {{"service", Order.Service.Text},
                                          {"reason", "unknown service"}});
  applyStore(At, Now);
  markTargets(Now);
}

void RolloutController::onOrder(const ServiceName &Service,
                                std::optional<RolloutOrder> Order,
                                TimePoint Now) {
  auto &At = m_Services[Service.Text];
  if (!Order) {
    if (At.Current && !At.Current->IsRemoved)
      m_Log.write("rollout_order_removed",
                  {{"service", Service.Text}, {"to", At.Current->Order.To}});
    // Kept, since the order may be missing only until a restored store has been
    // written to again.
    if (At.Current)
      At.Current->IsRemoved = true;
    return;
  }
  const auto Relation =
      At.Current ? relate(At.Current->Order, *Order) : OrderRelation::Changed;
  switch (Relation) {
  case OrderRelation::Outdated:
    return;
  case OrderRelation::Same:
  case OrderRelation::Restored:
    At.Current->Order.Revision = Order->Revision;
    At.Current->IsRemoved = false;
    return applyStore(At, Now);
  case OrderRelation::Repeated:
  case OrderRelation::Changed:
    return begin(At, *Order, Now);
  }
}

void RolloutController::onStatus(const ServiceName &Service,
                                 std::optional<RolloutStatus> Status,
                                 TimePoint Now) {
  auto &At = m_Services[Service.Text];
  if (Status && At.Status && Status->Revision < At.Status->Revision)
    return;
  At.Status = std::move(Status);
  applyStore(At, Now);
}

void RolloutController::onRecord(const ServiceName &Service,
                                 std::optional<RolloutRecord> Record,
                                 TimePoint Now) {
  auto &At = m_Services[Service.Text];
  if (Record && At.Record && Record->Revision < At.Record->Revision)
    return;
  At.Record = std::move(Record);
  if (At.Record)
    for (const auto &Text : At.Record->Superseded)
      if (const auto Version = versionIdOf(Service, Text);
          !At.Current || At.Current->To != Version)
        At.Superseded.try_emplace(Version, Text);
  applyStore(At, Now);
}

void RolloutController::onWritten(const ServiceName &Service) {
  m_Services[Service.Text].IsWriting = false;
}

void RolloutController::applyStore(Service &At, TimePoint Now) {
  if (!At.Current || At.Current->IsRemoved)
    return;
  auto &Current = *At.Current;
  // Step 1. What the fleet had reached, if it was for this order.
  const auto &Record = At.Record;
  if (Record && Record->To == Current.Order.To &&
      isSameNumber(Record->Order, Current.Order.Revision)) {
    Current.Evidence.setStored(Record->Totals);
    if (Now - Current.StartedAt < AdoptionTime && m_WallClock.count() > 0) {
      const auto Elapsed =
          std::clamp<Duration>(m_WallClock - Record->StartedAt, Duration{0},
                               Current.Order.TimeLimit);
      Current.StartedAt = std::min<TimePoint>(Current.StartedAt, Now - Elapsed);
    }
    applyStep(Current, Record->Step, "stored", Now);
  }

  // Step 2. A verdict is final, also if a restored store has lost it.
  if (!At.Status || !belongsTo(*At.Status, Current.Order) ||
      At.Status->State == RolloutState::Running || Current.Verdict)
    return;
  Current.Verdict = At.Status->State;
  Current.VerdictAt = Now;
  for (const auto &Target : m_Targets.targetsOf(Current.Order.Service))
    if (Target->Version != Current.To)
      Current.Others.insert(Target->Version);
  const auto Totals = Current.Evidence.totals();
  m_Log.write("rollout_verdict", {{"service", Current.Order.Service.Text},
                                  {"to", Current.Order.To},
                                  {"state", nameOf(*Current.Verdict)},
                                  {"reason", Current.Reason},
                                  {"elapsed_ms", ageMs(Current.StartedAt, Now)},
                                  {"requests", Totals.Requests},
                                  {"sent", Totals.Sent},
                                  {"answers", Totals.Answers},
                                  {"bad", Totals.Bad}});
  markTargets(Now);
  if (*Current.Verdict == RolloutState::Completed &&
      !std::exchange(Current.IsGivenUp, true))
    m_Outlet.giveUpElsewhere(Current.Order.Service, Current.To);
  m_Outlet.reconsider(Current.Order.Service);
}

void RolloutController::applyStep(Plan &Current, RolloutStep Step,
                                  std::string_view Reason, TimePoint Now) {
  if (Step <= Current.Step)
    return;
  m_Log.write("rollout_step", {{"service", Current.Order.Service.Text},
                               {"to", Current.Order.To},
                               {"step", nameOf(Step)},
                               {"before", nameOf(Current.Step)},
                               {"reason", Reason},
                               {"elapsed_ms", ageMs(Current.StartedAt, Now)},
                               {"log_ratio", Current.Judged.LogRatio}});
  if (Current.Step < RolloutStep::Switched)
    Current.SwitchSlice = sliceOf(Current, Now);
  Current.Step = Step;
  Current.SteppedAt = Now;
  Current.IsAnnounced = false;
}

bool RolloutController::isInContact(const Plan &Current, TimePoint Now) const {
  // A verdict is told within two seconds; the rest of the deadline is left for
  // the time since the last contact.
  return Now - Current.ContactAt <
         fromSeconds(0.6 * toSeconds(m_Limits.RollbackDeadline));
}

std::uint8_t RolloutController::sliceOf(const Plan &Current,
                                        TimePoint Now) const {
  const auto Part = toSeconds(Now - Current.StartedAt) /
                    toSeconds(Current.Order.TimeLimit) * RolloutSlices;
  return static_cast<std::uint8_t>(
      std::clamp<double>(Part, 0, RolloutSlices - 1));
}

double RolloutController::shareNow(const Plan &Current, TimePoint Now) const {
  return shareOf(Current.Step, Now - Current.SteppedAt, Current.Schedule,
                 m_Limits);
}

bool RolloutController::mayTakeNow(const Plan &Current, TimePoint Now) const {
  if (Current.Step != RolloutStep::Trial)
    return true;
  std::size_t New = 0;
  std::size_t Others = 0;
  for (const auto &Target : m_Targets.targetsOf(Current.Order.Service))
    if (Target->Entry.Domain == m_Own.Domain && isReady(*Target, Now))
      ++(Target->Version == Current.To ? New : Others);
  const auto Share = shareNow(Current, Now);
  const auto Duty = pulseDuty(Share, trialTargets(Share, New, Others), Others);
  const auto Phase = (Now - Current.StartedAt) % PulsePeriod;
  return toSeconds(Phase) < Duty * toSeconds(PulsePeriod);
}

VersionChoice RolloutController::choose(const ServiceName &Service,
                                        const RolloutRequest &Request,
                                        TimePoint Now) {
  auto *Current = planOf(Service);
  if (!Current)
    return {};
  const VersionChoice NotOrdered{NoVersion, Current->To};
  // Step 1. Count the request.
  if (Request.IsNew && !Current->Verdict) {
    Current->Share.recordRequest(shareNow(*Current, Now));
    ++Current->Evidence.own(m_Own.Vm, m_Own.Incarnation).Requests;
  }

  // Step 2. After a verdict, by the verdict.
  if (Current->Verdict == RolloutState::Completed)
    return {};
  if (Current->Verdict || Current->IsCondemned || !m_IsListed)
    return NotOrdered;
  if (Current->Others.empty()) // The version runs alone.
    return {};
  if (Current->Step == RolloutStep::Waiting)
    return NotOrdered;

  // Step 3. After the switch, the ordered version only. Without word of the
  // fleet, the other versions while they can be used.
  const bool IsInContact = isInContact(*Current, Now);
  const auto Targets = m_Targets.targetsOf(Service);
  if (Current->Step >= RolloutStep::Switched) {
    const auto HasUsable = [&](bool IsOrdered) {
      return std::any_of(Targets.begin(), Targets.end(), [&](const auto &T) {
        return (T->Version == Current->To) == IsOrdered && T->isUsable(Now);
      });
    };
    if (IsInContact)
      return HasUsable(true) ? VersionChoice{Current->To, NoVersion}
                             : VersionChoice{};
    return HasUsable(false) ? NotOrdered : VersionChoice{};
  }

  // Step 4. Else the share, as far as its targets have free slots.
  if (!IsInContact || !Request.IsNew || Request.HasTried ||
      !Current->Share.mayTake() || !mayTakeNow(*Current, Now))
    return NotOrdered;
  const bool HasSlot =
      std::any_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
        return Target->Version == Current->To && Target->isUsable(Now) &&
               Target->running() < Target->Entry.Slots &&
               !(Request.BeginsStream && Target->NewStreamsFrom > Now);
      });
  if (!HasSlot)
    return NotOrdered;
  Current->Share.take();
  return {Current->To, NoVersion};
}

bool RolloutController::reassign(const ServiceName &Service, VersionId Only) {
  auto *Current = planOf(Service);
  if (!Current || Only == NoVersion || Current->To != Only ||
      Current->Verdict || Current->Step >= RolloutStep::Switched)
    return false;
  Current->Share.giveBack();
  return true;
}

void RolloutController::recordSend(const TrackedTarget &Target) {
  auto *Current = planOf(Target.Entry.Service);
  if (Current && !Current->Verdict && Target.Version == Current->To)
    ++Current->Evidence.own(m_Own.Vm, m_Own.Incarnation).Sent;
}

void RolloutController::recordAnswer(const RolloutAnswer &Answer,
                                     TimePoint Now) {
  const auto &Target = Answer.Target;
  auto *Current = planOf(Target.Entry.Service);
  if (!Current || Current->Verdict || Current->Step == RolloutStep::Waiting)
    return;
  const bool IsCandidate = Target.Version == Current->To;
  const auto Targets = m_Targets.targetsOf(Target.Entry.Service);
  const bool IsToldApart =
      IsCandidate ||
      std::count_if(Targets.begin(), Targets.end(), [&](const auto &Each) {
        return Each->Version != Current->To && Each->Hash < Target.Hash;
      }) < ReferenceTargets;
  EvidenceCounts Counts;
  Counts.Answers = 1;
  Counts.Bad = Answer.IsBad ? 1 : 0;
  if (Answer.Seconds > 0 && IsToldApart && !Answer.IsBad) {
    const auto Log = std::log(Answer.Seconds);
    Counts.Timed = 1;
    Counts.SumLog = std::llround(Log * LogUnits);
    Counts.SumSquares = std::llround(Log * Log * LogUnits);
  }
  Current->Evidence.record(Current->Evidence.own(m_Own.Vm, m_Own.Incarnation),
                           {sliceOf(*Current, Now), hashOfRoute(Answer.Route),
                            IsToldApart ? hashOfTarget(Target) : 0,
                            IsCandidate},
                           Counts);
}

bool RolloutController::barsVersion(const Service &At, VersionId Version,
                                    TimePoint Now) const {
  const auto &Current = At.Current;
  if (Current && Current->To == Version) {
    if (Current->IsRemoved)
      return Current->Verdict != RolloutState::Completed;
    return !(Current->Verdict == RolloutState::Completed) &&
           (Current->Verdict || Current->IsCondemned || !m_IsListed ||
            (Current->Step == RolloutStep::Waiting &&
             !Current->Others.empty()));
  }
  if (At.Superseded.contains(Version))
    return true;
  if (Current && !Current->IsRemoved) {
    if (Current->Verdict == RolloutState::Completed)
      return Current->Others.contains(Version);
    return !Current->Verdict && !Current->IsCondemned &&
           Current->Step == RolloutStep::Final && isInContact(*Current, Now);
  }
  return false;
}

void RolloutController::markTargets(TimePoint Now) {
  m_MarkedAt = Now;
  for (const auto &[Name, Targets] : m_Targets.targetsByService()) {
    auto &At = m_Services[Name];
    // Step 1. Which versions are new without an order.
    std::set<VersionId> Earlier; // With ready targets, and not new.
    for (const auto &Target : Targets) {
      const auto Since =
          At.FirstSeen
              .try_emplace(Target->Version, m_IsListed && !At.FirstSeen.empty()
                                                ? Now
                                                : TimePoint{})
              .first->second;
      if (Now - Since >= UnorderedHold && isReady(*Target, Now))
        Earlier.insert(Target->Version);
    }
    const bool HasPlan = At.Current && !At.Current->IsRemoved;
    for (const auto &Target : Targets)
      if (HasPlan && !At.Current->Verdict &&
          Target->Version != At.Current->To &&
          !At.Superseded.contains(Target->Version))
        At.Current->Others.insert(Target->Version);
    const auto IsHeld = [&](VersionId Version) {
      const bool IsOrdered = HasPlan && At.Current->To == Version;
      return !IsOrdered && Now - At.FirstSeen[Version] < UnorderedHold &&
             !Earlier.empty() && !Earlier.contains(Version);
    };

    // Step 2. In the trial, few targets of each failure domain.
    std::set<std::uint64_t> Trial;
    const bool IsTrial = HasPlan && !At.Current->Verdict &&
                         !At.Current->Others.empty() &&
                         At.Current->Step == RolloutStep::Trial;
    if (IsTrial) {
      std::map<std::string, std::vector<std::uint64_t>> NewByDomain;
      std::map<std::string, std::size_t> OthersByDomain;
      for (const auto &Target : Targets) {
        if (!isReady(*Target, Now))
          continue;
        if (Target->Version == At.Current->To)
          NewByDomain[Target->Entry.Domain.Text].push_back(Target->Hash);
        else
          ++OthersByDomain[Target->Entry.Domain.Text];
      }
      for (auto &[Domain, Hashes] : NewByDomain) {
        std::sort(Hashes.begin(), Hashes.end());
        Hashes.resize(trialTargets(shareNow(*At.Current, Now), Hashes.size(),
                                   OthersByDomain[Domain]));
        Trial.insert(Hashes.begin(), Hashes.end());
      }
    }

    // Step 3. Mark them.
    for (const auto &Target : Targets) {
      const bool IsOutsideTrial = IsTrial &&
                                  Target->Version == At.Current->To &&
                                  !Trial.contains(Target->Hash);
      Target->IsBarred = IsOutsideTrial || IsHeld(Target->Version) ||
                         barsVersion(At, Target->Version, Now);
    }
  }
}

std::string RolloutController::describe(TimePoint Now) const {
  auto List = nlohmann::ordered_json::array();
  for (const auto &[Name, At] : m_Services) {
    if (!At.Current)
      continue;
    const auto &Current = *At.Current;
    const auto Totals = Current.Evidence.totals();
    List.push_back(
        {{"service", Name},
         {"to", Current.Order.To},
         {"state", Current.IsRemoved ? "removed"
                   : Current.Verdict ? nameOf(*Current.Verdict)
                                     : nameOf(RolloutState::Running)},
         {"step", nameOf(Current.Step)},
         {"condemned", Current.IsCondemned},
         {"reason", Current.Reason},
         {"elapsed_ms", ageMs(Current.StartedAt, Now)},
         {"limit_ms", toMs(Current.Order.TimeLimit)},
         {"contact_ms", ageMs(Current.ContactAt, Now)},
         {"requests", Totals.Requests},
         {"sent", Totals.Sent},
         {"answers", Totals.Answers},
         {"bad", Totals.Bad},
         {"other_answers", Totals.OtherAnswers},
         {"other_bad", Totals.OtherBad},
         {"log_ratio", Current.Judged.LogRatio},
         {"kind", Current.Judged.Kind},
         {"processes", Current.Evidence.processes().size()}});
  }
  return List.dump();
}

} // namespace mangodeck
