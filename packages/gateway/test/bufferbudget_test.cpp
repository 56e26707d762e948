#include "mangodeck/gateway/bufferbudget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class BufferBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BufferBudgetTest);
  CPPUNIT_TEST(bodies_upToShare_leaveRoomForAnswers);
  CPPUNIT_TEST(answers_sixOfLargestSizeAtSmallDaemon_fit);
  CPPUNIT_TEST(longBodies_upToTheirShare_leaveRoomForShortOnes);
  CPPUNIT_TEST_SUITE_END();

public:
  void bodies_upToShare_leaveRoomForAnswers() {
    BufferBudget Budget(16 << 20);
    CPPUNIT_ASSERT(Budget.reserveBody(3 << 20, 3 << 20));
    CPPUNIT_ASSERT(Budget.reserveBody(1 << 20, 1000));
    CPPUNIT_ASSERT(!Budget.reserveBody(1, 1));
    CPPUNIT_ASSERT(Budget.reserveAnswer(4 << 20));
    CPPUNIT_ASSERT(!Budget.reserveAnswer(1));
    Budget.releaseBody(1);
    CPPUNIT_ASSERT(Budget.reserveBody(1, 1));
    Budget.releaseAnswer(1);
    CPPUNIT_ASSERT(Budget.reserveAnswer(1));
  }

  // Regression: two of six answers of 4.19 MB were given up for lack of room.
  void answers_sixOfLargestSizeAtSmallDaemon_fit() {
    BufferBudget Budget(110 << 20);
    CPPUNIT_ASSERT(Budget.reserveBody(20 << 20, 20 << 20));
    for (int Number = 0; Number < 6; ++Number)
      CPPUNIT_ASSERT(Budget.reserveAnswer(4190000));
  }

  void longBodies_upToTheirShare_leaveRoomForShortOnes() {
    BufferBudget Budget(16 << 20);
    CPPUNIT_ASSERT(Budget.reserveBody(3 << 20, 3 << 20));
    CPPUNIT_ASSERT(!Budget.reserveBody(100000, 100000));
    // A body that grows counts by what it has become.
    CPPUNIT_ASSERT(!Budget.reserveBody(100, 100000));
    CPPUNIT_ASSERT(Budget.reserveBody(60000, 60000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BufferBudgetTest);

} // namespace mangodeck
