#include "mangodeck/gateway/transitdelay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class TransitDelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransitDelayTest);
  CPPUNIT_TEST(delay_beforeFirstAnswer_isUnknown);
  CPPUNIT_TEST(delay_clocksWithoutCommonOrigin_isNeverTooShort);
  CPPUNIT_TEST(delay_allMessagesWaited_isNeverTooShort);
  CPPUNIT_TEST(delay_clocksOfDifferentSpeed_staysBounded);
  CPPUNIT_TEST_SUITE_END();

public:
  void delay_beforeFirstAnswer_isUnknown() {
    CPPUNIT_ASSERT(!TransitDelay().longest(90s, TimePoint{100s}));
  }

  void delay_clocksWithoutCommonOrigin_isNeverTooShort() {
    TransitDelay Delay;
    const TimePoint Start{5000s};
    // The query took 10 ms to arrive, at 90 s of the other clock.
    Delay.recordRoundTrip(90s, Start - 10ms);
    const auto Prompt = Delay.longest(91s, Start + 1000ms);
    CPPUNIT_ASSERT(Prompt >= 0ms && Prompt <= 11ms);
    const auto Late = Delay.longest(92s, Start + 3510ms);
    CPPUNIT_ASSERT(Late >= 1510ms && Late <= 1521ms);
  }

  void delay_allMessagesWaited_isNeverTooShort() {
    TransitDelay Delay;
    const TimePoint Start{5000s};
    // A query that waited itself only makes the estimate longer; a later one
    // corrects it.
    Delay.recordRoundTrip(90s, Start - 2000ms);
    CPPUNIT_ASSERT(Delay.longest(91s, Start + 2500ms) >= 1500ms);
    Delay.recordRoundTrip(92s, Start + 1990ms);
    const auto Waited = Delay.longest(93s, Start + 4500ms);
    CPPUNIT_ASSERT(Waited >= 1500ms && Waited <= 1512ms);
  }

  void delay_clocksOfDifferentSpeed_staysBounded() {
    TransitDelay Delay;
    Delay.recordRoundTrip(0s, TimePoint{100s});
    for (int I = 1; I < 600; ++I) {
      const auto Found =
          Delay.longest(1s * I, TimePoint{100s} + fromSeconds(0.9999 * I));
      CPPUNIT_ASSERT(Found >= 0ms && Found < 200ms);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransitDelayTest);

} // namespace mangodeck
