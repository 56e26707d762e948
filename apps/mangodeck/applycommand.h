#ifndef MANGODECK_APPS_MANGODECK_APPLYCOMMAND_H
#define MANGODECK_APPS_MANGODECK_APPLYCOMMAND_H

#include "changerunner.h"

namespace mangodeck {

/// "mangodeck apply": replaces the configuration with the records of a
/// directory.
class ApplyCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  std::optional<RecordSet> loadUnlessConflict(const StoredConfiguration &State,
                                              int &Code) const;

  ChangeRunner m_Runner;
  std::string m_Directory;
  std::optional<RevisionNumber> m_Base;
};

} // namespace mangodeck

#endif
