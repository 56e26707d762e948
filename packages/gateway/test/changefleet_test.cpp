#include "changefleetmix.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <sstream>

namespace mangodeck {

namespace {

using Fault = std::function<void(ChangeFleet &)>;

constexpr std::size_t Sizes[] = {2, 8, 96, 295};
constexpr Duration Deadlines[] = {2s, 3s, 4s};

bool isRunning(const ChangeFleet::Daemon &Each) { return Each.IsRunning; }

} // namespace

/// Time from the store's acknowledgement of a change to the last daemon, with
/// one stage of the way failing at a time.
class ChangeFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeFleetTest);
  CPPUNIT_TEST(change_nothingFails_reachesAllInTime);
  CPPUNIT_TEST(change_storeRejectsThirdOfDaemons_reachesAllInTime);
  CPPUNIT_TEST(change_storeSilentToThirdOfDaemons_reachesAllInTime);
  CPPUNIT_TEST(change_storeRejectsWholeDomain_reachesAllInTime);
  CPPUNIT_TEST(change_storeSilentToRelays_reachesAllInTime);
  CPPUNIT_TEST(change_relayKilled_reachesAllInTime);
  CPPUNIT_TEST(change_relayFrozen_reachesOthersInTime);
  CPPUNIT_TEST(change_relayMessageLost_reachesAllInTime);
  CPPUNIT_TEST(change_someMessagesLost_reachesAllInTime);
  CPPUNIT_TEST(change_storeConnectionsSilent_reachesAllInTime);
  CPPUNIT_TEST(change_historyDropped_reachesAllInTime);
  CPPUNIT_TEST(change_linksNarrowedRepeatedly_isInForceSoonAfterwards);
  CPPUNIT_TEST(change_linksOfRelayNarrowed_reachesOthersInTime);
  CPPUNIT_TEST(relayedMessage_waitedInLinks_confirmsNothingLater);
  CPPUNIT_TEST(change_oneDaemonServed_reachesOthersInTime);
  CPPUNIT_TEST(change_onlyDaemonServedHasJustStarted_reachesOthersInTime);
  CPPUNIT_TEST(change_oneDaemonServedAndDomainCutOff_reachesOthersInTime);
  CPPUNIT_TEST(start_storeRejects_viewIsTakenFromOthers);
  CPPUNIT_TEST(change_drawnMixOfImpairments_isInForceInTime);
  CPPUNIT_TEST(change_eachPairOfImpairments_isInForceInTime);
  CPPUNIT_TEST(confirmedView_manyKeysChange_lacksNoChange);
  CPPUNIT_TEST(confirmedView_startsWithKeysKnownEarly_lacksNoChange);
  CPPUNIT_TEST(targetLeaves_storeRejectsWholeDomain_isKnownInTime);
  CPPUNIT_TEST(targetLeaves_linksNarrowed_isKnownSoonAfterwards);
  CPPUNIT_TEST(calm_anySize_asksNoPeersAndCallsDoNotGrow);
  CPPUNIT_TEST(storeRestored_daemonsDependedOnEachOther_nobodyIsAsked);
  CPPUNIT_TEST(storeDown_anySize_queriesAreBounded);
  CPPUNIT_TEST(budget_eachSingleFailure_sumsToDeadline);
  CPPUNIT_TEST_SUITE_END();

public:
  void change_nothingFails_reachesAllInTime() {
    checkEach([](ChangeFleet &) {});
  }

  void change_storeRejectsThirdOfDaemons_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) {
      setAccess(Fleet, 1.0 / 3, StoreAccess::Rejects);
    });
  }

  void change_storeSilentToThirdOfDaemons_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) {
      setAccess(Fleet, 1.0 / 3, StoreAccess::IsSilent);
    });
  }

  void change_storeRejectsWholeDomain_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) {
      for (const auto Index : Fleet.membersOf(0))
        Fleet[Index].Access = StoreAccess::Rejects;
    });
  }

  void change_storeSilentToRelays_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) {
      if (Fleet.size() > 2) // Else no daemon is left that reads the store.
        for (std::size_t Domain = 0; Domain < 3; ++Domain)
          Fleet[Fleet.relayOf(Domain)].Access = StoreAccess::IsSilent;
    });
  }

  void change_relayKilled_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) { Fleet[Fleet.relayOf(0)].kill(); });
  }

  void change_relayFrozen_reachesOthersInTime() {
    checkEach([](ChangeFleet &Fleet) { Fleet[Fleet.relayOf(0)].freeze(5s); },
              [](const ChangeFleet::Daemon &Each) { return Each.Index != 0; });
  }

  void change_relayMessageLost_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) {
      Fleet.RelayLossUntil = Fleet.time().now() + 300ms;
    });
  }

  void change_someMessagesLost_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) { Fleet.LossShare = 0.1; });
  }

  void change_storeConnectionsSilent_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) {
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        Fleet[I].silenceConnections();
    });
  }

  void change_historyDropped_reachesAllInTime() {
    checkEach([](ChangeFleet &Fleet) { Fleet.store().dropHistory(); });
  }

  // Regression: daemons asked for what they lacked until the answers filled
  // their links, and were behind long after the links were wide.
  void change_linksNarrowedRepeatedly_isInForceSoonAfterwards() {
    for (const double RequestMbps : {0.0, 1.0})
      narrowRepeatedly(RequestMbps, thirdOf, checkDeadline);
  }

  void change_linksOfRelayNarrowed_reachesOthersInTime() {
    narrowRepeatedly(
        1.0,
        [](ChangeFleet &Fleet) {
          return std::vector<std::size_t>{Fleet.relayOf(0)};
        },
        checkDeadline);
  }

  // Regression: a relayed message stated 50 ms for its transit, however long it
  // had waited in links.
  void relayedMessage_waitedInLinks_confirmsNothingLater() {
    narrowRepeatedly(1.0, thirdOf,
                     [](ChangeFleet &Fleet, Duration, const std::string &Case) {
                       CPPUNIT_ASSERT_MESSAGE(Case,
                                              !Fleet.hasFalseConfirmation());
                     });
  }

  // Regression: of 295 daemons that the store rejects, each asked two others
  // every half of the deadline, few of which knew more.
  void change_oneDaemonServed_reachesOthersInTime() {
    checkFewServed([](ChangeFleet &Fleet) {
      const auto Served = Fleet.size() / 2;
      serveOnly(Fleet, {Served}, StoreAccess::Rejects);
      writeVersions(Fleet, 6, 2500ms);
    });
  }

  // Regression: a daemon that starts after the leases of the others have
  // expired finds no registration of those that need what it knows.
  void change_onlyDaemonServedHasJustStarted_reachesOthersInTime() {
    checkFewServed([](ChangeFleet &Fleet) {
      const auto Served = Fleet.size() / 2;
      serveOnly(Fleet, {Served}, StoreAccess::Rejects);
      Fleet.runFor(8s);
      Fleet[Served].restart(1s);
      writeVersions(Fleet, 8, 2500ms);
    });
  }

  // Regression: queries into a cut-off domain took all that may be open.
  void change_oneDaemonServedAndDomainCutOff_reachesOthersInTime() {
    checkFewServed([](ChangeFleet &Fleet) {
      const auto Served = Fleet.size() / 2;
      serveOnly(Fleet, {Served}, StoreAccess::IsSilent);
      writeVersions(Fleet, 2, 1500ms);
      Fleet.cutDomain((Fleet[Served].Domain + 1) % 3, 8s);
      writeVersions(Fleet, 6, 1500ms);
    });
  }

  void start_storeRejects_viewIsTakenFromOthers() {
    for (const auto Size : Sizes) {
      ChangeFleet Fleet(settingsOf(Size, 3s, 1));
      Fleet.start();
      Fleet.startChecks();
      serveOnly(Fleet, {Size / 2}, StoreAccess::Rejects);
      Fleet.runFor(1s);
      for (std::size_t I = 0; I < Size; I += 2)
        if (I != Size / 2)
          Fleet[I].restart(500ms);
      writeVersions(Fleet, 6, 1500ms);
      checkViews(Fleet, 3s, fmt::format("{} daemons", Size));
    }
  }

  // Changes while the store serves few daemons, others or the same by turns,
  // and all kinds of impairments overlap.
  void change_drawnMixOfImpairments_isInForceInTime() {
    const char *Text = std::getenv("MANGODECK_MIX_SEEDS"); // "FIRST COUNT"
    std::uint64_t First = 1;
    std::uint64_t Count = 4;
    if (Text)
      std::istringstream(Text) >> First >> Count;
    std::string Faults;
    for (const auto Size : Sizes)
      for (auto Seed = First; Seed < First + Count; ++Seed) {
        const auto Deadline = Deadlines[Seed % 3];
        ChangeFleet Fleet(settingsOf(Size, Deadline, Seed));
        Fleet.start();
        Fleet.startChecks();
        playMix(Fleet, AllImpairments, 30s, true);
        const auto Oldest = Fleet.oldestView();
        if (Oldest > Deadline || Fleet.hasRegressed() ||
            Fleet.hasFalseConfirmation())
          Faults += fmt::format(
              "{} daemons, deadline {} s, seed {}: view of {:.2f} s{}{}\n",
              Size, toSeconds(Deadline), Seed, toSeconds(Oldest),
              Fleet.hasRegressed() ? ", regressed" : "",
              Fleet.hasFalseConfirmation() ? ", false confirmation" : "");
      }
    CPPUNIT_ASSERT_MESSAGE(Faults, Faults.empty());
  }

  // Each pair of impairments, while the store serves all or few daemons.
  void change_eachPairOfImpairments_isInForceInTime() {
    std::string Faults;
    for (const auto First : AllImpairments)
      for (const auto Second : AllImpairments)
        for (const bool FewServed : {false, true}) {
          if (Second < First)
            continue;
          const auto Seed = static_cast<std::uint64_t>(First) * 100 +
                            static_cast<std::uint64_t>(Second);
          ChangeFleet Fleet(settingsOf(48, 3s, Seed));
          Fleet.start();
          Fleet.startChecks();
          playMix(Fleet, {First, Second}, 16s, FewServed);
          if (Fleet.oldestView() > 3s || Fleet.hasRegressed() ||
              Fleet.hasFalseConfirmation())
            Faults += fmt::format(
                "pair {} and {}, {} served: view of {:.2f} s{}\n",
                static_cast<int>(First), static_cast<int>(Second),
                FewServed ? "few" : "all", toSeconds(Fleet.oldestView()),
                Fleet.hasFalseConfirmation() ? ", false confirmation" : "");
        }
    CPPUNIT_ASSERT_MESSAGE(Faults, Faults.empty());
  }

  // Regression: messages that claimed to hold all changes of a span lacked
  // some.
  void confirmedView_manyKeysChange_lacksNoChange() {
    const char *Text = std::getenv("MANGODECK_KEY_SEEDS"); // "FIRST COUNT"
    std::uint64_t First = 1;
    std::uint64_t Count = 6;
    if (Text)
      std::istringstream(Text) >> First >> Count;
    std::string Faults;
    for (const std::size_t Size : {2, 8, 48})
      for (auto Seed = First; Seed < First + Count; ++Seed)
        for (const bool FewServed : {false, true})
          Faults += playKeyChanges(Size, Seed, FewServed);
    CPPUNIT_ASSERT_MESSAGE(Faults, Faults.empty());
  }

  // Regression: a daemon that began with the keys of another one, whose listing
  // was in progress, left a version out of its messages.
  void confirmedView_startsWithKeysKnownEarly_lacksNoChange() {
    const auto Fault = playKeyChanges(48, 57, true);
    CPPUNIT_ASSERT_MESSAGE(Fault, Fault.empty());
  }

  // Marks of targets that leave, and removals, come by the same way as the
  // configuration.
  void targetLeaves_storeRejectsWholeDomain_isKnownInTime() {
    for (const auto Deadline : Deadlines)
      for (const auto Size : Sizes) {
        ChangeFleetSettings Settings;
        Settings.Daemons = Size;
        Settings.Domains = std::min<std::size_t>(Size, 3);
        Settings.ChangeDeadline = Deadline;
        ChangeFleet Fleet(Settings);
        Fleet.store().write("gone", "ready");
        Fleet.start();
        for (const auto Index : Fleet.membersOf(0))
          Fleet[Index].Access = StoreAccess::Rejects;
        Fleet.runFor(700ms);
        Fleet.store().write("target", "draining");
        Fleet.store().remove("gone");
        Fleet.runFor(Deadline);
        for (std::size_t I = 0; I < Size; ++I) {
          CPPUNIT_ASSERT_EQUAL(std::string("draining"),
                               Fleet[I].Values["target"]);
          CPPUNIT_ASSERT_EQUAL(std::string("removed"), Fleet[I].Values["gone"]);
        }
      }
  }

  // Registrations, keys and orders of roll-outs come by the same way, too.
  void targetLeaves_linksNarrowed_isKnownSoonAfterwards() {
    for (const auto Deadline : Deadlines)
      for (const auto Size : Sizes) {
        ChangeFleetSettings Settings;
        Settings.Daemons = Size;
        Settings.Domains = std::min<std::size_t>(Size, 3);
        Settings.ChangeDeadline = Deadline;
        ChangeFleet Fleet(Settings);
        Fleet.store().write("gone", "ready");
        Fleet.start();
        for (const auto Index : thirdOf(Fleet))
          Fleet.narrowLinks(Index, 0.3, 6s, 1.0);
        Fleet.runFor(1s);
        Fleet.store().write("target", "draining");
        Fleet.store().remove("gone");
        Fleet.runFor(5s + Deadline);
        for (std::size_t I = 0; I < Size; ++I) {
          CPPUNIT_ASSERT_EQUAL(std::string("draining"),
                               Fleet[I].Values["target"]);
          CPPUNIT_ASSERT_EQUAL(std::string("removed"), Fleet[I].Values["gone"]);
        }
      }
  }

  /// Calls to the store a daemon, with a change every 5 s.
  void calm_anySize_asksNoPeersAndCallsDoNotGrow() {
    double Least = 1e9;
    for (const std::size_t Size : {30, 96, 295}) {
      ChangeFleetSettings Settings;
      Settings.Daemons = Size;
      ChangeFleet Fleet(Settings);
      Fleet.start();
      Fleet.runFor(5s);
      const auto Calls = Fleet.storeCalls();
      const auto Queries = Fleet.peerQueries();
      for (int I = 0; I < 6; ++I) {
        Fleet.writeVersion();
        Fleet.runFor(5s);
      }
      CPPUNIT_ASSERT_EQUAL(Queries, Fleet.peerQueries());
      const auto PerDaemon = static_cast<double>(Fleet.storeCalls() - Calls) /
                             static_cast<double>(Size);
      Least = std::min(Least, PerDaemon);
      CPPUNIT_ASSERT_MESSAGE(fmt::format("{} daemons: {:.1f}", Size, PerDaemon),
                             PerDaemon <= 1.1 * Least);
    }
  }

  // Regression: daemons that others kept informed did not call the store again,
  // and went on asking each other after it was back.
  void storeRestored_daemonsDependedOnEachOther_nobodyIsAsked() {
    for (const auto Size : Sizes) {
      ChangeFleet Fleet(settingsOf(Size, 3s, 1));
      Fleet.start();
      serveOnly(Fleet, {Size / 2}, StoreAccess::Rejects);
      writeVersions(Fleet, 4, 2s);
      for (std::size_t I = 0; I < Size; ++I)
        Fleet[I].Access = StoreAccess::Answers;
      Fleet.runFor(12s);
      const auto Queries = Fleet.peerQueries();
      writeVersions(Fleet, 4, 2s);
      CPPUNIT_ASSERT_EQUAL(Queries, Fleet.peerQueries());
    }
  }

  /// No daemon knows more than the others, so asking is of no use.
  void storeDown_anySize_queriesAreBounded() {
    for (const auto Size : Sizes) {
      ChangeFleetSettings Settings;
      Settings.Daemons = Size;
      Settings.Domains = std::min<std::size_t>(Size, 3);
      ChangeFleet Fleet(Settings);
      Fleet.start();
      for (std::size_t I = 0; I < Size; ++I)
        Fleet[I].Access = StoreAccess::Rejects;
      Fleet.runFor(10s);
      const auto Queries = Fleet.peerQueries();
      Fleet.runFor(20s);
      // Two queries in half a deadline.
      CPPUNIT_ASSERT(static_cast<double>(Fleet.peerQueries() - Queries) <=
                     1.1 * 2 * 20 / 1.5 * static_cast<double>(Size));
    }
  }

  /// The way from the store to a daemon, as the sum of its stages.
  void budget_eachSingleFailure_sumsToDeadline() {
    constexpr Duration Network =
        50ms; // Round trips of a connection and a call.
    for (const auto Deadline : Deadlines) {
      const Duration Interval = Deadline / 4;
      // Nothing fails: the relay's next watch, and its message.
      CPPUNIT_ASSERT(Interval + 2 * Network <= Deadline);
      // A message is lost: the next one tells of the gap, the store is read.
      CPPUNIT_ASSERT(Interval + relayWait(Deadline) + 3 * Network <= Deadline);
      // Any other stage: the knowledge reaches the age at which others are
      // asked, and three rounds of queries follow.
      CPPUNIT_ASSERT(peerQueryAge(Deadline) + 3 * peerQueryPeriod(Deadline) <=
                     Deadline);
      // The daemons that are asked have the change by then: by their relay, or
      // by their own watch once that is silent.
      CPPUNIT_ASSERT(fromSeconds(0.6 * toSeconds(Deadline)) + Network <=
                     peerQueryAge(Deadline));
      // Without a failure nobody is asked.
      CPPUNIT_ASSERT(watchWait(Deadline) +
                         fromSeconds(0.1 * toSeconds(Deadline)) + Network <=
                     peerQueryAge(Deadline));
      CPPUNIT_ASSERT(relayWait(Deadline) + Network <= peerQueryAge(Deadline));
    }
  }

private:
  using Selection = std::function<std::vector<std::size_t>(ChangeFleet &)>;

  static ChangeFleetSettings settingsOf(std::size_t Size, Duration Deadline,
                                        std::uint64_t Seed) {
    ChangeFleetSettings Settings;
    Settings.Daemons = Size;
    Settings.Domains = Size > 100 ? 5 : std::min<std::size_t>(Size, 3);
    Settings.ChangeDeadline = Deadline;
    Settings.Seed = Seed;
    return Settings;
  }

  /// Plays all impairments and many changes of other keys. Returns what a
  /// confirmed view lacked; empty if nothing.
  static std::string playKeyChanges(std::size_t Size, std::uint64_t Seed,
                                    bool FewServed) {
    auto Kinds = AllImpairments;
    Kinds.insert(Kinds.end(), 4, Impairment::KeyBurst);
    auto Settings = settingsOf(Size, Deadlines[Seed % 3], Seed);
    Settings.PageItems = Seed % 2 == 0 ? 500 : 60;
    Settings.ChecksAllKeys = true;
    ChangeFleet Fleet(Settings);
    Fleet.start();
    Fleet.startChecks();
    playMix(Fleet, Kinds, 30s, FewServed);
    if (Fleet.incompleteView().empty())
      return {};
    return fmt::format("{} daemons, seed {}, {} served: {}\n", Size, Seed,
                       FewServed ? "few" : "all", Fleet.incompleteView());
  }

  static void writeVersions(ChangeFleet &Fleet, int Count, Duration Interval) {
    for (int I = 0; I < Count; ++I) {
      Fleet.writeVersion();
      Fleet.runFor(Interval);
    }
    Fleet.runFor(2s);
  }

  static void checkViews(const ChangeFleet &Fleet, Duration Deadline,
                         const std::string &Case) {
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: view of {:.2f} s", Case,
                                       toSeconds(Fleet.oldestView())),
                           Fleet.oldestView() <= Deadline);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{}: no view for {:.2f} s", Case,
                                       toSeconds(Fleet.longestWithoutView())),
                           Fleet.longestWithoutView() <= Deadline);
    CPPUNIT_ASSERT_MESSAGE(Case, !Fleet.hasRegressed());
    CPPUNIT_ASSERT_MESSAGE(Case, !Fleet.hasFalseConfirmation());
  }

  static void checkFewServed(const Fault &Play) {
    for (const auto Deadline : Deadlines)
      for (const auto Size : Sizes)
        for (std::uint64_t Seed = 1; Seed <= (Size > 100 ? 1u : 4u); ++Seed) {
          ChangeFleet Fleet(settingsOf(Size, Deadline, Seed));
          Fleet.start();
          Fleet.startChecks();
          Play(Fleet);
          checkViews(Fleet, Deadline,
                     fmt::format("{} daemons, deadline {} s, seed {}", Size,
                                 toSeconds(Deadline), Seed));
        }
  }

  static std::vector<std::size_t> thirdOf(ChangeFleet &Fleet) {
    std::vector<std::size_t> Selected;
    for (std::size_t I = 0; I < Fleet.size(); I += 3)
      Selected.push_back((I + Fleet.size() / 2) % Fleet.size());
    return Selected;
  }

  /// Narrows links three times for 6 s, with two changes in each, at all sizes
  /// and deadlines. \p Check gets the fleet and what it is.
  static void
  narrowRepeatedly(double RequestMbps, const Selection &Select,
                   const std::function<void(ChangeFleet &, Duration Deadline,
                                            const std::string &)> &Check) {
    for (const auto Deadline : Deadlines)
      for (const auto Size : Sizes) {
        ChangeFleetSettings Settings;
        Settings.Daemons = Size;
        Settings.Domains = Size > 100 ? 5 : std::min<std::size_t>(Size, 3);
        Settings.ChangeDeadline = Deadline;
        ChangeFleet Fleet(Settings);
        Fleet.start();
        for (int Time = 0; Time < 3; ++Time) {
          for (const auto Index : Select(Fleet))
            Fleet.narrowLinks(Index, 0.3, 6s, RequestMbps);
          Fleet.runFor(1s);
          Fleet.writeVersion();
          Fleet.runFor(2s);
          Fleet.writeVersion();
          Fleet.runFor(5s + Deadline);
        }
        CPPUNIT_ASSERT(!Fleet.hasRegressed());
        Check(Fleet, Deadline,
              fmt::format("{} daemons, deadline {} s, requests {} Mbit/s", Size,
                          toSeconds(Deadline), RequestMbps));
      }
  }

  /// The deadline counts from the change or, where it is later, from the end of
  /// the impairment of the daemon's own links.
  static void checkDeadline(ChangeFleet &Fleet, Duration Deadline,
                            const std::string &Case) {
    const auto Slowest = Fleet.slowestUnimpaired();
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{}: {:.2f} s", Case, toSeconds(Slowest)),
        Slowest <= Deadline);
  }

  /// The store stops answering a share of the daemons, among them the relay of
  /// the first domain.
  static void setAccess(ChangeFleet &Fleet, double Share, StoreAccess Access) {
    const auto Count = std::max<std::size_t>(
        1, static_cast<std::size_t>(Share * static_cast<double>(Fleet.size())));
    for (std::size_t I = 0; I < Count; ++I)
      Fleet[I * Fleet.size() / Count].Access = Access;
  }

  /// Writes versions at several phases of the daemons' calls after the fault.
  static void checkEach(const Fault &Break,
                        const std::function<bool(const ChangeFleet::Daemon &)>
                            &Counts = isRunning) {
    for (const auto Deadline : Deadlines)
      for (const auto Size : Sizes)
        for (std::uint64_t Seed = 1; Seed <= (Size > 100 ? 2u : 6u); ++Seed) {
          ChangeFleetSettings Settings;
          Settings.Daemons = Size;
          Settings.Domains = Size > 100 ? 5 : std::min<std::size_t>(Size, 3);
          Settings.ChangeDeadline = Deadline;
          Settings.Seed = Seed;
          ChangeFleet Fleet(Settings);
          Fleet.start();
          Fleet.runFor(fromSeconds(Fleet.random().uniform()));
          Break(Fleet);
          for (int I = 0; I < 4; ++I) {
            Fleet.writeVersion();
            Fleet.runFor(fromSeconds(1.5 * Fleet.random().uniform()));
          }
          Fleet.runFor(2 * Deadline);
          const auto Slowest = Fleet.slowest(Counts);
          CPPUNIT_ASSERT_MESSAGE(
              fmt::format("{} daemons, deadline {} s, seed {}: {:.2f} s", Size,
                          toSeconds(Deadline), Seed, toSeconds(Slowest)),
              Slowest <= Deadline);
          CPPUNIT_ASSERT(!Fleet.hasRegressed());
          CPPUNIT_ASSERT(!Fleet.hasFalseConfirmation());
        }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeFleetTest);

} // namespace mangodeck
