#include "mangodeck/common/diagnostic.h"

#include <algorithm>
#include <tuple>

namespace mangodeck {

std::string toString(const Diagnostic &Fault) {
  std::string Text = Fault.Place.File;
  if (Fault.Place.Line > 0)
    Text += ":" + std::to_string(Fault.Place.Line);
  Text += ": ";
  if (!Fault.Field.empty())
    Text += Fault.Field + ": ";
  return Text + "found " + Fault.Found + "; allowed: " + Fault.Allowed;
}

std::string toString(std::span<const Diagnostic> Faults) {
  std::string Text;
  for (const auto &Fault : Faults)
    Text += toString(Fault) + '\n';
  return Text;
}

void sortDiagnostics(Diagnostics &Faults) {
  const auto Key = [](const Diagnostic &Fault) {
    return std::tie(Fault.Place.File, Fault.Place.Line, Fault.Field,
                    Fault.Found, Fault.Allowed);
  };
  std::stable_sort(Faults.begin(), Faults.end(),
                   [&Key](const Diagnostic &A, const Diagnostic &B) {
                     return Key(A) < Key(B);
                   });
  const auto End =
      std::unique(Faults.begin(), Faults.end(),
                  [&Key](const Diagnostic &A, const Diagnostic &B) {
                    return Key(A) == Key(B);
                  });
  Faults.erase(End, Faults.end());
}

} // namespace mangodeck
