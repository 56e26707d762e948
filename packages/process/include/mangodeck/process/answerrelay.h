#ifndef MANGODECK_PROCESS_ANSWERRELAY_H
#define MANGODECK_PROCESS_ANSWERRELAY_H

#include "mangodeck/process/keyowner.h"

#include <map>
#include <string>
#include <vector>

namespace mangodeck {

/// Passes the answers of keyed requests that run here to the daemons that
/// follow them, from the first byte on, however late they join.
class AnswerRelay {
public:
  /// Keeps at most \p MaxBytes of each answer for followers that join late.
  explicit AnswerRelay(std::size_t MaxBytes = 1 << 20) : m_MaxBytes(MaxBytes) {}

  /// A keyed request is this daemon's own to run; it may be followed.
  void open(const RequestId &Held);

  /// Its answer begins.
  void begin(const RequestId &Held, int Status, std::string ContentType,
             PeerActions &Out);
  void append(const RequestId &Held, std::string_view Bytes, PeerActions &Out);

  /// It ended; \p RunState is what its caller was told. Forgets it.
  void end(const RequestId &Held, Run RunState, PeerActions &Out);

  /// Adds a follower. One whose request is not held here, or whose answer was
  /// too long to keep from its start, gets a single last part with status 0
  /// and goes on alone.
  void follow(const VmName &From, const FollowAnswer &Message,
              PeerActions &Out);

  void removeFollowersOn(const VmName &Vm);

private:
  struct Follower {
    VmName Vm;
    RequestId Request;
  };
  struct Answer {
    int Status = 0;
    std::string ContentType;
    std::string Bytes;
    std::uint64_t Length = 0; ///< Of the whole answer so far.
    std::vector<Follower> Followers;
  };

  std::size_t m_MaxBytes;
  std::map<RequestId, Answer> m_Answers;
};

} // namespace mangodeck

#endif
