#include "mangodeck/gateway/versionhistory.h"

#include <algorithm>

namespace mangodeck {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

VersionHistory::Sighting &
VersionHistory::find(const ServiceName &Service,
                     const std::optional<std::string> &Version, TimePoint Now) {
  auto &Versions = m_ByService[Service.Text];
  const auto [At, IsNew] = Versions.try_emplace(versionIdOf(Service, Version));
  At->second.Version = Version;
  if (IsNew && Versions.size() > 1)
    At->second.SettledAt = Now + VersionSettleTime;
  return At->second;
}

TimePoint VersionHistory::settledAt(const ServiceName &Service,
                                    VersionId Version) const {
  const auto Found = m_ByService.find(Service.Text);
  if (Found == m_ByService.end())
    return TimePoint{};
  const auto Seen = Found->second.find(Version);
  return Seen == Found->second.end() ? TimePoint{} : Seen->second.SettledAt;
}

void VersionHistory::settleMain(
    const std::map<std::string, std::vector<TargetPtr>> &TargetsByService,
    TimePoint Now) {
  for (const auto &[Service, Targets] : TargetsByService) {
    std::map<VersionId, std::size_t> Counts;
    for (const auto &Target : Targets)
      ++Counts[Target->Version];
    const auto Main = std::max_element(
        Counts.begin(), Counts.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    for (auto &[Version, Seen] : m_ByService[Service])
      Seen.SettledAt = Main != Counts.end() && Version == Main->first
                           ? Now
                           : Now + VersionSettleTime;
  }
}

void VersionHistory::recordRegistered(const TargetEntry &Entry, TimePoint Now) {
  auto &Seen = find(Entry.Service, Entry.Version, Now);
  Seen.LastSeen = Now;
  Seen.IsRegistered = true;
}

void VersionHistory::refresh(
    const std::map<std::string, std::vector<TargetPtr>> &TargetsByService,
    TimePoint Now) {
  for (auto &[Service, Versions] : m_ByService)
    for (auto &[Id, Seen] : Versions)
      Seen.IsRegistered = false;
  for (const auto &[Service, Targets] : TargetsByService)
    for (const auto &Target : Targets)
      recordRegistered(Target->Entry, Now);
  for (auto &[Service, Versions] : m_ByService)
    std::erase_if(Versions, [&](const auto &Entry) {
      return !Entry.second.IsRegistered &&
             Now - Entry.second.LastSeen > m_Horizon;
    });
}

void VersionHistory::mergeStored(std::span<const VersionRecord> Records,
                                 milliseconds WallClock, TimePoint Now) {
  for (auto &[Service, Versions] : m_ByService)
    for (auto &[Id, Seen] : Versions)
      Seen.IsStored = Seen.IsStoredAsGone = false;
  for (const auto &Record : Records) {
    // The writer's clock may be ahead of this one.
    const Duration Age =
        Record.GoneAt ? std::max<Duration>(WallClock - *Record.GoneAt, 0ms)
                      : Duration{0};
    if (Age > m_Horizon)
      continue;
    auto &Seen = find(Record.Service, Record.Version, Now);
    Seen.LastSeen = std::max<TimePoint>(Seen.LastSeen, Now - Age);
    Seen.IsStored = true;
    Seen.IsStoredAsGone = Record.GoneAt.has_value();
  }
}

std::optional<std::vector<VersionRecord>>
VersionHistory::recordsToStore(milliseconds WallClock, TimePoint Now) const {
  std::vector<VersionRecord> Records;
  bool Differs = false;
  for (const auto &[Service, Versions] : m_ByService) {
    if (Versions.size() < 2)
      continue;
    for (const auto &[Id, Seen] : Versions) {
      Differs |= !Seen.IsStored || Seen.IsStoredAsGone == Seen.IsRegistered;
      Records.push_back({ServiceName(Service), Seen.Version, std::nullopt});
      if (!Seen.IsRegistered)
        Records.back().GoneAt =
            WallClock - duration_cast<milliseconds>(Now - Seen.LastSeen);
    }
  }
  return Differs ? std::optional(std::move(Records)) : std::nullopt;
}

std::optional<VersionId>
VersionHistory::soleVersion(std::span<const ServiceName> Services) const {
  std::optional<VersionId> Sole;
  for (const auto &Service : Services) {
    const auto Found = m_ByService.find(Service.Text);
    if (Found == m_ByService.end())
      continue;
    for (const auto &[Id, Seen] : Found->second) {
      if (Sole)
        return std::nullopt;
      Sole = Id;
    }
  }
  return Sole;
}

std::optional<ServiceName> VersionHistory::serviceOf(VersionId Version) const {
  for (const auto &[Service, Versions] : m_ByService)
    if (Versions.contains(Version))
      return ServiceName(Service);
  return std::nullopt;
}

} // namespace mangodeck
