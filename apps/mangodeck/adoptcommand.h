#ifndef MANGODECK_APPS_MANGODECK_ADOPTCOMMAND_H
#define MANGODECK_APPS_MANGODECK_ADOPTCOMMAND_H

#include "changerunner.h"

namespace mangodeck {

/// "mangodeck adopt": puts one schema of a record in force.
class AdoptCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  ChangeRunner m_Runner;
  std::string m_Record;
  SchemaNumber m_Schema = 1;
};

} // namespace mangodeck

#endif
