#include "applycommand.h"

#include "mangodeck/version/recordloader.h"

#include <fmt/format.h>

namespace mangodeck {

CLI::App *ApplyCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "apply", "Make the records of a directory the configuration");
  App->add_option("directory", m_Directory, "Directory of *.yaml files")
      ->required();
  App->add_option("--base", m_Base,
                  "Revision that `diff` showed; any other newest revision is a "
                  "conflict");
  m_Runner.declare(*App);
  return App;
}

int ApplyCommand::run() {
  int Code = ExitSuccess;
  const int Result = m_Runner.run([&](const StoredConfiguration &State) {
    return chooseRecords(State, Code);
  });
  return Code != ExitSuccess ? Code : Result;
}

/// Reads the records. A directory holds all records, so applying one that was
/// made before another operator's change would undo that change; without
/// --base this is allowed only after a change of the same author.
std::optional<RecordSet>
ApplyCommand::chooseRecords(const StoredConfiguration &State, int &Code) const {
  auto Records = loadRecords(m_Directory);
  if (!Records) {
    fmt::print(stderr, "{}", toString(std::span(Records.error())));
    Code = ExitInvalid;
    return std::nullopt;
  }
  const auto Newest = State.Newest.value_or(Revision());
  const bool IsKnown =
      m_Base ? *m_Base == State.Number
             : State.Number == 0 || Newest.Author == m_Runner.author();
  if (IsKnown)
    return std::move(*Records);
  fmt::print(stderr,
             "conflict: revision {} by {} came in between: {}\n"
             "see `mangodeck diff`; then pass --base {}\n",
             State.Number, Newest.Author, Newest.Message, State.Number);
  Code = ExitConflict;
  return std::nullopt;
}

} // namespace mangodeck
