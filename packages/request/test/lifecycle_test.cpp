#include "mangodeck/request/lifecycle.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class RequestLifecycleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestLifecycleTest);
  CPPUNIT_TEST(grant_secondForOneRequest_isReturned);
  CPPUNIT_TEST(grant_afterDeadline_isReturnedAsExpired);
  CPPUNIT_TEST(grant_toLeavingTarget_isReturnedAndRequestKeepsWaiting);
  CPPUNIT_TEST(grant_afterRefusal_isReturned);
  CPPUNIT_TEST(refusal_afterDispatch_isIgnored);
  CPPUNIT_TEST(claim_wonAfterRequestEnded_isReleased);
  CPPUNIT_TEST(claim_wonButTargetLeaving_nextGrantNeedsNoClaim);
  CPPUNIT_TEST(claim_unreachableStore_endsWithoutDispatch);
  CPPUNIT_TEST(hangUp_runningNonIdempotent_finishes);
  CPPUNIT_TEST(notDelivered_dispatchedRequest_waitsAgain);
  CPPUNIT_TEST(allEvents_everyOrderOfSix_dispatchAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

  static constexpr TimePoint Start{};
  static constexpr TimePoint Deadline = Start + 10s;
  const DispatchCondition m_Usable{};
  const DispatchCondition m_Leaving{false, false};

  static RequestLifecycle nonIdempotentWithKey() {
    return {Deadline, false, true};
  }
  static RequestLifecycle idempotent() { return {Deadline, true, false}; }

public:
  void grant_secondForOneRequest_isReturned() {
    auto Request = idempotent();
    CPPUNIT_ASSERT(Request.onGrant(Start, m_Usable).Use == GrantUse::Dispatch);
    const auto Second = Request.onGrant(Start, m_Usable);
    CPPUNIT_ASSERT(Second.Use == GrantUse::Return);
    CPPUNIT_ASSERT(Second.Reason == ReturnReason::Duplicate);
  }

  void grant_afterDeadline_isReturnedAsExpired() {
    auto Request = idempotent();
    CPPUNIT_ASSERT(Request.onGrant(Deadline, m_Usable).Reason ==
                   ReturnReason::Expired);
    CPPUNIT_ASSERT(Request.onExpiry(Deadline));
  }

  void grant_toLeavingTarget_isReturnedAndRequestKeepsWaiting() {
    auto Request = idempotent();
    CPPUNIT_ASSERT(Request.onGrant(Start, m_Leaving).Reason ==
                   ReturnReason::TargetLeaving);
    CPPUNIT_ASSERT(Request.state() == RequestState::Waiting);
  }

  void grant_afterRefusal_isReturned() {
    auto Request = idempotent();
    CPPUNIT_ASSERT(Request.onRefusal());
    CPPUNIT_ASSERT(Request.onGrant(Start, m_Usable).Use == GrantUse::Return);
    CPPUNIT_ASSERT_EQUAL(0U, Request.dispatches());
  }

  void refusal_afterDispatch_isIgnored() {
    auto Request = idempotent();
    Request.onGrant(Start, m_Usable);
    CPPUNIT_ASSERT(!Request.onRefusal());
    CPPUNIT_ASSERT(!Request.onExpiry(Deadline));
  }

  void claim_wonAfterRequestEnded_isReleased() {
    auto Request = nonIdempotentWithKey();
    CPPUNIT_ASSERT(Request.onGrant(Start, m_Usable).Use == GrantUse::Claim);
    CPPUNIT_ASSERT(Request.onHangUp() == HangUpDecision::Withdraw);
    CPPUNIT_ASSERT(Request.onClaim(ClaimResult::Won, Start, m_Usable) ==
                   ClaimDecision::Release);
    CPPUNIT_ASSERT_EQUAL(0U, Request.dispatches());
  }

  void claim_wonButTargetLeaving_nextGrantNeedsNoClaim() {
    auto Request = nonIdempotentWithKey();
    Request.onGrant(Start, m_Usable);
    CPPUNIT_ASSERT(Request.onClaim(ClaimResult::Won, Start, m_Leaving) ==
                   ClaimDecision::WaitAgain);
    CPPUNIT_ASSERT(Request.onGrant(Start, m_Usable).Use == GrantUse::Dispatch);
  }

  void claim_unreachableStore_endsWithoutDispatch() {
    auto Request = nonIdempotentWithKey();
    Request.onGrant(Start, m_Usable);
    CPPUNIT_ASSERT(Request.onClaim(ClaimResult::Unreachable, Start, m_Usable) ==
                   ClaimDecision::Refuse);
    CPPUNIT_ASSERT(Request.state() == RequestState::Ended);
    CPPUNIT_ASSERT_EQUAL(0U, Request.dispatches());
  }

  void hangUp_runningNonIdempotent_finishes() {
    RequestLifecycle Payment(Deadline, false, false);
    Payment.onGrant(Start, m_Usable);
    CPPUNIT_ASSERT(Payment.onHangUp() == HangUpDecision::LetFinish);
    auto Completion = idempotent();
    Completion.onGrant(Start, m_Usable);
    CPPUNIT_ASSERT(Completion.onHangUp() == HangUpDecision::Cancel);
  }

  void notDelivered_dispatchedRequest_waitsAgain() {
    auto Request = idempotent();
    Request.onGrant(Start, m_Usable);
    CPPUNIT_ASSERT(Request.onNotDelivered());
    CPPUNIT_ASSERT(Request.onGrant(Start, m_Usable).Use == GrantUse::Dispatch);
    CPPUNIT_ASSERT_EQUAL(1U, Request.dispatches());
  }

  /// Applies every sequence of six events, each of one of seven kinds, to a
  /// request that needs a claim. Dispatches less those undone by a proof of
  /// non-delivery must not exceed one, or the request could run twice.
  void allEvents_everyOrderOfSix_dispatchAtMostOnce() {
    constexpr int EventKinds = 7;
    constexpr int EventsPerSequence = 6;
    int Sequences = 1;
    for (int I = 0; I < EventsPerSequence; ++I)
      Sequences *= EventKinds;
    for (int Sequence = 0; Sequence < Sequences; ++Sequence)
      CPPUNIT_ASSERT(applySequence(Sequence, EventKinds, EventsPerSequence) <=
                     1);
  }

private:
  int applySequence(int Sequence, int EventKinds, int EventsPerSequence) {
    auto Request = nonIdempotentWithKey();
    int Dispatches = 0;
    for (int I = 0; I < EventsPerSequence; ++I, Sequence /= EventKinds)
      Dispatches += applyEvent(Request, Sequence % EventKinds);
    return Dispatches;
  }

  int applyEvent(RequestLifecycle &Request, int Event) {
    switch (Event) {
    case 0:
      return Request.onGrant(Start, m_Usable).Use == GrantUse::Dispatch;
    case 1:
      return Request.onGrant(Start, m_Leaving).Use == GrantUse::Dispatch;
    case 2:
      return Request.onClaim(ClaimResult::Won, Start, m_Usable) ==
             ClaimDecision::Dispatch;
    case 3:
      Request.onRefusal();
      return 0;
    case 4:
      Request.onHangUp();
      return 0;
    case 5:
      return Request.onNotDelivered() ? -1 : 0;
    default:
      Request.onEnd();
      return 0;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestLifecycleTest);

} // namespace mangodeck
