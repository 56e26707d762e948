#include "mangodeck/gateway/quotaledger.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

/// Share of a limit that is divided evenly among the daemons while some are
/// unreachable; the rest is divided by demand.
constexpr double EvenlyDividedShare = 0.3;
/// Time constant of the mean demand: short compared to the windows over which
/// adherence to a limit is judged.
constexpr double DemandTimeConstantSeconds = 1.5;
/// A daemon is unreachable if its last report is older than this: several
/// reports were lost.
constexpr Duration ReachableTimeout = 1500ms;
/// Time after which an unreachable daemon no longer holds a share of the limit.
/// Longer than the likely duration of a network partition in which both sides
/// go on serving.
constexpr Duration PeerExpiry = 15s;
/// Share of the burst that a new account starts with: before a restart, this
/// daemon may have used the burst.
constexpr double InitialBurstShare = 0.5;
/// Time after its start, or after the reports began to arrive by another way,
/// in which a daemon may use more than its share of the limit. Reports of all
/// others arrive in less, unless they are cut off.
constexpr Duration GatheringTime = 1s;
/// A daemon that hears from this share of the daemons is in contact with them.
constexpr double ContactShare = 0.9;
/// Time between two records of the demand, which divide the limit among the
/// failure domains that are cut off from each other. The record in use is at
/// least this old, longer than ReachableTimeout: each side must use the demand
/// from before the cut, or the shares would not sum to the limit.
constexpr Duration DemandRecordPeriod = 2s;
/// After this time without a report of a daemon its usage is estimated: longer
/// than the time between two reports, unless one is lost.
constexpr Duration SilenceTolerance = 600ms;
/// Shortest time over which the demand of a daemon that has just started is
/// averaged.
constexpr double MinDemandSeconds = 0.3;
/// Share of the bucket's capacity at which the daemons together admit as much
/// as the limit's rate. Above it they admit more, below it less, so while the
/// demand exceeds the limit, the bucket settles there. The reports are some
/// hundred milliseconds late; a smaller share would make the units oscillate.
constexpr double EquilibriumShare = 0.4;
/// Share of the bucket's capacity that a request requires at most. Half of the
/// share at which the bucket settles, so that large requests are admitted as
/// often as others while the demand exceeds the limit.
constexpr double MaxRequiredShare = 0.5 * EquilibriumShare;
/// While the demand exceeds the limit, a request is preferred by how much less
/// than the mean it costs, within these factors: more requests are admitted on
/// the same units. The largest are admitted a quarter as often as the mean or
/// more.
constexpr double MinCostFactor = 0.65;
constexpr double MaxCostFactor = 2;
/// Weight of a new request in the mean cost.
constexpr double MeanCostWeight = 0.05;

} // namespace

std::string_view toString(QuotaRefusal::Cause DecidedBy) {
  switch (DecidedBy) {
  case QuotaRefusal::Cause::Units:
    return "units";
  case QuotaRefusal::Cause::OwnShare:
    return "own_share";
  case QuotaRefusal::Cause::Demand:
    return "demand";
  }
  return "";
}

void QuotaLedger::configure(const RoutePlan &Plan, TimePoint Now) {
  refreshStandings(Now);
  for (const auto &Customer : Plan.Customers) {
    auto [At, New] = m_Accounts.try_emplace(Customer.Name.Text);
    auto &State = At->second;
    if (!New)
      advance(State, Now);
    State.UnitsPerSecond = Customer.PerSecond;
    State.BurstUnits = std::max(1.0, Customer.Burst);
    if (New) {
      State.UpdatedAt = Now;
      State.CreatedAt = State.RecordedAt = Now;
      State.OthersDemand = reportedDemand(At->first);
      State.UnitsLeft = InitialBurstShare * State.BurstUnits;
      startGathering(State, Now);
    }
  }
  std::erase_if(m_Accounts, [&](const auto &Entry) {
    return std::none_of(
        Plan.Customers.begin(), Plan.Customers.end(),
        [&](const auto &C) { return C.Name.Text == Entry.first; });
  });
}

void QuotaLedger::onPeerUsage(const PeerUsage &Reported, TimePoint Now) {
  refreshStandings(Now);
  auto [At, New] = m_Peers.try_emplace(Reported.Source);
  auto &State = At->second;
  const bool SameIncarnation =
      !New && Reported.Incarnation == State.LastUsage.Incarnation;
  // While a peer was unreachable or not charged, its share of the limit was
  // withheld, so the units that it admitted meanwhile are not charged again. A
  // restarted daemon counts from 0. A domain summary with another incarnation
  // comes from another delegate, whose counts do not continue the previous
  // ones.
  const bool IsCharged = isCharged(Reported, Now);
  const bool WasCharged = SameIncarnation && State.IsCharged;
  const bool WasReachable =
      WasCharged && Now - State.LastReportTime <= ReachableTimeout;
  State.IsCharged = IsCharged;
  const bool Restarted = !New && !SameIncarnation && !Reported.IsDomainSummary;
  for (const auto &[Name, Usage] : Reported.Usage) {
    const auto Account = m_Accounts.find(Name);
    if (Account == m_Accounts.end())
      continue;
    auto &Entry = Account->second;
    advance(Entry, Now);
    if (!IsCharged)
      continue;
    if (WasReachable || Restarted || Usage.IsSinceStart) {
      const auto Previous = State.LastUsage.Usage.find(Name);
      const double PreviousUnits =
          !WasCharged || Previous == State.LastUsage.Usage.end()
              ? 0
              : Previous->second.AdmittedUnits;
      Entry.UnitsLeft -= Usage.AdmittedUnits - PreviousUnits;
      // The report includes what was estimated meanwhile.
      if (const auto Estimate = State.EstimatedUnits.find(Name);
          WasCharged && Estimate != State.EstimatedUnits.end())
        Entry.UnitsLeft += Estimate->second;
      if (!Reported.IsDomainSummary) {
        Entry.DomainAdmittedUnits += Usage.AdmittedUnits - PreviousUnits;
        State.DomainUnits[Name] += Usage.AdmittedUnits - PreviousUnits;
      }
    } else {
      // The counts cannot be compared, so what was admitted since the last
      // report is estimated. The peer may also have charged usage that was
      // never reported to this daemon.
      chargeSilence(Entry, Name, State, Now);
      Entry.UnitsLeft = std::min(
          Entry.UnitsLeft,
          Usage.UnitsLeft * (Usage.UnitsLeft > 0 ? Entry.LimitShare : 1));
    }
  }
  addToSums(State, -1);
  State.LastUsage = Reported;
  State.LastReportTime = Now;
  State.EstimatedUntil = Now;
  State.EstimatedUnits.clear();
  if (New && !isInDomain(Reported))
    ++m_RemoteDomains;
  State.Counted = Standing::Reachable;
  addToSums(State, 1);
  m_NextStandingChange = std::min(m_NextStandingChange, standingEnd(State));
}

QuotaLedger::Standing QuotaLedger::standingOf(const Peer &Other,
                                              TimePoint Now) {
  const auto Age = Now - Other.LastReportTime;
  if (Age <= ReachableTimeout)
    return Standing::Reachable;
  return Other.LastUsage.Stopping || Age > PeerExpiry ? Standing::Expired
                                                      : Standing::Unreachable;
}

TimePoint QuotaLedger::standingEnd(const Peer &Other) {
  switch (Other.Counted) {
  case Standing::Reachable:
    return Other.LastReportTime + ReachableTimeout;
  case Standing::Unreachable:
    return Other.LastReportTime + PeerExpiry;
  case Standing::Expired:
    break;
  }
  return TimePoint::max();
}

void QuotaLedger::addToSums(const Peer &Other, int Sign) {
  if (Other.Counted == Standing::Expired)
    return;
  const bool IsReachable = Other.Counted == Standing::Reachable;
  const bool IsInDomain = isInDomain(Other.LastUsage);
  const auto Add = [&](std::size_t &Sum, std::size_t Count) {
    Sum = Sign > 0 ? Sum + Count : Sum - Count;
  };
  const std::size_t Count = Other.LastUsage.DaemonCount;
  Add(IsReachable ? m_ReachableDaemons : m_UnreachableDaemons, Count);
  if (IsReachable && IsInDomain)
    Add(m_ReachableInDomain, Count);
  if (!IsReachable && !IsInDomain)
    Add(m_UnreachableDomains, 1);
  for (const auto &[Name, Usage] : Other.LastUsage.Usage) {
    const auto Found = m_Accounts.find(Name);
    if (Found == m_Accounts.end())
      continue;
    auto &Demand = Found->second.OthersDemand;
    auto &Sum = IsReachable ? Demand.Reachable : Demand.Unreachable;
    // Rounding must not leave a negative sum.
    Sum = std::max(0.0, Sum + Sign * Usage.DemandPerSecond);
    if (IsReachable && IsInDomain)
      Demand.ReachableInDomain = std::max(
          0.0, Demand.ReachableInDomain + Sign * Usage.DemandPerSecond);
  }
}

QuotaLedger::PeerDemand
QuotaLedger::reportedDemand(const std::string &Name) const {
  PeerDemand Demand;
  for (const auto &[Id, Other] : m_Peers) {
    const auto Found = Other.LastUsage.Usage.find(Name);
    if (Found == Other.LastUsage.Usage.end())
      continue;
    if (Other.Counted == Standing::Reachable) {
      Demand.Reachable += Found->second.DemandPerSecond;
      if (isInDomain(Other.LastUsage))
        Demand.ReachableInDomain += Found->second.DemandPerSecond;
    } else if (Other.Counted == Standing::Unreachable)
      Demand.Unreachable += Found->second.DemandPerSecond;
  }
  return Demand;
}

void QuotaLedger::chargeSilence(Account &State, const std::string &Name,
                                Peer &Silent, TimePoint Now) {
  const auto Usage = Silent.LastUsage.Usage.find(Name);
  const auto Silence = std::min(Now, Silent.LastReportTime + ReachableTimeout) -
                       Silent.EstimatedUntil;
  if (Silent.Counted != Standing::Reachable || !Silent.IsCharged ||
      Usage == Silent.LastUsage.Usage.end() || Silence <= Duration{0})
    return;
  const double Demand =
      State.OwnUsage.DemandPerSecond + State.OthersDemand.Reachable;
  const double Units = Usage->second.DemandPerSecond *
                       admittedShare(State, Demand) * toSeconds(Silence);
  State.UnitsLeft -= Units;
  Silent.EstimatedUnits[Name] += Units;
}

void QuotaLedger::startReportPeriod(TimePoint Now) {
  refreshStandings(Now);
  for (auto &[Id, Other] : m_Peers) {
    if (Other.Counted != Standing::Reachable ||
        Now - Other.LastReportTime < SilenceTolerance)
      continue;
    for (auto &[Name, State] : m_Accounts) {
      advance(State, Now);
      chargeSilence(State, Name, Other, Now);
    }
    Other.EstimatedUntil = Now;
  }
}

void QuotaLedger::refreshStandings(TimePoint Now) {
  if (Now <= m_NextStandingChange)
    return;
  m_NextStandingChange = TimePoint::max();
  for (auto &[Id, Other] : m_Peers) {
    if (const auto Current = standingOf(Other, Now); Current != Other.Counted) {
      for (auto &[Name, State] : m_Accounts)
        chargeSilence(State, Name, Other, Now);
      addToSums(Other, -1);
      Other.Counted = Current;
      addToSums(Other, 1);
    }
    m_NextStandingChange = std::min(m_NextStandingChange, standingEnd(Other));
  }
}

void QuotaLedger::setDaemonCount(std::size_t Count) {
  m_DaemonCount = std::max<std::size_t>(1, Count);
}

bool QuotaLedger::isCutOff() const {
  return m_UnreachableDomains > 0 ||
         static_cast<double>(m_ReachableDaemons + 1) <
             ContactShare * static_cast<double>(m_DaemonCount);
}

bool QuotaLedger::isCharged(const PeerUsage &Reported, TimePoint Now) const {
  return isInDomain(Reported) || !isCutOff() || Now < m_GatheringUntil;
}

QuotaLedger::ReachableDaemons
QuotaLedger::domainShare(const Account &State) const {
  const double CountShare =
      std::min(1.0, static_cast<double>(m_ReachableInDomain + 1) /
                        static_cast<double>(m_DaemonCount));
  const double Demand =
      State.OwnUsage.DemandPerSecond + State.OthersDemand.ReachableInDomain;
  const auto &Record = State.UsedRecord;
  if (Record.Total <= 0)
    return {CountShare, Demand};
  return {EvenlyDividedShare * CountShare +
              (1 - EvenlyDividedShare) * Record.InDomain / Record.Total,
          Demand};
}

QuotaLedger::ReachableDaemons
QuotaLedger::reachableDaemons(const Account &State) const {
  if (m_UnreachableDomains > 0 || (isCutOff() && m_RemoteDomains > 0))
    return domainShare(State);
  const double ReachableDemand =
      State.OwnUsage.DemandPerSecond + State.OthersDemand.Reachable;
  double TotalDemand = ReachableDemand + State.OthersDemand.Unreachable;
  const auto ReachableCount = m_ReachableDaemons + 1;
  const auto ReportedCount = ReachableCount + m_UnreachableDaemons;
  // Daemons without a report so far are assumed to have the mean demand of the
  // others.
  if (m_DaemonCount > ReportedCount)
    TotalDemand *=
        static_cast<double>(m_DaemonCount) / static_cast<double>(ReportedCount);
  const double CountShare =
      std::min(1.0, static_cast<double>(ReachableCount) /
                        static_cast<double>(m_DaemonCount));
  if (CountShare >= 1 || TotalDemand <= 0)
    return {CountShare, ReachableDemand};
  return {EvenlyDividedShare * CountShare +
              (1 - EvenlyDividedShare) * ReachableDemand / TotalDemand,
          ReachableDemand};
}

void QuotaLedger::startGathering(Account &State, TimePoint Now) {
  if (!State.isGathering())
    State.GatheredUnits = State.BurstUnits * reachableDaemons(State).LimitShare;
  m_GatheringUntil = State.GatheringUntil = Now + GatheringTime;
}

void QuotaLedger::updateDemand(Account &State, TimePoint Now) {
  const double Age =
      std::max(MinDemandSeconds, toSeconds(Now - State.CreatedAt));
  State.OwnUsage.DemandPerSecond =
      State.RawDemand / (1 - std::exp(-Age / DemandTimeConstantSeconds));
}

void QuotaLedger::advance(Account &State, TimePoint Now) {
  const double Seconds = std::max(0.0, toSeconds(Now - State.UpdatedAt));
  State.UpdatedAt = Now;
  State.RawDemand *= std::exp(-Seconds / DemandTimeConstantSeconds);
  updateDemand(State, Now);
  const double LimitShare = reachableDaemons(State).LimitShare;
  // Step 1. While the reports have not arrived yet, the units remain those of
  // the share before, and this daemon admits from its own share.
  if (State.isGathering()) {
    State.GatheredUnits = std::min(
        State.GatheredUnits + Seconds * State.UnitsPerSecond * LimitShare,
        State.BurstUnits * LimitShare);
    if (LimitShare >= ContactShare * State.LimitShare)
      State.GatheringUntil = TimePoint{};
    else if (Now >= State.GatheringUntil) {
      State.GatheringUntil = TimePoint{};
      State.UnitsLeft = std::min(State.UnitsLeft, State.GatheredUnits);
      State.LimitShare = LimitShare;
    }
  }
  // Step 2. The units are those of this daemon and the reachable ones. A debt
  // remains whole: both sides of a network partition have admitted it.
  if (!State.isGathering()) {
    if (State.UnitsLeft > 0 && State.LimitShare > 0)
      State.UnitsLeft *= LimitShare / State.LimitShare;
    State.LimitShare = LimitShare;
  }
  State.UnitsLeft = std::min(State.UnitsLeft + Seconds * State.UnitsPerSecond *
                                                   State.LimitShare,
                             State.BurstUnits * State.LimitShare);
  // Step 3. Record the demand while all are in contact.
  if (!isCutOff() && Now - State.RecordedAt >= DemandRecordPeriod) {
    State.RecordedAt = Now;
    State.UsedRecord = State.NextRecord;
    State.NextRecord.InDomain =
        State.OwnUsage.DemandPerSecond + State.OthersDemand.ReachableInDomain;
    State.NextRecord.Total =
        State.OwnUsage.DemandPerSecond + State.OthersDemand.Reachable;
  }
}

std::optional<QuotaLedger::Assessment>
QuotaLedger::assess(const CustomerName &Customer, double Cost, TimePoint Now) {
  const auto Found = m_Accounts.find(Customer.Text);
  if (Found == m_Accounts.end())
    return std::nullopt;
  auto &State = Found->second;
  refreshStandings(Now);
  advance(State, Now);
  const auto Reachable = reachableDaemons(State);
  State.RawDemand += Cost / DemandTimeConstantSeconds;
  updateDemand(State, Now);
  if (State.UnitsPerSecond <= 0)
    return std::nullopt;
  const double Capacity = State.BurstUnits * State.LimitShare;
  const double RequiredUnits = std::min(Cost, MaxRequiredShare * Capacity);
  State.MeanCost =
      State.MeanCost > 0
          ? State.MeanCost + MeanCostWeight * (Cost - State.MeanCost)
          : Cost;
  const double BaseShare = admittedShare(State, Reachable.DemandPerSecond);
  const double Share =
      BaseShare >= 1 ? 1
                     : BaseShare * std::clamp(State.MeanCost / Cost,
                                              MinCostFactor, MaxCostFactor);
  return Assessment{State, RequiredUnits, Share,
                    !State.isGathering() || State.GatheredUnits > 0};
}

double QuotaLedger::admissionChance(const CustomerName &Customer, double Cost,
                                    TimePoint Now) {
  const auto Assessed = assess(Customer, Cost, Now);
  return !Assessed ? 1 : Assessed->hasUnits() ? Assessed->Share : 0;
}

std::optional<QuotaRefusal> QuotaLedger::charge(const CustomerName &Customer,
                                                double Cost, TimePoint Now) {
  const auto Assessed = assess(Customer, Cost, Now);
  if (!Assessed)
    return std::nullopt;
  auto &[State, RequiredUnits, Share, HasOwnUnits] = *Assessed;
  if (Assessed->hasUnits() && m_Random.uniform() < Share) {
    State.UnitsLeft -= Cost;
    State.GatheredUnits -= Cost;
    State.OwnUsage.AdmittedUnits += Cost;
    State.DomainAdmittedUnits += Cost;
    return std::nullopt;
  }
  QuotaRefusal Refusal;
  Refusal.DecidedBy = State.UnitsLeft < RequiredUnits
                          ? QuotaRefusal::Cause::Units
                      : !HasOwnUnits ? QuotaRefusal::Cause::OwnShare
                                     : QuotaRefusal::Cause::Demand;
  Refusal.WaitTime =
      fromSeconds(std::max(RequiredUnits - State.UnitsLeft, Cost) /
                  std::max(1.0, State.UnitsPerSecond * State.LimitShare));
  Refusal.UnitsLeft = State.UnitsLeft;
  Refusal.RequiredUnits = RequiredUnits;
  Refusal.OwnDemand = State.OwnUsage.DemandPerSecond;
  Refusal.OthersDemand = State.OthersDemand.Reachable;
  Refusal.LimitShare = State.LimitShare;
  Refusal.AdmittedShare = Share;
  return Refusal;
}

double QuotaLedger::admittedShare(const Account &State,
                                  double DemandPerSecond) {
  const double AdmittedPerSecond = State.UnitsPerSecond *
                                   std::max(0.0, State.UnitsLeft) /
                                   (EquilibriumShare * State.BurstUnits);
  return DemandPerSecond <= AdmittedPerSecond
             ? 1
             : AdmittedPerSecond / DemandPerSecond;
}

void QuotaLedger::refund(const CustomerName &Customer, double Cost) {
  const auto Found = m_Accounts.find(Customer.Text);
  if (Found == m_Accounts.end())
    return;
  Found->second.UnitsLeft += Cost;
  Found->second.OwnUsage.AdmittedUnits -= Cost;
  Found->second.DomainAdmittedUnits -= Cost;
}

std::map<std::string, QuotaUsage> QuotaLedger::domainUsage(TimePoint Now) {
  auto Result = usage(Now);
  for (auto &[Name, Usage] : Result) {
    const auto &State = m_Accounts.at(Name);
    Usage.AdmittedUnits = State.DomainAdmittedUnits;
    Usage.DemandPerSecond += State.OthersDemand.ReachableInDomain;
  }
  return Result;
}

std::map<std::string, QuotaUsage>
QuotaLedger::domainUsageWithout(const std::string &Source, TimePoint Now) {
  auto Result = domainUsage(Now);
  const auto Found = m_Peers.find(Source);
  if (Found == m_Peers.end())
    return Result;
  const auto &Excluded = Found->second;
  for (const auto &[Name, Units] : Excluded.DomainUnits)
    if (const auto Entry = Result.find(Name); Entry != Result.end())
      Entry->second.AdmittedUnits -= Units;
  if (Excluded.Counted == Standing::Reachable)
    for (const auto &[Name, Usage] : Excluded.LastUsage.Usage)
      if (const auto Entry = Result.find(Name); Entry != Result.end())
        Entry->second.DemandPerSecond = std::max(
            0.0, Entry->second.DemandPerSecond - Usage.DemandPerSecond);
  return Result;
}

void QuotaLedger::forgetPeers(TimePoint Now) {
  for (auto &[Name, State] : m_Accounts) {
    advance(State, Now);
    for (auto &[Id, Other] : m_Peers)
      chargeSilence(State, Name, Other, Now);
  }
  m_Peers.clear();
  m_ReachableDaemons = 0;
  m_ReachableInDomain = 0;
  m_UnreachableDaemons = 0;
  m_UnreachableDomains = 0;
  m_RemoteDomains = 0;
  m_NextStandingChange = TimePoint::max();
  for (auto &[Name, State] : m_Accounts) {
    State.OthersDemand = PeerDemand();
    startGathering(State, Now);
  }
}

std::map<std::string, QuotaUsage> QuotaLedger::usage(TimePoint Now) {
  refreshStandings(Now);
  std::map<std::string, QuotaUsage> Result;
  for (auto &[Name, State] : m_Accounts) {
    advance(State, Now);
    State.OwnUsage.IsSinceStart = Now - State.CreatedAt < 2 * GatheringTime;
    State.OwnUsage.UnitsLeft = State.UnitsLeft > 0 && State.LimitShare > 0
                                   ? State.UnitsLeft / State.LimitShare
                                   : State.UnitsLeft;
    if (State.UnitsPerSecond > 0)
      Result[Name] = State.OwnUsage;
  }
  return Result;
}

double QuotaLedger::reachableShare(const CustomerName &Customer,
                                   TimePoint Now) {
  refreshStandings(Now);
  const auto Found = m_Accounts.find(Customer.Text);
  return Found == m_Accounts.end() ? 1.0
                                   : reachableDaemons(Found->second).LimitShare;
}

} // namespace mangodeck
