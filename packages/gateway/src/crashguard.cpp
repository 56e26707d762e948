#include "mangodeck/gateway/crashguard.h"

namespace mangodeck {

namespace {

/// Crashes after which a request is refused. One may be a coincidence.
constexpr std::size_t CrashesToRefuse = 2;
/// How long a mark counts: callers give up within a minute.
constexpr Duration MarkLifetime = 60s;
/// How long a mark is told to the others; several messages may be lost.
constexpr Duration TellTime = 5s;
/// Fingerprints remembered.
constexpr std::size_t MaxEntries = 4096;
/// Marks in one message.
constexpr std::size_t MaxTold = 32;

} // namespace

bool CrashGuard::record(const CrashRecord &Mark, TimePoint Now) {
  if (m_Entries.size() >= MaxEntries)
    std::erase_if(m_Entries, [&](const auto &Entry) {
      return Now - Entry.second.Seen > MarkLifetime;
    });
  if (m_Entries.size() >= MaxEntries && !m_Entries.contains(Mark.Fingerprint))
    return false;
  auto &Entry = m_Entries[Mark.Fingerprint];
  if (!Entry.Crashes.insert(Mark.CrashId).second)
    return false;
  Entry.Seen = Now;
  return true;
}

bool CrashGuard::isRefused(std::uint64_t Fingerprint, TimePoint Now) {
  const auto Found = m_Entries.find(Fingerprint);
  return Found != m_Entries.end() &&
         Found->second.Crashes.size() >= CrashesToRefuse &&
         Now - Found->second.Seen < MarkLifetime;
}

std::vector<CrashRecord> CrashGuard::recentRecords(TimePoint Now) const {
  std::vector<CrashRecord> Marks;
  for (const auto &[Fingerprint, Entry] : m_Entries) {
    if (Now - Entry.Seen > TellTime)
      continue;
    for (const auto Crash : Entry.Crashes)
      if (Marks.size() < MaxTold)
        Marks.push_back({Fingerprint, Crash});
  }
  return Marks;
}

} // namespace mangodeck
