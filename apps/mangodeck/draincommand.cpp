#include "draincommand.h"

#include <fmt/format.h>

namespace mangodeck {

CLI::App *DrainCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "drain",
      "Send a target no new requests; those running there are finished");
  App->add_option("target", m_Target, "Name of the target's record")
      ->required();
  App->add_flag("--undo", m_Undo,
                "Remove the mark, so that the target gets requests again");
  m_Runner.declare(*App);
  return App;
}

/// Changes every schema of the record; otherwise the adoption of another schema
/// would remove the mark.
int DrainCommand::run() {
  m_Runner.setDefaultMessage((m_Undo ? "undrain " : "drain ") + m_Target);
  return m_Runner.run(
      [this](const StoredConfiguration &State) -> std::optional<RecordSet> {
        auto Records = State.Records;
        bool IsFound = false;
        for (auto &[Id, Entry] : Records) {
          auto *Body = std::get_if<TargetRecord>(&Entry.Body);
          if (!Body || Id.Name != m_Target)
            continue;
          Body->Fields.Draining = !m_Undo;
          IsFound = true;
        }
        if (IsFound)
          return Records;
        fmt::print(stderr,
                   "target: found \"{}\"; allowed: the name of a target "
                   "record\n",
                   m_Target);
        return std::nullopt;
      });
}

} // namespace mangodeck
