#include "checkcommand.h"

#include "mangodeck/version/recordloader.h"

#include <fmt/format.h>

namespace mangodeck {

CLI::App *CheckCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand("check", "Check records, without a store");
  App->add_option("directory", m_Directory, "Directory of *.yaml files")
      ->required();
  return App;
}

int CheckCommand::run() {
  const auto Records = loadRecords(m_Directory);
  if (!Records) {
    fmt::print(stderr, "{}", toString(std::span(Records.error())));
    return ExitInvalid;
  }
  fmt::print("{} records, no fault\n", Records->size());
  return ExitSuccess;
}

} // namespace mangodeck
