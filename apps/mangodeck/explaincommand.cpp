#include "explaincommand.h"

#include "mangodeck/gateway/requesthistory.h"

#include <fmt/format.h>
#include <fstream>

namespace mangodeck {

CLI::App *ExplainCommand::declare(CLI::App &Parent) {
  auto *Sub = Parent.add_subcommand(
      "explain",
      "Print the history of one request from the daemons' log files");
  Sub->add_option("id", m_RequestId, "Id of the caller's attempt")->required();
  Sub->add_option("files", m_Files, "Log files of any number of daemons")
      ->required();
  return Sub;
}

int ExplainCommand::run() {
  RequestHistory History(m_RequestId);
  bool AllRead = true;
  for (const auto &Path : m_Files) {
    std::ifstream File(Path);
    if (!File) {
      fmt::print(stderr, "mangodeck: {} cannot be read\n", Path);
      AllRead = false;
      continue;
    }
    History.read(File);
  }
  if (History.unreadableLines() > 0)
    fmt::print(stderr, "mangodeck: {} lines are not log lines of a gateway\n",
               History.unreadableLines());
  if (!History.containsRequest()) {
    fmt::print(stderr, "mangodeck: no line names request {}\n", m_RequestId);
    return ExitFailure;
  }
  fmt::print("{}", History.toText());
  return AllRead ? ExitSuccess : ExitFailure;
}

} // namespace mangodeck
