#ifndef MANGODECK_APPS_MANGODECK_BENCHCOMMAND_H
#define MANGODECK_APPS_MANGODECK_BENCHCOMMAND_H

#include "command.h"

#include <string>

namespace mangodeck {

/// "mangodeck bench": measures time and memory per dispatch decision and prints
/// a signature of all decisions on all traces. A change of any decision changes
/// the signature.
class BenchCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  int printSignature() const;

  std::string m_Traces = "traces";
  bool m_SignatureOnly = false;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
