#ifndef MANGODECK_VERSION_SRC_RECORDDECODER_H
#define MANGODECK_VERSION_SRC_RECORDDECODER_H

#include "mangodeck/version/record.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

enum class RawShape : std::uint8_t { Scalar, List, Other };

/// The value of a field as it was written, before its type is known.
struct RawValue {
  RawShape Shape = RawShape::Other;
  std::string Text;               ///< Of a scalar.
  std::vector<std::string> Items; ///< Of a list of scalars.
  int Line = 0;
};

struct RawField {
  std::string Name;
  RawValue Value;
};

/// A record as it was written, in YAML or in the store's JSON.
struct RawRecord {
  SourcePlace Place;
  std::vector<RawField> Fields;
  std::string Canonical; ///< The JSON text, when it came from the store.
};

/// The records read so far, and every fault in them. A record with a fault is
/// kept with defaults in place of the faulty fields, so that references to it
/// resolve; it is listed in Faulty.
struct DecodedRecords {
  RecordSet Records;
  std::set<RecordId> Faulty;
  Diagnostics Faults;
};

/// Decodes \p Raw into \p Out. A record of a schema above \p MaxSchema becomes
/// opaque when it came from the store, and is a fault otherwise.
void decodeRecord(const RawRecord &Raw, SchemaNumber MaxSchema,
                  DecodedRecords &Out);

} // namespace mangodeck

#endif
