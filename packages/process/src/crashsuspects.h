#ifndef MANGODECK_PROCESS_CRASHSUSPECTS_H
#define MANGODECK_PROCESS_CRASHSUSPECTS_H

#include "mangodeck/process/dispatchgroup.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Fingerprints of requests that were running when a target crashed. A
/// fingerprint recorded in two different crashes is quarantined.
class CrashSuspects {
public:
  /// Records a suspect, either of this group or reported by another one.
  /// Returns true if this quarantines the fingerprint.
  bool addSuspect(const CrashSuspect &Suspect, bool FromOtherGroup,
                  TimePoint Now);

  /// Removes a suspect after the request has completed; a quarantined
  /// fingerprint stays.
  void removeSuspect(std::uint64_t Fingerprint);

  /// Quarantines \p Fingerprint, e.g. because another group did. Returns false
  /// if it was quarantined already.
  bool quarantine(std::uint64_t Fingerprint, TimePoint Now);

  bool isSuspect(std::uint64_t Fingerprint) const;
  bool isQuarantined(std::uint64_t Fingerprint) const;

  /// Evicts entries, also quarantined ones, that were last recorded more than
  /// EntryLifetime ago.
  void expire(TimePoint Now);

  /// Suspects of this group, not quarantined, that were recorded within
  /// RecentSpan.
  std::vector<CrashSuspect> recentOwnSuspects(TimePoint Now) const;

  std::vector<std::uint64_t> quarantinedFingerprints() const;

private:
  struct Entry {
    std::uint64_t FirstCrash = 0;
    bool FromOtherGroup = false; ///< First reported by another group.
    bool Quarantined = false;
    TimePoint LastRecorded;
  };

  Entry &findOrCreate(std::uint64_t Fingerprint, TimePoint Now);

  std::unordered_map<std::uint64_t, Entry> m_Entries;
  std::deque<std::uint64_t> m_Order; ///< Oldest entry first.
};

} // namespace mangodeck

#endif
