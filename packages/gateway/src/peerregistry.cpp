#include "mangodeck/gateway/peerregistry.h"

#include "mangodeck/common/boundedjson.h"
#include "mangodeck/gateway/targetregistry.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace mangodeck {

namespace {

/// Paces in reports are whole multiples of 1 / PacePrecision.
constexpr double PacePrecision = 100;
/// Slots in offers are whole multiples of 1 / SlotPrecision, times of
/// milliseconds. Larger figures are not plausible.
constexpr double SlotPrecision = 100;
constexpr std::int64_t MaxOfferFigure = 1'000'000;
/// Age of a daemon's last report up to which its load counts. The requests of
/// a daemon that sends no reports end or are sent again by other daemons.
constexpr Duration LoadLifetime = 1500ms;
/// Time for which a daemon still counts among those that share limits after it
/// was unlisted or sent its last report: it may be serving while a network
/// partition separates it from the store and from this daemon.
constexpr Duration UnlistedGracePeriod = 15s;
/// A daemon is reachable if its last report is at most this old. Several
/// consecutive reports must be lost to make a live daemon unreachable.
constexpr Duration ReachableTime = 1s;
/// Daemons of each remote failure domain that receive a domain summary. One of
/// them may be down while the store still lists it.
constexpr std::size_t SummaryReceiversPerDomain = 2;
/// Time without summaries of a domain's delegate after which summaries of
/// another daemon of that domain are accepted.
constexpr Duration DelegateTimeout = 500ms;
/// Largest number of other daemons in a failure domain in which all report to
/// each other.
constexpr std::size_t MaxFullMeshPeers = 10;
/// Daemons of a large failure domain that exchange reports with all others: the
/// delegate, and those that replace it at once when it fails.
constexpr std::size_t MainReceivers = 3;
/// Share of the listed daemons of a large failure domain whose reports a daemon
/// must receive before it can become the delegate.
constexpr double MinReportingShare = 0.9;

/// Encodes the absence of a limit in a report.
constexpr double NoRateLimit = -1;
/// Upper bound of the age of a statement in a report. Daemons report statements
/// for some seconds only.
constexpr std::chrono::milliseconds MaxStatementAge = std::chrono::minutes(1);

std::vector<TargetLoad> listLoads(const TargetLoads &Sums) {
  std::vector<TargetLoad> Loads;
  Loads.reserve(Sums.size());
  for (const auto &[Target, Sum] : Sums)
    Loads.push_back(Sum);
  return Loads;
}

} // namespace

void addLoad(TargetLoads &Sums, const TargetLoad &Load) {
  auto &Sum = Sums[Load.Target];
  Sum.Target = Load.Target;
  Sum.Running += Load.Running;
  Sum.Prefill += Load.Prefill;
}

std::vector<TargetLoad>
sumLoadsByTarget(std::span<const ReportedRequest> Requests) {
  TargetLoads Sums;
  for (const auto &Request : Requests)
    addLoad(Sums, {Request.Target, 1, Request.Prefill});
  return listLoads(Sums);
}

std::string encodeReport(const PeerReport &Report) {
  nlohmann::json Message;
  Message["v"] = Report.Vm;
  Message["d"] = Report.Domain.Text;
  if (Report.IsDomainSummary) {
    Message["n"] = Report.DaemonCount;
    Message["f"] = Report.Forwarded;
  }
  Message["i"] = Report.Incarnation;
  Message["s"] = Report.Sequence;
  if (Report.Stopping)
    Message["x"] = true;
  if (Report.Joining)
    Message["j"] = true;
  auto &Loads = Message["t"] = nlohmann::json::array();
  if (Report.IsDomainSummary)
    for (const auto &Load : Report.Loads)
      Loads.push_back({Load.Target, Load.Running, Load.Prefill});
  else
    for (const auto &Request : Report.RunningRequests)
      Loads.push_back(
          Request.MemoryTokens == 0
              ? nlohmann::json{Request.Number, Request.Target, Request.Prefill}
              : nlohmann::json{Request.Number, Request.Target, Request.Prefill,
                               Request.MemoryTokens});
  for (const auto &[Customer, Usage] : Report.Usage) {
    auto &Fields = Message["q"][Customer] = {
        static_cast<std::int64_t>(Usage.AdmittedUnits),
        static_cast<std::int64_t>(Usage.DemandPerSecond),
        static_cast<std::int64_t>(Usage.UnitsLeft)};
    if (Usage.IsSinceStart)
      Fields.push_back(true);
  }
  for (const auto &Leaving : Report.LeavingTargets) {
    Message["l"].push_back(Leaving.Target);
    Message["ls"].push_back(Leaving.Sequence);
  }
  for (const auto Target : Report.AnnouncedLeaving)
    Message["a"].push_back(Target);
  for (const auto &Limit : Report.RateLimits)
    Message["r"].push_back(
        {Limit.Target, Limit.PerSecond.value_or(NoRateLimit),
         std::chrono::duration_cast<std::chrono::milliseconds>(Limit.Age)
             .count()});
  if (!Report.Delegate.empty())
    Message["b"] = Report.Delegate;
  for (const auto &Each : Report.Paces)
    Message["p"].push_back(
        {Each.Target, static_cast<std::int64_t>(Each.Pace * PacePrecision),
         std::chrono::duration_cast<std::chrono::milliseconds>(Each.Age)
             .count()});
  for (const auto &Each : Report.Offers)
    Message["o"].push_back(
        {Each.Service,
         static_cast<std::int64_t>(Each.FreeSlots * SlotPrecision),
         static_cast<std::int64_t>(Each.LackingSlots * SlotPrecision),
         std::llround(Each.PerSecond),
         std::chrono::duration_cast<std::chrono::milliseconds>(Each.SlotTime)
             .count()});
  std::string Bytes;
  nlohmann::json::to_msgpack(Message, Bytes);
  return Bytes;
}

std::optional<PeerReport> decodeReport(std::string_view Bytes) {
  const auto Message = parseBoundedMessagePack(Bytes);
  if (!Message.is_object())
    return std::nullopt;
  // The library throws if a field is missing or has another type.
  try {
    PeerReport Report;
    Report.Vm = Message.at("v").get<std::string>();
    Report.Domain = FailureDomain(Message.at("d").get<std::string>());
    Report.IsDomainSummary = Message.contains("n");
    Report.DaemonCount = Message.value("n", 1u);
    Report.Forwarded = Message.value("f", false);
    Report.Incarnation = Message.at("i").get<std::uint64_t>();
    Report.Sequence = Message.at("s").get<std::uint64_t>();
    Report.Stopping = Message.value("x", false);
    Report.Joining = Message.value("j", false);
    for (const auto &Load : Message.at("t"))
      if (Report.IsDomainSummary)
        Report.Loads.push_back({Load.at(0).get<std::uint64_t>(),
                                Load.at(1).get<std::uint32_t>(),
                                Load.at(2).get<TokenCount>()});
      else
        // A daemon of an earlier version sends no fourth element.
        Report.RunningRequests.push_back(
            {Load.at(0).get<std::uint64_t>(), Load.at(1).get<std::uint64_t>(),
             Load.at(2).get<TokenCount>(),
             Load.size() > 3 ? Load[3].get<TokenCount>() : 0});
    if (!Report.IsDomainSummary)
      Report.Loads = sumLoadsByTarget(Report.RunningRequests);
    if (Message.contains("q"))
      for (const auto &[Customer, Usage] : Message["q"].items())
        Report.Usage[Customer] = {Usage.at(0).get<double>(),
                                  Usage.at(1).get<double>(),
                                  Usage.at(2).get<double>(),
                                  Usage.size() > 3 && Usage[3].get<bool>()};
    if (Message.contains("l"))
      for (std::size_t I = 0; I < Message["l"].size(); ++I)
        Report.LeavingTargets.push_back(
            {Message["l"][I].get<std::uint64_t>(),
             Message.contains("ls") ? Message["ls"].at(I).get<std::uint64_t>()
                                    : 0});
    if (Message.contains("a"))
      Report.AnnouncedLeaving = Message["a"].get<std::vector<std::uint64_t>>();
    if (Message.contains("r"))
      for (const auto &Limit : Message["r"]) {
        const auto PerSecond =
            Limit.at(1).is_null() ? NoRateLimit : Limit.at(1).get<double>();
        const std::chrono::milliseconds Age(std::clamp<std::int64_t>(
            Limit.at(2).get<std::int64_t>(), 0, MaxStatementAge.count()));
        // Written so that a value that is no number is no limit.
        Report.RateLimits.push_back(
            {Limit.at(0).get<std::uint64_t>(),
             PerSecond >= 0 ? std::optional(PerSecond) : std::nullopt, Age});
      }
    Report.Delegate = Message.value("b", std::string());
    if (Message.contains("p"))
      for (const auto &Each : Message["p"])
        Report.Paces.push_back(
            {Each.at(0).get<std::uint64_t>(),
             std::clamp(static_cast<double>(Each.at(1).get<std::int64_t>()) /
                            PacePrecision,
                        MinPace, MaxPace),
             std::chrono::milliseconds(std::clamp<std::int64_t>(
                 Each.at(2).get<std::int64_t>(), 0, MaxStatementAge.count()))});
    if (Message.contains("o"))
      for (const auto &Each : Message["o"]) {
        const auto Figure = [&](std::size_t At) {
          // Another build may send fewer figures.
          return At < Each.size()
                     ? std::clamp<std::int64_t>(Each[At].get<std::int64_t>(), 0,
                                                MaxOfferFigure)
                     : 0;
        };
        Report.Offers.push_back({Each.at(0).get<std::uint64_t>(),
                                 static_cast<double>(Figure(1)) / SlotPrecision,
                                 static_cast<double>(Figure(2)) / SlotPrecision,
                                 static_cast<double>(Figure(3)),
                                 std::chrono::milliseconds(Figure(4))});
      }
    return Report;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

PeerRegistry::PeerRegistry(std::string OwnVm, FailureDomain OwnDomain)
    : m_OwnVm(std::move(OwnVm)), m_OwnDomain(std::move(OwnDomain)) {}

void PeerRegistry::markListed(const std::string &Vm,
                              const PeerEndpoint &Endpoint) {
  auto &Peer = m_Peers[Vm];
  m_OwnDomainSize -= isInOwnDomain(Peer) ? 1 : 0;
  Peer.Endpoint = Endpoint;
  m_OwnDomainSize += isInOwnDomain(Peer) ? 1 : 0;
  Peer.UnlistedAt.reset();
  Peer.Stopping = false;
}

void PeerRegistry::markUnlisted(const std::string &Vm, TimePoint Now) {
  const auto Found = m_Peers.find(Vm);
  if (Found != m_Peers.end())
    Found->second.UnlistedAt = Now;
}

IncarnationStanding PeerRegistry::observe(const std::string &Vm,
                                          IncarnationId Incarnation,
                                          TimePoint Now) {
  const auto Standing = m_Incarnations.observe(Vm, Incarnation, Now);
  const auto Found = m_Peers.find(Vm);
  if (Standing != IncarnationStanding::Started || Found == m_Peers.end())
    return Standing;
  auto &Restarted = Found->second;
  PeerReport Empty;
  Empty.Vm = Vm;
  Empty.Domain = Restarted.LastReport.Domain;
  Empty.Incarnation = Incarnation;
  Restarted.LastReport = std::move(Empty);
  Restarted.Stopping = false;
  return Standing;
}

bool PeerRegistry::accept(PeerReport Report, TimePoint Now) {
  const auto Standing = observe(Report.Vm, Report.Incarnation, Now);
  if (Standing == IncarnationStanding::Former ||
      Standing == IncarnationStanding::Unconfirmed)
    return false;
  auto &Peer = Report.IsDomainSummary ? m_DomainSummaries[Report.Domain.Text]
                                      : m_Peers[Report.Vm];
  const bool IsOtherDelegate =
      Report.IsDomainSummary && Report.Vm != Peer.LastReport.Vm;
  if (IsOtherDelegate && Now - Peer.LastReportTime < DelegateTimeout)
    return false;
  if (!IsOtherDelegate && Report.Incarnation == Peer.LastReport.Incarnation &&
      Report.Sequence <= Peer.LastReport.Sequence)
    return false;
  Peer.LastReportTime = Now;
  Peer.Stopping = Report.Stopping;
  Peer.LastReport = std::move(Report);
  return true;
}

bool PeerRegistry::isInOwnDomain(const Peer &Other) const {
  return Other.Endpoint && Other.Endpoint->Domain == m_OwnDomain;
}

std::vector<PeerEndpoint> PeerRegistry::endpoints() const {
  std::vector<PeerEndpoint> Result;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.Endpoint)
      Result.push_back(*Peer.Endpoint);
  return Result;
}

std::vector<PeerEndpoint> PeerRegistry::ownDomainEndpoints() const {
  std::vector<PeerEndpoint> Result;
  for (const auto &[Vm, Peer] : m_Peers)
    if (isInOwnDomain(Peer))
      Result.push_back(*Peer.Endpoint);
  return Result;
}

bool PeerRegistry::isDomainLarge() const {
  return ownDomainSize() > MaxFullMeshPeers;
}

std::vector<PeerEndpoint> PeerRegistry::reportReceivers(TimePoint Now) {
  if (!isDomainLarge())
    return ownDomainEndpoints();
  std::vector<PeerEndpoint> Result;
  std::size_t Main = 0;
  for (auto &[Vm, Other] : m_Peers) {
    if (!isInOwnDomain(Other))
      continue;
    const bool HasRecentReport = Now - Other.LastReportTime < ReachableTime;
    // Step 1. A daemon that is sent reports and does not answer has failed. It
    // still gets reports, but the next by name takes its place.
    const bool IsExpected = Main < MainReceivers && !Other.Stopping;
    if (!IsExpected)
      Other.ExpectedSince = TimePoint{};
    else if (Other.ExpectedSince == TimePoint{})
      Other.ExpectedSince = Now;
    const bool HasFailed =
        Other.UnlistedAt || Now - Other.ExpectedSince >= ReachableTime;
    if (IsExpected && (HasRecentReport || !HasFailed))
      ++Main;

    // Step 2. Answer every daemon that reports.
    if (HasRecentReport || (IsExpected && !Other.UnlistedAt))
      Result.push_back(*Other.Endpoint);
  }
  return Result;
}

std::vector<std::pair<std::string, PeerEndpoint>>
PeerRegistry::reportingDaemons(TimePoint Now) const {
  std::vector<std::pair<std::string, PeerEndpoint>> Result;
  for (const auto &[Vm, Other] : m_Peers)
    if (isInOwnDomain(Other) && Now - Other.LastReportTime < ReachableTime)
      Result.emplace_back(Vm, *Other.Endpoint);
  return Result;
}

std::vector<PeerEndpoint> PeerRegistry::remoteDomainEndpoints() const {
  std::vector<PeerEndpoint> Result;
  std::map<std::string, std::size_t> Chosen;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.Endpoint && !Peer.UnlistedAt &&
        Peer.Endpoint->Domain != m_OwnDomain &&
        Chosen[Peer.Endpoint->Domain.Text]++ < SummaryReceiversPerDomain)
      Result.push_back(*Peer.Endpoint);
  return Result;
}

bool PeerRegistry::hasOtherDomains() const { return !remoteDomains().empty(); }

std::vector<std::string> PeerRegistry::remoteDomains() const {
  std::set<std::string> Domains;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.Endpoint && !Peer.UnlistedAt &&
        Peer.Endpoint->Domain != m_OwnDomain)
      Domains.insert(Peer.Endpoint->Domain.Text);
  return {Domains.begin(), Domains.end()};
}

void PeerRegistry::updateJoining(TimePoint Now) {
  std::size_t Listed = 0;
  std::size_t Reporting = 0;
  for (const auto &[Vm, Other] : m_Peers) {
    if (!isInOwnDomain(Other) || Other.UnlistedAt)
      continue;
    ++Listed;
    Reporting += Now - Other.LastReportTime < ReachableTime ? 1 : 0;
  }
  if (static_cast<double>(Reporting) >=
      MinReportingShare * static_cast<double>(Listed))
    m_Joining = false;
}

bool PeerRegistry::isDelegate(TimePoint Now) const { return !delegate(Now); }

std::optional<PeerRegistry::Delegate>
PeerRegistry::delegate(TimePoint Now) const {
  const std::pair<const std::string, Peer> *Best = nullptr;
  auto BestRank = ownDelegateRank();
  for (const auto &Entry : m_Peers) {
    const auto &[Vm, Other] = Entry;
    if (Other.LastReport.Domain != m_OwnDomain ||
        Now - Other.LastReportTime >= ReachableTime)
      continue;
    const DelegateRank Rank{Other.Stopping, Other.LastReport.Joining, Vm};
    if (Rank < BestRank) {
      Best = &Entry;
      BestRank = Rank;
    }
  }
  if (!Best)
    return std::nullopt;
  return Delegate{Best->first, Best->second.LastReport.Incarnation,
                  Best->second.Endpoint};
}

std::optional<PeerEndpoint>
PeerRegistry::remoteDelegate(const FailureDomain &Domain, TimePoint Now) const {
  const auto Found = m_DomainSummaries.find(Domain.Text);
  if (Found == m_DomainSummaries.end() ||
      Now - Found->second.LastReportTime > LoadLifetime)
    return std::nullopt;
  return endpointOf(Found->second.LastReport.Vm);
}

std::optional<Duration> PeerRegistry::summaryAge(const FailureDomain &Domain,
                                                 TimePoint Now) const {
  const auto Found = m_DomainSummaries.find(Domain.Text);
  if (Found == m_DomainSummaries.end() ||
      Now - Found->second.LastReportTime > LoadLifetime)
    return std::nullopt;
  return Now - Found->second.LastReportTime;
}

std::optional<PeerEndpoint>
PeerRegistry::endpointOf(const std::string &Vm) const {
  const auto Found = m_Peers.find(Vm);
  return Found == m_Peers.end() ? std::nullopt : Found->second.Endpoint;
}

PeerReport PeerRegistry::summarizeDomain(const PeerReport &Own,
                                         TimePoint Now) const {
  PeerReport Summary = Own;
  Summary.IsDomainSummary = true;
  TargetLoads Loads;
  for (const auto &Load : Own.Loads)
    addLoad(Loads, Load);
  std::set<LeavingTarget> LeavingTargets(Own.LeavingTargets.begin(),
                                         Own.LeavingTargets.end());
  std::set<std::uint64_t> AnnouncedLeaving(Own.AnnouncedLeaving.begin(),
                                           Own.AnnouncedLeaving.end());
  std::map<RateLimitKey, ReportedRateLimit> RateLimits;
  const auto AddRateLimits = [&](const PeerReport &Report, Duration Delay) {
    for (auto Limit : Report.RateLimits) {
      Limit.Age += Delay;
      const auto At =
          RateLimits.try_emplace({Limit.Target, !Limit.PerSecond}, Limit).first;
      if (Limit.Age < At->second.Age)
        At->second = Limit;
    }
  };
  AddRateLimits(Own, Duration{0});
  for (const auto &[Vm, Peer] : m_Peers) {
    if (Peer.LastReport.Domain != m_OwnDomain ||
        Now - Peer.LastReportTime > ReachableTime)
      continue;
    ++Summary.DaemonCount;
    AddRateLimits(Peer.LastReport, Now - Peer.LastReportTime);
    for (const auto &Load : Peer.LastReport.Loads)
      addLoad(Loads, Load);
    LeavingTargets.insert(Peer.LastReport.LeavingTargets.begin(),
                          Peer.LastReport.LeavingTargets.end());
    AnnouncedLeaving.insert(Peer.LastReport.AnnouncedLeaving.begin(),
                            Peer.LastReport.AnnouncedLeaving.end());
  }
  Summary.Loads = listLoads(Loads);
  Summary.LeavingTargets.assign(LeavingTargets.begin(), LeavingTargets.end());
  Summary.AnnouncedLeaving.assign(AnnouncedLeaving.begin(),
                                  AnnouncedLeaving.end());
  Summary.RateLimits.clear();
  for (const auto &[Key, Limit] : RateLimits)
    Summary.RateLimits.push_back(Limit);
  return Summary;
}

PeerReport PeerRegistry::summaryWithout(const std::string &Vm,
                                        const PeerReport &Summary) const {
  PeerReport Result = Summary;
  const auto Found = m_Peers.find(Vm);
  if (Found == m_Peers.end())
    return Result;
  Result.DaemonCount -= std::min<std::uint32_t>(Result.DaemonCount, 1);
  TargetLoads Loads;
  for (const auto &Load : Summary.Loads)
    addLoad(Loads, Load);
  for (const auto &Load : Found->second.LastReport.Loads)
    if (const auto Sum = Loads.find(Load.Target); Sum != Loads.end()) {
      Sum->second.Running -= std::min(Sum->second.Running, Load.Running);
      Sum->second.Prefill -= std::min(Sum->second.Prefill, Load.Prefill);
    }
  Result.Loads = listLoads(Loads);
  return Result;
}

const PeerRegistry::Peer *PeerRegistry::recentOwnSummary(TimePoint Now) const {
  const auto Found = m_DomainSummaries.find(m_OwnDomain.Text);
  return Found != m_DomainSummaries.end() &&
                 Now - Found->second.LastReportTime <= LoadLifetime
             ? &Found->second
             : nullptr;
}

std::size_t PeerRegistry::daemonCount(TimePoint Now) const {
  std::size_t Count = 1;
  for (const auto &[Vm, Peer] : m_Peers)
    Count += mayBeServing(Peer, Now) ? 1 : 0;
  return Count;
}

bool PeerRegistry::mayBeServing(const Peer &Other, TimePoint Now) {
  const bool IsListed = Other.Endpoint && !Other.UnlistedAt;
  const bool IsInGracePeriod =
      (Other.UnlistedAt && Now - *Other.UnlistedAt < UnlistedGracePeriod) ||
      (Other.LastReportTime != TimePoint{} &&
       Now - Other.LastReportTime < UnlistedGracePeriod);
  return !Other.Stopping && (IsListed || IsInGracePeriod);
}

PeerRegistry::DelegateSupport
PeerRegistry::delegateSupport(TimePoint Now) const {
  DelegateSupport Support;
  bool IsFirst = true;
  for (const auto &[Vm, Other] : m_Peers) {
    const bool IsInDomain =
        isInOwnDomain(Other) || Other.LastReport.Domain == m_OwnDomain;
    // A daemon that stops still sends requests, until its reports end.
    const bool IsReachable = Now - Other.LastReportTime < ReachableTime;
    if (!IsInDomain ||
        !(Other.Stopping ? IsReachable : mayBeServing(Other, Now)))
      continue;
    ++Support.Daemons;
    IsFirst = IsFirst && m_OwnVm < Vm;
    if (IsReachable && Other.LastReport.Delegate == m_OwnVm)
      ++Support.Supporters;
  }
  Support.IsMajority =
      2 * Support.Supporters > Support.Daemons ||
      (2 * Support.Supporters == Support.Daemons && IsFirst && !m_Stopping);
  return Support;
}

void PeerRegistry::addRecentLoads(const std::map<std::string, Peer> &Table,
                                  TimePoint Now, TargetLoads &Sums) {
  for (const auto &[Name, Peer] : Table)
    if (Now - Peer.LastReportTime <= LoadLifetime)
      for (const auto &Load : Peer.LastReport.Loads)
        addLoad(Sums, Load);
}

TargetLoads PeerRegistry::peerLoads(TimePoint Now) const {
  auto Sums = remoteDomainLoads(Now);
  if (const auto *Summary = recentOwnSummary(Now))
    for (const auto &Load : Summary->LastReport.Loads)
      addLoad(Sums, Load);
  else
    addRecentLoads(m_Peers, Now, Sums);
  return Sums;
}

TargetLoads PeerRegistry::remoteDomainLoads(TimePoint Now) const {
  TargetLoads Sums;
  for (const auto &[Domain, Summary] : m_DomainSummaries)
    if (Domain != m_OwnDomain.Text &&
        Now - Summary.LastReportTime <= LoadLifetime)
      for (const auto &Load : Summary.LastReport.Loads)
        addLoad(Sums, Load);
  return Sums;
}

std::size_t PeerRegistry::countReachableInOwnDomain(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.LastReport.Domain == m_OwnDomain &&
        Now - Peer.LastReportTime < LoadLifetime)
      ++Count;
  if (const auto *Summary = recentOwnSummary(Now))
    Count = std::max<std::size_t>(Count, Summary->LastReport.DaemonCount);
  return Count;
}

} // namespace mangodeck
