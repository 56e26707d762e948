#ifndef MANGODECK_APPS_MANGODECK_CHECKCOMMAND_H
#define MANGODECK_APPS_MANGODECK_CHECKCOMMAND_H

#include "changerunner.h"

namespace mangodeck {

/// "mangodeck check": reads the records of a directory and prints every error.
class CheckCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  std::string m_Directory;
};

} // namespace mangodeck

#endif
