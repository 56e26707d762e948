#ifndef MANGODECK_COMMON_EVENT_H
#define MANGODECK_COMMON_EVENT_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <string>

namespace mangodeck {

/// What happened, for the time line over all processes.
enum class EventKind : std::uint8_t {
  RequestArrived,
  TicketSubmitted,
  TicketQueued,
  TicketGranted,
  GrantReturned,
  RequestDispatched,
  FirstByte,
  StreamResumed,
  RequestCompleted,
  RequestRefused,
  RequestFailed,
  RequestUnknown,
  CallerHungUp,
  MemberAlive,
  MemberSuspect,
  MemberDead,
  OwnerChanged,
  TargetLeaving,
  TargetDown,
  TargetUp,
  RevisionInForce,
  StoreDown,
  StoreUp,
  ConnectionReplaced,
  ClaimCreated,
  DrainStarted,
  DrainFinished,
};

/// One entry of the time line, before it is stamped.
struct Event {
  EventKind Kind;
  RequestId Request;   ///< All zero when it belongs to no request.
  std::string Subject; ///< Target, member, group or revision concerned.
  std::string Detail;  ///< Free text, short.
};

/// Receives events; implemented by the time line's ring. Safe from any thread.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void record(Event Entry) = 0;
};

} // namespace mangodeck

#endif
