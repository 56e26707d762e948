#include "benchcommand.h"

#include "mangodeck/replay/decisionbench.h"
#include "mangodeck/replay/runner.h"
#include "mangodeck/version/compile.h"
#include "mangodeck/version/recordloader.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <filesystem>
#include <vector>

namespace mangodeck {

namespace {

constexpr std::size_t TargetCounts[] = {10, 100, 1000};
constexpr std::size_t WaitingCounts[] = {100, 10000, 100000};

/// Sorted paths of the traces (*.jsonl) below \p Directory. Stops at the first
/// error of reading a directory and returns the paths found until then.
std::vector<std::filesystem::path> findTraces(const std::string &Directory) {
  std::vector<std::filesystem::path> Found;
  std::error_code Error;
  std::filesystem::recursive_directory_iterator It(Directory, Error), End;
  for (; !Error && It != End; It.increment(Error))
    if (It->path().extension() == ".jsonl")
      Found.push_back(It->path());
  std::sort(Found.begin(), Found.end());
  return Found;
}

void printCost(const DecisionCost &Cost, bool Json) {
  if (Json)
    fmt::print("{{\"targets\":{},\"waiting\":{},\"decision-ns\":{:.0f},"
               "\"eviction-ns\":{:.0f},\"tick-ns\":{:.0f},"
               "\"bytes-per-waiting-ticket\":{:.0f},"
               "\"bytes-per-target\":{:.0f}}}\n",
               Cost.Targets, Cost.Waiting, Cost.DecisionNanoseconds,
               Cost.EvictionNanoseconds, Cost.TickNanoseconds,
               Cost.BytesPerTicket, Cost.BytesPerTarget);
  else
    fmt::print("{:>8} {:>8} {:>12.0f} {:>12.0f} {:>12.0f} {:>13.0f} "
               "{:>13.0f}\n",
               Cost.Targets, Cost.Waiting, Cost.DecisionNanoseconds,
               Cost.EvictionNanoseconds, Cost.TickNanoseconds,
               Cost.BytesPerTicket, Cost.BytesPerTarget);
}

} // namespace

CLI::App *BenchCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "bench", "Measure decisions; print the signature of all traces");
  App->add_option("--traces", m_Traces,
                  "Directory of traces, each beside its records/");
  App->add_flag("--signature-only", m_SignatureOnly, "Measure no times");
  App->add_flag("--json", m_Json, "Print one JSON object on each line");
  return App;
}

int BenchCommand::run() {
  if (!m_SignatureOnly && !m_Json)
    fmt::print("{:>8} {:>8} {:>12} {:>12} {:>12} {:>13} {:>13}\n", "targets",
               "waiting", "decision ns", "eviction ns", "tick ns",
               "bytes/ticket", "bytes/target");
  for (const auto Targets : TargetCounts)
    for (const auto Waiting : WaitingCounts)
      if (!m_SignatureOnly)
        printCost(measureDecisions(Targets, Waiting), m_Json);
  return printSignature();
}

int BenchCommand::printSignature() const {
  const auto Paths = findTraces(m_Traces);
  if (Paths.empty()) {
    fmt::print(stderr,
               "--traces: found no *.jsonl in {}; allowed: a directory "
               "of traces\n",
               m_Traces);
    return ExitInvalid;
  }
  std::uint64_t Signature = 0;
  for (const auto &Path : Paths) {
    const auto Recorded = loadTrace(Path.string());
    if (!Recorded) {
      fmt::print(stderr, "{}", toString(std::span(Recorded.error())));
      return ExitInvalid;
    }
    const auto Records = loadRecords((Path.parent_path() / "records").string());
    const auto Config =
        Records ? compile(*Records, 1) : tl::unexpected(Records.error());
    if (!Config) {
      fmt::print(stderr, "{}", toString(std::span(Config.error())));
      return ExitInvalid;
    }
    const auto Result = replay(*Recorded, *Config, "mangodeck");
    const std::uint64_t Combined[] = {Signature, Result.Signature};
    Signature = XXH3_64bits(Combined, sizeof(Combined));
  }
  if (m_Json)
    fmt::print("{{\"traces\":{},\"signature\":\"{:016x}\"}}\n", Paths.size(),
               Signature);
  else
    fmt::print("bench signature {:016x} over {} traces\n", Signature,
               Paths.size());
  return ExitSuccess;
}

} // namespace mangodeck
