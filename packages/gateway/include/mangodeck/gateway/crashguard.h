#ifndef MANGODECK_GATEWAY_CRASHGUARD_H
#define MANGODECK_GATEWAY_CRASHGUARD_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// A request that was running when a target crashed.
struct CrashRecord {
  std::uint64_t Fingerprint = 0;
  std::uint64_t CrashId =
      0; ///< Names the crash: a hash of target and incarnation.
  bool operator==(const CrashRecord &) const = default;
};

/// Requests that crash the targets which run them. One that was running in
/// two crashes is refused. The daemons tell each other their marks.
class CrashGuard {
public:
  /// Books a mark; true if it is new.
  bool record(const CrashRecord &Mark, TimePoint Now);
  bool isRefused(std::uint64_t Fingerprint, TimePoint Now);
  /// Marks of the last seconds, for the other daemons.
  std::vector<CrashRecord> recentRecords(TimePoint Now) const;

private:
  struct Entry {
    std::set<std::uint64_t> Crashes;
    TimePoint Seen{};
  };
  std::unordered_map<std::uint64_t, Entry> m_Entries;
};

} // namespace mangodeck

#endif
