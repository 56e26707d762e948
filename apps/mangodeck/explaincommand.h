#ifndef MANGODECK_APPS_MANGODECK_EXPLAINCOMMAND_H
#define MANGODECK_APPS_MANGODECK_EXPLAINCOMMAND_H

#include "command.h"

#include <string>
#include <vector>

namespace mangodeck {

/// "mangodeck explain": prints the history of one request from log files. Exits
/// with ExitFailure if no line names the request or a file cannot be read.
class ExplainCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  std::string m_RequestId;
  std::vector<std::string> m_Files;
};

} // namespace mangodeck

#endif
