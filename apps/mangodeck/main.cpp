#include "adoptcommand.h"
#include "applycommand.h"
#include "benchcommand.h"
#include "checkcommand.h"
#include "command.h"
#include "diffcommand.h"
#include "draincommand.h"
#include "explaincommand.h"
#include "logcommand.h"
#include "replaycommand.h"
#include "rolloutscommand.h"
#include "statuscommand.h"
#include "timelinecommand.h"
#include "wherecommand.h"

#include <utility>
#include <vector>

namespace mangodeck {

/// Makes every subcommand, in the order in which --help lists them.
static std::vector<std::unique_ptr<Command>> makeCommands() {
  std::vector<std::unique_ptr<Command>> Commands;
  Commands.push_back(std::make_unique<CheckCommand>());
  Commands.push_back(std::make_unique<DiffCommand>());
  Commands.push_back(std::make_unique<ApplyCommand>());
  Commands.push_back(std::make_unique<LogCommand>());
  Commands.push_back(std::make_unique<StatusCommand>());
  Commands.push_back(std::make_unique<RolloutsCommand>());
  Commands.push_back(std::make_unique<DrainCommand>());
  Commands.push_back(std::make_unique<AdoptCommand>());
  Commands.push_back(std::make_unique<ReplayCommand>());
  Commands.push_back(std::make_unique<TimelineCommand>());
  Commands.push_back(std::make_unique<ExplainCommand>());
  Commands.push_back(std::make_unique<WhereCommand>());
  Commands.push_back(std::make_unique<BenchCommand>());
  return Commands;
}

} // namespace mangodeck

int main(int Argc, char **Argv) {
  CLI::App App{"Operators' program of the mangodeck request scheduler"};
  App.require_subcommand(1);
  auto Commands = mangodeck::makeCommands();
  std::vector<std::pair<CLI::App *, mangodeck::Command *>> Declared;
  for (auto &Entry : Commands)
    Declared.emplace_back(Entry->declare(App), Entry.get());

  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? mangodeck::ExitSuccess
                                : mangodeck::ExitInvalid;
  }
  for (auto &[Subcommand, Entry] : Declared)
    if (Subcommand->parsed())
      return Entry->run();
  return mangodeck::ExitInvalid;
}
