#include "mangodeck/process/drain.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(drain_idleBeforeLagEnds_goesOnAccepting);
  CPPUNIT_TEST(drain_openRequests_waitsForTheLast);
  CPPUNIT_TEST(drain_begunTwice_keepsFirstStart);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint Start{};

public:
  void drain_idleBeforeLagEnds_goesOnAccepting() {
    Drain Shutdown(10s);
    Shutdown.begin(Start);
    CPPUNIT_ASSERT(Shutdown.update(Start + 9s, 0) == DrainPhase::Leaving);
    CPPUNIT_ASSERT(Shutdown.update(Start + 10s, 0) == DrainPhase::Finishing);
  }

  void drain_openRequests_waitsForTheLast() {
    Drain Shutdown(1s);
    Shutdown.begin(Start);
    Shutdown.update(Start + 1s, 3);
    CPPUNIT_ASSERT(Shutdown.update(Start + 600s, 1) == DrainPhase::Finishing);
    CPPUNIT_ASSERT(Shutdown.update(Start + 601s, 0) == DrainPhase::Done);
  }

  void drain_begunTwice_keepsFirstStart() {
    Drain Shutdown(10s);
    Shutdown.begin(Start);
    Shutdown.begin(Start + 9s);
    CPPUNIT_ASSERT(Shutdown.update(Start + 10s, 0) == DrainPhase::Finishing);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

} // namespace mangodeck
