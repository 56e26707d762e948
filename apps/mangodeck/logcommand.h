#ifndef MANGODECK_APPS_MANGODECK_LOGCOMMAND_H
#define MANGODECK_APPS_MANGODECK_LOGCOMMAND_H

#include "changerunner.h"

namespace mangodeck {

/// "mangodeck log": lists accepted revisions, newest first.
class LogCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  StoreAccess m_Store;
  std::int64_t m_Count = 20;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
