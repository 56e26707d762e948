#include "daemon.h"
#include "mangodeck/common/log.h"
#include "mangodeck/process/settings.h"
#include "mangodeck/version/recordloader.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

namespace {

enum ExitCode : int { ExitSuccess = 0, ExitFailure = 1, ExitInvalid = 2 };

/// Settings of a daemon without a settings file: it listens on loopback, has no
/// peers, and belongs to the failure domain of the first target record.
mangodeck::Settings standaloneSettings(const mangodeck::RecordSet &Records) {
  mangodeck::Settings Options;
  Options.Vm = mangodeck::VmName("standalone");
  Options.CallerAddress = "127.0.0.1:7801";
  Options.AdminAddress = "127.0.0.1:7811";
  Options.PeerAddress = "127.0.0.1:7821";
  Options.PeerKeys = {"standalone-daemon-without-peers"};
  Options.BalancerLag = mangodeck::Duration{0};
  for (const auto &[Id, Entry] : Records)
    if (const auto *Found = std::get_if<mangodeck::TargetRecord>(&Entry.Body)) {
      Options.Domain = Found->Fields.Domain;
      break;
    }
  return Options;
}

template <typename Errors> int reportInvalid(const Errors &Faults) {
  for (const auto &Fault : Faults)
    fmt::print(stderr, "{}\n", mangodeck::toString(Fault));
  return ExitInvalid;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App{"Daemon of the mangodeck request scheduler"};
  std::string SettingsPath;
  std::string RecordsPath;
  bool CheckOnly = false;
  App.add_option("--settings", SettingsPath, "Settings file (YAML)");
  App.add_option("--records", RecordsPath,
                 "Run with the records of this folder and a store in memory");
  App.add_flag("--check", CheckOnly, "Check the files and exit");
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? ExitSuccess : ExitInvalid;
  }
  if (SettingsPath.empty() && RecordsPath.empty()) {
    fmt::print(stderr, "mangodeckd: give --settings FILE, --records DIR or "
                       "both; --help lists the options\n");
    return ExitInvalid;
  }

  std::optional<mangodeck::RecordSet> Records;
  if (!RecordsPath.empty()) {
    auto Loaded = mangodeck::loadRecords(RecordsPath);
    if (!Loaded)
      return reportInvalid(Loaded.error());
    Records = std::move(*Loaded);
  }
  mangodeck::Settings Options;
  if (!SettingsPath.empty()) {
    auto Read = mangodeck::loadSettings(SettingsPath);
    if (!Read.Errors.empty())
      return reportInvalid(Read.Errors);
    Options = std::move(Read.Values);
  } else {
    Options = standaloneSettings(*Records);
  }
  if (CheckOnly)
    return ExitSuccess;

  mangodeck::Daemon Server(std::move(Options), std::move(Records));
  if (const auto Error = Server.start()) {
    mangodeck::logEvent("start_failed", "error=\"{}\"", Error.message());
    return ExitFailure;
  }
  Server.runUntilDrained();
  return ExitSuccess;
}
