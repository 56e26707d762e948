#ifndef MANGODECK_PROCESS_MEMBER_H
#define MANGODECK_PROCESS_MEMBER_H

#include "mangodeck/common/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mangodeck {

/// State of a member in one daemon's table. Of two rumors with the same
/// incarnation and refutation number, the one with the later state in this
/// order wins.
enum class MemberState : std::uint8_t {
  Alive,
  Suspect, ///< Did not answer probes; may still refute the suspicion.
  Dead,    ///< Did not refute the suspicion in time; a higher refutation
           ///< number makes it alive again.
  Left,    ///< Shut down by itself; final for this incarnation.
};

std::string_view toString(MemberState State);

/// What one daemon knows about a member. Also the content of a rumor, the
/// gossip message that spreads this knowledge.
struct Member {
  VmName Vm;
  std::string Address; ///< IP:PORT of its peer listener.
  FailureDomain Domain;
  MemberState State = MemberState::Alive;
  /// The member's graceful shutdown has begun. Stays set until the member's
  /// next incarnation.
  bool Leaving = false;
  Incarnation Started = 0; ///< Incarnation of the daemon process.
  /// The member raises this number to refute a rumor that calls it suspect or
  /// dead. Begins at 0 in each incarnation.
  std::uint32_t RefutationNumber = 0;

  bool operator==(const Member &) const = default;

  /// Whether the member is taken to be running: neither dead nor left.
  bool isLive() const {
    return State == MemberState::Alive || State == MemberState::Suspect;
  }

  /// Whether the member may own dispatch groups and keys.
  bool isEligible() const { return isLive() && !Leaving; }
};

} // namespace mangodeck

#endif
