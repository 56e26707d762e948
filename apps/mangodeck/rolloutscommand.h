#ifndef MANGODECK_APPS_MANGODECK_ROLLOUTSCOMMAND_H
#define MANGODECK_APPS_MANGODECK_ROLLOUTSCOMMAND_H

#include "command.h"

#include <string>
#include <vector>

namespace mangodeck {

/// "mangodeck rollouts": shows the orders for rollouts that daemons of the
/// gateway know, with their steps, evidence and verdicts. Exits with
/// ExitFailure if a daemon does not answer.
class RolloutsCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  std::vector<std::string> m_Daemons;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
