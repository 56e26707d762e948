#include "mangodeck/gateway/choosetarget.h"

#include "mangodeck/gateway/answerforecast.h"
#include "mangodeck/gateway/enginepace.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mangodeck {

namespace {

/// Gain from which on a faster engine would serve the request no better.
constexpr double SufficientGain = 0.97;
/// Classes of speed per factor of two; learned speeds differ by some percent
/// between equal engines.
constexpr double SpeedClassesPerDoubling = 2;
/// Requests beyond its slots that a target is sent. They start as soon as a
/// slot is free, whereas the daemons learn of a free slot only some hundred
/// milliseconds later.
constexpr std::uint32_t QueuedPerTarget = 1;
/// Nominal duration of a request to a service that is not an engine.
constexpr Duration NominalPlainTime = 20ms;

bool isExcluded(const TrackedTarget &Target,
                std::span<const TargetPtr> Excluded) {
  return std::any_of(
      Excluded.begin(), Excluded.end(), [&](const TargetPtr &Other) {
        return Other.get() == &Target || Other->Entry.Id == Target.Entry.Id;
      });
}

/// Requests that may be at a target at the same time.
std::uint32_t maxRunning(const TrackedTarget &Target) {
  return Target.isOnTrial() ? 1 : Target.Entry.Slots + QueuedPerTarget;
}

} // namespace

bool isOfVersion(const TrackedTarget &Target, VersionId Version) {
  return Version == NoVersion ||
         (Target.Version == Version && Target.isVersionCertain());
}

std::string_view obstacleToSend(const TrackedTarget &Target,
                                const TargetRequirements &Required,
                                TimePoint Now) {
  if (Target.Entry.Service != Required.Service)
    return "target of another service";
  if (Target.isLeaving())
    return "target leaves";
  if (!Target.isUsable(Now))
    return "target not usable";
  if (!isOfVersion(Target, Required.Version))
    return "target of another version";
  if (Required.AvoidedVersion != NoVersion &&
      Target.Version == Required.AvoidedVersion)
    return "target of an avoided version";
  if (Required.BeginsStream && Target.NewStreamsFrom > Now)
    return "version not settled";
  return isExcluded(Target, Required.Tried) ? "target tried before" : "";
}

Duration expectedTimeToFirstEvent(const TrackedTarget &Target,
                                  const RequestWork &Work) {
  if (!Work.IsEngine)
    return NominalPlainTime * (1 + Target.running());
  const auto NominalSeconds =
      toSeconds(nominalFirstTokenDelay()) +
      toSeconds(nominalPrefillTime(Work.PromptTokens)) +
      toSeconds(nominalPrefillTime(Target.prefillTokens()));
  return fromSeconds(NominalSeconds * Target.Slowdown);
}

Duration nominalTimeToFirstEvent(const RequestWork &Work) {
  return Work.IsEngine
             ? nominalFirstTokenDelay() + nominalPrefillTime(Work.PromptTokens)
             : NominalPlainTime;
}

namespace {

/// Order in which targets are chosen; the least one is best.
using Preference = std::tuple<bool, bool, bool, double, double>;

/// A target for a request, and how much it is preferred.
struct Candidate {
  ChosenTarget Chosen;
  Preference Order;
  double Gain = 1; ///< Of an engine; see AnswerForecast::gain().
};

AnswerNeeds needsOf(const TargetChoiceInput &Input) {
  return {Input.TimeToLatencyTarget, Input.TimeToDeadline, Input.GapTarget};
}

/// Whether the request may be sent to the target, apart from its load.
bool isEligible(const TrackedTarget &Target, const TargetChoiceInput &Input,
                TimePoint Now) {
  return Target.isUsable(Now) && !isExcluded(Target, Input.Excluded) &&
         isOfVersion(Target, Input.Version) &&
         (Input.AvoidedVersion == NoVersion ||
          Target.Version != Input.AvoidedVersion) &&
         !(Input.BeginsStream && Target.NewStreamsFrom > Now);
}

/// Engines of one class are about equally slow, so that requests are divided
/// among them by their load.
double speedClass(const TrackedTarget &Engine) {
  return std::round(SpeedClassesPerDoubling * std::log2(Engine.Slowdown));
}

Candidate assessEngine(const TargetPtr &Target, const TargetChoiceInput &Input,
                       bool IsRemote, TimePoint Now) {
  const auto Forecast =
      forecastAnswer(stateOf(*Target, Now), Input.Work, needsOf(Input));
  const double Gain = Forecast.gain();
  const bool IsSufficient = Gain >= SufficientGain;
  const bool IsInTime = Gain >= MinGainInTime;
  return {{Target, Forecast.TimeToFirstEvent, IsInTime},
          {!IsInTime, IsRemote, !IsSufficient,
           IsSufficient ? -speedClass(*Target) : -Gain,
           toSeconds(Forecast.TimeToFirstEvent) + Target->running() * 0.01},
          Gain};
}

Candidate assessPlain(const TargetPtr &Target, const TargetChoiceInput &Input,
                      bool IsRemote) {
  const auto Time = expectedTimeToFirstEvent(*Target, Input.Work);
  const bool IsInTime = Time <= Input.TimeToLatencyTarget;
  const double Load = static_cast<double>(Target->running()) /
                      static_cast<double>(std::max(1u, Target->Entry.Slots));
  return {{Target, Time, IsInTime}, {!IsInTime, IsRemote, false, Load, 0}};
}

} // namespace

std::optional<ChosenTarget> chooseTarget(std::span<const TargetPtr> Targets,
                                         const TargetChoiceInput &Input,
                                         TimePoint Now) {
  std::optional<Candidate> Best;
  for (const auto &Target : Targets) {
    // Step 1. Skip targets that must not be used or have no free slot.
    if (!isEligible(*Target, Input, Now) ||
        Target->running() >= maxRunning(*Target) ||
        Target->rateLimit().hasPermit(Now) == Input.NeedsPermit ||
        (Input.NeedsPermit && Target->RequestPermitAfter > Now) ||
        (Input.Work.IsEngine && !Input.LoadsAreExact && Target->Allowance == 0))
      continue;
    const bool IsRemote = Target->Entry.Domain != Input.OwnDomain;
    if (Input.RemoteDomainsOnly && !IsRemote)
      continue;

    // Step 2. Compare what is expected there with the best target so far.
    auto Current = Input.Work.IsEngine
                       ? assessEngine(Target, Input, IsRemote, Now)
                       : assessPlain(Target, Input, IsRemote);
    if (Input.Work.IsEngine && Current.Gain < Input.LeastGain)
      continue;
    if (!Best || Current.Order < Best->Order)
      Best = std::move(Current);
  }
  return Best ? std::optional(std::move(Best->Chosen)) : std::nullopt;
}

bool canBeInTime(std::span<const TargetPtr> Targets,
                 const TargetChoiceInput &Input, TimePoint Now) {
  return std::any_of(Targets.begin(), Targets.end(), [&](const auto &Target) {
    return isEligible(*Target, Input, Now) &&
           forecastAnswer(idleStateOf(*Target), Input.Work, needsOf(Input))
                   .gain() >= MinGainInTime;
  });
}

std::uint32_t drawAllowance(const TrackedTarget &Target,
                            std::size_t CompetingDaemons, double Draw) {
  const auto Limit = maxRunning(Target);
  const auto Free = Limit > Target.running() ? Limit - Target.running() : 0;
  return static_cast<std::uint32_t>(
      static_cast<double>(Free) / static_cast<double>(CompetingDaemons) + Draw);
}

std::optional<Duration> commonPause(std::span<const TargetPtr> Targets,
                                    VersionId Version, TimePoint Now) {
  std::optional<Duration> Shortest;
  for (const auto &Target : Targets) {
    if (Target->isLeaving() || Target->MarkedDown || Target->IsBarred ||
        !isOfVersion(*Target, Version))
      continue;
    if (!Target->isPaused(Now))
      return std::nullopt;
    const Duration Left = Target->pausedUntil() - Now;
    Shortest = std::min(Shortest.value_or(Left), Left);
  }
  return Shortest;
}

TargetCapacity capacityOf(std::span<const TargetPtr> Targets, TimePoint Now,
                          VersionId Version) {
  TargetCapacity Result;
  for (const auto &Target : Targets) {
    if (!isOfVersion(*Target, Version) || !Target->isUsable(Now) ||
        !Target->rateLimit().hasPermit(Now))
      continue;
    ++Result.UsableTargets;
    const auto Limit = maxRunning(*Target);
    Result.Slots += Limit;
    if (Target->running() < Limit)
      Result.FreeSlots += Limit - Target->running();
  }
  return Result;
}

} // namespace mangodeck
