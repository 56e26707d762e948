#include "mangodeck/gateway/incarnationtracker.h"

#include "mangodeck/common/random.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace mangodeck {

class IncarnationTrackerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IncarnationTrackerTest);
  CPPUNIT_TEST(process_restarted_isFollowedWhateverItsId);
  CPPUNIT_TEST(process_restartedWithinMilliseconds_isUnconfirmedThenFollowed);
  CPPUNIT_TEST(formerProcess_delayedDoubledReordered_neverWinsBack);
  CPPUNIT_TEST(formerProcess_neverMetBefore_doesNotWin);
  CPPUNIT_TEST(process_takenForFormer_isFollowedAgain);
  CPPUNIT_TEST_SUITE_END();

public:
  void process_restarted_isFollowedWhateverItsId() {
    for (const IncarnationId Next : {1, 4, 6, 900}) {
      IncarnationTracker Tracker;
      CPPUNIT_ASSERT(observe(Tracker, 5, 0ms) == IncarnationStanding::Started);
      CPPUNIT_ASSERT(observe(Tracker, 5, 1ms) == IncarnationStanding::Current);
      CPPUNIT_ASSERT(observe(Tracker, Next, 700ms) ==
                     IncarnationStanding::Started);
      CPPUNIT_ASSERT(Next == Tracker.current("vm"));
      CPPUNIT_ASSERT(observe(Tracker, 5, 701ms) == IncarnationStanding::Former);
    }
  }

  void process_restartedWithinMilliseconds_isUnconfirmedThenFollowed() {
    IncarnationTracker Tracker;
    observe(Tracker, 5, 0ms);
    CPPUNIT_ASSERT(observe(Tracker, 4, 2ms) ==
                   IncarnationStanding::Unconfirmed);
    CPPUNIT_ASSERT(IncarnationId(5) == Tracker.current("vm"));
    CPPUNIT_ASSERT(observe(Tracker, 4, 650ms) == IncarnationStanding::Started);
  }

  // Six processes of a VM end and start in series. Half of their datagrams come
  // twice, and copies arrive up to 1.9 s late, among those of later processes.
  void formerProcess_delayedDoubledReordered_neverWinsBack() {
    constexpr int Reports = 30;
    struct Datagram {
      Duration At;
      int Process = 0;
      bool IsLastOriginal = false;
    };
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      SeededRandom Random(Seed);
      std::vector<Datagram> Arriving;
      std::vector<IncarnationId> Ids;
      Duration Now{0};
      for (int Process = 0; Process < 6; ++Process) {
        Ids.push_back(Random.next());
        for (int Report = 0; Report < Reports; ++Report, Now += 100ms) {
          Arriving.push_back({Now, Process, Report == Reports - 1});
          if (Random.uniform() < 0.5)
            Arriving.push_back(
                {Now + fromSeconds(1.9 * Random.uniform()), Process});
        }
        Now += 500ms + fromSeconds(0.5 * Random.uniform());
      }
      std::sort(Arriving.begin(), Arriving.end(),
                [](const auto &A, const auto &B) { return A.At < B.At; });
      IncarnationTracker Tracker;
      std::ptrdiff_t Newest = 0;
      for (const auto &Each : Arriving) {
        observe(Tracker, Ids[static_cast<std::size_t>(Each.Process)], Each.At);
        const auto Current =
            std::find(Ids.begin(), Ids.end(), Tracker.current("vm")) -
            Ids.begin();
        CPPUNIT_ASSERT(Current >= Newest);
        CPPUNIT_ASSERT(!Each.IsLastOriginal || Current == Each.Process);
        Newest = Current;
      }
    }
  }

  void formerProcess_neverMetBefore_doesNotWin() {
    IncarnationTracker Tracker;
    observe(Tracker, 5, 0ms);
    for (auto At = 50ms; At < 3s; At += 100ms) {
      CPPUNIT_ASSERT(observe(Tracker, 9, At) ==
                     IncarnationStanding::Unconfirmed);
      CPPUNIT_ASSERT(observe(Tracker, 5, At + 50ms) ==
                     IncarnationStanding::Current);
    }
  }

  void process_takenForFormer_isFollowedAgain() {
    IncarnationTracker Tracker;
    observe(Tracker, 5, 0ms);
    observe(Tracker, 9, 700ms);
    CPPUNIT_ASSERT(observe(Tracker, 5, 2600ms) == IncarnationStanding::Former);
    CPPUNIT_ASSERT(observe(Tracker, 5, 2750ms) == IncarnationStanding::Started);
    CPPUNIT_ASSERT(observe(Tracker, 9, 2760ms) == IncarnationStanding::Former);
  }

private:
  static IncarnationStanding observe(IncarnationTracker &Tracker,
                                     IncarnationId Incarnation, Duration At) {
    return Tracker.observe("vm", Incarnation,
                           TimePoint(std::chrono::hours(1)) + At);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationTrackerTest);

} // namespace mangodeck
