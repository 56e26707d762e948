#ifndef MANGODECK_APPS_MANGODECK_STATUSCOMMAND_H
#define MANGODECK_APPS_MANGODECK_STATUSCOMMAND_H

#include "changerunner.h"

namespace mangodeck {

/// "mangodeck status": shows the revision in force in each daemon given with
/// --daemon.
class StatusCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  std::vector<std::string> m_Daemons;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
