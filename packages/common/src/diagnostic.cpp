#include "mangodeck/common/diagnostic.h"

#include <fmt/format.h>

namespace mangodeck {

std::string toString(const Diagnostic &Error) {
  return fmt::format("{}:{}: {}: found {}; allowed: {}", Error.File, Error.Line,
                     Error.Field, Error.Found, Error.Allowed);
}

std::string toString(std::span<const Diagnostic> Errors) {
  std::string Text;
  for (const auto &Error : Errors)
    Text += toString(Error) + '\n';
  return Text;
}

} // namespace mangodeck
