#include "mangodeck/gateway/choosetarget.h"

#include "mangodeck/gateway/enginepace.h"

#include <algorithm>
#include <tuple>

namespace mangodeck {

namespace {

/// Part of the gap target that reading prompts may take of the time between
/// two events of the requests that run beside.
constexpr double PrefillPartOfGap = 0.6;
/// Requests beyond its slots that an engine is sent: they start the moment a
/// slot is free, while the daemons learn of it some hundred milliseconds later.
constexpr std::uint32_t QueueAhead = 1;
/// Nominal time for a request of a plain service.
constexpr Duration PlainTime = 20ms;

bool isExcluded(const TrackedTarget &Target,
                std::span<const TargetPtr> Excluded) {
  return std::any_of(
      Excluded.begin(), Excluded.end(), [&](const TargetPtr &Other) {
        return Other.get() == &Target || Other->Entry.Id == Target.Entry.Id;
      });
}

/// Whether reading the prompt, with those that are being read, would hold up
/// the events of the requests beside it for longer than the gap target.
bool stallsOthers(const TrackedTarget &Target, const TargetChoiceInput &Input) {
  if (Input.GapTarget <= Duration{0} || Target.running() == 0)
    return false;
  const auto Reading = toSeconds(nominalPrefillTime(Target.prefillTokens())) +
                       toSeconds(nominalPrefillTime(Input.Work.PromptTokens));
  return Reading * Target.Slowdown >
         PrefillPartOfGap * toSeconds(Input.GapTarget);
}

/// Requests that a target is sent at once.
std::uint32_t placesOf(const TrackedTarget &Target) {
  return Target.isOnTrial() ? 1 : Target.Entry.Slots + QueueAhead;
}

} // namespace

Duration expectedTimeToFirstEvent(const TrackedTarget &Target,
                                  const RequestWork &Work) {
  if (!Work.IsEngine)
    return PlainTime * (1 + Target.running());
  const auto Nominal = toSeconds(nominalFirstTokenDelay()) +
                       toSeconds(nominalPrefillTime(Work.PromptTokens)) +
                       toSeconds(nominalPrefillTime(Target.prefillTokens()));
  return fromSeconds(Nominal * Target.Slowdown);
}

Duration nominalTimeToFirstEvent(const RequestWork &Work) {
  return Work.IsEngine
             ? nominalFirstTokenDelay() + nominalPrefillTime(Work.PromptTokens)
             : PlainTime;
}

Duration expectedTotalTime(const TrackedTarget &Target,
                           const RequestWork &Work) {
  const auto Decode = toSeconds(nominalStepTime(Target.running())) *
                      static_cast<double>(Work.OutputTokens) * Target.Slowdown;
  return expectedTimeToFirstEvent(Target, Work) + fromSeconds(Decode);
}

std::optional<ChosenTarget> chooseTarget(std::span<const TargetPtr> Targets,
                                         const TargetChoiceInput &Input,
                                         TimePoint Now) {
  using Rank = std::tuple<bool, bool, bool, double>;
  std::optional<ChosenTarget> Best;
  Rank BestRank{};
  for (const auto &Target : Targets) {
    // Step 1. Leave out targets that must not be used or have no free slot.
    if (!Target->isUsable(Now) || isExcluded(*Target, Input.Excluded) ||
        Target->running() >= placesOf(*Target) ||
        (Input.Work.IsEngine && !Input.LoadsAreExact && Target->Allowance == 0))
      continue;
    const bool Away = Target->Entry.Domain != Input.OwnDomain;
    if (Input.RemoteDomainsOnly && !Away)
      continue;

    // Step 2. Rate it: in time, no harm to others, at home, then by speed.
    const auto First = expectedTimeToFirstEvent(*Target, Input.Work);
    const bool Ends =
        !Input.Work.IsEngine ||
        expectedTotalTime(*Target, Input.Work) <= Input.TimeToDeadline;
    const bool InTime = First <= Input.TimeToLatencyTarget && Ends;
    const bool Stalls = Input.Work.IsEngine && stallsOthers(*Target, Input);
    const double Cost =
        Input.Work.IsEngine
            ? toSeconds(First) + Target->Slowdown * 0.2
            : static_cast<double>(Target->running()) /
                  static_cast<double>(std::max(1u, Target->Entry.Slots));
    const Rank This{!InTime, Stalls, Away, Cost};
    if (!Best || This < BestRank) {
      BestRank = This;
      Best = ChosenTarget{Target, First, InTime};
    }
  }
  return Best;
}

std::uint32_t drawAllowance(const TrackedTarget &Target, std::size_t Rivals,
                            double Draw) {
  const auto Places = placesOf(Target);
  const auto Free = Places > Target.running() ? Places - Target.running() : 0;
  return static_cast<std::uint32_t>(
      static_cast<double>(Free) / static_cast<double>(Rivals) + Draw);
}

TargetCapacity capacityOf(std::span<const TargetPtr> Targets, TimePoint Now) {
  TargetCapacity Result;
  for (const auto &Target : Targets) {
    if (!Target->isUsable(Now))
      continue;
    ++Result.UsableTargets;
    const auto Places = placesOf(*Target);
    Result.Slots += Places;
    if (Target->running() < Places)
      Result.FreeSlots += Places - Target->running();
  }
  return Result;
}

} // namespace mangodeck
