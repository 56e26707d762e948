#ifndef MANGODECK_GATEWAY_INCARNATIONTRACKER_H
#define MANGODECK_GATEWAY_INCARNATIONTRACKER_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace mangodeck {

/// Identifies one process of a daemon: a random number that it draws at its
/// start. Two ids can be compared for equality only; they have no order.
using IncarnationId = std::uint64_t;

/// The id in messages of daemons of earlier versions, which state none.
constexpr IncarnationId UnknownIncarnation = 0;

/// What a message tells about the process that sent it.
enum class IncarnationStanding : std::uint8_t {
  Current,     ///< It is the process that runs on its VM.
  Started,     ///< The same from this message on.
  Former,      ///< Another process has followed it; its message was delayed.
  Unconfirmed, ///< A process that may follow the current one, or a former one.
};

/// Follows, for each VM, which process runs there, from the messages that
/// arrive. A time of day or a counter cannot order the processes of a VM: the
/// clock may step, the VM has no disk, and the store may be away at the start.
///
/// Only one process runs on a VM at a time, and it sends messages at short
/// intervals. So a process that is not known is the next one only if the
/// current one has been silent for SuccessionSilence; until then its messages
/// are those of an unconfirmed process. A process that another one has followed
/// is remembered as a former one, whose delayed messages do not count. It is
/// followed again after ReadmissionSilence, which repairs a wrong decision:
/// that takes a datagram that was delayed for longer than its VM took to
/// restart. Costs an entry for each VM.
class IncarnationTracker {
public:
  /// Records a message of \p Process on \p Vm.
  IncarnationStanding observe(const std::string &Vm, IncarnationId Incarnation,
                              TimePoint Now);
  /// The process that runs on \p Vm; std::nullopt if no message of the VM has
  /// arrived.
  std::optional<IncarnationId> current(const std::string &Vm) const;

private:
  struct Machine {
    IncarnationId Current = UnknownIncarnation;
    TimePoint LastMessageAt{};
    std::deque<IncarnationId> Former; ///< The last MaxFormer, oldest first.
  };
  std::map<std::string, Machine> m_Machines; ///< By VM name.
};

} // namespace mangodeck

#endif
