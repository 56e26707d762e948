#include "mangodeck/gateway/crashguard.h"

namespace mangodeck {

namespace {

/// Number of crashes from which on a request is refused. One crash may be a
/// coincidence.
constexpr std::size_t MinCrashesToRefuse = 2;
/// Time after its last crash for which a request is refused: callers stop
/// retrying within a minute.
constexpr Duration RecordLifetime = 60s;
/// Time for which a record is included in reports to other daemons, so that
/// several reports may be lost.
constexpr Duration ReportPeriod = 5s;
/// Largest number of fingerprints kept.
constexpr std::size_t MaxSuspects = 4096;
/// Largest number of records in one report.
constexpr std::size_t MaxReportedRecords = 32;

} // namespace

bool CrashGuard::record(const CrashRecord &Record, TimePoint Now) {
  if (m_Suspects.size() >= MaxSuspects)
    std::erase_if(m_Suspects, [&](const auto &Suspect) {
      return Now - Suspect.second.LastCrashAt > RecordLifetime;
    });
  if (m_Suspects.size() >= MaxSuspects &&
      !m_Suspects.contains(Record.Fingerprint))
    return false;
  auto &Suspect = m_Suspects[Record.Fingerprint];
  if (!Suspect.CrashIds.insert(Record.CrashId).second)
    return false;
  Suspect.LastCrashAt = Now;
  return true;
}

bool CrashGuard::isRefused(std::uint64_t Fingerprint, TimePoint Now) {
  const auto Found = m_Suspects.find(Fingerprint);
  return Found != m_Suspects.end() &&
         Found->second.CrashIds.size() >= MinCrashesToRefuse &&
         Now - Found->second.LastCrashAt < RecordLifetime;
}

std::vector<CrashRecord> CrashGuard::recentRecords(TimePoint Now) const {
  std::vector<CrashRecord> Records;
  for (const auto &[Fingerprint, Suspect] : m_Suspects) {
    if (Now - Suspect.LastCrashAt > ReportPeriod)
      continue;
    for (const auto CrashId : Suspect.CrashIds)
      if (Records.size() < MaxReportedRecords)
        Records.push_back({Fingerprint, CrashId});
  }
  return Records;
}

} // namespace mangodeck
