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
/// Share of the limit's rate above which the demand is treated as exceeding the
/// limit.
constexpr double ScarceDemandShare = 0.9;
/// A request that costs more than this share of the bucket's capacity requires
/// only this share in the bucket. Otherwise a request larger than the bucket
/// could never be admitted.
constexpr double LargeRequestBurstShare = 0.9;

} // namespace

void QuotaLedger::configure(const RoutePlan &Plan, TimePoint Now) {
  refreshStandings(Now);
  for (const auto &Customer : Plan.Customers) {
    auto [At, New] = m_Accounts.try_emplace(Customer.Name.Text);
    auto &State = At->second;
    if (!New)
      advance(State, Now);
    State.UnitsPerSecond = Customer.PerSecond;
    State.BurstUnits = Customer.Burst;
    if (New) {
      State.UpdatedAt = Now;
      State.UnitsLeft = InitialBurstShare * State.BurstUnits;
      State.OthersDemand = reportedDemand(At->first);
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
  // While a peer was unreachable, its share of the limit was withheld, so the
  // units that it admitted meanwhile are not charged again. A restarted daemon
  // counts from 0. A domain summary with another incarnation comes from another
  // delegate, whose counts do not continue the previous ones.
  const bool WasReachable =
      SameIncarnation && Now - State.LastReportTime <= ReachableTimeout;
  const bool Restarted = !New && !SameIncarnation && !Reported.IsDomainSummary;
  for (const auto &[Name, Usage] : Reported.Usage) {
    const auto Account = m_Accounts.find(Name);
    if (Account == m_Accounts.end())
      continue;
    auto &Entry = Account->second;
    advance(Entry, Now);
    if (WasReachable || Restarted) {
      const auto Previous = State.LastUsage.Usage.find(Name);
      const double PreviousUnits =
          Restarted || Previous == State.LastUsage.Usage.end()
              ? 0
              : Previous->second.AdmittedUnits;
      Entry.UnitsLeft -= Usage.AdmittedUnits - PreviousUnits;
      if (!Reported.IsDomainSummary) {
        Entry.DomainAdmittedUnits += Usage.AdmittedUnits - PreviousUnits;
        State.DomainUnits[Name] += Usage.AdmittedUnits - PreviousUnits;
      }
    } else {
      // The counts cannot be compared, but the peer may have charged usage that
      // was never reported to this daemon.
      Entry.UnitsLeft = std::min(Entry.UnitsLeft, Usage.UnitsLeft);
    }
  }
  addToSums(State, -1);
  State.LastUsage = Reported;
  State.LastReportTime = Now;
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
  auto &Daemons = IsReachable ? m_ReachableDaemons : m_UnreachableDaemons;
  Daemons = Sign > 0 ? Daemons + Other.LastUsage.DaemonCount
                     : Daemons - Other.LastUsage.DaemonCount;
  for (const auto &[Name, Usage] : Other.LastUsage.Usage) {
    const auto Found = m_Accounts.find(Name);
    if (Found == m_Accounts.end())
      continue;
    auto &Demand = Found->second.OthersDemand;
    auto &Sum = IsReachable ? Demand.Reachable : Demand.Unreachable;
    // Rounding must not leave a negative sum.
    Sum = std::max(0.0, Sum + Sign * Usage.DemandPerSecond);
    if (IsReachable && !Other.LastUsage.IsDomainSummary)
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
      if (!Other.LastUsage.IsDomainSummary)
        Demand.ReachableInDomain += Found->second.DemandPerSecond;
    } else if (Other.Counted == Standing::Unreachable)
      Demand.Unreachable += Found->second.DemandPerSecond;
  }
  return Demand;
}

void QuotaLedger::refreshStandings(TimePoint Now) {
  if (Now <= m_NextStandingChange)
    return;
  m_NextStandingChange = TimePoint::max();
  for (auto &[Id, Other] : m_Peers) {
    if (const auto Current = standingOf(Other, Now); Current != Other.Counted) {
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

void QuotaLedger::startReportPeriod(Duration Period) {
  m_ReportPeriod = Period;
  for (auto &[Name, State] : m_Accounts)
    State.PeriodAdmittedUnits = 0;
}

QuotaLedger::ReachableDaemons
QuotaLedger::reachableDaemons(const Account &State) const {
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

void QuotaLedger::advance(Account &State, TimePoint Now) {
  const double Seconds = std::max(0.0, toSeconds(Now - State.UpdatedAt));
  State.UpdatedAt = Now;
  State.OwnUsage.DemandPerSecond *=
      std::exp(-Seconds / DemandTimeConstantSeconds);
  const double LimitShare = reachableDaemons(State).LimitShare;
  State.UnitsLeft =
      std::min(State.UnitsLeft + Seconds * State.UnitsPerSecond * LimitShare,
               State.BurstUnits * LimitShare);
}

std::optional<Duration> QuotaLedger::charge(const CustomerName &Customer,
                                            double Cost, TimePoint Now) {
  const auto Found = m_Accounts.find(Customer.Text);
  if (Found == m_Accounts.end())
    return std::nullopt;
  auto &State = Found->second;
  refreshStandings(Now);
  advance(State, Now);
  State.OwnUsage.DemandPerSecond += Cost / DemandTimeConstantSeconds;
  if (State.UnitsPerSecond <= 0)
    return std::nullopt;
  const auto Reachable = reachableDaemons(State);
  const double RequiredUnits = std::min(
      Cost, LargeRequestBurstShare * State.BurstUnits * Reachable.LimitShare);
  if (State.UnitsLeft >= RequiredUnits && mayAdmit(State, Reachable, Cost)) {
    State.PeriodAdmittedUnits += Cost;
    State.UnitsLeft -= Cost;
    State.OwnUsage.AdmittedUnits += Cost;
    State.DomainAdmittedUnits += Cost;
    return std::nullopt;
  }
  return fromSeconds(
      std::max(RequiredUnits - State.UnitsLeft, Cost) /
      std::max(1.0, State.UnitsPerSecond * Reachable.LimitShare));
}

bool QuotaLedger::mayAdmit(const Account &State,
                           const ReachableDaemons &Reachable, double Cost) {
  const double Rate = State.UnitsPerSecond * Reachable.LimitShare;
  if (Reachable.DemandPerSecond <= ScarceDemandShare * Rate)
    return true;
  const double ShareLeft = (State.UnitsLeft + Rate * toSeconds(m_ReportPeriod) +
                            State.PeriodAdmittedUnits) *
                               std::min(1.0, State.OwnUsage.DemandPerSecond /
                                                 Reachable.DemandPerSecond) -
                           State.PeriodAdmittedUnits;
  return ShareLeft >= Cost || m_Random.uniform() * Cost < ShareLeft;
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

void QuotaLedger::forgetPeers() {
  m_Peers.clear();
  m_ReachableDaemons = 0;
  m_UnreachableDaemons = 0;
  m_NextStandingChange = TimePoint::max();
  for (auto &[Name, State] : m_Accounts)
    State.OthersDemand = PeerDemand();
}

std::map<std::string, QuotaUsage> QuotaLedger::usage(TimePoint Now) {
  refreshStandings(Now);
  std::map<std::string, QuotaUsage> Result;
  for (auto &[Name, State] : m_Accounts) {
    advance(State, Now);
    State.OwnUsage.UnitsLeft = State.UnitsLeft;
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
