#include "quotafleet.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace mangodeck {

namespace {

/// The report period, the ticks and the count of daemons as in Gateway.
constexpr Duration BaseReportPeriod = 100ms;
constexpr std::size_t DaemonsAtFullRate = 15;
constexpr Duration MaxReportPeriod = 500ms;
constexpr Duration TickPeriod = 100ms;
constexpr Duration CountPeriod = 250ms;
constexpr Duration Step = 1ms;
/// Sizes of requests: half of them below the median.
constexpr double MedianUnits = 3300;
constexpr double SpreadOfSizes = 1.0;
constexpr double MinUnits = 200;
constexpr double MaxUnits = 58000;
/// Mean of the sizes with the constants above.
constexpr double MeanUnits = 5370;
constexpr Duration RefundDelay = 600ms;
constexpr std::uint16_t FirstPort = 1000;

} // namespace

QuotaFleet::QuotaFleet(std::size_t Daemons, double UnitsPerSecond,
                       std::uint64_t Seed)
    : m_UnitsPerSecond(UnitsPerSecond), m_Random(Seed),
      m_LedgerRandom(Seed * 31 + 7), m_Daemons(Daemons),
      m_IdealUnits(UnitsPerSecond) {
  PlannedCustomer Planned;
  Planned.Name = Customer;
  Planned.CountsTokens = true;
  Planned.PerSecond = Planned.Burst = UnitsPerSecond;
  m_Plan.Customers.push_back(Planned);
  m_Plan.index();
  for (std::size_t I = 0; I < Daemons; ++I) {
    m_Daemons[I].Vm = fmt::format("vm{:03}", I);
    m_Daemons[I].Domain = I % Domains;
    m_Daemons[I].UpAt = m_Now;
  }
  setWeights(std::vector<double>(Daemons, 1));
}

void QuotaFleet::setWeights(std::vector<double> Weights) {
  m_Weights = std::move(Weights);
  m_PickDaemon = {m_Weights.begin(), m_Weights.end()};
}

void QuotaFleet::setUnevenWeights() {
  std::vector<double> Weights;
  std::lognormal_distribution<double> Draw(0, 1);
  for (std::size_t I = 0; I < m_Daemons.size(); ++I)
    Weights.push_back(Draw(m_Random));
  setWeights(std::move(Weights));
}

void QuotaFleet::restart(std::size_t I, Duration Downtime) {
  m_Daemons[I].IsUp = false;
  m_Daemons[I].UpAt = m_Now + Downtime;
}

void QuotaFleet::setCut(std::size_t A, std::size_t B, bool IsCut) {
  for (const auto &Pair : {std::pair(A, B), std::pair(B, A)})
    if (IsCut)
      m_Cuts.insert(Pair);
    else
      m_Cuts.erase(Pair);
}

void QuotaFleet::start(Daemon &Started) {
  Started.IsUp = true;
  ++Started.Incarnation;
  Started.Sequence = 0;
  Started.RemoteBroker.reset();
  Started.UsedOwnSummary = false;
  const FailureDomain Domain(fmt::format("d{}", Started.Domain));
  Started.Peers = std::make_unique<PeerRegistry>(Started.Vm, Domain);
  for (std::size_t I = 0; I < m_Daemons.size(); ++I)
    if (&m_Daemons[I] != &Started)
      Started.Peers->markListed(
          m_Daemons[I].Vm,
          {"127.0.0.1", static_cast<std::uint16_t>(FirstPort + I),
           FailureDomain(fmt::format("d{}", m_Daemons[I].Domain))});
  Started.Ledger = std::make_unique<QuotaLedger>(m_LedgerRandom);
  Started.Ledger->setDaemonCount(Started.Peers->daemonCount(m_Now));
  Started.Ledger->configure(m_Plan, m_Now);
  Started.LastReportAt = Started.LastRefreshAt = TimePoint{};
  Started.NextTickAt =
      m_Now + std::chrono::milliseconds(m_Random() % 100); // Not in step.
}

Duration QuotaFleet::reportPeriod(const Daemon &Each) const {
  const auto Peers = Each.Peers->ownDomainSize();
  return std::min<Duration>(
      MaxReportPeriod,
      BaseReportPeriod *
          std::max<std::size_t>(1, (Peers + DaemonsAtFullRate - 1) /
                                       DaemonsAtFullRate));
}

std::map<std::string, QuotaUsage>
QuotaFleet::asSent(std::map<std::string, QuotaUsage> Usage) const {
  // Reports hold whole units.
  for (auto &[Name, Each] : Usage) {
    Each.AdmittedUnits = std::trunc(Each.AdmittedUnits);
    Each.DemandPerSecond = std::trunc(Each.DemandPerSecond);
    Each.UnitsLeft = std::trunc(Each.UnitsLeft);
  }
  return Usage;
}

void QuotaFleet::send(std::size_t From, std::span<const PeerEndpoint> Receivers,
                      const PeerReport &Report) {
  const auto Shared = std::make_shared<const PeerReport>(Report);
  for (const auto &Receiver : Receivers) {
    const std::size_t To = Receiver.Port - FirstPort;
    const auto Link = std::pair(m_Daemons[From].Domain, m_Daemons[To].Domain);
    ++m_Counts.Reports;
    if (m_Cuts.contains(Link))
      continue;
    const auto Delay = Link.first == Link.second
                           ? std::chrono::microseconds(300)
                           : std::chrono::microseconds(500 + m_Random() % 4900);
    m_Messages.push({m_Now + Delay, To, Shared});
  }
}

void QuotaFleet::sendReports(std::size_t I) {
  auto &Self = m_Daemons[I];
  if (m_Now - Self.LastReportAt < reportPeriod(Self))
    return;
  Self.LastReportAt = m_Now;
  PeerReport Report;
  Report.Vm = Self.Vm;
  Report.Domain = FailureDomain(fmt::format("d{}", Self.Domain));
  Report.Incarnation = Self.Incarnation;
  Report.Sequence = ++Self.Sequence;
  Self.Peers->updateJoining(m_Now);
  Report.Joining = Self.Peers->isJoining();
  Report.Usage = asSent(Self.Ledger->usage(m_Now));
  send(I, Self.Peers->reportReceivers(m_Now), Report);
  if (!Self.Peers->isDelegate(m_Now))
    return;
  auto Summary = Self.Peers->summarizeDomain(Report, m_Now);
  Summary.Usage = asSent(Self.Ledger->domainUsage(m_Now));
  send(I, Self.Peers->remoteDomainEndpoints(), Summary);
  if (!Self.Peers->isDomainLarge())
    return;
  for (const auto &[Vm, Endpoint] : Self.Peers->reportingDaemons(m_Now)) {
    auto ForPeer = Self.Peers->summaryWithout(Vm, Summary);
    ForPeer.Usage = asSent(Self.Ledger->domainUsageWithout(Vm, m_Now));
    send(I, std::span(&Endpoint, 1), ForPeer);
  }
}

void QuotaFleet::tick(std::size_t I) {
  auto &Self = m_Daemons[I];
  Self.NextTickAt = m_Now + TickPeriod;
  Self.RemoteBroker = Self.Peers->delegate(m_Now);
  if (std::exchange(Self.UsedOwnSummary, usesOwnSummary(Self)) !=
      usesOwnSummary(Self))
    Self.Ledger->forgetPeers(m_Now);
  sendReports(I);
  if (m_Now - Self.LastRefreshAt >= reportPeriod(Self)) {
    Self.LastRefreshAt = m_Now;
    Self.Ledger->startReportPeriod(m_Now);
  }
  if (m_Now - Self.LastCountAt >= CountPeriod) {
    Self.LastCountAt = m_Now;
    Self.Ledger->setDaemonCount(Self.Peers->daemonCount(m_Now));
  }
}

void QuotaFleet::receive(std::size_t To, PeerReport Report) {
  auto &Self = m_Daemons[To];
  const FailureDomain Domain(fmt::format("d{}", Self.Domain));
  const bool IsOwnDomain = Report.Domain == Domain;
  if (Report.IsDomainSummary && IsOwnDomain &&
      (!usesOwnSummary(Self) || Report.Vm != Self.RemoteBroker->Vm))
    return;
  PeerUsage Usage;
  Usage.Source = Report.IsDomainSummary ? Report.Domain.Text : Report.Vm;
  Usage.Incarnation = Report.Incarnation;
  Usage.DaemonCount = Report.DaemonCount;
  Usage.IsDomainSummary = Report.IsDomainSummary;
  Usage.IsOwnDomain = IsOwnDomain;
  Usage.Usage = Report.Usage;
  Self.Peers->observe(Report.Vm, Report.Incarnation, m_Now);
  if (!Self.Peers->accept(Report, m_Now))
    return;
  if (Report.IsDomainSummary || !IsOwnDomain || !usesOwnSummary(Self))
    Self.Ledger->onPeerUsage(Usage, m_Now);
  if (Report.IsDomainSummary && !IsOwnDomain && !Report.Forwarded &&
      Self.Peers->isDelegate(m_Now)) {
    Report.Forwarded = true;
    send(To, Self.Peers->ownDomainEndpoints(), Report);
  }
}

void QuotaFleet::request(std::size_t I, double Cost) {
  m_IdealUnits =
      std::min(m_UnitsPerSecond,
               m_IdealUnits + toSeconds(m_Now - m_IdealAt) * m_UnitsPerSecond);
  m_IdealAt = m_Now;
  const bool IsLarge = Cost >= LargeUnits;
  ++m_Counts.Requests;
  m_Counts.LargeRequests += IsLarge ? 1 : 0;
  m_Counts.DemandUnits += Cost;
  if (m_IdealUnits >= Cost)
    m_IdealUnits -= Cost;
  else
    ++m_Counts.RefusedByIdealBucket;
  auto &Self = m_Daemons[I];
  if (Self.Ledger->charge(Customer, Cost, m_Now)) {
    ++m_Counts.Refused;
    m_Counts.LargeRefused += IsLarge ? 1 : 0;
    if (OnRefused)
      OnRefused(I, Cost);
    return;
  }
  if (std::uniform_real_distribution<double>()(m_Random) < m_RefundedShare) {
    m_Refunds.push({m_Now + RefundDelay, I, Self.Incarnation, Cost});
    return; // A request that has not run counts nowhere.
  }
  m_Counts.AdmittedUnits += Cost;
  m_Admitted.emplace_back(m_Now, Cost);
}

void QuotaFleet::run(Duration Span) {
  std::lognormal_distribution<double> Size(std::log(MedianUnits),
                                           SpreadOfSizes);
  const auto End = m_Now + Span;
  for (; m_Now < End; m_Now += Step) {
    for (auto &Each : m_Daemons)
      if (!Each.IsUp && Each.UpAt <= m_Now)
        start(Each);
    while (!m_Messages.empty() && m_Messages.top().At <= m_Now) {
      const auto Next = m_Messages.top();
      m_Messages.pop();
      if (m_Daemons[Next.To].IsUp)
        receive(Next.To, *Next.Report);
    }
    while (!m_Refunds.empty() && m_Refunds.top().At <= m_Now) {
      const auto Next = m_Refunds.top();
      m_Refunds.pop();
      auto &Self = m_Daemons[Next.To];
      if (Self.IsUp && Self.Incarnation == Next.Incarnation)
        Self.Ledger->refund(Customer, Next.Cost);
    }
    for (std::size_t I = 0; I < m_Daemons.size(); ++I)
      if (m_Daemons[I].IsUp && m_Daemons[I].NextTickAt <= m_Now)
        tick(I);
    const double PerStep =
        m_Demand * m_UnitsPerSecond / MeanUnits * toSeconds(Step);
    if (PerStep <= 0)
      continue;
    std::poisson_distribution<int> Arrivals(PerStep);
    for (int N = Arrivals(m_Random); N > 0; --N) {
      const auto I = m_PickDaemon(m_Random);
      const auto Cost =
          std::round(std::clamp(Size(m_Random), MinUnits, MaxUnits));
      if (m_Daemons[I].IsUp)
        request(I, Cost);
    }
  }
}

double QuotaFleet::maxAdmittedInWindow() const {
  double Max = 0;
  double Sum = 0;
  std::size_t First = 0;
  for (const auto &[At, Cost] : m_Admitted) {
    Sum += Cost;
    while (m_Admitted[First].first <= At - 8s)
      Sum -= m_Admitted[First++].second;
    Max = std::max(Max, Sum);
  }
  return Max;
}

} // namespace mangodeck
