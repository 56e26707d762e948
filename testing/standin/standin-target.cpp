/// A stand-in for a model engine or a plain service: serves the protocol of
/// docs/TARGETS.md with answers that follow from the prompt, and with
/// switchable faults.

#include "standinengine.h"

#include "mangodeck/common/clock.h"
#include "mangodeck/connection/callerserver.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <chrono>

namespace {

using namespace mangodeck;
using namespace mangodeck::testing;

class EngineHandler : public CallerHandler {
public:
  explicit EngineHandler(StandInEngine &Engine) : m_Engine(Engine) {}
  void handle(std::shared_ptr<CallerExchange> Exchange) override {
    m_Engine.accept(std::move(Exchange));
  }

private:
  StandInEngine &m_Engine;
};

Duration toDuration(double Milliseconds) {
  return fromSeconds(Milliseconds / 1000.0);
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Stand-in for a target.");
  EngineOptions Options;
  CallerServerOptions Server;
  Server.Threads = 1;
  std::string Kind = "model";
  std::string FaultsText;
  bool IgnoresFencing = false;
  double TokenDelay = 2;
  double PrefillDelay = 5;
  double PrefillPerToken = 0;
  double ReportPeriod = 200;
  double ReportLag = 0;
  Options.Started = static_cast<Incarnation>(SystemClock().wallNow());
  App.add_option("--address", Server.Address, "IP:PORT; port 0 takes any");
  App.add_option("--kind", Kind, "model or plain")
      ->check(CLI::IsMember({"model", "plain"}));
  App.add_option("--name", Options.Name, "name in reports");
  App.add_option("--token-delay", TokenDelay, "ms between tokens");
  App.add_option("--prefill-delay", PrefillDelay, "ms to the first token");
  App.add_option("--prefill-per-token", PrefillPerToken,
                 "ms for each prompt token that is not cached");
  App.add_option("--report-period", ReportPeriod, "ms between load reports");
  App.add_option("--report-lag", ReportLag, "ms by which reports are late");
  App.add_option("--cache-blocks", Options.CacheBlocks, "prefix blocks kept");
  App.add_option("--incarnation", Options.Started, "number of this start");
  App.add_option("--journal", Options.JournalPath,
                 "file that gets a JSON line for each dispatch and payment");
  App.add_option("--faults", FaultsText, "faults from the start, as JSON");
  App.add_flag("--ignore-fencing", IgnoresFencing,
               "take orders with old fencing numbers");
  CLI11_PARSE(App, Argc, Argv);
  Options.Plain = Kind == "plain";
  Options.ChecksFencing = !IgnoresFencing;
  Options.TokenDelay = toDuration(TokenDelay);
  Options.PrefillDelay = toDuration(PrefillDelay);
  Options.PrefillPerToken = toDuration(PrefillPerToken);
  Options.ReportPeriod = toDuration(ReportPeriod);
  Options.ReportLag = toDuration(ReportLag);

  StandInEngine Engine(Options);
  if (!FaultsText.empty()) {
    if (const auto Error = Engine.setFaults(FaultsText); !Error.empty()) {
      fmt::print(stderr, "standin-target: {}\n", Error);
      return 2;
    }
  }
  EngineHandler Handler(Engine);
  CallerServer Listener(Server, Handler);
  if (const auto Error = Listener.start()) {
    fmt::print(stderr, "standin-target: {}: {}\n", Server.Address,
               Error.message());
    return 1;
  }
  const auto Ip = Server.Address.substr(0, Server.Address.rfind(':'));
  fmt::print("listening={}:{}\n", Ip, Listener.port());
  std::fflush(stdout);
  Engine.run();
  return 0;
}
