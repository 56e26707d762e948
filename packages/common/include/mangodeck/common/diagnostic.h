#ifndef MANGODECK_COMMON_DIAGNOSTIC_H
#define MANGODECK_COMMON_DIAGNOSTIC_H

#include <span>
#include <string>

namespace mangodeck {

/// One error in a file that an operator wrote.
struct Diagnostic {
  std::string File;
  int Line = 0;        ///< From 1; 0 when the whole file is meant.
  std::string Field;   ///< Path of the field, e.g. "seeds[1].address".
  std::string Found;   ///< What stands there.
  std::string Allowed; ///< What may stand there.
};

/// Writes "FILE:LINE: FIELD: found FOUND; allowed: ALLOWED".
std::string toString(const Diagnostic &Error);

/// Writes one line for each error, each ended by a newline.
std::string toString(std::span<const Diagnostic> Errors);

} // namespace mangodeck

#endif
