#include "mangodeck/gateway/callertable.h"

#include <algorithm>
#include <utility>

namespace mangodeck {

namespace {

using http::MemoryUse;

/// Memory of a connection without a request: its object, the parser, the
/// descriptor's state in the event loop and the entries of the tables. Measured
/// with 2,500 idle connections.
constexpr std::size_t ConnectionBytes = 2 << 10;
/// Part of the descriptors that is kept from callers: for the store, targets,
/// listeners and readiness checks.
constexpr std::size_t SpareDivisor = 8;
constexpr std::size_t MinSpareDescriptors = 48;
constexpr std::size_t MaxSpareDescriptors = 512;
constexpr std::size_t MinConnections = 16;
/// What the system keeps of a connection that is not read for a moment, with
/// its buffer at first, and the part of the memory limit from which on buffers
/// are small.
constexpr std::size_t SystemReceiveBytes = 64 << 10;
constexpr std::size_t CrowdDivisor = 4;
constexpr std::size_t MinCrowdConnections = 64;
/// As a setting of the socket; the system keeps about as much.
constexpr int CrowdReceiveBytes = 16 << 10;
/// Connections without use that are closed together, so that a crowd costs one
/// look at all connections for many new ones.
constexpr std::size_t ClosedTogether = 32;
/// A connection may be idle for this long before it is closed for another one:
/// its caller may just be about to send a request.
constexpr Duration MinUnusedTime = 200ms;
/// Time without a further search after one that found no holder to give up.
constexpr Duration SearchPause = 50ms;
constexpr Duration LogPeriod = 1s;

TimePoint steadyNow() { return std::chrono::steady_clock::now(); }

std::size_t maxConnections(std::size_t MaxDescriptors) {
  const auto Spare = std::clamp(MaxDescriptors / SpareDivisor,
                                MinSpareDescriptors, MaxSpareDescriptors);
  return MaxDescriptors > Spare + MinConnections ? MaxDescriptors - Spare
                                                 : MinConnections;
}

} // namespace

CallerTable::CallerTable(std::size_t MemoryLimitBytes,
                         const MemoryShares &Shares, std::size_t MaxDescriptors,
                         EventLog &Log, GatewayMetrics &Metrics)
    : m_Log(Log), m_Metrics(Metrics), m_StallTime(Shares.StallTime),
      m_MaxConnections(mangodeck::maxConnections(MaxDescriptors)),
      m_CrowdConnections(
          std::max(MinCrowdConnections,
                   MemoryLimitBytes / CrowdDivisor / SystemReceiveBytes)),
      m_Account(MemoryLimitBytes, Shares) {}

std::optional<int> CallerTable::receiveBufferBytes() const {
  return m_Callers.size() < m_CrowdConnections
             ? std::nullopt
             : std::optional(CrowdReceiveBytes);
}

bool CallerTable::makeRoom(TimePoint Now) {
  if (m_Callers.size() < m_MaxConnections)
    return true;
  // Step 1. Find the connections that have been without use for longest.
  struct Unused {
    TimePoint Since;
    CallerPtr Caller;
  };
  std::vector<Unused> Found;
  for (const auto &[Key, Caller] : m_Callers)
    if (const auto Since = Caller->unusedSince();
        Since && Now - *Since >= MinUnusedTime)
      Found.push_back({*Since, Caller});
  const auto Count = std::min(Found.size(), ClosedTogether);
  std::partial_sort(
      Found.begin(), Found.begin() + static_cast<std::ptrdiff_t>(Count),
      Found.end(),
      [](const Unused &A, const Unused &B) { return A.Since < B.Since; });

  // Step 2. Close them.
  for (std::size_t Index = 0; Index < Count; ++Index)
    Found[Index].Caller->closeUnused();
  m_ClosedUnused += Count;
  m_Metrics.countMemory("connections", "given_up", Count);
  if (m_Callers.size() < m_MaxConnections)
    return true;
  ++m_NotAccepted;
  m_Metrics.countMemory("connections", "refused", 1);
  return false;
}

void CallerTable::add(const CallerPtr &Caller) {
  m_Callers.emplace(Caller.get(), Caller);
  m_Account.overdraw(MemoryPool::Heads, ConnectionBytes);
}

CallerTable::CallerPtr
CallerTable::find(const http::CallerConnection &Caller) const {
  const auto Found = m_Callers.find(&Caller);
  return Found == m_Callers.end() ? nullptr : Found->second;
}

CallerTable::CallerPtr
CallerTable::remove(const http::CallerConnection &Caller) {
  const auto Found = m_Callers.find(&Caller);
  if (Found == m_Callers.end())
    return nullptr;
  auto Removed = std::move(Found->second);
  m_Callers.erase(Found);
  m_Account.release(MemoryPool::Heads, ConnectionBytes);
  return Removed;
}

bool CallerTable::reserve(const http::CallerConnection &Connection,
                          MemoryUse Use, std::size_t Bytes, std::size_t Total) {
  const auto Now = steadyNow();
  MemoryDemand Demand{Use, Bytes, Total};
  if (m_Account.needsOwner(Use, Total, Now))
    Demand.OwnerBytes = ownerBytes(Connection);
  while (!m_Account.reserve(Demand, Now)) {
    if (giveUpOne(Connection, Use, Now))
      continue;
    const auto Pool = poolOf(Use);
    ++m_Tallies[static_cast<std::size_t>(Pool)].Refused;
    m_Metrics.countMemory(nameOf(Pool), "refused", 1);
    return false;
  }
  return true;
}

bool CallerTable::isAnswerMemoryShort(
    const http::CallerConnection &Connection) {
  return !reserve(Connection, MemoryUse::Answer, 0, 0);
}

bool CallerTable::giveUpOne(const http::CallerConnection &Except, MemoryUse Use,
                            TimePoint Now) {
  const auto Pool = poolOf(Use);
  auto &NextSearchAt = m_NextSearchAt[static_cast<std::size_t>(Pool)];
  if (Now < NextSearchAt)
    return false;
  std::vector<CallerPtr> Callers;
  std::vector<http::HeldMemory> Holders;
  for (const auto &[Key, Caller] : m_Callers) {
    const auto Held = Caller->heldMemory(Use);
    if (Key == &Except || Held.Bytes == 0)
      continue;
    Callers.push_back(Caller);
    Holders.push_back(Held);
  }
  const auto Chosen = chooseToGiveUp(Holders, m_StallTime, Now);
  if (!Chosen) {
    NextSearchAt = Now + SearchPause;
    return false;
  }
  auto &Counted = m_Tallies[static_cast<std::size_t>(Pool)];
  ++Counted.GivenUp;
  Counted.GivenUpBytes += Holders[*Chosen].Bytes;
  m_Metrics.countMemory(nameOf(Pool), "given_up", 1);
  Callers[*Chosen]->giveUp(Use);
  return true;
}

std::size_t
CallerTable::ownerBytes(const http::CallerConnection &Connection) const {
  std::size_t Sum = 0;
  for (const auto &[Key, Caller] : m_Callers)
    if (Key != &Connection && Caller->owner() == Connection.owner())
      Sum += Caller->bodyBytes();
  return Sum;
}

std::vector<CallerTable::CallerPtr> CallerTable::all() const {
  std::vector<CallerPtr> Callers;
  Callers.reserve(m_Callers.size());
  for (const auto &[Key, Caller] : m_Callers)
    Callers.push_back(Caller);
  return Callers;
}

void CallerTable::update(TimePoint Now) {
  for (const auto &Caller : all())
    Caller->checkTimeouts(Now);
  if (Now - m_LastLogAt >= LogPeriod)
    logTallies(Now);
}

void CallerTable::closeIdle() {
  for (const auto &Caller : all())
    Caller->closeIfIdle();
}

void CallerTable::logTallies(TimePoint Now) {
  for (std::size_t Index = 0; Index < MemoryPools; ++Index) {
    const auto Pool = static_cast<MemoryPool>(Index);
    const auto Counted = std::exchange(m_Tallies[Index], {});
    if (Counted.GivenUp + Counted.Refused == 0)
      continue;
    m_LastLogAt = Now;
    m_Log.write("memory_short", {{"pool", nameOf(Pool)},
                                 {"bytes", m_Account.bytes(Pool)},
                                 {"limit", m_Account.limit(Pool)},
                                 {"refused", Counted.Refused},
                                 {"given_up", Counted.GivenUp},
                                 {"given_up_bytes", Counted.GivenUpBytes},
                                 {"connections", m_Callers.size()}});
  }
  const auto Closed = std::exchange(m_ClosedUnused, 0);
  const auto NotAccepted = std::exchange(m_NotAccepted, 0);
  if (Closed + NotAccepted > 0) {
    m_LastLogAt = Now;
    m_Log.write("connections_short", {{"connections", m_Callers.size()},
                                      {"limit", m_MaxConnections},
                                      {"closed_unused", Closed},
                                      {"not_accepted", NotAccepted}});
  }
}

} // namespace mangodeck
