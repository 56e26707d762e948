#include "logcommand.h"

#include "mangodeck/version/storereader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mangodeck {

CLI::App *LogCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand("log", "List accepted revisions");
  m_Store.declare(*App);
  App->add_option("--count", m_Count, "How many, the newest first")
      ->check(CLI::Range(1, 1000));
  App->add_flag("--json", m_Json, "Print JSON");
  return App;
}

int LogCommand::run() {
  const auto Found = BlockingStore(m_Store.open()).last(LogPrefix, m_Count);
  if (!Found) {
    fmt::print(stderr, "store: {}\n", Found.error().message());
    return ExitFailure;
  }
  auto Out = nlohmann::json::array();
  for (const auto &Item : toLogEntries(*Found)) {
    const auto Change = decodeRevision(Item);
    if (!Change) {
      fmt::print(stderr, "{}\n", toString(Change.error()));
      continue;
    }
    const auto Digest = digestOf(Item.Value);
    if (m_Json)
      Out.push_back({{"revision", Change->Number},
                     {"digest", Digest},
                     {"author", Change->Author},
                     {"message", Change->Message},
                     {"written", Change->WrittenAt},
                     {"put", Change->Put.size()},
                     {"removed", Change->Removed.size()}});
    else
      fmt::print("{:>6} {:.12} {:<16} +{} -{} {}\n", Change->Number, Digest,
                 Change->Author, Change->Put.size(), Change->Removed.size(),
                 Change->Message);
  }
  if (m_Json)
    fmt::print("{}\n", Out.dump(2));
  return ExitSuccess;
}

} // namespace mangodeck
