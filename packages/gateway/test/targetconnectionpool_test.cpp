#include "mangodeck/gateway/targetconnectionpool.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class TargetConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetConnectionPoolTest);
  CPPUNIT_TEST(maxIdleConnections_noLimit_isPerTargetMaximum);
  CPPUNIT_TEST(maxIdleConnections_manyDaemons_sumIsAtMostHalfOfLimit);
  CPPUNIT_TEST(maxIdleConnections_moreDaemonsThanConnections_isOne);
  CPPUNIT_TEST_SUITE_END();

public:
  void maxIdleConnections_noLimit_isPerTargetMaximum() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), maxIdleConnections(0, 8));
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), maxIdleConnections(240, 1));
  }

  void maxIdleConnections_manyDaemons_sumIsAtMostHalfOfLimit() {
    for (const std::size_t DaemonCount : {8, 73, 87, 200})
      CPPUNIT_ASSERT(maxIdleConnections(580, DaemonCount) * DaemonCount <= 290);
  }

  void maxIdleConnections_moreDaemonsThanConnections_isOne() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), maxIdleConnections(100, 360));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetConnectionPoolTest);

} // namespace mangodeck
