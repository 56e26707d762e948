#ifndef MANGODECK_PROCESS_CRASHSUSPECTS_H
#define MANGODECK_PROCESS_CRASHSUSPECTS_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// One crash of a target.
struct CrashId {
  std::uint32_t Target = 0;
  std::uint64_t Life = 0;
  bool operator==(const CrashId &) const = default;
};

/// Fingerprints of requests that were running when a target crashed. One that
/// was seen in two crashes is quarantined.
class CrashSuspects {
public:
  /// Books that \p Fingerprint was running in \p Crash. Returns true if it is
  /// quarantined by this.
  bool note(std::uint64_t Fingerprint, CrashId Crash, TimePoint Now);

  /// The request ended well: it is no suspect any longer.
  void clear(std::uint64_t Fingerprint);

  /// Quarantines \p Fingerprint, e.g. as another group found. Returns false
  /// if it was quarantined already.
  bool quarantine(std::uint64_t Fingerprint, TimePoint Now);

  bool isSuspect(std::uint64_t Fingerprint) const;
  bool isQuarantined(std::uint64_t Fingerprint) const;

  /// Forgets entries that have not been seen for a long time.
  void expire(TimePoint Now);

  /// Quarantined fingerprints.
  std::vector<std::uint64_t> quarantined() const;

private:
  struct Entry {
    CrashId First;
    bool Quarantined = false;
    TimePoint Seen;
  };

  Entry &entryOf(std::uint64_t Fingerprint, TimePoint Now);

  std::unordered_map<std::uint64_t, Entry> m_Entries;
  std::deque<std::uint64_t> m_Order; ///< For the bound on entries.
};

} // namespace mangodeck

#endif
