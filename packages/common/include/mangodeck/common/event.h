#ifndef MANGODECK_COMMON_EVENT_H
#define MANGODECK_COMMON_EVENT_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <string>

namespace mangodeck {

/// Kinds of events in the time line that is merged from all processes.
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

/// One entry of the time line, before it gets a time stamp.
struct Event {
  EventKind Kind;
  RequestId Request;   ///< All zero if the event concerns no request.
  std::string Subject; ///< Target, member, group or revision concerned.
  std::string Detail;  ///< Short free text.
};

/// Receives events; implemented by the time line's ring buffer. Thread-safe.
class EventSink {
public:
  virtual ~EventSink() = default;
  virtual void record(Event Entry) = 0;
};

} // namespace mangodeck

#endif
