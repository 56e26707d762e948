#ifndef MANGODECK_REQUEST_TARGETCLIENT_H
#define MANGODECK_REQUEST_TARGETCLIENT_H

#include "mangodeck/common/error.h"
#include "mangodeck/common/ids.h"
#include "mangodeck/request/callerexchange.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangodeck {

/// A request to be sent to one target.
struct TargetRequest {
  RequestId Id;
  TargetName Target;
  std::string Address; ///< IP:PORT.
  std::string Method;
  std::string Path;
  std::vector<Header> Headers;
  std::string Body;
  bool Streaming = false; ///< The answer is an SSE stream that can be resumed.
};

/// How an exchange with a target ended.
enum class TargetEnd : std::uint8_t {
  Completed,    ///< The complete answer to this request was received.
  NotDelivered, ///< Proven by the transport: the target never got the request.
  Rejected,     ///< The target answered that it did not accept the request.
  Broken,       ///< Possibly delivered, but no complete answer was received.
  WrongAnswer,  ///< The answer carries another request's id.
  Cancelled,    ///< Ended by cancel().
};

/// Receives the answer of a target; called on the target client's thread.
class TargetAnswer {
public:
  virtual ~TargetAnswer() = default;
  virtual void onHead(int Status, std::span<const Header> Headers) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  /// Called once, after all other calls. \p TargetGone: a new connection to
  /// the target was refused or was answered by another incarnation.
  virtual void onEnd(TargetEnd End, bool TargetGone) = 0;
  /// Called when a stream whose connection broke or stopped sending continues
  /// after its last received byte on a new connection to the same target.
  virtual void onResumed() {}
  /// Bytes passed to onBody() and not yet forwarded. The client stops reading
  /// from the target while they exceed its limit.
  virtual std::size_t pendingBytes() const { return 0; }
};

/// Sends requests to targets. One call to dispatch() sends the request to the
/// target at most once; a broken stream may be resumed, but is never restarted.
class TargetClient {
public:
  virtual ~TargetClient() = default;
  virtual void dispatch(TargetRequest Request,
                        std::shared_ptr<TargetAnswer> Answer) = 0;
  virtual void cancel(const RequestId &Id) = 0;
};

} // namespace mangodeck

#endif
