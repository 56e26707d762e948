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

/// Records that a request was running at a target when the target crashed.
struct CrashRecord {
  std::uint64_t Fingerprint = 0;
  /// Identifies the crash; TrackedTarget::Hash, which covers the target's id
  /// and start time.
  std::uint64_t CrashId = 0;
  bool operator==(const CrashRecord &) const = default;
};

/// Detects poison requests, which crash the targets that run them. A request
/// that was running in two crashes is refused. The daemons share their records.
class CrashGuard {
public:
  /// Adds a record; false if it is known already, or if its fingerprint is
  /// new and MaxSuspects fingerprints are kept.
  bool record(const CrashRecord &Record, TimePoint Now);
  bool isRefused(std::uint64_t Fingerprint, TimePoint Now);
  /// Records of the last ReportPeriod, for the reports to other daemons.
  std::vector<CrashRecord> recentRecords(TimePoint Now) const;

private:
  struct SuspectRequest {
    std::set<std::uint64_t> CrashIds;
    TimePoint LastCrashAt{};
  };
  std::unordered_map<std::uint64_t, SuspectRequest>
      m_Suspects; ///< By fingerprint.
};

} // namespace mangodeck

#endif
