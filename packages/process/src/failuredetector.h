#ifndef MANGODECK_PROCESS_FAILUREDETECTOR_H
#define MANGODECK_PROCESS_FAILUREDETECTOR_H

#include "mangodeck/common/random.h"
#include "mangodeck/common/units.h"
#include "membertable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangodeck {

/// Probing rounds: which member is probed, through whom again, and when it
/// has failed to answer.
class FailureDetector {
public:
  /// What is due at a point in time.
  struct Step {
    std::optional<VmName> Failed; ///< Did not answer during its round.
    std::optional<VmName> Probe;  ///< To be probed directly.
    std::uint32_t Sequence = 0;   ///< Of the probe.
    std::vector<VmName> Helpers;  ///< To be asked to probe it as well.
  };

  /// The member that asked for a probe, and the number it gave the probe.
  struct Asker {
    std::string Address;
    std::uint32_t Sequence = 0;
  };

  FailureDetector(const MemberTable &Members, RandomSource &Random);

  Step advance(TimePoint Now);

  /// A probe was answered.
  void onAck(std::uint32_t Sequence);

  /// Remembers to pass the answer of a probe made for another member on.
  /// Returns the sequence number for that probe.
  std::uint32_t addRelay(std::string_view Address, std::uint32_t Sequence,
                         TimePoint Now);

  /// The member that asked for the probe \p Sequence, once.
  std::optional<Asker> takeRelay(std::uint32_t Sequence);

  /// A sequence number for a probe outside the rounds.
  std::uint32_t nextSequence() { return ++m_Sequence; }

  /// Forgets the running round without a verdict, after a pause.
  void restart(TimePoint Now);

private:
  struct Relay {
    Asker From;
    TimePoint Expiry;
  };

  std::optional<VmName> nextTarget();
  std::vector<VmName> selectHelpers(const VmName &Target);

  const MemberTable &m_Members;
  RandomSource &m_Random;
  std::uint32_t m_Sequence;
  std::vector<VmName> m_Order;
  std::optional<VmName> m_Target;
  std::uint32_t m_TargetSequence = 0;
  bool m_Acked = false;
  int m_Retries = 0;
  std::optional<TimePoint> m_RoundStart;
  std::map<std::uint32_t, Relay> m_Relays;
};

} // namespace mangodeck

#endif
