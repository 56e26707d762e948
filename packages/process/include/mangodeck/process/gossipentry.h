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
  Incarnation Started = 0; ///< Of the target.
  bool operator==(const LeavingTarget &) const = default;
};

/// Requests with this fingerprint are not run.
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

/// Use of the customer named by the entry's subject at the origin's groups.
struct CustomerUsage {
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
  std::uint32_t Concurrency = 0;
  bool operator==(const CustomerUsage &) const = default;
};

/// The alternatives stand in the order of EntryKind.
using GossipValue = std::variant<LeavingTarget, Quarantine, ConfigRevision,
                                 GroupSummary, CustomerUsage>;

inline EntryKind kindOf(const GossipValue &Value) {
  return static_cast<EntryKind>(Value.index());
}

/// A value published by one member under (origin, kind, subject). A later
/// start of the origin, then a higher version, replaces the earlier value.
struct GossipEntry {
  EntryKind Kind = EntryKind::LeavingTarget;
  VmName Origin;
  std::string Subject;
  Incarnation Started = 0; ///< Of the origin.
  std::uint64_t Version = 0;
  Duration Remaining{0}; ///< Time to live from now on.
  bool Direct = false;   ///< Meant for its receiver only; not passed on.
  std::string Value;     ///< Encoded by encodeValue().
};

/// Encodes \p Value for GossipEntry::Value.
std::string encodeValue(const GossipValue &Value);

/// Decodes an entry's value. Errc::InvalidInput if the bytes are no value of
/// that kind or exceed its bounds.
Expected<GossipValue> decodeValue(EntryKind Kind, std::string_view Bytes);

} // namespace mangodeck

#endif
