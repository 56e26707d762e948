#ifndef MANGODECK_APPS_MANGODECK_TIMELINECOMMAND_H
#define MANGODECK_APPS_MANGODECK_TIMELINECOMMAND_H

#include "command.h"

#include "mangodeck/process/timelineformat.h"

#include <string>
#include <vector>

namespace mangodeck {

/// "mangodeck timeline": merges the events of daemons and prints them. Exits
/// with ExitFailure if the events of a daemon could not be fetched; those of
/// the others are still printed.
class TimelineCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  Expected<DaemonEvents> fetch(const std::string &Address) const;
  Expected<DaemonEvents> fetchPage(const std::string &Address,
                                   HybridTime After) const;
  std::string format(std::span<const MergedEvent> Events) const;

  std::vector<std::string> m_Daemons;
  std::string m_Request;
  std::string m_After = "0.0";
  std::string m_Format = "text";
  bool m_Json = false;
};

} // namespace mangodeck

#endif
