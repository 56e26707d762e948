#include "rolloutscommand.h"

#include "adminclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace mangodeck {

CLI::App *RolloutsCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "rollouts",
      "Show orders for rollouts, their steps, evidence and verdicts");
  App->add_option("--daemon", m_Daemons,
                  "IP:PORT of a daemon's readiness check; repeat for more")
      ->required();
  App->add_flag("--json", m_Json, "Print JSON");
  return App;
}

int RolloutsCommand::run() {
  auto Out = nlohmann::ordered_json::array();
  int Code = ExitSuccess;
  for (const auto &Address : m_Daemons) {
    const auto Answer = callAdmin(Address, "/rollouts");
    const auto List =
        Answer && Answer->Status == 200
            ? nlohmann::ordered_json::parse(Answer->Body, nullptr, false)
            : nlohmann::ordered_json();
    if (!List.is_array()) {
      Code = ExitFailure;
      fmt::print(stderr, "mangodeck: {}: {}\n", Address,
                 Answer ? fmt::format("status {}", Answer->Status)
                        : Answer.error().message());
      continue;
    }
    Out.push_back({{"daemon", Address}, {"rollouts", List}});
    for (const auto &Each : List)
      if (!m_Json)
        fmt::print(
            "{} {} to {}: {}, step {}, {} of {} ms; {} of {} requests, "
            "{} of {} answers bad, others {} of {}; log ratio {:.1f} {}\n",
            Address, Each.value("service", ""), Each.value("to", ""),
            Each.value("state", ""), Each.value("step", ""),
            Each.value("elapsed_ms", 0), Each.value("limit_ms", 0),
            Each.value("sent", 0), Each.value("requests", 0),
            Each.value("bad", 0), Each.value("answers", 0),
            Each.value("other_bad", 0), Each.value("other_answers", 0),
            Each.value("log_ratio", 0.0), Each.value("reason", ""));
  }
  if (m_Json)
    fmt::print("{}\n", Out.dump(2));
  return Code;
}

} // namespace mangodeck
