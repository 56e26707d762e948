#ifndef MANGODECK_GATEWAY_ROLLOUTRAMP_H
#define MANGODECK_GATEWAY_ROLLOUTRAMP_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/rolloutorder.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangodeck {

/// What a bad version may receive during a roll-out, over all daemons.
struct RolloutLimits {
  /// Largest share of the service's requests between the order and its time
  /// limit, and requests beyond it.
  double ExposureShare = 0.1;
  double ExposureSlack = 50;
  /// Time after the 50th bad answer of a version within which all daemons stop
  /// sending to it.
  Duration RollbackDeadline = 5s;
  /// A daemon that has been silent for this long is out of contact.
  Duration ContactTime = 4s;
};

/// When the steps of a rollout are due, after its order. The last moments are
/// needed for the writes, for the acknowledgements of all daemons, and for
/// what the old version has to end; the trial has the rest.
struct RolloutSchedule {
  Duration ConfirmAt{0};
  Duration ConfirmTime{0}; ///< For which the larger share is sent.
  Duration SwitchAt{0};
  Duration FinalAt{0}; ///< Requests at the old version are given up.
  Duration WriteBy{0}; ///< The verdict is to be written.
  Duration Limit{0};

  /// \p HasStreams: requests of the service last for seconds, and need time to
  /// end at the old version.
  static RolloutSchedule of(Duration TimeLimit, bool HasStreams);
};

/// The share of the service's requests that goes to the new version,
/// \p SinceStep after the step was taken. The confirmation ends with the share
/// of the trial, until its answers have been counted.
double shareOf(RolloutStep Step, Duration SinceStep,
               const RolloutSchedule &Schedule, const RolloutLimits &Limits);

/// Number of a failure domain's new targets that the trial uses: as many as the
/// share is of the others there, so that they are loaded alike.
std::size_t trialTargets(double Share, std::size_t New, std::size_t Others);

/// Part of each pulse period in which the share is sent: less than 1 if the
/// targets of the trial would have less load than the others.
double pulseDuty(double Share, std::size_t Used, std::size_t Others);
inline constexpr Duration PulsePeriod = 800ms;

/// Draws the requests that go to the new version. Each daemon keeps the share
/// by itself, so that the sum over all daemons keeps it without a message, also
/// while messages are lost, daemons restart or a failure domain is cut off:
/// the number of its sends never exceeds share x requests + a phase that the
/// process draws from [0, 1).
///
/// Owner: the daemon. A successor learns nothing and begins at zero.
class ShareCounter {
public:
  explicit ShareCounter(double Phase) : m_Phase(Phase) {}
  /// A request reached the service while \p Share was in force.
  void recordRequest(double Share);
  /// Whether one more request may go to the new version.
  bool mayTake() const;
  void take() { ++m_Taken; }
  /// A request that was taken goes elsewhere.
  void giveBack() { m_Taken -= m_Taken > 0 ? 1 : 0; }
  std::uint64_t requests() const { return m_Requests; }
  std::uint64_t taken() const { return m_Taken; }

private:
  double m_Phase;
  double m_Earned = 0;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Taken = 0;
};

/// What the next step of a rollout depends on.
struct RampInput {
  RolloutStep Step = RolloutStep::Waiting;
  Duration Elapsed{0};     ///< Since the order.
  Duration SinceStep{0};   ///< Since the step was taken.
  std::size_t Targets = 0; ///< Usable ones of the new version.
  std::uint32_t Slots = 0; ///< Of these.
  std::size_t OtherTargets = 0;
  std::uint32_t OtherSlots = 0;
  double LogRatio = 0; ///< VersionJudgement::LogRatio.
  bool IsBad = false;
  bool IsDrained = false; ///< In all failure domains in contact.
};

/// What to do with a rollout now.
struct RampDecision {
  enum class Kind : std::uint8_t { Keep, Advance, Complete, RollBack };
  Kind Action = Kind::Keep;
  RolloutStep Step = RolloutStep::Waiting; ///< If Advance.
  std::string_view Reason;
};

/// Decides on the next step, without I/O and state.
RampDecision decideRamp(const RolloutSchedule &Schedule,
                        const RampInput &Input);

} // namespace mangodeck

#endif
