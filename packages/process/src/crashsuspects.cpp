#include "crashsuspects.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr std::size_t MaxEntries = 10000;
/// Other groups are sent the suspects that were recorded within this span.
constexpr Duration RecentSpan = 30s;
constexpr Duration EntryLifetime = std::chrono::hours(1);

} // namespace

CrashSuspects::Entry &CrashSuspects::findOrCreate(std::uint64_t Fingerprint,
                                                  TimePoint Now) {
  const auto [It, Created] = m_Entries.try_emplace(Fingerprint);
  if (Created) {
    m_Order.push_back(Fingerprint);
    if (m_Order.size() > MaxEntries) {
      m_Entries.erase(m_Order.front());
      m_Order.pop_front();
    }
  }
  It->second.LastRecorded = Now;
  return It->second;
}

bool CrashSuspects::addSuspect(const CrashSuspect &Suspect, bool FromOtherGroup,
                               TimePoint Now) {
  const bool Exists = m_Entries.contains(Suspect.Fingerprint);
  auto &Item = findOrCreate(Suspect.Fingerprint, Now);
  if (!Exists) {
    Item.FirstCrash = Suspect.CrashId;
    Item.FromOtherGroup = FromOtherGroup;
    return false;
  }
  if (Item.Quarantined || Item.FirstCrash == Suspect.CrashId)
    return false;
  Item.Quarantined = true;
  return true;
}

std::vector<CrashSuspect>
CrashSuspects::recentOwnSuspects(TimePoint Now) const {
  std::vector<CrashSuspect> Result;
  for (const auto Fingerprint : m_Order) {
    const auto &Item = m_Entries.at(Fingerprint);
    if (!Item.FromOtherGroup && !Item.Quarantined &&
        Now - Item.LastRecorded < RecentSpan)
      Result.push_back({Fingerprint, Item.FirstCrash});
  }
  return Result;
}

void CrashSuspects::removeSuspect(std::uint64_t Fingerprint) {
  const auto It = m_Entries.find(Fingerprint);
  if (It == m_Entries.end() || It->second.Quarantined)
    return;
  m_Entries.erase(It);
  std::erase(m_Order, Fingerprint);
}

bool CrashSuspects::quarantine(std::uint64_t Fingerprint, TimePoint Now) {
  auto &Item = findOrCreate(Fingerprint, Now);
  if (Item.Quarantined)
    return false;
  Item.Quarantined = true;
  return true;
}

bool CrashSuspects::isSuspect(std::uint64_t Fingerprint) const {
  const auto It = m_Entries.find(Fingerprint);
  return It != m_Entries.end() && !It->second.Quarantined;
}

bool CrashSuspects::isQuarantined(std::uint64_t Fingerprint) const {
  const auto It = m_Entries.find(Fingerprint);
  return It != m_Entries.end() && It->second.Quarantined;
}

void CrashSuspects::expire(TimePoint Now) {
  std::erase_if(m_Order, [&](std::uint64_t Fingerprint) {
    const auto It = m_Entries.find(Fingerprint);
    const bool Expired = Now - It->second.LastRecorded > EntryLifetime;
    if (Expired)
      m_Entries.erase(It);
    return Expired;
  });
}

std::vector<std::uint64_t> CrashSuspects::quarantinedFingerprints() const {
  std::vector<std::uint64_t> Result;
  for (const auto Fingerprint : m_Order)
    if (m_Entries.at(Fingerprint).Quarantined)
      Result.push_back(Fingerprint);
  return Result;
}

} // namespace mangodeck
