#include "mangodeck/gateway/quotaledger.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

/// Part of a limit that is divided evenly while daemons are out of contact,
/// whatever their demand was.
constexpr double EvenPart = 0.3;
/// Time constant of the mean of demand, short against the windows over which
/// limits are judged.
constexpr double DemandSeconds = 1.5;
/// A daemon that told nothing for this long is out of contact: several
/// reports were lost.
constexpr Duration ContactTime = 1500ms;
/// Time after which a silent daemon counts no longer. Longer than a cut during
/// which both sides go on serving is likely to last.
constexpr Duration PeerMemory = 15s;
/// Part of the burst that a new account starts with: the former life of this
/// daemon may have used the burst just before.
constexpr double InitialLevel = 0.5;
/// Part of the limit's rate from which on the demand counts as above it.
constexpr double ScarceDemand = 0.9;
/// A request larger than the bucket goes through at this part of a full one.
constexpr double LargeRequestLevel = 0.9;

} // namespace

void QuotaLedger::configure(const RoutePlan &Plan, TimePoint Now) {
  for (const auto &Customer : Plan.Customers) {
    auto [At, New] = m_Accounts.try_emplace(Customer.Name.Text);
    auto &State = At->second;
    if (!New)
      advance(At->first, State, Now);
    State.PerSecond = Customer.PerSecond;
    State.Burst = Customer.Burst;
    if (New) {
      State.Updated = Now;
      State.Level = InitialLevel * State.Burst;
    }
  }
  std::erase_if(m_Accounts, [&](const auto &Entry) {
    return std::none_of(
        Plan.Customers.begin(), Plan.Customers.end(),
        [&](const auto &C) { return C.Name.Text == Entry.first; });
  });
}

void QuotaLedger::onPeerUsage(const PeerUsage &Told, TimePoint Now) {
  auto [At, New] = m_Peers.try_emplace(Told.Source);
  auto &State = At->second;
  const bool Same = !New && Told.Incarnation == State.Last.Incarnation;
  // After a silence the peer's part was held back already, so that what it
  // admitted meanwhile is not charged again. A daemon that started anew had
  // nothing to tell before; a digest that another daemon makes goes on from
  // counts of its own.
  const bool InContact = Same && Now - State.Heard <= ContactTime;
  const bool Restarted = !New && !Same && !Told.IsDomainSummary;
  for (const auto &[Name, Use] : Told.Usage) {
    const auto Account = m_Accounts.find(Name);
    if (Account == m_Accounts.end())
      continue;
    auto &Entry = Account->second;
    advance(Name, Entry, Now);
    if (InContact || Restarted) {
      const auto Before = State.Last.Usage.find(Name);
      const double Base = Restarted || Before == State.Last.Usage.end()
                              ? 0
                              : Before->second.AdmittedUnits;
      Entry.Level -= Use.AdmittedUnits - Base;
      if (!Told.IsDomainSummary)
        Entry.DomainAdmitted += Use.AdmittedUnits - Base;
    } else {
      // This daemon or the contact is new: the peer may know of use that was
      // never told here.
      Entry.Level = std::min(Entry.Level, Use.UnitsLeft);
    }
  }
  State.Last = Told;
  State.Heard = Now;
}

void QuotaLedger::setDaemonCount(std::size_t Count) {
  m_Daemons = std::max<std::size_t>(1, Count);
}

void QuotaLedger::startReportPeriod(Duration Period) {
  m_Period = Period;
  for (auto &[Name, State] : m_Accounts)
    State.PeriodAdmitted = 0;
}

QuotaLedger::Contact QuotaLedger::contactOf(const std::string &Name,
                                            double OwnDemand,
                                            TimePoint Now) const {
  double All = OwnDemand;
  double Reached = OwnDemand;
  std::size_t Contacts = 1;
  std::size_t Known = 1;
  for (const auto &[Id, Peer] : m_Peers) {
    if (Now - Peer.Heard > (Peer.Last.Stopping ? ContactTime : PeerMemory))
      continue;
    const auto Found = Peer.Last.Usage.find(Name);
    const double Demand =
        Found == Peer.Last.Usage.end() ? 0 : Found->second.DemandPerSecond;
    All += Demand;
    Known += Peer.Last.DaemonCount;
    if (Now - Peer.Heard <= ContactTime) {
      Reached += Demand;
      Contacts += Peer.Last.DaemonCount;
    }
  }
  // Daemons that told nothing yet are taken to be like the others.
  if (m_Daemons > Known)
    All *= static_cast<double>(m_Daemons) / static_cast<double>(Known);
  const double Even = std::min(1.0, static_cast<double>(Contacts) /
                                        static_cast<double>(m_Daemons));
  if (Even >= 1 || All <= 0)
    return {Even, Reached};
  return {EvenPart * Even + (1 - EvenPart) * Reached / All, Reached};
}

void QuotaLedger::advance(const std::string &Name, Account &State,
                          TimePoint Now) {
  const double Seconds = std::max(0.0, toSeconds(Now - State.Updated));
  State.Updated = Now;
  State.Own.DemandPerSecond *= std::exp(-Seconds / DemandSeconds);
  const double Reach = contactOf(Name, State.Own.DemandPerSecond, Now).Reach;
  State.Level = std::min(State.Level + Seconds * State.PerSecond * Reach,
                         State.Burst * Reach);
}

std::optional<Duration> QuotaLedger::charge(const CustomerName &Customer,
                                            double Cost, TimePoint Now) {
  const auto Found = m_Accounts.find(Customer.Text);
  if (Found == m_Accounts.end())
    return std::nullopt;
  auto &State = Found->second;
  advance(Found->first, State, Now);
  State.Own.DemandPerSecond += Cost / DemandSeconds;
  if (State.PerSecond <= 0)
    return std::nullopt;
  const auto Told = contactOf(Found->first, State.Own.DemandPerSecond, Now);
  const double Needed =
      std::min(Cost, LargeRequestLevel * State.Burst * Told.Reach);
  if (State.Level >= Needed && mayAdmit(State, Told, Cost)) {
    State.PeriodAdmitted += Cost;
    State.Level -= Cost;
    State.Own.AdmittedUnits += Cost;
    State.DomainAdmitted += Cost;
    return std::nullopt;
  }
  return fromSeconds(std::max(Needed - State.Level, Cost) /
                     std::max(1.0, State.PerSecond * Told.Reach));
}

bool QuotaLedger::mayAdmit(const Account &State, const Contact &Told,
                           double Cost) {
  const double Rate = State.PerSecond * Told.Reach;
  if (Told.AllDemand <= ScarceDemand * Rate)
    return true;
  const double Part =
      (State.Level + Rate * toSeconds(m_Period) + State.PeriodAdmitted) *
          std::min(1.0, State.Own.DemandPerSecond / Told.AllDemand) -
      State.PeriodAdmitted;
  return Part >= Cost || m_Random.uniform() * Cost < Part;
}

void QuotaLedger::refund(const CustomerName &Customer, double Cost) {
  const auto Found = m_Accounts.find(Customer.Text);
  if (Found == m_Accounts.end())
    return;
  Found->second.Level += Cost;
  Found->second.Own.AdmittedUnits -= Cost;
  Found->second.DomainAdmitted -= Cost;
}

std::map<std::string, QuotaUsage> QuotaLedger::domainUsage(TimePoint Now) {
  auto Result = usage(Now);
  for (auto &[Name, Use] : Result) {
    Use.AdmittedUnits = m_Accounts.at(Name).DomainAdmitted;
    for (const auto &[Id, Peer] : m_Peers) {
      if (Peer.Last.IsDomainSummary || Now - Peer.Heard > ContactTime)
        continue;
      const auto Found = Peer.Last.Usage.find(Name);
      if (Found != Peer.Last.Usage.end())
        Use.DemandPerSecond += Found->second.DemandPerSecond;
    }
  }
  return Result;
}

std::map<std::string, QuotaUsage> QuotaLedger::usage(TimePoint Now) {
  std::map<std::string, QuotaUsage> Result;
  for (auto &[Name, State] : m_Accounts) {
    advance(Name, State, Now);
    State.Own.UnitsLeft = State.Level;
    if (State.PerSecond > 0)
      Result[Name] = State.Own;
  }
  return Result;
}

double QuotaLedger::reachableShare(const CustomerName &Customer,
                                   TimePoint Now) const {
  const auto Found = m_Accounts.find(Customer.Text);
  return Found == m_Accounts.end()
             ? 1.0
             : contactOf(Found->first, Found->second.Own.DemandPerSecond, Now)
                   .Reach;
}

} // namespace mangodeck
