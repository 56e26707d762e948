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

/// Runs the probing rounds of SWIM: selects the member to be probed in each
/// round and the helpers that probe it as well when it does not answer, and
/// reports it as failed when the round ends without an acknowledgement.
class FailureDetector {
public:
  /// What the caller must do at a point in time.
  struct DueActions {
    std::optional<VmName> Failed; ///< Did not answer during its round.
    std::optional<VmName> Probe;  ///< Member to be probed directly.
    std::uint32_t Sequence = 0;   ///< Sequence number of that probe.
    std::vector<VmName> Helpers;  ///< Members to be asked to probe it as well.
  };

  /// A member that asked this daemon for an indirect probe, and the sequence
  /// number that it gave to the probe.
  struct ProbeRequester {
    std::string Address;
    std::uint32_t Sequence = 0;
  };

  FailureDetector(const MemberTable &Members, RandomSource &Random);

  DueActions advance(TimePoint Now);

  /// The probe with the number \p Sequence was acknowledged.
  void onAck(std::uint32_t Sequence);

  /// Records that the acknowledgement of a probe made for the member at \p
  /// Address must be relayed to it. Returns the sequence number for that probe;
  /// \p Sequence is the requester's own number.
  std::uint32_t addRelay(std::string_view Address, std::uint32_t Sequence,
                         TimePoint Now);

  /// Removes and returns the requester of the probe \p Sequence, if any.
  std::optional<ProbeRequester> takeRelay(std::uint32_t Sequence);

  /// A new sequence number; also for probes outside the rounds.
  std::uint32_t nextSequence() { return ++m_Sequence; }

  /// Ends the current round without a result and begins a new one at \p Now.
  /// Called after a pause of the process.
  void restartRound(TimePoint Now);

private:
  struct Relay {
    ProbeRequester Requester;
    TimePoint Expiry;
  };

  std::optional<VmName> selectProbedVm();
  std::vector<VmName> selectHelpers(const VmName &ProbedVm);

  const MemberTable &m_Members;
  RandomSource &m_Random;
  std::uint32_t m_Sequence;
  std::vector<VmName> m_ProbeOrder;
  std::optional<VmName> m_ProbedVm;
  std::uint32_t m_ProbeSequence = 0;
  bool m_Acked = false;
  int m_Retries = 0;
  std::optional<TimePoint> m_RoundStart;
  std::map<std::uint32_t, Relay> m_Relays;
};

} // namespace mangodeck

#endif
