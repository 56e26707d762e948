// Plays the model of traffic between failure domains under four policies and
// prints one table.
#include "spillmodel.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace {

using namespace mangodeck;

struct NamedScenario {
  const char *Name;
  SpillScenario Scenario;
};

std::vector<NamedScenario> scenarios(unsigned Seconds) {
  SpillScenario Three;
  Three.Time = std::chrono::seconds(Seconds);
  auto Seven = Three;
  Seven.TargetsByDomain = {2, 1, 1, 1, 2, 1, 1};
  auto Full = Three;
  Full.LoadShare = 1.2;
  Full.WaveShare = 0;
  auto Killed = Three;
  Killed.KillsBrokers = true;
  auto Cut = Three;
  Cut.CutsOneWay = true;
  auto Late = Three;
  Late.DuplicatesLate = true;
  Late.SummaryDelay = 300ms;
  auto Slow = Three;
  Slow.HasSlowDaemon = true;
  auto Moving = Three;
  Moving.MovesCallers = true;
  auto Many = Three;
  Many.DaemonsByDomain = 25;
  return {{"3 domains", Three},          {"7 domains", Seven},
          {"3, all full", Full},         {"3, brokers killed", Killed},
          {"3, cut one way", Cut},       {"3, late and doubled", Late},
          {"3, one of five slow", Slow}, {"3, callers move", Moving},
          {"3, 75 daemons", Many}};
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Policies for traffic between failure domains, in a model"};
  unsigned Seeds = 3;
  unsigned Seconds = 40;
  App.add_option("--seeds", Seeds, "Runs of each")->capture_default_str();
  App.add_option("--seconds", Seconds, "Simulated time of a run")
      ->capture_default_str();
  CLI11_PARSE(App, Argc, Argv);
  fmt::print("| Case | Policy | Requests | In time | Late | Refused | Failed | "
             "Left | kB of requests | kB of summaries | Deviation of flow |\n"
             "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | "
             "--- |\n");
  for (auto &[Name, Scenario] : scenarios(Seconds))
    for (const auto Policy :
         {SpillPolicy::ByLoads, SpillPolicy::NeverLeave,
          SpillPolicy::LeastLoaded, SpillPolicy::ByOffers}) {
      SpillResult Sum;
      for (Scenario.Seed = 1; Scenario.Seed <= Seeds; ++Scenario.Seed) {
        const auto Run = playSpill(Scenario, Policy);
        Sum.Requests += Run.Requests;
        Sum.InTime += Run.InTime;
        Sum.Late += Run.Late;
        Sum.Refused += Run.Refused;
        Sum.Failed += Run.Failed;
        Sum.Left += Run.Left;
        Sum.RequestBytes += Run.RequestBytes;
        Sum.SummaryBytes += Run.SummaryBytes;
        Sum.FlowDeviation += Run.FlowDeviation / Seeds;
      }
      const auto Percent = [&](std::uint64_t Count) {
        return 100 * static_cast<double>(Count) /
               static_cast<double>(Sum.Requests);
      };
      fmt::print("| {} | {} | {} | {:.1f}% | {:.1f}% | {:.1f}% | {:.1f}% | "
                 "{:.1f}% | {} | {} | {:.2f} |\n",
                 Name, nameOf(Policy), Sum.Requests, Percent(Sum.InTime),
                 Percent(Sum.Late), Percent(Sum.Refused), Percent(Sum.Failed),
                 Percent(Sum.Left), Sum.RequestBytes / 1000,
                 Sum.SummaryBytes / 1000, Sum.FlowDeviation);
    }
  return 0;
}
