#include "mangodeck/gateway/refusal.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

/// Guards against refusals that break a promise on the status, or that send
/// callers back too late or all at once.
class RefusalTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalTest);
  CPPUNIT_TEST(refusal_anyCause_retryIsWithinThirdOfTimeLeft);
  CPPUNIT_TEST(refusal_retryWouldNotHelp_statesNoTime);
  CPPUNIT_TEST(refusal_noSlot_retriesAreSpread);
  CPPUNIT_TEST(refusal_promisedSlot_statesPromise);
  CPPUNIT_TEST(refusal_targetsPause_retryIsAfterPause);
  CPPUNIT_TEST_SUITE_END();

  static Refusal choose(RefusalCause Cause, Duration Wait, double Draw,
                        std::optional<Duration> TimeLeft = std::nullopt,
                        Duration Promised = Duration{0}) {
    return chooseRefusal({Cause, Wait, Promised, TimeLeft, Draw});
  }

public:
  void refusal_anyCause_retryIsWithinThirdOfTimeLeft() {
    for (int Cause = 0; Cause <= static_cast<int>(RefusalCause::NoMemory);
         ++Cause)
      for (const auto Left : {Duration(0ms), Duration(90ms), Duration(3s)}) {
        const auto Chosen =
            choose(static_cast<RefusalCause>(Cause), 2s, 0.9, Left);
        // An earlier retry of these would only be refused again.
        if (static_cast<RefusalCause>(Cause) == RefusalCause::TargetsPause ||
            static_cast<RefusalCause>(Cause) == RefusalCause::CrashingRequest)
          CPPUNIT_ASSERT(*Chosen.RetryAfter >= 2s);
        else if (Chosen.RetryAfter)
          CPPUNIT_ASSERT(*Chosen.RetryAfter <=
                         std::max<Duration>(Left / 3, 10ms));
      }
  }

  void refusal_retryWouldNotHelp_statesNoTime() {
    CPPUNIT_ASSERT_EQUAL(404, choose(RefusalCause::NoRoute, 1s, 0).Status);
    CPPUNIT_ASSERT_EQUAL(401, choose(RefusalCause::UnknownKey, 1s, 0).Status);
    CPPUNIT_ASSERT_EQUAL(429, choose(RefusalCause::OverLimit, 1s, 0).Status);
    for (const auto Cause : {RefusalCause::NoRoute, RefusalCause::UnknownKey,
                             RefusalCause::NoTarget})
      CPPUNIT_ASSERT(!choose(Cause, 1s, 0).RetryAfter);
  }

  void refusal_noSlot_retriesAreSpread() {
    const auto First = choose(RefusalCause::NoSlot, 1s, 0).RetryAfter;
    const auto Last = choose(RefusalCause::NoSlot, 1s, 0.99).RetryAfter;
    CPPUNIT_ASSERT(*First == 1s);
    CPPUNIT_ASSERT(*Last - *First >= 2s);
    CPPUNIT_ASSERT(*Last <= 4s);
  }

  void refusal_promisedSlot_statesPromise() {
    CPPUNIT_ASSERT(
        *choose(RefusalCause::NoSlot, 3s, 0.5, 10s, 700ms).RetryAfter == 700ms);
  }

  void refusal_targetsPause_retryIsAfterPause() {
    CPPUNIT_ASSERT(*choose(RefusalCause::TargetsPause, 2s, 0).RetryAfter == 2s);
    CPPUNIT_ASSERT(*choose(RefusalCause::TargetsPause, 2s, 0.99).RetryAfter <
                   2500ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalTest);

} // namespace mangodeck
