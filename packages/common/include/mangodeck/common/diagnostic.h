#ifndef MANGODECK_COMMON_DIAGNOSTIC_H
#define MANGODECK_COMMON_DIAGNOSTIC_H

#include "mangodeck/common/error.h"

#include <span>
#include <string>
#include <vector>

namespace mangodeck {

/// File and line that a record or setting was read from. Line 0 means the
/// whole file.
struct SourcePlace {
  std::string File;
  int Line = 0;
};

/// One error in a file written by an operator: its place, the field, the value
/// found and the values allowed.
struct Diagnostic {
  SourcePlace Place;
  std::string Field; ///< Empty if the error concerns the whole record or file.
  std::string Found;
  std::string Allowed;
  /// Errc::InvalidInput, or Errc::UnknownSchema if the record needs a newer
  /// version of this program.
  std::error_code Code = Errc::InvalidInput;
};

using Diagnostics = std::vector<Diagnostic>;

/// Formats \p Fault as "FILE:LINE: FIELD: found F; allowed: A".
std::string toString(const Diagnostic &Fault);

/// Formats one line for each diagnostic, each ended by a newline.
std::string toString(std::span<const Diagnostic> Faults);

/// Sorts by file, line, field, found and allowed value, and removes
/// duplicates.
void sortDiagnostics(Diagnostics &Faults);

} // namespace mangodeck

#endif
