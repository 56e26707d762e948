#include "mangodeck/request/lifecycle.h"

#include <cassert>

namespace mangodeck {

bool RequestLifecycle::mayDispatch(TimePoint Now,
                                   const DispatchCondition &Condition) const {
  return Now < m_Deadline && Condition.TargetUsable && !Condition.Quarantined;
}

void RequestLifecycle::takeDispatchTransition() {
  assert(m_Dispatches == 0 && "a request is dispatched at most once");
  m_State = RequestState::Dispatched;
  ++m_Dispatches;
}

GrantDecision RequestLifecycle::onGrant(TimePoint Now,
                                        const DispatchCondition &Condition) {
  // Step 1. Refuse grants that come late or twice.
  if (m_State == RequestState::Ended)
    return {GrantVerdict::Return, ReturnReason::Withdrawn};
  if (m_State != RequestState::Waiting)
    return {GrantVerdict::Return, ReturnReason::Duplicate};

  // Step 2. Check again what may have changed since the group decided.
  if (Now >= m_Deadline)
    return {GrantVerdict::Return, ReturnReason::Expired};
  if (Condition.Quarantined)
    return {GrantVerdict::Return, ReturnReason::Quarantined};
  if (!Condition.TargetUsable)
    return {GrantVerdict::Return, ReturnReason::TargetLeaving};

  // Step 3. Record a claim first if the request must not run again elsewhere.
  if (m_NeedsClaim && !m_HoldsClaim) {
    m_State = RequestState::Claiming;
    return {GrantVerdict::Claim, ReturnReason::ClaimFailed};
  }

  // Step 4. Take the one transition.
  takeDispatchTransition();
  return {GrantVerdict::Dispatch, ReturnReason::Duplicate};
}

ClaimVerdict RequestLifecycle::onClaim(ClaimResult Result, TimePoint Now,
                                       const DispatchCondition &Condition) {
  if (m_State != RequestState::Claiming)
    return Result == ClaimResult::Won ? ClaimVerdict::Release
                                      : ClaimVerdict::Refuse;
  if (Result == ClaimResult::Won) {
    m_HoldsClaim = true;
    if (mayDispatch(Now, Condition)) {
      takeDispatchTransition();
      return ClaimVerdict::Dispatch;
    }
    m_State = RequestState::Waiting;
    return ClaimVerdict::WaitAgain;
  }
  m_State = RequestState::Ended;
  return Result == ClaimResult::Held ? ClaimVerdict::AnswerHeld
                                     : ClaimVerdict::Refuse;
}

bool RequestLifecycle::onRefusal() {
  if (m_State != RequestState::Waiting && m_State != RequestState::Claiming)
    return false;
  m_State = RequestState::Ended;
  return true;
}

bool RequestLifecycle::onExpiry(TimePoint Now) {
  return Now >= m_Deadline && onRefusal();
}

HangUpVerdict RequestLifecycle::onHangUp() {
  if (onRefusal())
    return HangUpVerdict::Withdraw;
  if (m_State == RequestState::Ended)
    return HangUpVerdict::Ignore;
  return m_Idempotent ? HangUpVerdict::Cancel : HangUpVerdict::RunOn;
}

bool RequestLifecycle::onNotDelivered() {
  if (m_State != RequestState::Dispatched)
    return false;
  m_Dispatches = 0;
  m_State = RequestState::Waiting;
  return true;
}

bool RequestLifecycle::onEnd() {
  if (m_State != RequestState::Dispatched)
    return false;
  m_State = RequestState::Ended;
  return true;
}

} // namespace mangodeck
