#ifndef MANGODECK_REQUEST_LIFECYCLE_H
#define MANGODECK_REQUEST_LIFECYCLE_H

#include "mangodeck/request/outcome.h"
#include "mangodeck/request/ticket.h"

#include <optional>

namespace mangodeck {

/// State of a request at the daemon that accepted it.
enum class RequestState : std::uint8_t {
  Waiting,    ///< Waiting for a grant from its dispatch group.
  Claiming,   ///< Granted; its claim is being recorded in the store.
  Dispatched, ///< Sent to a target.
  Ended,
};

/// Conditions that may have changed since the grant was made and are checked
/// again before the dispatch.
struct DispatchCondition {
  bool TargetUsable = true; ///< Configured, not draining and not leaving.
  bool Quarantined = false; ///< The request's fingerprint is quarantined.
};

/// What to do with a grant.
enum class GrantUse : std::uint8_t {
  Dispatch, ///< Send the request to the granted target now.
  Claim,    ///< Record the claim in the store, then call onClaim().
  Return    ///< Return the grant to the group's owner unused.
};

struct GrantDecision {
  GrantUse Use = GrantUse::Return;
  ReturnReason Reason = ReturnReason::Duplicate; ///< For GrantUse::Return only.
};

/// How the attempt to record a claim ended.
enum class ClaimResult : std::uint8_t {
  Won,         ///< The claim is recorded for this request.
  Held,        ///< The claim is or was another request's, which may have run.
  Unreachable, ///< The store gave no definite answer.
};

/// What to do once the result of recording the claim is known.
enum class ClaimDecision : std::uint8_t {
  Dispatch,  ///< Send the request to the granted target now.
  WaitAgain, ///< Keep the claim, return the grant and wait for another one.
  Release,   ///< The request ended before the result came: delete the claim.
  AnswerFromRecord, ///< Answer from the record of the request that claimed it.
  Refuse,           ///< Refuse the request, since the claim is not confirmed.
};

/// What to do when the caller closed its connection.
enum class HangUpDecision : std::uint8_t {
  Withdraw,  ///< Not dispatched: withdraw the ticket.
  Cancel,    ///< Dispatched and idempotent: cancel it at the target.
  LetFinish, ///< Dispatched and not idempotent: it must not stop halfway.
  Ignore     ///< Ended before.
};

/// State machine of one request. It exists only at the daemon that accepted
/// the request, and the request is sent to a target only on the transition to
/// Dispatched. Messages from other processes thus cannot dispatch it twice.
class RequestLifecycle {
public:
  /// \p NeedsClaim: the request has an idempotency key and is not idempotent,
  /// so a claim on the key must be recorded before its dispatch.
  RequestLifecycle(TimePoint Deadline, bool Idempotent, bool NeedsClaim)
      : m_Deadline(Deadline), m_Idempotent(Idempotent),
        m_NeedsClaim(NeedsClaim) {}

  RequestState state() const { return m_State; }

  /// Decides what to do with a grant. GrantUse::Dispatch means that the state
  /// is now Dispatched and that the calling function must send the request.
  GrantDecision onGrant(TimePoint Now, const DispatchCondition &Condition);

  /// Decides what to do with the result of a claim that onGrant() asked for.
  /// ClaimDecision::Dispatch has the same meaning as GrantUse::Dispatch.
  ClaimDecision onClaim(ClaimResult Result, TimePoint Now,
                        const DispatchCondition &Condition);

  /// Ends a request that the group or this daemon refuses. Returns false if
  /// the request was dispatched or has ended before.
  bool onRefusal();

  /// Does the same as onRefusal() if the deadline has passed at \p Now;
  /// otherwise returns false.
  bool onExpiry(TimePoint Now);

  /// Decides what to do after the caller closed its connection; a request
  /// that was not dispatched ends.
  HangUpDecision onHangUp();

  /// Undoes a dispatch after the transport proved that the target never got
  /// the request. Returns true if the request waits again.
  bool onNotDelivered();

  /// Ends a dispatched request. Returns false if it was not dispatched or has
  /// ended before.
  bool onEnd();

  /// Dispatches that may have reached a target: 0 or 1.
  unsigned dispatches() const { return m_Dispatches; }

  /// Whether a claim is recorded for this request.
  bool holdsClaim() const { return m_HoldsClaim; }

private:
  bool mayDispatch(TimePoint Now, const DispatchCondition &Condition) const;
  void enterDispatched();

  TimePoint m_Deadline;
  bool m_Idempotent;
  bool m_NeedsClaim;
  bool m_HoldsClaim = false;
  RequestState m_State = RequestState::Waiting;
  unsigned m_Dispatches = 0;
};

} // namespace mangodeck

#endif
