#include "mangodeck/gateway/crashcauses.h"

#include "mangodeck/common/random.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <memory>
#include <set>

namespace mangodeck {

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr CauseId Crashing = 0xbad;
constexpr CauseId First = 0xa;

using Ids = std::vector<CauseId>;

Ids sorted(Ids Values) {
  std::sort(Values.begin(), Values.end());
  return Values;
}

} // namespace

/// The conclusions of one daemon, and of two that exchange evidence.
class CrashCausesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashCausesTest);
  CPPUNIT_TEST(sharedParts_ofPrompt_areAllButTheLast);
  CPPUNIT_TEST(part_inTwoCrashesOfTwoRequests_isRefused);
  CPPUNIT_TEST(part_inOneCrash_isAccepted);
  CPPUNIT_TEST(part_crashesOfOneRequest_onlyThatRequestIsRefused);
  CPPUNIT_TEST(request_crashesOfTwoTargets_isRefusedAtOnceForAWhile);
  CPPUNIT_TEST(request_crashOfOneTargetSeenTwice_isAccepted);
  CPPUNIT_TEST(request_answeredBefore_isAcceptedAfterTwoCrashes);
  CPPUNIT_TEST(request_answeredAtOtherDaemon_isAccepted);
  CPPUNIT_TEST(crash_seenByTwoDaemons_countsOnce);
  CPPUNIT_TEST(crashes_eachSeenByAnotherDaemon_areCountedTogether);
  CPPUNIT_TEST(firstPart_answeredSinceTheCrashes_isAccepted);
  CPPUNIT_TEST(firstPart_answeredAtOtherDaemon_isAccepted);
  CPPUNIT_TEST(part_answeredBeforeTheCrashesOnly_isRefusedLater);
  CPPUNIT_TEST(parts_alwaysTogether_areRefusedOnlyTogether);
  CPPUNIT_TEST(bystander_inTwoCrashesOfACrashingPart_isAccepted);
  CPPUNIT_TEST(twoCrashingParts_atTheSameTime_areBothRefused);
  CPPUNIT_TEST(manyCrashes_inShortTime_areRefusedAfterSettling);
  CPPUNIT_TEST(refusedPart_laterAnswered_isAcceptedByAll);
  CPPUNIT_TEST(refusedPart_stillCrashing_costsFewCrashesOfAFleet);
  CPPUNIT_TEST(daemon_startedLater_learnsRefusalFromRefresh);
  CPPUNIT_TEST(daemon_suspended_learnsRefusalWithItsAge);
  CPPUNIT_TEST(madeUpParts_withoutEnd_stayWithinBounds);
  CPPUNIT_TEST(longPrompts_sharingOnePart_partIsFound);
  CPPUNIT_TEST(evidence_encodedAndDecoded_isTheSame);
  CPPUNIT_TEST(evidence_malformed_isRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    m_Now = Start;
    m_NextCrash = m_NextRequest = 1;
  }

  void sharedParts_ofPrompt_areAllButTheLast() {
    CPPUNIT_ASSERT(parseSharedParts("5c1e:800,0091:410, E4:250,77:1") ==
                   (Ids{0x91, 0xe4, 0x5c1e}));
    CPPUNIT_ASSERT(parseSharedParts("5c1e:800").empty());
    CPPUNIT_ASSERT(parseSharedParts("").empty());
    CPPUNIT_ASSERT(parseSharedParts("x:1,:2,5:3,5:4,6:5") == Ids{5});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         parseSharedParts("112233445566778899aa:1,2:2").size());
  }

  void part_inTwoCrashesOfTwoRequests_isRefused() {
    CrashCauses Daemon("a");
    crash(Daemon, {First, Crashing, 1});
    sound(Daemon, {First, 2});
    crash(Daemon, {First, Crashing, 3});
    sound(Daemon, {First, 2});
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {First, Crashing, 4}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {First, 2}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {First, 1}));
  }

  void part_inOneCrash_isAccepted() {
    CrashCauses Daemon("a");
    crash(Daemon, {Crashing});
    settle(Daemon);
    CPPUNIT_ASSERT(!isRefused(Daemon, {Crashing}));
    CPPUNIT_ASSERT(!Daemon.isRepeatRefused(Ids{Crashing}, m_Now));
  }

  void part_crashesOfOneRequest_onlyThatRequestIsRefused() {
    CrashCauses Daemon("a");
    for (int Crash = 0; Crash < 2; ++Crash)
      Daemon.recordCrash(m_NextCrash++, 7, Ids{7, First, Crashing}, m_Now,
                         m_Now);
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {7, First, Crashing}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {8, First, Crashing}));
    CPPUNIT_ASSERT(Daemon.isRepeatRefused(Ids{8, First, Crashing}, m_Now));
  }

  void request_crashesOfTwoTargets_isRefusedAtOnceForAWhile() {
    CrashCauses Daemon("a");
    Daemon.recordCrash(1, 7, Ids{7}, m_Now, m_Now);
    Daemon.update(m_Now);
    CPPUNIT_ASSERT(!isRefused(Daemon, {7}));
    Daemon.recordCrash(2, 7, Ids{7}, m_Now, m_Now);
    Daemon.update(m_Now);
    CPPUNIT_ASSERT(isRefused(Daemon, {7}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         Daemon.takeReport(m_Now).at(0).Sightings.size());
    m_Now += 120s;
    Daemon.update(m_Now);
    CPPUNIT_ASSERT(!isRefused(Daemon, {7}));
  }

  void request_crashOfOneTargetSeenTwice_isAccepted() {
    CrashCauses Daemon("a");
    Daemon.recordCrash(1, 7, Ids{7}, m_Now, m_Now);
    Daemon.recordCrash(1, 7, Ids{7}, m_Now, m_Now);
    settle(Daemon);
    CPPUNIT_ASSERT(!isRefused(Daemon, {7}));
  }

  void request_answeredBefore_isAcceptedAfterTwoCrashes() {
    CrashCauses Daemon("a");
    sound(Daemon, {7});
    Daemon.recordCrash(1, 7, Ids{7}, m_Now, m_Now);
    Daemon.recordCrash(2, 7, Ids{7}, m_Now, m_Now);
    settle(Daemon);
    CPPUNIT_ASSERT(!isRefused(Daemon, {7}));
  }

  void request_answeredAtOtherDaemon_isAccepted() {
    CrashCauses One("a"), Other("b");
    sound(Other, {7});
    One.recordCrash(1, 7, Ids{7}, m_Now, m_Now);
    One.recordCrash(2, 7, Ids{7}, m_Now, m_Now);
    One.update(m_Now);
    CPPUNIT_ASSERT(isRefused(One, {7}));
    exchange(One, Other);
    One.update(m_Now);
    CPPUNIT_ASSERT(!isRefused(One, {7}));
  }

  void crash_seenByTwoDaemons_countsOnce() {
    CrashCauses One("a"), Other("b");
    One.recordCrash(1, 1, Ids{Crashing}, m_Now, m_Now);
    Other.recordCrash(1, 2, Ids{Crashing}, m_Now, m_Now);
    exchange(One, Other);
    settle(One);
    CPPUNIT_ASSERT(!isRefused(One, {Crashing}));
  }

  void crashes_eachSeenByAnotherDaemon_areCountedTogether() {
    CrashCauses One("a"), Other("b");
    crash(One, {Crashing});
    crash(Other, {Crashing});
    exchange(One, Other);
    settle(One);
    settle(Other);
    CPPUNIT_ASSERT(isRefused(One, {Crashing}));
    CPPUNIT_ASSERT(isRefused(Other, {Crashing}));
  }

  void firstPart_answeredSinceTheCrashes_isAccepted() {
    CrashCauses Daemon("a");
    for (int Crash = 0; Crash < 6; ++Crash)
      crash(Daemon, {First});
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {First}));
    sound(Daemon, {First});
    Daemon.update(m_Now);
    CPPUNIT_ASSERT(!isRefused(Daemon, {First}));
  }

  void firstPart_answeredAtOtherDaemon_isAccepted() {
    CrashCauses One("a"), Other("b");
    crash(One, {First});
    crash(One, {First});
    exchange(One, Other);
    m_Now += 100ms;
    sound(Other, {First});
    exchange(One, Other);
    settle(One);
    CPPUNIT_ASSERT(!isRefused(One, {First}));
  }

  void part_answeredBeforeTheCrashesOnly_isRefusedLater() {
    CrashCauses Daemon("a");
    sound(Daemon, {Crashing});
    m_Now += 1s;
    crash(Daemon, {Crashing});
    crash(Daemon, {Crashing});
    settle(Daemon);
    CPPUNIT_ASSERT(!isRefused(Daemon, {Crashing}));
    crash(Daemon, {Crashing});
    crash(Daemon, {Crashing});
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {Crashing}));
  }

  void parts_alwaysTogether_areRefusedOnlyTogether() {
    CrashCauses Daemon("a");
    crash(Daemon, {First, Crashing});
    crash(Daemon, {First, Crashing});
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {First, Crashing, 5}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {First, 5}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {Crashing, 5}));
    crash(Daemon, {Crashing, 5});
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {Crashing, 6}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {First, 6}));
  }

  void bystander_inTwoCrashesOfACrashingPart_isAccepted() {
    constexpr CauseId Beside = 0xb;
    CrashCauses Daemon("a");
    for (int Crash = 0; Crash < 3; ++Crash) {
      crash(Daemon, {Crashing});
      if (Crash < 2) // At the same target.
        Daemon.recordCrash(m_NextCrash - 1, m_NextRequest++, Ids{Beside}, m_Now,
                           m_Now);
    }
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {Crashing}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {Beside}));
  }

  void twoCrashingParts_atTheSameTime_areBothRefused() {
    constexpr CauseId Second = 0xbad2;
    CrashCauses Daemon("a");
    for (int Crash = 0; Crash < 3; ++Crash) {
      crash(Daemon, {First, Crashing});
      crash(Daemon, {Second, First});
      sound(Daemon, {First});
    }
    settle(Daemon);
    CPPUNIT_ASSERT(isRefused(Daemon, {First, Crashing}));
    CPPUNIT_ASSERT(isRefused(Daemon, {First, Second}));
    CPPUNIT_ASSERT(!isRefused(Daemon, {First}));
  }

  void manyCrashes_inShortTime_areRefusedAfterSettling() {
    CrashCauses Daemon("a");
    for (int Crash = 0; Crash < 100; ++Crash) {
      crash(Daemon, {Crashing});
      m_Now += 20ms;
    }
    Daemon.update(m_Now);
    CPPUNIT_ASSERT(isRefused(Daemon, {Crashing}));
  }

  void refusedPart_laterAnswered_isAcceptedByAll() {
    CrashCauses One("a"), Other("b");
    for (int Crash = 0; Crash < 4; ++Crash)
      crash(One, {Crashing});
    settle(One);
    exchange(One, Other);
    settle(Other);
    CPPUNIT_ASSERT(isRefused(Other, {Crashing}));
    m_Now += 200s;
    CPPUNIT_ASSERT(!One.refuseNew(Ids{Crashing}, m_Now));
    sound(One, {Crashing});
    exchange(One, Other);
    One.update(m_Now);
    Other.update(m_Now);
    CPPUNIT_ASSERT(One.refusals().empty() && Other.refusals().empty());
  }

  void refusedPart_stillCrashing_costsFewCrashesOfAFleet() {
    constexpr int DaemonCount = 60;
    std::vector<std::unique_ptr<CrashCauses>> Daemons;
    for (int Number = 0; Number < DaemonCount; ++Number)
      Daemons.push_back(
          std::make_unique<CrashCauses>(fmt::format("d-{}", Number)));
    for (int Crash = 0; Crash < 5; ++Crash)
      crash(*Daemons[0], {Crashing});
    // Ten requests a second at changing daemons; all exchange evidence at once.
    SeededRandom Random(3);
    std::size_t Tried = 0;
    for (const auto End = m_Now + 200s; m_Now < End; m_Now += 100ms) {
      exchangeAll(Daemons);
      auto &Daemon =
          *Daemons[static_cast<std::size_t>(Random.uniform() * DaemonCount)];
      if (m_Now < Start + 3s || Daemon.refuseNew(Ids{Crashing}, m_Now))
        continue;
      ++Tried;
      crash(Daemon, {Crashing});
    }
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} requests in 200 s", Tried),
                           Tried <= 3);
  }

  void daemon_startedLater_learnsRefusalFromRefresh() {
    CrashCauses One("a");
    for (int Crash = 0; Crash < 4; ++Crash)
      crash(One, {Crashing});
    settle(One);
    (void)One.takeReport(m_Now);
    m_Now += 30s;
    CrashCauses Later("b");
    exchange(One, Later);
    Later.update(m_Now);
    CPPUNIT_ASSERT(isRefused(Later, {Crashing}));
  }

  void daemon_suspended_learnsRefusalWithItsAge() {
    CrashCauses One("a"), Suspended("b");
    crash(One, {Crashing});
    crash(One, {Crashing});
    settle(One);
    m_Now += 20s; // The refusal is over.
    Suspended.merge(One.takeReport(m_Now), Start + 1s);
    Suspended.update(Start + 1s);
    CPPUNIT_ASSERT(!Suspended.isRefused(Ids{Crashing}, Start + 1s));
  }

  void madeUpParts_withoutEnd_stayWithinBounds() {
    CrashCauses Daemon("a");
    CauseId Next = 1000;
    for (int Crash = 0; Crash < 300; ++Crash) {
      Ids Long{Crashing};
      for (int Count = 0; Count < 20; ++Count)
        Long.push_back(Next++);
      crash(Daemon, sorted(Long));
      sound(Daemon, sorted(Long));
      m_Now += 10ms;
    }
    CPPUNIT_ASSERT(Daemon.suspectCount() <= 1024);
    const auto Bytes = encodeCrashEvidence(Daemon.takeReport(m_Now));
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", Bytes.size()),
                           Bytes.size() <= 4096);
  }

  void longPrompts_sharingOnePart_partIsFound() {
    CrashCauses Daemon("a");
    SeededRandom Random(11);
    int Crashes = 0;
    for (; Crashes < 100 && !isRefused(Daemon, {Crashing}); ++Crashes) {
      Ids Long{Crashing};
      for (int Count = 0; Count < 200; ++Count)
        Long.push_back(1000 + static_cast<CauseId>(Random.uniform() * 1e15));
      crash(Daemon, sorted(Long));
      settle(Daemon);
    }
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} crashes", Crashes), Crashes < 40);
  }

  void evidence_encodedAndDecoded_isTheSame() {
    const std::vector<CauseEvidence> Evidence = {
        {1, true, {{~0ull, 3, 1500ms, true}, {4, 5, 0ms, false}}},
        {6, false, {}}};
    const auto Decoded = decodeCrashEvidence(encodeCrashEvidence(Evidence));
    CPPUNIT_ASSERT(Decoded);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Decoded->size());
    CPPUNIT_ASSERT(Decoded->at(0).KnownSound && !Decoded->at(1).KnownSound);
    const auto &Sighting = Decoded->at(0).Sightings.at(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(~0ull), Sighting.Crash);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Sighting.Request);
    CPPUNIT_ASSERT(Sighting.Age == 1500ms && Sighting.Refuted);
  }

  void evidence_malformed_isRejected() {
    const auto Bytes = encodeCrashEvidence(
        std::vector<CauseEvidence>{{1, true, {{2, 3, 1500ms, true}}}});
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CPPUNIT_ASSERT(!decodeCrashEvidence(Bytes.substr(0, Size)));
    CPPUNIT_ASSERT(!decodeCrashEvidence("\x92\x05\x91\x01"));
    CPPUNIT_ASSERT(!decodeCrashEvidence("\x92\x04\x90"));
  }

private:
  /// Another target crashes under another request.
  void crash(CrashCauses &Daemon, const Ids &Of) {
    Daemon.recordCrash(m_NextCrash++, m_NextRequest++, sorted(Of), m_Now,
                       m_Now);
  }
  /// An answer begins a moment after the last crash.
  void sound(CrashCauses &Daemon, const Ids &Of) {
    m_Now += 1ms;
    Daemon.recordSoundAnswer(sorted(Of), m_Now, m_Now);
  }
  void settle(CrashCauses &Daemon) {
    m_Now += 1s;
    Daemon.update(m_Now);
  }
  bool isRefused(const CrashCauses &Daemon, const Ids &Of) const {
    return Daemon.isRefused(sorted(Of), m_Now);
  }
  /// Both report to each other, twice, so that each has what the other adds.
  void exchange(CrashCauses &One, CrashCauses &Other) const {
    for (int Round = 0; Round < 2; ++Round) {
      Other.merge(
          *decodeCrashEvidence(encodeCrashEvidence(One.takeReport(m_Now))),
          m_Now);
      One.merge(
          *decodeCrashEvidence(encodeCrashEvidence(Other.takeReport(m_Now))),
          m_Now);
    }
  }
  /// All report to the first, which reports to all.
  void exchangeAll(std::vector<std::unique_ptr<CrashCauses>> &Daemons) const {
    auto &Delegate = *Daemons.front();
    for (auto &Each : Daemons)
      Delegate.merge(Each->takeReport(m_Now), m_Now);
    const auto Report = Delegate.takeReport(m_Now);
    for (auto &Each : Daemons) {
      Each->merge(Report, m_Now);
      Each->update(m_Now);
    }
  }

  TimePoint m_Now = Start;
  std::uint64_t m_NextCrash = 1;
  std::uint64_t m_NextRequest = 1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashCausesTest);

} // namespace mangodeck
