#include "adoptcommand.h"

#include <fmt/format.h>

namespace mangodeck {

CLI::App *AdoptCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "adopt", "Put one schema of a record in force; undo it with the other");
  App->add_option("record", m_Record, "KIND/NAME")->required();
  App->add_option("--schema", m_Schema, "Schema to put in force")->required();
  m_Runner.declare(*App);
  return App;
}

int AdoptCommand::run() {
  m_Runner.setDefaultMessage(
      fmt::format("adopt schema {} of {}", m_Schema, m_Record));
  return m_Runner.run(
      [this](const StoredConfiguration &State) -> std::optional<RecordSet> {
        const auto Id =
            parseRecordId(m_Record + "@" + std::to_string(m_Schema));
        if (!Id || !State.Records.contains(*Id)) {
          fmt::print(stderr,
                     "record: found \"{}\" in schema {}; allowed: KIND/NAME "
                     "and schema of a stored record\n",
                     m_Record, m_Schema);
          return std::nullopt;
        }
        auto Records = State.Records;
        const RecordId Adoption{RecordKind::Adoption, m_Record, 1};
        Records[Adoption] = {
            Adoption, AdoptionRecord{Id->Kind, Id->Name, m_Schema}, {}};
        return Records;
      });
}

} // namespace mangodeck
