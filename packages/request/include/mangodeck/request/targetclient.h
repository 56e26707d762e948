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

/// A request on its way to one target.
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
  Completed,    ///< The whole answer was received and carries the right id.
  NotDelivered, ///< Proven by the transport: the target never got the request.
  Rejected,     ///< The target answered that it did not take the request.
  Broken,       ///< Delivered, or perhaps so, and no complete answer came.
  WrongAnswer,  ///< The answer carries another request's id.
  Cancelled,    ///< Ended by cancel().
};

/// Receives the answer of a target; called on the target client's thread.
class TargetAnswer {
public:
  virtual ~TargetAnswer() = default;
  virtual void onHead(int Status, std::span<const Header> Headers) = 0;
  virtual void onBody(std::string_view Bytes) = 0;
  /// Called once, last. \p Gone tells that the target's process is gone, as
  /// far as new connections show.
  virtual void onEnd(TargetEnd End, bool Gone) = 0;
  /// Called when a broken or silent stream goes on from its last byte on a
  /// new connection to the same target.
  virtual void onResumed() {}
  /// Bytes given to onBody() that were not passed on yet. The client reads no
  /// further from the target while there are too many.
  virtual std::size_t pendingBytes() const { return 0; }
};

/// Sends requests to targets. One call to dispatch() sends the request to the
/// target at most once; a stream may be resumed, never started again.
class TargetClient {
public:
  virtual ~TargetClient() = default;
  virtual void dispatch(TargetRequest Request,
                        std::shared_ptr<TargetAnswer> Answer) = 0;
  virtual void cancel(const RequestId &Id) = 0;
};

} // namespace mangodeck

#endif
