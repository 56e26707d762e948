#ifndef MANGODECK_PROCESS_GOSSIPENTRY_H
#define MANGODECK_PROCESS_GOSSIPENTRY_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"
#include "mangodeck/process/dispatchgroup.h"

#include <string>
#include <string_view>
#include <variant>

namespace mangodeck {

/// Kinds of gossip entries, most urgent first.
enum class EntryKind : std::uint8_t {
  LeavingTarget,
  Quarantine,
  Revision,
  GroupSummary,
  CustomerUsage,
};

/// The target named by the entry's subject is leaving.
struct LeavingTarget {
  Incarnation Started = 0; ///< Incarnation of the target.
  bool operator==(const LeavingTarget &) const = default;
};

/// Requests with this fingerprint are rejected: they crashed targets.
struct Quarantine {
  std::uint64_t Fingerprint = 0;
  bool operator==(const Quarantine &) const = default;
};

/// A configuration revision that was accepted. Of all origins only the one
/// with the highest number is kept and passed on.
struct ConfigRevision {
  std::uint64_t Number = 0;
  std::string Digest;
  bool operator==(const ConfigRevision &) const = default;
};

/// Usage of the customer named by the entry's subject, summed over the
/// dispatch groups of the origin.
struct CustomerUsage {
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
  std::uint32_t Concurrency = 0;
  bool operator==(const CustomerUsage &) const = default;
};

/// The alternatives are in the order of EntryKind.
using GossipValue = std::variant<LeavingTarget, Quarantine, ConfigRevision,
                                 GroupSummary, CustomerUsage>;

inline EntryKind kindOf(const GossipValue &Value) {
  return static_cast<EntryKind>(Value.index());
}

/// A value published by one member under (origin, kind, subject). A value of a
/// later incarnation of the origin replaces the earlier value, and so does a
/// higher version within one incarnation.
struct GossipEntry {
  EntryKind Kind = EntryKind::LeavingTarget;
  VmName Origin;
  std::string Subject;
  Incarnation Started = 0; ///< Incarnation of the origin.
  std::uint64_t Version = 0;
  Duration Remaining{0}; ///< Remaining time to live.
  bool Direct = false;   ///< Sent to its audience only; receivers do not
                         ///< pass it on.
  std::string Value;     ///< Encoded by encodeValue().
};

/// Encodes \p Value for GossipEntry::Value.
std::string encodeValue(const GossipValue &Value);

/// Decodes the value of an entry of \p Kind. Errc::InvalidInput if \p Bytes
/// cannot be parsed as a value of that kind.
Expected<GossipValue> decodeValue(EntryKind Kind, std::string_view Bytes);

} // namespace mangodeck

#endif
