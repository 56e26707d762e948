#include "mangodeck/gateway/targetconnectionpool.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class TargetConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetConnectionPoolTest);
  CPPUNIT_TEST(idleBound_noLimit_isTheMost);
  CPPUNIT_TEST(idleBound_manyDaemons_sumStaysWithinHalfOfLimit);
  CPPUNIT_TEST(idleBound_moreDaemonsThanConnections_leavesOne);
  CPPUNIT_TEST_SUITE_END();

public:
  void idleBound_noLimit_isTheMost() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), maxIdleConnections(0, 8));
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), maxIdleConnections(240, 1));
  }

  void idleBound_manyDaemons_sumStaysWithinHalfOfLimit() {
    for (const std::size_t Daemons : {8, 73, 87, 200})
      CPPUNIT_ASSERT(maxIdleConnections(580, Daemons) * Daemons <= 290);
  }

  void idleBound_moreDaemonsThanConnections_leavesOne() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), maxIdleConnections(100, 360));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetConnectionPoolTest);

} // namespace mangodeck
