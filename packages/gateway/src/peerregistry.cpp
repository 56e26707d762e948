#include "mangodeck/gateway/peerregistry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace mangodeck {

namespace {

/// A daemon's load counts this long after its last report; its requests end
/// or are taken up elsewhere.
constexpr Duration LoadLifetime = 1500ms;
/// A daemon that the store no longer lists counts this long among those that
/// share limits: it may serve behind a cut.
constexpr Duration ShareLifetime = 15s;
/// A daemon is heard if its last report is not older; several were lost else.
constexpr Duration HeardTime = 1s;
/// Daemons of another failure domain that a digest is sent to: one of them
/// may be down without the store knowing yet.
constexpr std::size_t DigestReceivers = 2;
/// Digests of another daemon are taken over after this silence.
constexpr Duration DelegateSilence = 500ms;

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
sumLoadsByTarget(std::span<const ReportedRequest> Runs) {
  TargetLoads Sums;
  for (const auto &Run : Runs)
    addLoad(Sums, {Run.Target, 1, Run.Prefill});
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
  auto &Loads = Message["t"] = nlohmann::json::array();
  if (Report.IsDomainSummary)
    for (const auto &Load : Report.Loads)
      Loads.push_back({Load.Target, Load.Running, Load.Prefill});
  else
    for (const auto &Run : Report.RunningRequests)
      Loads.push_back({Run.Number, Run.Target, Run.Prefill});
  for (const auto &[Name, Use] : Report.Usage)
    Message["q"][Name] = {static_cast<std::int64_t>(Use.Admitted),
                          static_cast<std::int64_t>(Use.Demand),
                          static_cast<std::int64_t>(Use.Level)};
  for (const auto &Mark : Report.CrashMarks)
    Message["c"].push_back({Mark.Fingerprint, Mark.Crash});
  for (const auto Target : Report.LeavingTargets)
    Message["l"].push_back(Target);
  std::string Bytes;
  nlohmann::json::to_msgpack(Message, Bytes);
  return Bytes;
}

std::optional<PeerReport> decodeReport(std::string_view Bytes) {
  const auto Message = nlohmann::json::from_msgpack(Bytes, true, false);
  if (!Message.is_object())
    return std::nullopt;
  // The library reports a value of another type by throwing.
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
    for (const auto &Load : Message.at("t"))
      if (Report.IsDomainSummary)
        Report.Loads.push_back({Load.at(0).get<std::uint64_t>(),
                                Load.at(1).get<std::uint32_t>(),
                                Load.at(2).get<TokenCount>()});
      else
        Report.RunningRequests.push_back({Load.at(0).get<std::uint64_t>(),
                                          Load.at(1).get<std::uint64_t>(),
                                          Load.at(2).get<TokenCount>()});
    if (!Report.IsDomainSummary)
      Report.Loads = sumLoadsByTarget(Report.RunningRequests);
    if (Message.contains("q"))
      for (const auto &[Name, Use] : Message["q"].items())
        Report.Usage[Name] = {Use.at(0).get<double>(), Use.at(1).get<double>(),
                              Use.at(2).get<double>()};
    if (Message.contains("c"))
      for (const auto &Mark : Message["c"])
        Report.CrashMarks.push_back(
            {Mark.at(0).get<std::uint64_t>(), Mark.at(1).get<std::uint64_t>()});
    if (Message.contains("l"))
      Report.LeavingTargets = Message["l"].get<std::vector<std::uint64_t>>();
    return Report;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

PeerRegistry::PeerRegistry(std::string OwnVm, FailureDomain Home)
    : m_OwnVm(std::move(OwnVm)), m_Home(std::move(Home)) {}

void PeerRegistry::markListed(const std::string &Vm,
                              const PeerEndpoint &Address) {
  auto &Peer = m_Peers[Vm];
  Peer.Address = Address;
  Peer.Removed.reset();
  Peer.Stopped = false;
}

void PeerRegistry::markUnlisted(const std::string &Vm, TimePoint Now) {
  const auto Found = m_Peers.find(Vm);
  if (Found != m_Peers.end())
    Found->second.Removed = Now;
}

bool PeerRegistry::accept(PeerReport Report, TimePoint Now) {
  auto &Peer = Report.IsDomainSummary ? m_Domains[Report.Domain.Text]
                                      : m_Peers[Report.Vm];
  const bool OtherDelegate =
      Report.IsDomainSummary && Report.Vm != Peer.Last.Vm;
  if (OtherDelegate && Now - Peer.Heard < DelegateSilence)
    return false;
  if (!OtherDelegate && (Report.Incarnation < Peer.Last.Incarnation ||
                         (Report.Incarnation == Peer.Last.Incarnation &&
                          Report.Sequence <= Peer.Last.Sequence)))
    return false;
  Peer.Heard = Now;
  Peer.Stopped = Report.Stopping;
  Peer.Last = std::move(Report);
  return true;
}

std::vector<PeerEndpoint> PeerRegistry::ownDomainEndpoints() const {
  std::vector<PeerEndpoint> Result;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.Address && Peer.Address->Domain == m_Home)
      Result.push_back(*Peer.Address);
  return Result;
}

std::vector<PeerEndpoint> PeerRegistry::remoteDomainEndpoints() const {
  std::vector<PeerEndpoint> Result;
  std::map<std::string, std::size_t> Chosen;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.Address && !Peer.Removed && Peer.Address->Domain != m_Home &&
        Chosen[Peer.Address->Domain.Text]++ < DigestReceivers)
      Result.push_back(*Peer.Address);
  return Result;
}

bool PeerRegistry::isDelegate(TimePoint Now) const { return !delegate(Now); }

std::optional<PeerRegistry::Delegate>
PeerRegistry::delegate(TimePoint Now) const {
  const auto First =
      std::find_if(m_Peers.begin(), m_Peers.end(), [&](const auto &Entry) {
        const auto &Peer = Entry.second;
        return Entry.first >= m_OwnVm ||
               (Peer.Last.Domain == m_Home && !Peer.Stopped &&
                Now - Peer.Heard < HeardTime);
      });
  if (First == m_Peers.end() || First->first >= m_OwnVm)
    return std::nullopt;
  return Delegate{First->first, First->second.Last.Incarnation,
                  First->second.Address};
}

std::optional<PeerEndpoint>
PeerRegistry::endpointOf(const std::string &Vm) const {
  const auto Found = m_Peers.find(Vm);
  return Found == m_Peers.end() ? std::nullopt : Found->second.Address;
}

PeerReport PeerRegistry::summarizeDomain(const PeerReport &Own,
                                         TimePoint Now) const {
  PeerReport Sum = Own;
  Sum.IsDomainSummary = true;
  TargetLoads Loads;
  for (const auto &Load : Own.Loads)
    addLoad(Loads, Load);
  std::set<std::pair<std::uint64_t, std::uint64_t>> Marks;
  for (const auto &Mark : Own.CrashMarks)
    Marks.insert({Mark.Fingerprint, Mark.Crash});
  std::set<std::uint64_t> Leaving(Own.LeavingTargets.begin(),
                                  Own.LeavingTargets.end());
  for (const auto &[Vm, Peer] : m_Peers) {
    if (Peer.Last.Domain != m_Home || Now - Peer.Heard > HeardTime)
      continue;
    ++Sum.DaemonCount;
    for (const auto &Load : Peer.Last.Loads)
      addLoad(Loads, Load);
    for (const auto &Mark : Peer.Last.CrashMarks)
      Marks.insert({Mark.Fingerprint, Mark.Crash});
    Leaving.insert(Peer.Last.LeavingTargets.begin(),
                   Peer.Last.LeavingTargets.end());
  }
  Sum.Loads = listLoads(Loads);
  Sum.CrashMarks.clear();
  for (const auto &[Fingerprint, Crash] : Marks)
    Sum.CrashMarks.push_back({Fingerprint, Crash});
  Sum.LeavingTargets.assign(Leaving.begin(), Leaving.end());
  return Sum;
}

std::size_t PeerRegistry::daemonCount(TimePoint Now) const {
  std::size_t Count = 1;
  for (const auto &[Vm, Peer] : m_Peers) {
    const bool Listed = Peer.Address && !Peer.Removed;
    const bool Lately =
        (Peer.Removed && Now - *Peer.Removed < ShareLifetime) ||
        (Peer.Heard != TimePoint{} && Now - Peer.Heard < ShareLifetime);
    if (!Peer.Stopped && (Listed || Lately))
      ++Count;
  }
  return Count;
}

void PeerRegistry::addLoads(const std::map<std::string, Peer> &Table,
                            TimePoint Now, TargetLoads &Sums) {
  for (const auto &[Name, Peer] : Table)
    if (Now - Peer.Heard <= LoadLifetime)
      for (const auto &Load : Peer.Last.Loads)
        addLoad(Sums, Load);
}

TargetLoads PeerRegistry::peerLoads(TimePoint Now) const {
  auto Sums = remoteDomainLoads(Now);
  addLoads(m_Peers, Now, Sums);
  return Sums;
}

TargetLoads PeerRegistry::remoteDomainLoads(TimePoint Now) const {
  TargetLoads Sums;
  addLoads(m_Domains, Now, Sums);
  return Sums;
}

std::size_t PeerRegistry::countReachableInOwnDomain(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.Last.Domain == m_Home && Now - Peer.Heard < LoadLifetime)
      ++Count;
  return Count;
}

} // namespace mangodeck
