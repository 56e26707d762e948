#include "mangodeck/gateway/quotashares.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

/// Part of a limit that is divided evenly, whatever the demand: a daemon that
/// gets its first requests of a customer can serve them at once.
constexpr double EvenPart = 0.2;
/// Time constant of the mean of demand: several messages between daemons, and
/// short against the windows over which limits are judged.
constexpr double DemandSeconds = 1.5;
/// Time after which a silent peer's demand no longer counts. Longer than a cut
/// during which both sides go on serving is likely to last.
constexpr Duration PeerMemory = 15s;
/// Part of the burst that a new account starts with: the former life of this
/// daemon may have used the burst just before.
constexpr double InitialLevel = 0.5;

} // namespace

void QuotaShares::configure(const RoutePlan &Plan, TimePoint Now) {
  for (const auto &Customer : Plan.Customers) {
    auto [At, New] = m_Accounts.try_emplace(Customer.Name.Text);
    auto &State = At->second;
    if (!New)
      advance(At->first, State, Now);
    State.PerSecond = Customer.PerSecond;
    State.Burst = Customer.Burst;
    if (New) {
      State.Updated = Now;
      State.Level =
          InitialLevel * State.Burst * shareOf(At->first, State.Demand, Now);
    }
  }
  std::erase_if(m_Accounts, [&](const auto &Entry) {
    return std::none_of(
        Plan.Customers.begin(), Plan.Customers.end(),
        [&](const auto &C) { return C.Name.Text == Entry.first; });
  });
}

void QuotaShares::setPeerDemand(const std::string &Peer,
                                std::map<std::string, double> Demand,
                                TimePoint Now) {
  auto &State = m_Peers[Peer];
  State.Demand = std::move(Demand);
  State.Heard = Now;
}

void QuotaShares::forgetPeer(const std::string &Peer) { m_Peers.erase(Peer); }

void QuotaShares::setDaemons(std::size_t Count) {
  m_Daemons = std::max<std::size_t>(1, Count);
}

double QuotaShares::shareOf(const std::string &Name, double Own,
                            TimePoint Now) const {
  double All = Own;
  for (const auto &[Id, Peer] : m_Peers) {
    if (Now - Peer.Heard > PeerMemory)
      continue;
    const auto Found = Peer.Demand.find(Name);
    if (Found != Peer.Demand.end())
      All += Found->second;
  }
  const double Even = 1.0 / static_cast<double>(m_Daemons);
  if (All <= 0)
    return Even;
  return EvenPart * Even + (1 - EvenPart) * Own / All;
}

void QuotaShares::advance(const std::string &Name, Account &State,
                          TimePoint Now) {
  const double Seconds = std::max(0.0, toSeconds(Now - State.Updated));
  State.Updated = Now;
  State.Demand *= std::exp(-Seconds / DemandSeconds);
  const double Share = shareOf(Name, State.Demand, Now);
  State.Level = std::min(State.Level + Seconds * State.PerSecond * Share,
                         State.Burst * Share);
}

std::optional<Duration> QuotaShares::take(const CustomerName &Customer,
                                          double Cost, TimePoint Now) {
  const auto Found = m_Accounts.find(Customer.Text);
  if (Found == m_Accounts.end())
    return std::nullopt;
  auto &State = Found->second;
  advance(Found->first, State, Now);
  State.Demand += Cost / DemandSeconds;
  if (State.PerSecond <= 0)
    return std::nullopt;
  const double Share = shareOf(Found->first, State.Demand, Now);
  // A request may be larger than this daemon's part of the burst: it goes
  // through once the level is at its most, and is paid off afterwards.
  const double Needed = std::min(Cost, 0.9 * State.Burst * Share);
  if (State.Level >= Needed) {
    State.Level -= Cost;
    return std::nullopt;
  }
  return fromSeconds((Needed - State.Level) /
                     std::max(1.0, State.PerSecond * Share));
}

void QuotaShares::giveBack(const CustomerName &Customer, double Cost) {
  const auto Found = m_Accounts.find(Customer.Text);
  if (Found != m_Accounts.end())
    Found->second.Level += Cost;
}

std::map<std::string, double> QuotaShares::demand(TimePoint Now) {
  std::map<std::string, double> Result;
  for (auto &[Name, State] : m_Accounts) {
    advance(Name, State, Now);
    if (State.Demand >= 1)
      Result[Name] = State.Demand;
  }
  return Result;
}

double QuotaShares::share(const CustomerName &Customer, TimePoint Now) const {
  const auto Found = m_Accounts.find(Customer.Text);
  return Found == m_Accounts.end()
             ? 1.0
             : shareOf(Found->first, Found->second.Demand, Now);
}

} // namespace mangodeck
