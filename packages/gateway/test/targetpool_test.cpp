#include "mangodeck/gateway/targetpool.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class TargetPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetPoolTest);
  CPPUNIT_TEST(idleBound_noLimit_isTheMost);
  CPPUNIT_TEST(idleBound_manyDaemons_sumStaysWithinHalfOfLimit);
  CPPUNIT_TEST(idleBound_moreDaemonsThanConnections_leavesOne);
  CPPUNIT_TEST_SUITE_END();

public:
  void idleBound_noLimit_isTheMost() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), idleBound(0, 8));
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), idleBound(240, 1));
  }

  void idleBound_manyDaemons_sumStaysWithinHalfOfLimit() {
    for (const std::size_t Daemons : {8, 73, 87, 200})
      CPPUNIT_ASSERT(idleBound(580, Daemons) * Daemons <= 290);
  }

  void idleBound_moreDaemonsThanConnections_leavesOne() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), idleBound(100, 360));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPoolTest);

} // namespace mangodeck
