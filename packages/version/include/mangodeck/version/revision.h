#ifndef MANGODECK_VERSION_REVISION_H
#define MANGODECK_VERSION_REVISION_H

#include "mangodeck/version/record.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

using RevisionNumber = std::uint64_t;

/// Largest value that is written to the store, in bytes.
inline constexpr std::size_t MaxStoreValueBytes = 1'000'000;

/// Largest part of a record image, in bytes.
inline constexpr std::size_t MaxImagePartBytes = 400'000;

/// Digest of the state before the first revision.
inline constexpr std::string_view EmptyDigest =
    "0000000000000000000000000000000000000000000000000000000000000000";

/// One accepted change of the configuration. Its encoded form is the value of
/// config/log/<n>; the SHA-256 of that value is the revision's digest, and as
/// the value names its parent's digest, digests form a chain.
struct Revision {
  RevisionNumber Number = 0;
  std::string ParentDigest;
  std::string ChangeId; ///< Drawn by the writer; tells its own write apart.
  std::string Author;
  std::string Message;
  WallMilliseconds WrittenAt = 0;
  std::vector<Record> Put;
  std::vector<RecordId> Removed;
  std::string StateDigest; ///< Of all records after this change.
};

/// A revision as it stands in the store's log, or a part of a record image
/// that peers hand to a daemon that has nothing yet.
struct LogEntry {
  RevisionNumber Number = 0;
  std::string Value;
  std::int64_t ModRevision = 0; ///< Of its key in the store; 0 from a peer.
};

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string digestOf(std::string_view Bytes);

/// Digest over the canonical form of all records.
std::string stateDigest(const RecordSet &Records);

/// The canonical JSON form of one record.
std::string encodeRecord(const Record &Entry);

std::string encodeRevision(const Revision &Change);

/// Reads a value of the log. Errors: Errc::InvalidInput, and
/// Errc::UnknownSchema for a format that only a newer program reads. Records
/// of an unknown schema become opaque and are no error here.
tl::expected<Revision, Diagnostic>
decodeRevision(const LogEntry &Entry, SchemaNumber MaxSchema = LatestSchema);

/// The change from \p Before to \p After, without number and digests.
Revision makeChange(const RecordSet &Before, const RecordSet &After);

/// Applies a change. Errors: Errc::InvalidInput when the result's digest is
/// not the one that the change states, or a removed record does not exist.
Expected<RecordSet> applyRevision(RecordSet Records, const Revision &Change);

/// Splits all records into values that each stay below MaxImagePartBytes.
std::vector<std::string> encodeImage(RevisionNumber Number,
                                     const RecordSet &Records);

/// Whether a value is a part of a record image.
bool isImagePart(std::string_view Value);

/// Joins the parts of the image of revision \p Number; any order.
tl::expected<RecordSet, Diagnostic>
decodeImage(RevisionNumber Number, std::span<const std::string> Parts,
            SchemaNumber MaxSchema = LatestSchema);

/// Keys in the store. Numbers have leading zeros, so that key order is the
/// order of revisions.
inline constexpr std::string_view LogPrefix = "config/log/";
inline constexpr std::string_view SnapshotPrefix = "config/snapshot/";
std::string logKey(RevisionNumber Number);
std::string snapshotKey(RevisionNumber Number);
std::string snapshotPartPrefix(RevisionNumber Number);
std::string snapshotPartKey(RevisionNumber Number, std::size_t Part);

/// The number at the end of a log or snapshot key; std::nullopt if there is
/// none.
std::optional<RevisionNumber> parseRevisionKey(std::string_view Key);

} // namespace mangodeck

#endif
