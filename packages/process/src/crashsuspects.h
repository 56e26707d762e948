#ifndef MANGODECK_PROCESS_CRASHSUSPECTS_H
#define MANGODECK_PROCESS_CRASHSUSPECTS_H

#include "mangodeck/process/dispatchgroup.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Fingerprints of requests that were running when a target crashed. One that
/// was seen in two crashes is quarantined.
class CrashSuspects {
public:
  /// Books a suspect of this group, or one that another group \p Told of.
  /// Returns true if its fingerprint is quarantined by this.
  bool addSuspect(const CrashSuspect &Suspect, bool Told, TimePoint Now);

  /// The request ended well: it is no suspect any longer.
  void removeSuspect(std::uint64_t Fingerprint);

  /// Quarantines \p Fingerprint, e.g. as another group found. Returns false
  /// if it was quarantined already.
  bool quarantine(std::uint64_t Fingerprint, TimePoint Now);

  bool isSuspect(std::uint64_t Fingerprint) const;
  bool isQuarantined(std::uint64_t Fingerprint) const;

  /// Forgets entries that have not been seen for a long time.
  void expire(TimePoint Now);

  /// Suspects of this group that were seen lately.
  std::vector<CrashSuspect> recentOwnSuspects(TimePoint Now) const;

  /// Quarantined fingerprints.
  std::vector<std::uint64_t> quarantinedFingerprints() const;

private:
  struct Entry {
    std::uint64_t FirstCrash = 0;
    bool Told = false; ///< Known from another group only.
    bool Quarantined = false;
    TimePoint Seen;
  };

  Entry &entryOf(std::uint64_t Fingerprint, TimePoint Now);

  std::unordered_map<std::uint64_t, Entry> m_Entries;
  std::deque<std::uint64_t> m_Order; ///< For the bound on entries.
};

} // namespace mangodeck

#endif
