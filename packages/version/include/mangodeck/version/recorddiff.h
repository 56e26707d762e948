#ifndef MANGODECK_VERSION_RECORDDIFF_H
#define MANGODECK_VERSION_RECORDDIFF_H

#include "mangodeck/version/record.h"

#include <string>
#include <vector>

namespace mangodeck {

/// One field that differs. A side without the field is empty.
struct FieldChange {
  std::string Field;
  std::string Before; ///< As JSON.
  std::string After;  ///< As JSON.
};

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// One record that differs between two sets.
struct RecordChange {
  RecordId Id;
  ChangeKind Kind = ChangeKind::Changed;
  std::vector<FieldChange> Fields; ///< Of a changed record.
};

/// The records that differ, in the order of their identities.
std::vector<RecordChange> diffRecords(const RecordSet &Before,
                                      const RecordSet &After);

/// Writes one change as text, one line for the record and one for each field.
std::string toString(const RecordChange &Change);

} // namespace mangodeck

#endif
