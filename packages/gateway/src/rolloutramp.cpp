#include "mangodeck/gateway/rolloutramp.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

/// Share of ExposureShare that the trial uses. The rest is for the
/// confirmation.
constexpr double TrialPart = 0.9;
/// Multiple of ExposureShare in the confirmation, which lasts a tenth of the
/// time limit. With the trial that is less than ExposureShare of all requests
/// if the rest of the time brings at least half as many as the time before.
constexpr double ConfirmFactor = 4;
/// Time for answers of the confirmation to be counted by all delegates: two
/// periods of messages, and the answers.
constexpr Duration SettleTime = 600ms;
/// Smallest part of a period in which a share is sent.
constexpr double MinPulseDuty = 0.1;
/// Part of the other versions' slots that the new one must have.
constexpr double MinSlotPart = 0.5;
/// A version for which the evidence is this strong is not switched to before
/// more answers have come, as long as the time limit allows, and one with
/// DoubtfulLogRatio not at all.
constexpr double SuspectLogRatio = 2.5;
constexpr double DoubtfulLogRatio = 5.5;
/// Time for requests to end at the old version; a plain one takes some
/// milliseconds, and the switch reaches all daemons within half a second.
constexpr Duration MinDrainTime = 1s;
/// Time from the switch on for which the version is watched before it is
/// completed.
constexpr Duration MinSwitchedTime = 800ms;
/// Time beyond twice the time limit for which an order is still carried out.
constexpr Duration MaxDelay = 10s;
/// A version without targets is given up this long before the verdict is due.
constexpr Duration MissingTargetsMargin = 100ms;

Duration part(Duration Whole, double Share, Duration Min, Duration Max) {
  return std::clamp<Duration>(fromSeconds(Share * toSeconds(Whole)), Min, Max);
}

RampDecision advance(RolloutStep Step, std::string_view Reason) {
  return {RampDecision::Kind::Advance, Step, Reason};
}

RampDecision rollBack(std::string_view Reason) {
  return {RampDecision::Kind::RollBack, RolloutStep::Waiting, Reason};
}

} // namespace

RolloutSchedule RolloutSchedule::of(Duration TimeLimit, bool HasStreams) {
  RolloutSchedule Result;
  Result.Limit = TimeLimit;
  Result.WriteBy = TimeLimit - part(TimeLimit, 0.1, 1s, 2500ms);
  Result.FinalAt = Result.WriteBy - part(TimeLimit, 0.1, 1s, 3s);
  Result.SwitchAt =
      Result.FinalAt -
      (HasStreams ? part(TimeLimit, 0.2, MinDrainTime, 15s) : MinDrainTime);
  Result.ConfirmTime = part(TimeLimit, 0.1, 500ms, 2s);
  Result.ConfirmAt = std::max<Duration>(
      Duration{0}, Result.SwitchAt - Result.ConfirmTime - SettleTime);
  return Result;
}

double shareOf(RolloutStep Step, Duration SinceStep,
               const RolloutSchedule &Schedule, const RolloutLimits &Limits) {
  switch (Step) {
  case RolloutStep::Waiting:
    return 0;
  case RolloutStep::Trial:
    return TrialPart * Limits.ExposureShare;
  case RolloutStep::Confirm:
    return SinceStep < Schedule.ConfirmTime
               ? std::min(1.0, ConfirmFactor * Limits.ExposureShare)
               : TrialPart * Limits.ExposureShare;
  case RolloutStep::Switched:
  case RolloutStep::Final:
    break;
  }
  return 1;
}

std::size_t trialTargets(double Share, std::size_t New, std::size_t Others) {
  const auto Wanted = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Others)));
  return std::min(New, std::max<std::size_t>(1, Wanted));
}

double pulseDuty(double Share, std::size_t Used, std::size_t Others) {
  if (Used == 0)
    return 1;
  return std::clamp(Share * static_cast<double>(Others) /
                        static_cast<double>(Used),
                    MinPulseDuty, 1.0);
}

void ShareCounter::recordRequest(double Share) {
  ++m_Requests;
  m_Earned += Share;
}

bool ShareCounter::mayTake() const {
  return static_cast<double>(m_Taken + 1) <= m_Earned + m_Phase;
}

RampDecision decideRamp(const RolloutSchedule &Schedule,
                        const RampInput &Input) {
  // Step 1. A bad version is rolled back at any time.
  if (Input.IsBad)
    return rollBack("judged bad");

  // Step 2. A version that alone runs needs no rollout.
  if (Input.OtherTargets == 0 && Input.Targets > 0 && Input.IsDrained &&
      Input.Step < RolloutStep::Switched)
    return {RampDecision::Kind::Complete, Input.Step, "runs alone"};

  // Step 3. An order that the fleet could not carry out for long, since the
  // store was away, is given up.
  if (Input.Elapsed > 2 * Schedule.Limit + MaxDelay &&
      Input.Step < RolloutStep::Switched)
    return rollBack("time limit passed long ago");

  // Step 4. Without targets the version cannot take over.
  const bool IsLate = Input.Elapsed >= Schedule.WriteBy - MissingTargetsMargin;
  if (Input.Targets == 0)
    return IsLate ? rollBack("no target of the version") : RampDecision{};

  switch (Input.Step) {
  case RolloutStep::Waiting:
    return advance(RolloutStep::Trial, "targets are ready");
  case RolloutStep::Trial:
    // Step 5. A larger share only for a version that has given no cause for
    // doubt, until it has to be switched to.
    if (Input.Elapsed >= Schedule.ConfirmAt &&
        (Input.LogRatio < SuspectLogRatio ||
         Input.Elapsed >= Schedule.SwitchAt))
      return advance(RolloutStep::Confirm, "trial passed");
    return {};
  case RolloutStep::Confirm: {
    if (Input.Elapsed < Schedule.SwitchAt ||
        Input.SinceStep < Schedule.ConfirmTime + SettleTime)
      return {};
    // Step 6. Switch if the evidence allows it and the version has slots for
    // the traffic.
    const bool IsLastMoment =
        Input.Elapsed >= Schedule.FinalAt - MinSwitchedTime;
    if (Input.LogRatio >= DoubtfulLogRatio)
      return IsLastMoment ? rollBack("doubtful when the switch was due")
                          : RampDecision{};
    if (Input.LogRatio >= SuspectLogRatio && !IsLastMoment)
      return {};
    if (static_cast<double>(Input.Slots) <
        MinSlotPart * static_cast<double>(Input.OtherSlots))
      return IsLate ? rollBack("too few slots") : RampDecision{};
    return advance(RolloutStep::Switched, "confirmed");
  }
  case RolloutStep::Switched:
    // Step 7. Close the old version once nothing runs there, or when the time
    // is over; then nothing can reach it any more.
    if (Input.SinceStep < MinSwitchedTime)
      return {};
    if (Input.IsDrained)
      return advance(RolloutStep::Final, "drained");
    if (Input.Elapsed >= Schedule.FinalAt)
      return advance(RolloutStep::Final, "time to drain is over");
    return {};
  case RolloutStep::Final:
    if (Input.IsDrained)
      return {RampDecision::Kind::Complete, Input.Step, "drained"};
    return {};
  }
  return {};
}

} // namespace mangodeck
