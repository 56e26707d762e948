#ifndef MANGODECK_PROCESS_MEMBER_H
#define MANGODECK_PROCESS_MEMBER_H

#include "mangodeck/common/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mangodeck {

/// What is believed of a member, in order of precedence at equal versions.
enum class MemberState : std::uint8_t {
  Alive,
  Suspect, ///< Did not answer probes; may still refute.
  Dead,    ///< Did not refute in time; may return with a higher refutation.
  Left,    ///< Ended on its own account; final for this start.
};

std::string_view toString(MemberState State);

/// One daemon as known to another one, and the rumor that spreads it.
struct Member {
  VmName Vm;
  std::string Address; ///< IP:PORT of its peer listener.
  FailureDomain Domain;
  MemberState State = MemberState::Alive;
  /// Its graceful shutdown has begun; sticky for this start.
  bool Leaving = false;
  Incarnation Started = 0;
  /// Raised by the member itself to refute a suspicion; restarts at 0.
  std::uint32_t Refutation = 0;

  bool operator==(const Member &) const = default;

  /// Reachable as far as known.
  bool isLive() const {
    return State == MemberState::Alive || State == MemberState::Suspect;
  }

  /// May own dispatch groups and keys.
  bool isEligible() const { return isLive() && !Leaving; }
};

} // namespace mangodeck

#endif
