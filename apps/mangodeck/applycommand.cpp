#include "applycommand.h"

#include "mangodeck/version/recordloader.h"

#include <fmt/format.h>

namespace mangodeck {

CLI::App *ApplyCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "apply", "Replace the configuration with the records of a directory");
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
    return loadUnlessConflict(State, Code);
  });
  return Code != ExitSuccess ? Code : Result;
}

/// Loads the records of the directory. They replace the whole configuration, so
/// a directory prepared before another operator's change would undo that
/// change. The newest revision must therefore be the one given with --base or,
/// without --base, a revision of the same author. If it is neither, or the
/// records are invalid, prints the reason and sets \p Code.
std::optional<RecordSet>
ApplyCommand::loadUnlessConflict(const StoredConfiguration &State,
                                 int &Code) const {
  auto Records = loadRecords(m_Directory);
  if (!Records) {
    fmt::print(stderr, "{}", toString(std::span(Records.error())));
    Code = ExitInvalid;
    return std::nullopt;
  }
  const auto Newest = State.Newest.value_or(Revision());
  const bool MayReplaceNewest =
      m_Base ? *m_Base == State.Number
             : State.Number == 0 || Newest.Author == m_Runner.author();
  if (MayReplaceNewest)
    return std::move(*Records);
  fmt::print(stderr,
             "conflict: revision {} by {} was accepted meanwhile: {}\n"
             "see `mangodeck diff`; then pass --base {}\n",
             State.Number, Newest.Author, Newest.Message, State.Number);
  Code = ExitConflict;
  return std::nullopt;
}

} // namespace mangodeck
