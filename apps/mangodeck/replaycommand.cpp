#include "replaycommand.h"

#include "mangodeck/replay/deployment.h"
#include "mangodeck/replay/report.h"
#include "mangodeck/replay/runner.h"
#include "mangodeck/replay/tracegenerator.h"
#include "mangodeck/version/compile.h"
#include "mangodeck/version/recordloader.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace mangodeck {

namespace {

constexpr std::string_view SiteNames[] = {"san-alonso", "vltavska"};

void printFaults(const Diagnostics &Faults) {
  for (const auto &Fault : Faults)
    fmt::print(stderr, "{}\n", toString(Fault));
}

SnapshotPtr loadSnapshot(const std::string &Directory) {
  const auto Records = loadRecords(Directory);
  if (!Records) {
    printFaults(Records.error());
    return nullptr;
  }
  auto Compiled = compile(*Records, 1);
  if (!Compiled) {
    printFaults(Compiled.error());
    return nullptr;
  }
  return *Compiled;
}

bool writeFile(const std::filesystem::path &Path, std::string_view Text) {
  std::ofstream Out(Path, std::ios::binary);
  Out << Text;
  Out.flush();
  if (Out)
    return true;
  fmt::print(stderr, "{}: cannot be written\n", Path.string());
  return false;
}

/// Compares \p Text with the file line by line, prints the first difference and
/// returns an exit code.
int compareGolden(const std::string &Path, const std::string &Text) {
  std::ifstream In(Path);
  if (!In) {
    fmt::print(stderr, "{}: cannot be read\n", Path);
    return ExitInvalid;
  }
  std::istringstream Found(Text);
  std::string Wanted, Got;
  for (int Line = 1;; ++Line) {
    const bool HasWanted = static_cast<bool>(std::getline(In, Wanted));
    const bool HasGot = static_cast<bool>(std::getline(Found, Got));
    if (!HasWanted && !HasGot)
      return ExitSuccess;
    if (HasWanted == HasGot && Wanted == Got)
      continue;
    fmt::print(stderr, "{}:{}: found {}; allowed: {}\n", Path, Line,
               HasGot ? Got : "nothing", HasWanted ? Wanted : "nothing");
    return ExitFailure;
  }
}

} // namespace

CLI::App *ReplayCommand::declare(CLI::App &Parent) {
  auto *App = Parent.add_subcommand(
      "replay", "Replay traces with the product's policy and the baselines");
  App->add_option("--trace", m_Traces, "Trace of JSON lines; may be repeated");
  App->add_option("--records", m_Records,
                  "Directory of records; twice to compare two sets");
  App->add_option("--policy", m_Policies,
                  "mangodeck, round-robin, least-load or two-choices; all if "
                  "not given");
  App->add_flag("--json", m_Json, "Print JSON");
  App->add_option("--golden", m_Golden,
                  "Fail unless the JSON output equals this file");
  App->add_option("--html", m_Html, "Write a page with plots to this file");
  App->add_option("--generate", m_GenerateInto,
                  "Write all traces and their records to this directory");
  App->add_option("--seed", m_Seed, "Seed of the generator");
  return App;
}

int ReplayCommand::run() {
  if (!m_GenerateInto.empty())
    return generate();
  const auto KnownPolicies = policyNames();
  for (const auto &Name : m_Policies)
    if (std::find(KnownPolicies.begin(), KnownPolicies.end(), Name) ==
        KnownPolicies.end()) {
      fmt::print(stderr,
                 "--policy: found {}; allowed: mangodeck, "
                 "round-robin, least-load, two-choices\n",
                 Name);
      return ExitInvalid;
    }
  if (m_Policies.empty())
    m_Policies.assign(KnownPolicies.begin(), KnownPolicies.end());
  if (m_Traces.empty() || m_Records.empty() || m_Records.size() > 2) {
    fmt::print(stderr, "replay needs --trace and one or two --records\n");
    return ExitInvalid;
  }
  int WorstCode = ExitSuccess;
  for (const auto &Path : m_Traces)
    WorstCode = std::max(WorstCode, replayTrace(Path));
  return WorstCode;
}

/// Writes SITE/SCENARIO.jsonl and SITE/records/records.yaml for every site.
int ReplayCommand::generate() const {
  std::error_code Error;
  for (const auto SiteName : SiteNames) {
    const auto Site = *makeDeployment(SiteName);
    const auto SiteDirectory = std::filesystem::path(m_GenerateInto) / SiteName;
    std::filesystem::create_directories(SiteDirectory / "records", Error);
    if (!writeFile(SiteDirectory / "records" / "records.yaml",
                   Site.recordsYaml()))
      return ExitFailure;
    for (const auto Scenario : scenarioNames()) {
      std::ostringstream Text;
      writeTrace(generateTrace(Site, Scenario, m_Seed), Text);
      if (!writeFile(SiteDirectory / fmt::format("{}.jsonl", Scenario),
                     Text.str()))
        return ExitFailure;
    }
  }
  return ExitSuccess;
}

int ReplayCommand::replayTrace(const std::string &Path) {
  const auto Recorded = loadTrace(Path);
  if (!Recorded) {
    printFaults(Recorded.error());
    return ExitInvalid;
  }
  std::vector<ReplayReport> Reports;
  std::vector<CheckedExpectation> Checked;
  for (const auto &Directory : m_Records) {
    const auto Config = loadSnapshot(Directory);
    if (!Config)
      return ExitInvalid;
    ReplayReport Report;
    Report.Trace = fmt::format("{}/{}", Recorded->Header.Deployment,
                               Recorded->Header.Name);
    Report.Records = Directory;
    Report.Results = replayAll(*Recorded, Config, m_Policies);
    Checked = checkExpectations(*Recorded, Report.Results);
    if (!m_Json)
      fmt::print("{}{}", textReport(Report), textExpectations(Checked));
    Reports.push_back(std::move(Report));
  }
  if (m_Json)
    fmt::print("{}", jsonReport(Reports));
  else if (Reports.size() == 2)
    fmt::print("{}", textComparison(Reports[0], Reports[1]));
  if (!m_Html.empty() && !writeFile(m_Html, htmlReport(Reports)))
    return ExitFailure;
  if (!m_Golden.empty())
    return compareGolden(m_Golden, jsonReport(Reports));
  for (const auto &Report : Reports)
    for (const auto &Result : Report.Results)
      if (!Result.Violations.empty())
        return ExitFailure;
  return ExitSuccess;
}

} // namespace mangodeck
