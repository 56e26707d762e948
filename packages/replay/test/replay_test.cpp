#include "mangodeck/replay/decisionbench.h"
#include "mangodeck/replay/deployment.h"
#include "mangodeck/replay/report.h"
#include "mangodeck/replay/runner.h"
#include "mangodeck/replay/tracegenerator.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace mangodeck {

class ReplayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplayTest);
  CPPUNIT_TEST(replay_everyScenario_keepsInvariantsAndOutcomes);
  CPPUNIT_TEST(replay_otherSeeds_keepInvariants);
  CPPUNIT_TEST(replay_twice_givesSameSignature);
  CPPUNIT_TEST(replay_poisonRequest_crashesAtMostTwo);
  CPPUNIT_TEST(replay_ordinaryDay_equalsGoldenFile);
  CPPUNIT_TEST(replay_burstWithFaults_equalsGoldenFile);
  CPPUNIT_TEST(htmlReport_twoRecordSets_plotsBoth);
  CPPUNIT_TEST(percentiles_ofFewSamples_areNearestRanks);
  CPPUNIT_TEST(bench_smallGroup_measuresEveryCost);
  CPPUNIT_TEST_SUITE_END();

public:
  void replay_everyScenario_keepsInvariantsAndOutcomes() {
    for (const auto *Name : Sites) {
      const auto Site = *makeDeployment(Name);
      for (const auto Scenario : scenarioNames()) {
        const auto Recorded = generateTrace(Site, Scenario, 1);
        const auto Results = replayAll(
            Recorded, Site.snapshot(),
            {"mangodeck", "round-robin", "least-load", "two-choices"});
        for (const auto &Result : Results)
          assertNoViolations(Result, fmt::format("{} {}", Name, Scenario));
        const auto Checked = checkExpectations(Recorded, Results);
        CPPUNIT_ASSERT(Checked.size() >= 2);
        for (const auto &Item : Checked)
          CPPUNIT_ASSERT_MESSAGE(fmt::format("{} {}: {} measured {}", Name,
                                             Scenario, Item.Expected.Measure,
                                             Item.Measured),
                                 Item.Met);
      }
    }
  }

  void replay_otherSeeds_keepInvariants() {
    for (const auto *Name : Sites)
      for (const std::uint64_t Seed : {11, 12, 13})
        for (const auto Scenario : {"burst-with-faults", "target-crash",
                                    "poison-request", "target-leaving"}) {
          const auto Site = *makeDeployment(Name);
          const auto Recorded = generateTrace(Site, Scenario, Seed);
          assertNoViolations(
              replay(Recorded, Site.snapshot(), "mangodeck"),
              fmt::format("{} {} seed {}", Name, Scenario, Seed));
        }
  }

  void replay_twice_givesSameSignature() {
    const auto Site = *makeDeployment("vltavska");
    const auto Recorded = generateTrace(Site, "burst-with-faults", 3);
    CPPUNIT_ASSERT_EQUAL(
        replay(Recorded, Site.snapshot(), "mangodeck").Signature,
        replay(Recorded, Site.snapshot(), "mangodeck").Signature);
  }

  void replay_poisonRequest_crashesAtMostTwo() {
    for (const auto *Name : Sites)
      for (std::uint64_t Seed = 20; Seed < 26; ++Seed) {
        const auto Site = *makeDeployment(Name);
        const auto Recorded = generateTrace(Site, "poison-request", Seed);
        const auto Result = replay(Recorded, Site.snapshot(), "mangodeck");
        CPPUNIT_ASSERT(Result.CrashesByOneRequest <= 2);
      }
  }

  void replay_ordinaryDay_equalsGoldenFile() {
    assertGolden("san-alonso", "ordinary-day");
  }

  void replay_burstWithFaults_equalsGoldenFile() {
    assertGolden("vltavska", "burst-with-faults");
  }

  void htmlReport_twoRecordSets_plotsBoth() {
    ReplayReport Before;
    Before.Trace = "a<b";
    Before.Records = "before";
    ReplayResult Result;
    Result.PolicyName = "mangodeck";
    Result.Length = 10s;
    Result.Tiers[0].Arrived = 1;
    Before.Results.push_back(Result);
    auto After = Before;
    After.Records = "after";
    const ReplayReport Both[] = {Before, After};
    const auto Html = htmlReport(Both);
    CPPUNIT_ASSERT(Html.find("<svg") != std::string::npos);
    CPPUNIT_ASSERT(Html.find("a&lt;b") != std::string::npos);
    CPPUNIT_ASSERT(Html.find("2: mangodeck") != std::string::npos);
    CPPUNIT_ASSERT(Html.find("after") != std::string::npos);
  }

  void percentiles_ofFewSamples_areNearestRanks() {
    const auto Times = percentilesOf({4, 1, 3, 2});
    CPPUNIT_ASSERT_EQUAL(2.0, Times.P50);
    CPPUNIT_ASSERT_EQUAL(4.0, Times.P95);
    CPPUNIT_ASSERT_EQUAL(0.0, percentilesOf({}).P99);
  }

  void bench_smallGroup_measuresEveryCost() {
    const auto Cost = measureDecisions(2, 10);
    CPPUNIT_ASSERT(Cost.DecisionNanoseconds > 0);
    CPPUNIT_ASSERT(Cost.EvictionNanoseconds > 0);
    CPPUNIT_ASSERT(Cost.TickNanoseconds > 0);
    CPPUNIT_ASSERT(Cost.BytesPerTicket > 0);
  }

private:
  static constexpr const char *Sites[] = {"san-alonso", "vltavska"};

  static void assertNoViolations(const ReplayResult &Result,
                                 const std::string &What) {
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} {}: {}", What, Result.PolicyName,
                    Result.Violations.empty() ? "" : Result.Violations[0]),
        Result.Violations.empty());
  }

  /// Compares the product's results with a file of the same name.
  static void assertGolden(std::string_view Name, std::string_view Scenario) {
    const char *Source = std::getenv("MANGODECK_SOURCE");
    const auto Path = fmt::format("{}/packages/replay/test/golden/{}-{}.json",
                                  Source ? Source : ".", Name, Scenario);
    std::ifstream In(Path);
    CPPUNIT_ASSERT_MESSAGE(Path, In.good());
    std::ostringstream Golden;
    Golden << In.rdbuf();
    const auto Site = *makeDeployment(Name);
    ReplayReport Report;
    Report.Trace = fmt::format("{}/{}", Name, Scenario);
    Report.Records = fmt::format("traces/{}/records", Name);
    Report.Results.push_back(
        replay(generateTrace(Site, Scenario, 1), Site.snapshot(), "mangodeck"));
    CPPUNIT_ASSERT_EQUAL(Golden.str(), jsonReport({&Report, 1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplayTest);

} // namespace mangodeck
