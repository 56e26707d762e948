#include "mangodeck/request/lifecycle.h"

#include <cassert>

namespace mangodeck {

bool RequestLifecycle::mayDispatch(TimePoint Now,
                                   const DispatchCondition &Condition) const {
  return Now < m_Deadline && Condition.TargetUsable && !Condition.Quarantined;
}

void RequestLifecycle::enterDispatched() {
  assert(m_Dispatches == 0 && "a request is dispatched at most once");
  m_State = RequestState::Dispatched;
  ++m_Dispatches;
}

GrantDecision RequestLifecycle::onGrant(TimePoint Now,
                                        const DispatchCondition &Condition) {
  // Step 1. Return a grant if the request has ended or already uses a grant.
  if (m_State == RequestState::Ended)
    return {GrantUse::Return, ReturnReason::Withdrawn};
  if (m_State != RequestState::Waiting)
    return {GrantUse::Return, ReturnReason::Duplicate};

  // Step 2. Check what may have changed since the group made the grant.
  if (Now >= m_Deadline)
    return {GrantUse::Return, ReturnReason::Expired};
  if (Condition.Quarantined)
    return {GrantUse::Return, ReturnReason::Quarantined};
  if (!Condition.TargetUsable)
    return {GrantUse::Return, ReturnReason::TargetLeaving};

  // Step 3. If the request needs a claim, have it recorded before dispatch, so
  // that no other daemon runs a request with the same key.
  if (m_NeedsClaim && !m_HoldsClaim) {
    m_State = RequestState::Claiming;
    return {GrantUse::Claim, ReturnReason::ClaimFailed};
  }

  // Step 4. Make the transition that allows the request to be sent.
  enterDispatched();
  return {GrantUse::Dispatch, ReturnReason::Duplicate};
}

ClaimDecision RequestLifecycle::onClaim(ClaimResult Result, TimePoint Now,
                                        const DispatchCondition &Condition) {
  if (m_State != RequestState::Claiming)
    return Result == ClaimResult::Won ? ClaimDecision::Release
                                      : ClaimDecision::Refuse;
  if (Result == ClaimResult::Won) {
    m_HoldsClaim = true;
    if (mayDispatch(Now, Condition)) {
      enterDispatched();
      return ClaimDecision::Dispatch;
    }
    m_State = RequestState::Waiting;
    return ClaimDecision::WaitAgain;
  }
  m_State = RequestState::Ended;
  return Result == ClaimResult::Held ? ClaimDecision::AnswerFromRecord
                                     : ClaimDecision::Refuse;
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

HangUpDecision RequestLifecycle::onHangUp() {
  if (onRefusal())
    return HangUpDecision::Withdraw;
  if (m_State == RequestState::Ended)
    return HangUpDecision::Ignore;
  return m_Idempotent ? HangUpDecision::Cancel : HangUpDecision::LetFinish;
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
