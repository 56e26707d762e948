#include "draincommand.h"

#include <fmt/format.h>

namespace mangodeck {

CLI::App *DrainCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "drain", "Give a target no new work; what runs there is finished");
  App->add_option("target", m_Target, "Name of the target's record")
      ->required();
  App->add_flag("--undo", m_Undo, "Give it work again");
  m_Runner.declare(*App);
  return App;
}

/// Changes every schema of the record, so that an adoption takes no mark off.
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
