#include "mangodeck/gateway/peertable.h"

#include <nlohmann/json.hpp>

namespace mangodeck {

namespace {

/// A daemon's load counts this long after its last report; its requests end
/// or are taken up elsewhere.
constexpr Duration LoadLifetime = 1500ms;
/// A daemon that the store no longer lists counts this long among those that
/// share limits: it may serve behind a cut.
constexpr Duration ShareLifetime = 15s;

} // namespace

std::string encodeReport(const PeerReport &Report) {
  nlohmann::json Message;
  Message["v"] = Report.Vm;
  Message["i"] = Report.Incarnation;
  Message["s"] = Report.Sequence;
  if (Report.Stopping)
    Message["x"] = true;
  auto &Loads = Message["t"] = nlohmann::json::array();
  for (const auto &Load : Report.Loads)
    Loads.push_back({Load.Target, Load.Running, Load.Prefill});
  for (const auto &[Name, Use] : Report.Use)
    Message["q"][Name] = {static_cast<std::int64_t>(Use.Admitted),
                          static_cast<std::int64_t>(Use.Demand),
                          static_cast<std::int64_t>(Use.Level)};
  for (const auto &Mark : Report.Crashes)
    Message["c"].push_back({Mark.Fingerprint, Mark.Crash});
  for (const auto Target : Report.Leaving)
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
    Report.Incarnation = Message.at("i").get<std::uint64_t>();
    Report.Sequence = Message.at("s").get<std::uint64_t>();
    Report.Stopping = Message.value("x", false);
    for (const auto &Load : Message.at("t"))
      Report.Loads.push_back({Load.at(0).get<std::uint64_t>(),
                              Load.at(1).get<std::uint32_t>(),
                              Load.at(2).get<TokenCount>()});
    if (Message.contains("q"))
      for (const auto &[Name, Use] : Message["q"].items())
        Report.Use[Name] = {Use.at(0).get<double>(), Use.at(1).get<double>(),
                             Use.at(2).get<double>()};
    if (Message.contains("c"))
      for (const auto &Mark : Message["c"])
        Report.Crashes.push_back({Mark.at(0).get<std::uint64_t>(),
                                  Mark.at(1).get<std::uint64_t>()});
    if (Message.contains("l"))
      Report.Leaving = Message["l"].get<std::vector<std::uint64_t>>();
    return Report;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

void PeerTable::add(const std::string &Vm, const PeerAddress &Address) {
  auto &Peer = m_Peers[Vm];
  Peer.Address = Address;
  Peer.Removed.reset();
  Peer.Stopped = false;
}

void PeerTable::remove(const std::string &Vm, TimePoint Now) {
  const auto Found = m_Peers.find(Vm);
  if (Found != m_Peers.end())
    Found->second.Removed = Now;
}

bool PeerTable::accept(PeerReport Report, TimePoint Now) {
  auto &Peer = m_Peers[Report.Vm];
  if (Report.Incarnation < Peer.Last.Incarnation ||
      (Report.Incarnation == Peer.Last.Incarnation &&
       Report.Sequence <= Peer.Last.Sequence))
    return false;
  Peer.Heard = Now;
  Peer.Stopped = Report.Stopping;
  Peer.Last = std::move(Report);
  return true;
}

std::vector<PeerAddress> PeerTable::addresses() const {
  std::vector<PeerAddress> Result;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Peer.Address)
      Result.push_back(*Peer.Address);
  return Result;
}

std::size_t PeerTable::daemonCount(TimePoint Now) const {
  std::size_t Count = 1;
  for (const auto &[Vm, Peer] : m_Peers) {
    const bool Listed = Peer.Address && !Peer.Removed;
    const bool Lately = (Peer.Removed && Now - *Peer.Removed < ShareLifetime) ||
                        (Peer.Heard != TimePoint{} &&
                         Now - Peer.Heard < ShareLifetime);
    if (!Peer.Stopped && (Listed || Lately))
      ++Count;
  }
  return Count;
}

std::unordered_map<std::uint64_t, PeerLoad>
PeerTable::loads(TimePoint Now) const {
  std::unordered_map<std::uint64_t, PeerLoad> Sum;
  for (const auto &[Vm, Peer] : m_Peers) {
    if (Now - Peer.Heard > LoadLifetime)
      continue;
    for (const auto &Load : Peer.Last.Loads) {
      auto &Entry = Sum[Load.Target];
      Entry.Target = Load.Target;
      Entry.Running += Load.Running;
      Entry.Prefill += Load.Prefill;
    }
  }
  return Sum;
}

std::size_t PeerTable::heardCount(TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Vm, Peer] : m_Peers)
    if (Now - Peer.Heard < LoadLifetime)
      ++Count;
  return Count;
}

} // namespace mangodeck
