#ifndef MANGODECK_APPS_MANGODECK_DRAINCOMMAND_H
#define MANGODECK_APPS_MANGODECK_DRAINCOMMAND_H

#include "changerunner.h"

namespace mangodeck {

/// "mangodeck drain": marks a target as draining, or removes the mark.
class DrainCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  ChangeRunner m_Runner;
  std::string m_Target;
  bool m_Undo = false;
};

} // namespace mangodeck

#endif
