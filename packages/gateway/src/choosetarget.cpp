#include "mangodeck/gateway/choosetarget.h"

#include "mangodeck/gateway/enginepace.h"

#include <algorithm>
#include <tuple>

namespace mangodeck {

namespace {

/// Largest share of the gap target for which prefills may delay the next event
/// of the other streams at the engine.
constexpr double MaxPrefillShareOfGap = 0.6;
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

/// Whether the prefill of the prompt, together with the prefills in progress,
/// would delay the events of other streams at the target for more than
/// MaxPrefillShareOfGap of the gap target.
bool stallsOtherStreams(const TrackedTarget &Target,
                        const TargetChoiceInput &Input) {
  if (Input.GapTarget <= Duration{0} || Target.running() == 0)
    return false;
  const auto PrefillSeconds =
      toSeconds(nominalPrefillTime(Target.prefillTokens())) +
      toSeconds(nominalPrefillTime(Input.Work.PromptTokens));
  return PrefillSeconds * Target.Slowdown >
         MaxPrefillShareOfGap * toSeconds(Input.GapTarget);
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

Duration expectedTotalTime(const TrackedTarget &Target,
                           const RequestWork &Work) {
  const auto DecodeSeconds = toSeconds(nominalStepTime(Target.running())) *
                             static_cast<double>(Work.OutputTokens) *
                             Target.Slowdown;
  return expectedTimeToFirstEvent(Target, Work) + fromSeconds(DecodeSeconds);
}

std::optional<ChosenTarget> chooseTarget(std::span<const TargetPtr> Targets,
                                         const TargetChoiceInput &Input,
                                         TimePoint Now) {
  using Preference = std::tuple<bool, bool, bool, double>;
  std::optional<ChosenTarget> Best;
  Preference BestPreference{};
  for (const auto &Target : Targets) {
    // Step 1. Skip targets that must not be used or have no free slot.
    if (!Target->isUsable(Now) || isExcluded(*Target, Input.Excluded) ||
        !isOfVersion(*Target, Input.Version) ||
        (Input.AvoidedVersion != NoVersion &&
         Target->Version == Input.AvoidedVersion) ||
        (Input.BeginsStream && Target->NewStreamsFrom > Now) ||
        Target->running() >= maxRunning(*Target) ||
        Target->rateLimit().hasPermit(Now) == Input.NeedsPermit ||
        (Input.NeedsPermit && Target->RequestPermitAfter > Now) ||
        (Input.Work.IsEngine && !Input.LoadsAreExact && Target->Allowance == 0))
      continue;
    const bool IsRemote = Target->Entry.Domain != Input.OwnDomain;
    if (Input.RemoteDomainsOnly && !IsRemote)
      continue;

    // Step 2. Prefer targets that meet the latency target, then those where no
    // other stream stalls, then those of the own failure domain, then the
    // fastest engine or the least loaded plain target.
    const auto TimeToFirstEvent = expectedTimeToFirstEvent(*Target, Input.Work);
    const bool MeetsDeadline =
        !Input.Work.IsEngine ||
        expectedTotalTime(*Target, Input.Work) <= Input.TimeToDeadline;
    const bool MeetsLatencyTarget =
        TimeToFirstEvent <= Input.TimeToLatencyTarget && MeetsDeadline;
    const bool Stalls =
        Input.Work.IsEngine && stallsOtherStreams(*Target, Input);
    const double Cost =
        Input.Work.IsEngine
            ? toSeconds(TimeToFirstEvent) + Target->Slowdown * 0.2
            : static_cast<double>(Target->running()) /
                  static_cast<double>(std::max(1u, Target->Entry.Slots));
    const Preference Current{!MeetsLatencyTarget, Stalls, IsRemote, Cost};
    if (!Best || Current < BestPreference) {
      BestPreference = Current;
      Best = ChosenTarget{Target, TimeToFirstEvent, MeetsLatencyTarget};
    }
  }
  return Best;
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
