#ifndef MANGODECK_VERSION_REVISIONWRITER_H
#define MANGODECK_VERSION_REVISIONWRITER_H

#include "mangodeck/common/clock.h"
#include "mangodeck/common/random.h"
#include "mangodeck/version/blockingstore.h"
#include "mangodeck/version/revision.h"

#include <functional>
#include <optional>
#include <string>

namespace mangodeck {

/// The configuration as the store holds it.
struct StoredConfiguration {
  RevisionNumber Number = 0;
  std::string Digest{EmptyDigest};
  RecordSet Records;
  std::optional<Revision> Newest;
};

/// Reads all of it. Errors: those of the store, and Errc::InvalidInput when
/// the log or the snapshot cannot be read.
Expected<StoredConfiguration> readConfiguration(Store &Inner);

/// The records of an earlier revision; Errc::NotFound when the log does not
/// reach it. Costs one read for each hundred revisions.
Expected<StoredConfiguration> readConfigurationAt(Store &Inner,
                                                  RevisionNumber Number);

/// A change that an operator wants.
struct ProposedChange {
  RecordSet Wanted; ///< All records as they should be.
  std::string Author;
  std::string Message;
  /// The revision the change was made against; refused if another is newest.
  RevisionNumber Base = 0;
};

enum class Acceptance : std::uint8_t {
  Accepted,
  Unchanged, ///< The records are as they stand already.
  Conflict,  ///< Another change was accepted first.
  Invalid,   ///< The records or the size of the change; nothing was written.
  Refused,   ///< The store cannot be read, or refused; nothing was written.
  Unknown,   ///< The store did not say whether the write took effect.
};

struct AcceptanceResult {
  Acceptance Outcome = Acceptance::Unknown;
  RevisionNumber Number = 0;
  std::string Digest;
  LogEntry Entry;                ///< When accepted: what daemons are handed.
  std::optional<Revision> Other; ///< With a conflict: whose change.
  Diagnostics Faults;
  std::error_code Error;
};

/// Writes revisions. Acceptance is the creation of the log's next key, so of
/// operators that race each other exactly one is accepted. A write whose
/// answer is lost is repeated: it creates the key now, or finds the key with
/// the change id of its own or of another's change.
class RevisionWriter {
public:
  /// \p Sleep waits between attempts; tests pass a virtual one.
  RevisionWriter(Store &Inner, const Clock &Time, RandomSource &Random,
                 std::function<void(Duration)> Sleep);

  /// Gives up with Acceptance::Unknown after \p Patience.
  AcceptanceResult accept(const ProposedChange &Change,
                          Duration Patience = 30s);

private:
  AcceptanceResult write(Revision Change, Duration Patience);
  void writeSnapshot(RevisionNumber Number, const RecordSet &Records);
  void dropOldSnapshots();
  Duration nextDelay(std::uint32_t Attempt);

  Store &m_Store;
  const Clock &m_Clock;
  RandomSource &m_Random;
  std::function<void(Duration)> m_Sleep;
};

} // namespace mangodeck

#endif
