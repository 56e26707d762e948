#ifndef MANGODECK_APPS_MANGODECK_DIFFCOMMAND_H
#define MANGODECK_APPS_MANGODECK_DIFFCOMMAND_H

#include "changerunner.h"

namespace mangodeck {

/// "mangodeck diff": shows what applying a directory's records would change.
class DiffCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  StoreAccess m_Store;
  std::string m_Directory;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
