#include "diffcommand.h"

#include "mangodeck/version/recorddiff.h"
#include "mangodeck/version/recordloader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mangodeck {

namespace {

nlohmann::json toJson(const RecordChange &Change) {
  constexpr std::string_view Kinds[] = {"added", "removed", "changed"};
  nlohmann::json Fields = nlohmann::json::array();
  for (const auto &Field : Change.Fields)
    Fields.push_back({{"field", Field.Field},
                      {"before", Field.Before},
                      {"after", Field.After}});
  return {{"record", toString(Change.Id)},
          {"change", Kinds[static_cast<std::size_t>(Change.Kind)]},
          {"fields", Fields}};
}

} // namespace

CLI::App *DiffCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "diff", "Show what applying the records of a directory would change");
  App->add_option("directory", m_Directory, "Directory of *.yaml files")
      ->required();
  m_Store.declare(*App);
  App->add_flag("--json", m_Json, "Print JSON");
  return App;
}

int DiffCommand::run() {
  const auto Records = loadRecords(m_Directory);
  if (!Records) {
    fmt::print(stderr, "{}", toString(std::span(Records.error())));
    return ExitInvalid;
  }
  const auto State = m_Store.read();
  if (!State)
    return ExitFailure;
  const auto Changes = diffRecords(State->Records, *Records);
  if (m_Json) {
    nlohmann::json Out{{"base", State->Number},
                       {"changes", nlohmann::json::array()}};
    for (const auto &Change : Changes)
      Out["changes"].push_back(toJson(Change));
    fmt::print("{}\n", Out.dump(2));
    return ExitSuccess;
  }
  fmt::print("against revision {}: {} records change\n", State->Number,
             Changes.size());
  for (const auto &Change : Changes)
    fmt::print("{}\n", toString(Change));
  return ExitSuccess;
}

} // namespace mangodeck
