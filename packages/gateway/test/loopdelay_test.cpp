#include "mangodeck/gateway/loopdelay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class LoopDelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoopDelayTest);
  CPPUNIT_TEST(worst_punctualTicks_isZero);
  CPPUNIT_TEST(worst_lateTick_isKeptThenForgotten);
  CPPUNIT_TEST(stop_punctualLoop_endsAsBefore);
  CPPUNIT_TEST(stop_lateLoop_endsWithinGraceOfSignal);
  CPPUNIT_TEST(stop_veryLateLoop_leavesMostOfGrace);
  CPPUNIT_TEST_SUITE_END();

  const TimePoint m_Now{std::chrono::hours(1)};

public:
  void worst_punctualTicks_isZero() {
    LoopDelay Delay;
    for (int Tick = 0; Tick < 100; ++Tick)
      Delay.record(m_Now + Tick * 100ms, m_Now + Tick * 100ms);
    CPPUNIT_ASSERT(Delay.worst() == Duration{0});
  }

  void worst_lateTick_isKeptThenForgotten() {
    LoopDelay Delay;
    Delay.record(m_Now, m_Now + 400ms);
    Delay.record(m_Now + 2s, m_Now + 2s);
    CPPUNIT_ASSERT(Delay.worst() == 400ms);
    for (int Tick = 30; Tick < 100; ++Tick)
      Delay.record(m_Now + Tick * 100ms, m_Now + Tick * 100ms);
    CPPUNIT_ASSERT(Delay.worst() == Duration{0});
  }

  void stop_punctualLoop_endsAsBefore() {
    CPPUNIT_ASSERT(StopTiming::graceEnd(m_Now, 8s, 0ms) == m_Now + 8s);
    CPPUNIT_ASSERT(StopTiming::terminationMargin(8s, 0ms) == 250ms);
  }

  // The signal waits for one delay, and the tick that ends the process comes up
  // to a period and a delay after its time.
  void stop_lateLoop_endsWithinGraceOfSignal() {
    const Duration Period = 100ms;
    for (const Duration Delay : {50ms, 100ms, 300ms, 600ms, 800ms}) {
      const auto Signal = m_Now;
      const auto Handled = Signal + Delay;
      const auto Due = StopTiming::graceEnd(Handled, 8s, Delay) -
                       StopTiming::terminationMargin(8s, Delay);
      CPPUNIT_ASSERT(Due + Period + Delay < Signal + 8s);
    }
  }

  void stop_veryLateLoop_leavesMostOfGrace() {
    const auto Due = StopTiming::graceEnd(m_Now, 8s, 30s) -
                     StopTiming::terminationMargin(8s, 30s);
    CPPUNIT_ASSERT(Due == m_Now + 4s);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopDelayTest);

} // namespace mangodeck
