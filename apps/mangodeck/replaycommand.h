#ifndef MANGODECK_APPS_MANGODECK_REPLAYCOMMAND_H
#define MANGODECK_APPS_MANGODECK_REPLAYCOMMAND_H

#include "command.h"

#include <string>
#include <vector>

namespace mangodeck {

/// "mangodeck replay": replays traces with the product's policy and the
/// baselines, compares two sets of records, or generates the traces.
class ReplayCommand : public Command {
public:
  CLI::App *declare(CLI::App &Parent) override;
  int run() override;

private:
  int generate() const;
  int replayTrace(const std::string &Path);

  std::vector<std::string> m_Traces;
  std::vector<std::string> m_Records;
  std::vector<std::string> m_Policies;
  std::string m_Golden;
  std::string m_Html;
  std::string m_GenerateInto;
  std::uint64_t m_Seed = 1;
  bool m_Json = false;
};

} // namespace mangodeck

#endif
