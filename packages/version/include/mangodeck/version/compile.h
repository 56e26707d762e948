#ifndef MANGODECK_VERSION_COMPILE_H
#define MANGODECK_VERSION_COMPILE_H

#include "mangodeck/version/record.h"

#include <set>
#include <string_view>

namespace mangodeck {

/// The schema of \p Kind / \p Name that is in force: the one its adoption
/// record names, or the lowest that stands. std::nullopt if none stands.
std::optional<SchemaNumber>
schemaInForce(const RecordSet &Records, RecordKind Kind, std::string_view Name);

/// Checks the records against each other: references, unique ranks, keys and
/// addresses, adoptions. Records in \p Skipped are not reported themselves.
/// Empty when all is well.
Diagnostics validateRecords(const RecordSet &Records,
                            const std::set<RecordId> &Skipped = {});

/// Builds the snapshot of the records in force, or returns every fault.
/// A fault with Errc::UnknownSchema means that a record in force needs a newer
/// program.
tl::expected<SnapshotPtr, Diagnostics> compile(const RecordSet &Records,
                                               std::uint64_t Revision = 0,
                                               std::string_view Digest = {});

} // namespace mangodeck

#endif
