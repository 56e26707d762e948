#include "statuscommand.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mangodeck {

CLI::App *StatusCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "status", "Show the revision in force in each daemon");
  App->add_option("--daemon", m_Daemons,
                  "IP:PORT of a daemon's admin listener; repeat for more")
      ->required();
  App->add_flag("--json", m_Json, "Print JSON");
  return App;
}

int StatusCommand::run() {
  auto Out = nlohmann::json::array();
  int Code = ExitSuccess;
  for (const auto &Address : m_Daemons) {
    const auto Status = fetchStatus(Address);
    if (!Status.Error.empty())
      Code = ExitFailure;
    if (m_Json)
      Out.push_back({{"daemon", Address},
                     {"vm", Status.Vm},
                     {"failure_domain", Status.Domain},
                     {"revision", Status.Revision},
                     {"digest", Status.Digest},
                     {"error", Status.Error}});
    else if (Status.Error.empty())
      fmt::print("{} {} {} revision {} ({:.12})\n", Address, Status.Vm,
                 Status.Domain, Status.Revision, Status.Digest);
    else
      fmt::print("{} no answer: {}\n", Address, Status.Error);
  }
  if (m_Json)
    fmt::print("{}\n", Out.dump(2));
  return Code;
}

} // namespace mangodeck
