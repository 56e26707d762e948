#ifndef MANGODECK_REQUEST_LIFECYCLE_H
#define MANGODECK_REQUEST_LIFECYCLE_H

#include "mangodeck/request/outcome.h"
#include "mangodeck/request/ticket.h"

#include <optional>

namespace mangodeck {

/// Where a request stands at the daemon that accepted it.
enum class RequestState : std::uint8_t {
  Waiting,    ///< For a grant of its dispatch group.
  Claiming,   ///< Granted; its claim is being recorded in the store.
  Dispatched, ///< Sent to a target.
  Ended,
};

/// What is known of a granted target and a request at the moment of dispatch.
struct DispatchCondition {
  bool TargetUsable = true; ///< In the configuration, and not leaving.
  bool Quarantined = false;
};

/// What to do with a grant.
enum class GrantUse : std::uint8_t { Dispatch, Claim, Return };

struct GrantDecision {
  GrantUse Use = GrantUse::Return;
  ReturnReason Reason = ReturnReason::Duplicate;
};

/// How the attempt to record a claim ended.
enum class ClaimResult : std::uint8_t {
  Won,         ///< This request holds the key.
  Held,        ///< Another request holds it, or held it; that may have run.
  Unreachable, ///< The store gave no certain answer.
};

/// What to do once the result of a claim is known.
enum class ClaimDecision : std::uint8_t {
  Dispatch,
  WaitAgain, ///< Claim held, grant returned; wait for the next grant.
  Release,   ///< Request has ended meanwhile: undo the claim.
  AnswerFromRecord,
  Refuse,
};

/// What to do when the caller closed its connection.
enum class HangUpDecision : std::uint8_t {
  Withdraw,
  Cancel,
  LetFinish,
  Ignore
};

/// The state machine of one request. Only the daemon that accepted a request
/// has one, and only its transition to Dispatched lets the request be sent to
/// a target, so nothing that other processes send can dispatch it twice.
class RequestLifecycle {
public:
  /// \p NeedsClaim: a keyed request that may not be repeated.
  RequestLifecycle(TimePoint Deadline, bool Idempotent, bool NeedsClaim)
      : m_Deadline(Deadline), m_Idempotent(Idempotent),
        m_NeedsClaim(NeedsClaim) {}

  RequestState state() const { return m_State; }

  /// Decides on a grant. Dispatch means that the transition was taken and the
  /// caller of this function must send the request now.
  GrantDecision onGrant(TimePoint Now, const DispatchCondition &Condition);

  /// Decides on the result of a claim that onGrant() asked for.
  ClaimDecision onClaim(ClaimResult Result, TimePoint Now,
                        const DispatchCondition &Condition);

  /// The group or this daemon gives the request up. False if it is too late:
  /// the request was dispatched or has ended.
  bool onRefusal();

  /// The deadline has come; as onRefusal().
  bool onExpiry(TimePoint Now);

  HangUpDecision onHangUp();

  /// The transport proved that the target never got the request. True if it
  /// waits again; the dispatch does not count.
  bool onNotDelivered();

  /// The dispatched request has ended; false if it had ended before.
  bool onEnd();

  /// Dispatches that may have reached a target: 0 or 1.
  unsigned dispatches() const { return m_Dispatches; }

  /// Whether a claim is recorded for this request.
  bool holdsClaim() const { return m_HoldsClaim; }

private:
  bool mayDispatch(TimePoint Now, const DispatchCondition &Condition) const;
  void takeDispatchTransition();

  TimePoint m_Deadline;
  bool m_Idempotent;
  bool m_NeedsClaim;
  bool m_HoldsClaim = false;
  RequestState m_State = RequestState::Waiting;
  unsigned m_Dispatches = 0;
};

} // namespace mangodeck

#endif
