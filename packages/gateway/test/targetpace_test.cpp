#include "mangodeck/gateway/targetpace.h"

#include "mangodeck/gateway/choosetarget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class TargetPaceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetPaceTest);
  CPPUNIT_TEST(expected_noStatement_isUsual);
  CPPUNIT_TEST(expected_olderStatement_decaysToUsual);
  CPPUNIT_TEST(record_olderStatement_isIgnored);
  CPPUNIT_TEST(statedWithin_olderStatement_isNone);
  CPPUNIT_TEST(choose_machineSlowNow_takesOther);
  CPPUNIT_TEST_SUITE_END();

  const TimePoint m_Now{std::chrono::hours(1)};

  static TargetPtr target(const char *Id) {
    TargetEntry Entry;
    Entry.Id = TargetName(Id);
    Entry.Service = ServiceName("s");
    Entry.Domain = FailureDomain("own");
    Entry.Slots = 8;
    return std::make_shared<TrackedTarget>(Entry);
  }

public:
  /// Guards against a change of placement where targets state no pace.
  void expected_noStatement_isUsual() {
    CPPUNIT_ASSERT_EQUAL(1.0, TargetPace().expected(m_Now));
    CPPUNIT_ASSERT_EQUAL(1.0, TargetPace().expectedOver(1s, m_Now));
  }

  /// Guards against an engine that is shunned for a slow time long past.
  void expected_olderStatement_decaysToUsual() {
    TargetPace Pace;
    Pace.record(2.5, m_Now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, Pace.expected(m_Now), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.83, Pace.expected(m_Now + 300ms), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Pace.expected(m_Now + 5s), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.08, Pace.expectedOver(10s, m_Now), 0.01);
  }

  /// Guards against reports that arrive in another order than they were made.
  void record_olderStatement_isIgnored() {
    TargetPace Pace;
    Pace.record(1, m_Now);
    Pace.record(2.5, m_Now - 100ms);
    CPPUNIT_ASSERT_EQUAL(1.0, Pace.expected(m_Now));
  }

  /// Guards against an old statement that is passed on as a new one.
  void statedWithin_olderStatement_isNone() {
    TargetPace Pace;
    CPPUNIT_ASSERT(!Pace.statedWithin(100ms, m_Now));
    Pace.record(2.5, m_Now);
    CPPUNIT_ASSERT(Pace.statedWithin(100ms, m_Now + 100ms) == 2.5);
    CPPUNIT_ASSERT(!Pace.statedWithin(100ms, m_Now + 101ms));
  }

  /// Guards against a long prompt on a machine that is slowed down now.
  void choose_machineSlowNow_takesOther() {
    const std::vector<TargetPtr> All = {target("a"), target("b")};
    All[0]->Pace.record(2.5, m_Now);
    All[1]->OwnRunning = 3;
    TargetChoiceInput Input;
    Input.Work = {true, 9000, 100};
    Input.OwnDomain = FailureDomain("own");
    Input.TimeToLatencyTarget = 400ms;
    Input.TimeToDeadline = 10s;
    Input.LoadsAreExact = true;
    CPPUNIT_ASSERT(chooseTarget(All, Input, m_Now)->Target == All[1]);
    CPPUNIT_ASSERT(chooseTarget(All, Input, m_Now + 60s)->Target == All[0]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPaceTest);

} // namespace mangodeck
