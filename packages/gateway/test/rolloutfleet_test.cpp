#include "rolloutfleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fmt/format.h>

namespace mangodeck {

namespace {

/// Seeds of each scenario; MANGODECK_ROLLOUT_SEEDS sets a larger number for a
/// longer run.
unsigned seedCount() {
  const char *Text = std::getenv("MANGODECK_ROLLOUT_SEEDS");
  return Text ? static_cast<unsigned>(std::atoi(Text)) : 2;
}

/// Plays \p Scene with each seed and requires \p Expected, within the time
/// limit unless \p IsLateAllowed.
void requireVerdict(RolloutScenario Scene, RolloutState Expected,
                    bool IsLateAllowed = false) {
  for (unsigned Seed = 1; Seed <= seedCount(); ++Seed) {
    Scene.Seed = Seed;
    const auto Seen = playRollout(Scene);
    const auto Text = fmt::format(
        "seed {}: {} at {:.2f} s, {} of {} exposed, {} late, {} lost, {} after "
        "the verdict: {}",
        Seed, Seen.Verdict ? nameOf(*Seen.Verdict) : "none",
        toSeconds(Seen.VerdictAt), Seen.Exposed, Seen.Requests, Seen.LateSends,
        Seen.Lost, Seen.SentAfterVerdict, Seen.Evidence);
    CPPUNIT_ASSERT_MESSAGE(Text, Seen.Verdict == Expected);
    CPPUNIT_ASSERT_MESSAGE(Text,
                           IsLateAllowed || Seen.VerdictAt <= Scene.TimeLimit);
    CPPUNIT_ASSERT_MESSAGE(Text, Seen.Lost == 0);
    CPPUNIT_ASSERT_MESSAGE(Text, Seen.SentAfterVerdict == 0);
    if (Expected != RolloutState::RolledBack)
      continue;
    CPPUNIT_ASSERT_MESSAGE(Text, Seen.LateSends == 0);
    CPPUNIT_ASSERT_MESSAGE(Text,
                           static_cast<double>(Seen.Exposed) <=
                               0.1 * static_cast<double>(Seen.Requests) + 50);
  }
}

RolloutScenario plain(VersionFault Fault = VersionFault::None,
                      double Severity = 0, Duration From = Duration{0}) {
  RolloutScenario Scene;
  Scene.Fault = Fault;
  Scene.Severity = Severity;
  Scene.FaultFrom = From;
  return Scene;
}

constexpr auto Completed = RolloutState::Completed;
constexpr auto RolledBack = RolloutState::RolledBack;

} // namespace

class RolloutFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutFleetTest);
  CPPUNIT_TEST(order_goodVersion_isCompletedInTime);
  CPPUNIT_TEST(order_badVersions_areRolledBackWithinExposure);
  CPPUNIT_TEST(order_badLater_isRolledBackWithinExposure);
  CPPUNIT_TEST(order_fleetSizes_reachVerdict);
  CPPUNIT_TEST(order_allDaemonsKilled_reachesVerdict);
  CPPUNIT_TEST(order_storeAway_goodVersionIsNotCondemned);
  CPPUNIT_TEST(order_storeRestored_verdictIsFinal);
  CPPUNIT_TEST(order_domainCutOff_reachesVerdict);
  CPPUNIT_TEST(order_targetsLateOrMissing_reachesVerdict);
  CPPUNIT_TEST(order_degradedServiceOrCrash_goodVersionIsNotCondemned);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against a good version that misses its time limit, and against
  /// requests that are cut off at the completion.
  void order_goodVersion_isCompletedInTime() {
    requireVerdict(plain(), Completed);
  }

  /// Guards against each kind of bad version being completed, or reaching more
  /// requests than allowed.
  void order_badVersions_areRolledBackWithinExposure() {
    requireVerdict(plain(VersionFault::Failures, 0.2), RolledBack);
    requireVerdict(plain(VersionFault::Failures, 1), RolledBack);
    requireVerdict(plain(VersionFault::Slow, 2), RolledBack);
    requireVerdict(plain(VersionFault::UnderLoad, 0.4), RolledBack);
    requireVerdict(plain(VersionFault::OneRoute, 0.3), RolledBack);
    requireVerdict(plain(VersionFault::SlowOnOneRoute, 3), RolledBack);
  }

  /// Guards against a large share before a late fault has shown.
  void order_badLater_isRolledBackWithinExposure() {
    requireVerdict(plain(VersionFault::Later, 0.3, 4s), RolledBack);
  }

  /// Guards against counts or acknowledgements that do not scale.
  void order_fleetSizes_reachVerdict() {
    auto Pair = plain();
    Pair.Daemons = 2;
    Pair.Domains = 1;
    requireVerdict(Pair, Completed);
    Pair.Fault = VersionFault::Failures;
    Pair.Severity = 0.3;
    requireVerdict(Pair, RolledBack);
    auto Large = Pair;
    Large.Daemons = 60;
    Large.Domains = 3;
    requireVerdict(Large, RolledBack);
    if (seedCount() <= 2)
      return;
    Large.Daemons = 295;
    Large.Domains = 5;
    Large.PerSecond = 600;
    Large.Targets = 60;
    requireVerdict(Large, RolledBack);
    Large.Fault = VersionFault::None;
    requireVerdict(Large, Completed);
  }

  /// Guards against an order that begins anew, or a share that grows, after all
  /// daemons were killed.
  void order_allDaemonsKilled_reachesVerdict() {
    auto Scene = plain();
    Scene.KillAllAt = 3s;
    requireVerdict(Scene, Completed);
    Scene.KillAllAt = 8s;
    requireVerdict(Scene, Completed);
    Scene.KillAllAt = 3s;
    Scene.Fault = VersionFault::Failures;
    Scene.Severity = 0.3;
    requireVerdict(Scene, RolledBack);
  }

  /// Guards against a verdict on the version by an outage of the store.
  void order_storeAway_goodVersionIsNotCondemned() {
    auto Scene = plain();
    Scene.StoreDownFrom = 2s;
    Scene.StoreDownFor = 3s;
    requireVerdict(Scene, Completed);
    Scene.StoreDownFrom = 5s;
    Scene.StoreDownFor = 9s;
    requireVerdict(Scene, Completed, true);
  }

  /// Guards against an order that is carried out again, and a version that gets
  /// requests again, when the store has lost the verdict.
  void order_storeRestored_verdictIsFinal() {
    auto Scene = plain(VersionFault::Failures, 0.5);
    Scene.RestoreAt = 7s;
    requireVerdict(Scene, RolledBack);
    Scene.Fault = VersionFault::None;
    Scene.RestoreAt = 3s;
    requireVerdict(Scene, Completed);
  }

  /// Guards against a completion that waits for daemons out of contact, and
  /// against these sending on to a bad version.
  void order_domainCutOff_reachesVerdict() {
    auto Scene = plain(VersionFault::Failures, 0.4);
    Scene.CutFrom = 1s;
    Scene.CutFor = 20s;
    requireVerdict(Scene, RolledBack);
    Scene.Fault = VersionFault::None;
    Scene.CutFrom = 3s;
    Scene.CutFor = 4s;
    requireVerdict(Scene, Completed);
  }

  /// Guards against orders that never end.
  void order_targetsLateOrMissing_reachesVerdict() {
    auto Scene = plain();
    Scene.TargetsAt = 2s;
    requireVerdict(Scene, Completed);
    Scene.TargetsAt = -1s;
    requireVerdict(Scene, RolledBack);
  }

  /// Guards against a good version that is taken for bad when all targets are
  /// in trouble, or one crashes.
  void order_degradedServiceOrCrash_goodVersionIsNotCondemned() {
    auto Scene = plain();
    Scene.DegradedFrom = 3s;
    requireVerdict(Scene, Completed);
    Scene.DegradedFrom = 7500ms;
    requireVerdict(Scene, Completed);
    Scene.DegradedFrom = Duration{0};
    Scene.CrashAt = 3s;
    requireVerdict(Scene, Completed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutFleetTest);

} // namespace mangodeck
