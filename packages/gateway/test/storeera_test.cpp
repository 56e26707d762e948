#include "mangodeck/gateway/storeera.h"

#include "mangodeck/gateway/keyvaluestore.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

namespace {

struct CountingObserver : StoreEraObserver {
  void onStoreRestored() override { ++Restores; }
  int Restores = 0;
};

} // namespace

class StoreEraTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreEraTest);
  CPPUNIT_TEST(recordAnswer_firstEra_isNoRestore);
  CPPUNIT_TEST(recordAnswer_laterEra_notifiesOnce);
  CPPUNIT_TEST(recordAnswer_earlierEra_isRejected);
  CPPUNIT_TEST(recordAnswer_withoutEra_isAccepted);
  CPPUNIT_TEST(storeRevision_laterEraSmallerNumber_isLater);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { m_Tracker.addObserver(m_Observer); }

  void recordAnswer_firstEra_isNoRestore() {
    CPPUNIT_ASSERT(m_Tracker.recordAnswer(4));
    CPPUNIT_ASSERT_EQUAL(0, m_Observer.Restores);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), m_Tracker.current());
  }

  void recordAnswer_laterEra_notifiesOnce() {
    m_Tracker.recordAnswer(4);
    CPPUNIT_ASSERT(m_Tracker.recordAnswer(6));
    CPPUNIT_ASSERT(m_Tracker.recordAnswer(6));
    CPPUNIT_ASSERT_EQUAL(1, m_Observer.Restores);
  }

  void recordAnswer_earlierEra_isRejected() {
    m_Tracker.recordAnswer(4);
    m_Tracker.recordAnswer(5);
    CPPUNIT_ASSERT(!m_Tracker.recordAnswer(4));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), m_Tracker.current());
    CPPUNIT_ASSERT_EQUAL(1, m_Observer.Restores);
  }

  void recordAnswer_withoutEra_isAccepted() {
    CPPUNIT_ASSERT(m_Tracker.recordAnswer(std::nullopt));
    m_Tracker.recordAnswer(4);
    CPPUNIT_ASSERT(m_Tracker.recordAnswer(std::nullopt));
    CPPUNIT_ASSERT_EQUAL(0, m_Observer.Restores);
  }

  void storeRevision_laterEraSmallerNumber_isLater() {
    CPPUNIT_ASSERT((StoreRevision{1, 900}) < (StoreRevision{2, 700}));
    CPPUNIT_ASSERT((StoreRevision{2, 700}) < (StoreRevision{2, 701}));
  }

private:
  EventLog m_Log{-1, "vm", "1", 1000};
  CountingObserver m_Observer;
  StoreEraTracker m_Tracker{m_Log};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreEraTest);

} // namespace mangodeck
