#include "mangodeck/common/hybridclock.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class HybridClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HybridClockTest);
  CPPUNIT_TEST(tick_wallClockUnchanged_stampsIncrease);
  CPPUNIT_TEST(merge_laterStamp_nextTickIsLaterThanIt);
  CPPUNIT_TEST(merge_stampFarAhead_isIgnored);
  CPPUNIT_TEST(hybridTime_formattedAndParsed_isEqual);
  CPPUNIT_TEST_SUITE_END();

public:
  void tick_wallClockUnchanged_stampsIncrease() {
    auto Previous = m_Clock.tick();
    for (int I = 0; I < 5000; ++I) {
      const auto Next = m_Clock.tick();
      CPPUNIT_ASSERT(Previous < Next);
      Previous = Next;
    }
    m_Source.advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_Clock.tick().counter());
  }

  void merge_laterStamp_nextTickIsLaterThanIt() {
    const HybridTime Received{m_Clock.tick().Value + (5'000'000ULL << 12)};
    CPPUNIT_ASSERT(m_Clock.merge(Received));
    CPPUNIT_ASSERT(Received < m_Clock.tick());
  }

  void merge_stampFarAhead_isIgnored() {
    const auto Before = m_Clock.tick();
    CPPUNIT_ASSERT(!m_Clock.merge({Before.Value + (61'000'000ULL << 12)}));
    CPPUNIT_ASSERT(m_Clock.latest() == Before);
  }

  void hybridTime_formattedAndParsed_isEqual() {
    const HybridTime Time{(1'733'260'000'000'000ULL << 12) | 17};
    CPPUNIT_ASSERT_EQUAL(std::string("1733260000000000.17"), toString(Time));
    CPPUNIT_ASSERT(parseHybridTime(toString(Time)) == Time);
    CPPUNIT_ASSERT(!parseHybridTime("12"));
    CPPUNIT_ASSERT(!parseHybridTime("12.4096"));
    CPPUNIT_ASSERT(!parseHybridTime("-1.2"));
  }

private:
  ManualClock m_Source;
  HybridClock m_Clock{m_Source};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HybridClockTest);

} // namespace mangodeck
