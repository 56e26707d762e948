#include "mangodeck/process/drain.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class DrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(drain_idleBeforeLagEnds_stillAccepts);
  CPPUNIT_TEST(drain_openRequests_waitsUntilNoneIsOpen);
  CPPUNIT_TEST(drain_begunTwice_keepsFirstStartTime);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint Start{};

public:
  void drain_idleBeforeLagEnds_stillAccepts() {
    Drain Shutdown(10s);
    Shutdown.begin(Start);
    CPPUNIT_ASSERT(Shutdown.update(Start + 9s, 0) == DrainPhase::Leaving);
    CPPUNIT_ASSERT(Shutdown.update(Start + 10s, 0) == DrainPhase::Finishing);
  }

  void drain_openRequests_waitsUntilNoneIsOpen() {
    Drain Shutdown(1s);
    Shutdown.begin(Start);
    Shutdown.update(Start + 1s, 3);
    CPPUNIT_ASSERT(Shutdown.update(Start + 600s, 1) == DrainPhase::Finishing);
    CPPUNIT_ASSERT(Shutdown.update(Start + 601s, 0) == DrainPhase::Done);
  }

  void drain_begunTwice_keepsFirstStartTime() {
    Drain Shutdown(10s);
    Shutdown.begin(Start);
    Shutdown.begin(Start + 9s);
    CPPUNIT_ASSERT(Shutdown.update(Start + 10s, 0) == DrainPhase::Finishing);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);

} // namespace mangodeck
