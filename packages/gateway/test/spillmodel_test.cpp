#include "spillmodel.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fmt/format.h>
#include <string>

namespace mangodeck {

/// Plays the real decisions of brokers and daemons in several failure domains.
/// MANGODECK_SPILL_SEEDS sets the number of runs of each case, 1 in CI.
class SpillModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpillModelTest);
  CPPUNIT_TEST(offers_threeDomains_serveMoreWithFewerBytesThanLoads);
  CPPUNIT_TEST(offers_sevenDomains_serveMoreWithFewerBytesThanLoads);
  CPPUNIT_TEST(offers_faults_serveNoFewerThanWithout);
  CPPUNIT_TEST(offers_allDomainsFull_keepRequestsAtHome);
  CPPUNIT_TEST(offers_constantLoad_flowIsSteady);
  CPPUNIT_TEST(offers_oneDomain_nothingChanges);
  CPPUNIT_TEST_SUITE_END();

  static SpillScenario scenario() {
    SpillScenario Scenario;
    Scenario.Time = 26s; // Two waves.
    return Scenario;
  }
  static double share(std::uint64_t Count, const SpillResult &Result) {
    return static_cast<double>(Count) / static_cast<double>(Result.Requests);
  }
  /// Calls \p Check for each seed with the scenario.
  template <typename Function>
  static void forEachSeed(SpillScenario Scenario, Function Check) {
    const auto *Seeds = std::getenv("MANGODECK_SPILL_SEEDS");
    const auto Count = Seeds ? std::stoul(Seeds) : 1;
    for (Scenario.Seed = 1; Scenario.Seed <= Count; ++Scenario.Seed)
      Check(Scenario);
  }
  static void checkAgainstLoads(const SpillScenario &Case, double MinInTime) {
    forEachSeed(Case, [&](const SpillScenario &Scenario) {
      const auto Before = playSpill(Scenario, SpillPolicy::ByLoads);
      const auto After = playSpill(Scenario, SpillPolicy::ByOffers);
      const auto Message =
          fmt::format("seed {}: in time {:.3f}, before {:.3f}", Scenario.Seed,
                      share(After.InTime, After), share(Before.InTime, Before));
      CPPUNIT_ASSERT_MESSAGE(Message, share(After.InTime, After) >=
                                          share(Before.InTime, Before) + 0.01);
      CPPUNIT_ASSERT_MESSAGE(Message, share(After.InTime, After) > MinInTime);
      CPPUNIT_ASSERT(After.RequestBytes + After.SummaryBytes <
                     (Before.RequestBytes + Before.SummaryBytes) / 2);
    });
  }

public:
  void offers_threeDomains_serveMoreWithFewerBytesThanLoads() {
    checkAgainstLoads(scenario(), 0.84);
  }
  void offers_sevenDomains_serveMoreWithFewerBytesThanLoads() {
    auto Scenario = scenario();
    Scenario.TargetsByDomain = {2, 1, 1, 1, 2, 1, 1};
    checkAgainstLoads(Scenario, 0.84);
  }

  /// Guards against flows to a domain that no longer offers anything, and
  /// against offers that count twice.
  void offers_faults_serveNoFewerThanWithout() {
    for (const auto Fault :
         {&SpillScenario::KillsBrokers, &SpillScenario::CutsOneWay,
          &SpillScenario::DuplicatesLate, &SpillScenario::HasSlowDaemon,
          &SpillScenario::MovesCallers}) {
      auto Case = scenario();
      Case.*Fault = true;
      if (Case.DuplicatesLate)
        Case.SummaryDelay = 300ms;
      forEachSeed(Case, [&](const SpillScenario &Scenario) {
        const auto Stay = playSpill(Scenario, SpillPolicy::NeverLeave);
        const auto After = playSpill(Scenario, SpillPolicy::ByOffers);
        CPPUNIT_ASSERT(share(After.InTime, After) >
                       share(Stay.InTime, Stay) + 0.05);
        CPPUNIT_ASSERT(share(After.Refused, After) <
                       share(Stay.Refused, Stay) - 0.03);
      });
    }
  }

  void offers_allDomainsFull_keepRequestsAtHome() {
    auto Case = scenario();
    Case.LoadShare = 1.3;
    Case.WaveShare = 0;
    // Equal domains: each lacks.
    Case.TargetsByDomain = {1, 1, 1};
    forEachSeed(Case, [&](const SpillScenario &Scenario) {
      const auto After = playSpill(Scenario, SpillPolicy::ByOffers);
      CPPUNIT_ASSERT(share(After.Left, After) < 0.03);
    });
  }

  /// Two of three domains lack a sixth of their demand all the time. A flow
  /// that followed the loads would swing with the period of the reports.
  void offers_constantLoad_flowIsSteady() {
    auto Case = scenario();
    Case.LoadShare = 0.85;
    Case.WaveShare = 0;
    forEachSeed(Case, [&](const SpillScenario &Scenario) {
      const auto After = playSpill(Scenario, SpillPolicy::ByOffers);
      CPPUNIT_ASSERT(share(After.Left, After) > 0.08);
      CPPUNIT_ASSERT(After.FlowDeviation < 0.45);
    });
  }

  void offers_oneDomain_nothingChanges() {
    auto Case = scenario();
    Case.TargetsByDomain = {2};
    Case.LoadShare = 1.1;
    forEachSeed(Case, [&](const SpillScenario &Scenario) {
      const auto Before = playSpill(Scenario, SpillPolicy::ByLoads);
      const auto After = playSpill(Scenario, SpillPolicy::ByOffers);
      CPPUNIT_ASSERT_EQUAL(Before.InTime, After.InTime);
      CPPUNIT_ASSERT_EQUAL(Before.Refused, After.Refused);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), After.Left);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpillModelTest);

} // namespace mangodeck
