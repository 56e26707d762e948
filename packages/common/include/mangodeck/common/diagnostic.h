#ifndef MANGODECK_COMMON_DIAGNOSTIC_H
#define MANGODECK_COMMON_DIAGNOSTIC_H

#include "mangodeck/common/error.h"

#include <span>
#include <string>
#include <vector>

namespace mangodeck {

/// Where a record or setting was read from. Line 0 means the whole file.
struct SourcePlace {
  std::string File;
  int Line = 0;
};

/// One fault in a file that an operator wrote: where, in which field, what was
/// found and what is allowed.
struct Diagnostic {
  SourcePlace Place;
  std::string Field; ///< Empty when the whole record or file is meant.
  std::string Found;
  std::string Allowed;
  /// Errc::InvalidInput, or Errc::UnknownSchema when only a newer program
  /// can read the record.
  std::error_code Code = Errc::InvalidInput;
};

using Diagnostics = std::vector<Diagnostic>;

/// Writes "FILE:LINE: FIELD: found F; allowed: A".
std::string toString(const Diagnostic &Fault);

/// Writes one line for each fault, each ended by a newline.
std::string toString(std::span<const Diagnostic> Faults);

/// Orders by file, line and field, and drops repetitions.
void sortDiagnostics(Diagnostics &Faults);

} // namespace mangodeck

#endif
