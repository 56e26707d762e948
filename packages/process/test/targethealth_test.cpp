#include "enginespeed.h"
#include "targethealth.h"
#include "targetlimit.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class TargetHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetHealthTest);
  CPPUNIT_TEST(target_threeFailures_isEjectedThenProbed);
  CPPUNIT_TEST(probe_fails_waitsTwiceAsLong);
  CPPUNIT_TEST(mayEject_cap_leavesTwoThirds);
  CPPUNIT_TEST(limit_slowAnswers_shrinksAndGrowsAgain);
  CPPUNIT_TEST(limit_manySlowAnswersInOneInterval_shrinksOnce);
  CPPUNIT_TEST(speed_samples_moveEstimate);
  CPPUNIT_TEST(speed_relaxed_approachesTypical);
  CPPUNIT_TEST_SUITE_END();

public:
  void target_threeFailures_isEjectedThenProbed() {
    TargetHealth Health;
    CPPUNIT_ASSERT(!Health.recordFailure());
    CPPUNIT_ASSERT(!Health.recordFailure());
    CPPUNIT_ASSERT(Health.recordFailure());
    Health.eject(m_Now);
    Health.update(m_Now + 4s);
    CPPUNIT_ASSERT(Health.state() == TargetHealth::State::Ejected);
    Health.update(m_Now + 5s);
    CPPUNIT_ASSERT(Health.state() == TargetHealth::State::Probing);
    Health.recordSuccess();
    CPPUNIT_ASSERT(Health.state() == TargetHealth::State::Healthy);
  }

  void probe_fails_waitsTwiceAsLong() {
    TargetHealth Health;
    Health.eject(m_Now);
    Health.update(m_Now + 5s);
    CPPUNIT_ASSERT(Health.recordFailure());
    Health.eject(m_Now + 5s);
    Health.update(m_Now + 14s);
    CPPUNIT_ASSERT(Health.state() == TargetHealth::State::Ejected);
    Health.update(m_Now + 15s);
    CPPUNIT_ASSERT(Health.state() == TargetHealth::State::Probing);
  }

  void mayEject_cap_leavesTwoThirds() {
    CPPUNIT_ASSERT(!mayEject(0, 1));
    CPPUNIT_ASSERT(!mayEject(0, 2));
    CPPUNIT_ASSERT(mayEject(0, 3));
    CPPUNIT_ASSERT(!mayEject(1, 4));
    CPPUNIT_ASSERT(mayEject(1, 5));
  }

  void limit_slowAnswers_shrinksAndGrowsAgain() {
    TargetLimit Limit(16);
    Limit.observe(2.0, true, m_Now);
    CPPUNIT_ASSERT_EQUAL(11u, Limit.sequences());
    for (int I = 0; I < 200; ++I)
      Limit.observe(0.5, true, m_Now);
    CPPUNIT_ASSERT_EQUAL(16u, Limit.sequences());
    for (int I = 0; I < 100; ++I)
      Limit.observe(50, true, m_Now + I * 2s);
    CPPUNIT_ASSERT_EQUAL(1u, Limit.sequences());
  }

  void limit_manySlowAnswersInOneInterval_shrinksOnce() {
    TargetLimit Limit(16);
    for (int I = 0; I < 10; ++I)
      Limit.observe(2.0, true, m_Now);
    CPPUNIT_ASSERT_EQUAL(11u, Limit.sequences());
  }

  void speed_samples_moveEstimate() {
    EngineSpeed Speed;
    for (int I = 0; I < 100; ++I) {
      Speed.addSample(10, 50ms, 1, Duration(0));
      Speed.addSample(1000, 1050ms, 101, 10s);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.05, toSeconds(Speed.timeToFirstToken(2000)),
                                 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, toSeconds(Speed.tokenGap()), 0.001);
  }

  void speed_relaxed_approachesTypical() {
    EngineSpeed Slow;
    for (int I = 0; I < 100; ++I)
      Slow.addSample(1000, 9s, 101, 60s);
    const EngineSpeed Typical;
    const auto Before = Slow.timeToFirstToken(1000);
    for (int I = 0; I < 30; ++I)
      Slow.relaxTowards(Typical);
    CPPUNIT_ASSERT(Before > 8s);
    CPPUNIT_ASSERT(Slow.timeToFirstToken(1000) < 1s);
  }

private:
  TimePoint m_Now{std::chrono::hours(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthTest);

} // namespace mangodeck
