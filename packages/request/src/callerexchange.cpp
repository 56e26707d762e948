#include "mangodeck/request/callerexchange.h"

#include <algorithm>
#include <cctype>

namespace mangodeck {

namespace {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](unsigned char X, unsigned char Y) {
                      return std::tolower(X) == std::tolower(Y);
                    });
}

} // namespace

const std::string *findHeader(std::span<const Header> Headers,
                              std::string_view Name) {
  const auto It =
      std::find_if(Headers.begin(), Headers.end(), [Name](const Header &Field) {
        return equalsIgnoringCase(Field.Name, Name);
      });
  return It == Headers.end() ? nullptr : &It->Value;
}

} // namespace mangodeck
