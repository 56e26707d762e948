#ifndef MANGODECK_PROCESS_ANSWERRELAY_H
#define MANGODECK_PROCESS_ANSWERRELAY_H

#include "mangodeck/process/keyowner.h"

#include <map>
#include <string>
#include <vector>

namespace mangodeck {

/// Sends the answers of keyed requests that run at this daemon to the followers
/// of these requests: daemons whose callers sent a request with the same key. A
/// follower that joins late first gets the part of the answer sent so far.
class AnswerRelay {
public:
  /// Buffers up to \p MaxBufferedBytes of each answer for late followers.
  explicit AnswerRelay(std::size_t MaxBufferedBytes = 1 << 20)
      : m_MaxBufferedBytes(MaxBufferedBytes) {}

  /// Registers a keyed request that this daemon runs, so that other daemons can
  /// follow its answer.
  void open(const RequestId &Request);

  /// Sends the head of the answer to \p Request to its followers.
  void begin(const RequestId &Request, int Status, std::string ContentType,
             PeerActions &Out);
  /// Sends the next \p Bytes of the answer to the followers.
  void append(const RequestId &Request, std::string_view Bytes,
              PeerActions &Out);

  /// Ends the answer with the run state that was reported to the caller, and
  /// removes the request.
  void end(const RequestId &Request, Run RunState, PeerActions &Out);

  /// Adds a follower on \p From. If the request does not run here, or the
  /// answer is longer than the buffer, the follower gets a single last part
  /// with status 0, which means that it must run its request by itself.
  void follow(const VmName &From, const FollowAnswer &Message,
              PeerActions &Out);

  /// Removes the followers on a daemon that has left or failed.
  void removeFollowersOn(const VmName &Vm);

private:
  struct Follower {
    VmName Vm;
    RequestId Request;
  };
  struct Answer {
    int Status = 0;
    std::string ContentType;
    std::string Buffered; ///< The answer so far; empty if it was too long.
    std::uint64_t TotalBytes = 0; ///< Size of the answer so far.
    std::vector<Follower> Followers;
  };

  std::size_t m_MaxBufferedBytes;
  std::map<RequestId, Answer> m_Answers;
};

} // namespace mangodeck

#endif
