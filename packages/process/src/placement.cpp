#include "placement.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Candidates per choice: the least loaded targets, and targets estimated to
/// hold the prompt's first block.
constexpr std::size_t LoadCandidates = 8;
constexpr std::size_t CacheCandidates = 16;
/// The cost of a target includes the time of at most this many output tokens.
constexpr TokenCount MaxWeighedOutputTokens = 32;

/// Hashes a prefix and a target index. Among targets of equal cost the highest
/// hash wins, so that equal prefixes go to the same target.
std::uint64_t hashPair(std::uint64_t A, std::uint64_t B) {
  std::uint64_t X = A ^ (B * 0x9e3779b97f4a7c15ULL);
  X ^= X >> 31;
  X *= 0xbf58476d1ce4e5b9ULL;
  return X ^ (X >> 29);
}

} // namespace

void Placement::configure(std::span<const Target *const> Records,
                          TimePoint Now) {
  for (auto &Item : m_Targets)
    Item.removeFromConfig();
  for (const auto *Record : Records) {
    const auto Known = find(Record->Name);
    if (Known) {
      m_Targets[*Known].configure(*Record);
      continue;
    }
    const auto Index = static_cast<TargetIndex>(m_Targets.size());
    m_ByName.emplace(Record->Name.Text, Index);
    m_Targets.emplace_back(*Record);
    m_IndexedStates.emplace_back();
    setInitialSpeed(Index);
  }
  refreshAll(Now);
}

/// A new target starts with the learned speed of a target with the same
/// hardware generation.
void Placement::setInitialSpeed(TargetIndex Index) {
  auto &New = m_Targets[Index];
  for (const auto &Other : m_Targets)
    if (Other.Speed.hasSamples() &&
        Other.record().HardwareGeneration == New.record().HardwareGeneration)
      return New.Speed.setPrior(Other.Speed);
}

void Placement::relaxIdleSpeeds(TimePoint Now) {
  std::vector<const TargetState *> Learned;
  for (const auto &Item : m_Targets)
    if (Item.isUsable(Now) && Item.Speed.hasSamples())
      Learned.push_back(&Item);
  if (Learned.size() < 2)
    return;
  const auto Median =
      Learned.begin() + static_cast<std::ptrdiff_t>(Learned.size() / 2);
  std::nth_element(Learned.begin(), Median, Learned.end(),
                   [](const TargetState *A, const TargetState *B) {
                     return A->Speed.tokenGap() < B->Speed.tokenGap();
                   });
  const EngineSpeed MedianSpeed = (*Median)->Speed;
  for (auto &Item : m_Targets)
    if (Item.isUsable(Now) && Item.isIdle(Now))
      Item.Speed.relaxTowards(MedianSpeed);
}

void Placement::recordFailure(TargetIndex Index, TimePoint Now) {
  auto &Item = m_Targets[Index];
  if (Item.Health.recordFailure() && mayEject(m_EjectedCount, m_UsableCount))
    Item.Health.eject(Now);
  refresh(Index, Now);
}

std::optional<TargetIndex> Placement::find(const TargetName &Name) const {
  const auto It = m_ByName.find(Name.Text);
  if (It == m_ByName.end())
    return std::nullopt;
  return It->second;
}

void Placement::refresh(TargetIndex Index, TimePoint Now) {
  auto &Old = m_IndexedStates[Index];
  const auto &Item = m_Targets[Index];
  IndexedState New;
  New.Usable = Item.isUsable(Now);
  New.Ejected = Item.Health.state() == TargetHealth::State::Ejected;
  New.FreeSequences = New.Usable ? Item.freeSequences() : 0;
  New.HasFree = New.FreeSequences > 0;
  New.Load = Item.loadScore();

  m_FreeSequences = m_FreeSequences - Old.FreeSequences + New.FreeSequences;
  m_UsableCount = m_UsableCount - Old.Usable + New.Usable;
  m_EjectedCount = m_EjectedCount - Old.Ejected + New.Ejected;
  if (Old.HasFree)
    m_FreeByLoad.erase({Old.Load, Index});
  if (New.HasFree)
    m_FreeByLoad.insert({New.Load, Index});
  Old = New;
}

void Placement::refreshAll(TimePoint Now) {
  for (TargetIndex Index = 0; Index < m_Targets.size(); ++Index) {
    m_Targets[Index].Health.update(Now);
    refresh(Index, Now);
  }
}

std::optional<RatedTarget> Placement::rateTarget(TargetIndex Index,
                                                 const Ticket &Request,
                                                 const GrantedWork &Work,
                                                 TimePoint Now) const {
  const auto &Item = m_Targets[Index];
  if (!m_IndexedStates[Index].HasFree || !Item.fits(Work))
    return std::nullopt;
  RatedTarget Result;
  Result.Target = Index;
  Result.CachedTokens = m_PrefixCache.cachedTokens(Index, Request);
  const auto Prefill = Request.PromptTokens - Result.CachedTokens;
  const auto WeighedOutputTokens =
      std::min(Request.OutputTokens, MaxWeighedOutputTokens);
  Result.Cost = Item.expectedTimeToFirstToken(Prefill, Now) +
                fromSeconds(m_IndexedStates[Index].Load *
                            static_cast<double>(WeighedOutputTokens));
  return Result;
}

/// Rates the least loaded targets and those estimated to hold the prompt's
/// first block. Takes constant time in the number of targets, except for the
/// logarithm of the ordered set.
PlacementResult Placement::choose(const Ticket &Request,
                                  std::optional<TargetIndex> Reserved,
                                  Duration MaxPendingPrefill,
                                  TimePoint Now) const {
  const std::uint64_t Prefix = Request.PrefixBlocks.empty()
                                   ? Request.Id.Low
                                   : Request.PrefixBlocks.front();
  const auto Work = workOf(Request);
  PlacementResult Result;
  auto &Best = Result.Best;
  const auto Consider = [&](TargetIndex Index) {
    if (Reserved == Index)
      return;
    const auto Rated = rateTarget(Index, Request, Work, Now);
    if (!Rated)
      return;
    const bool MostlyCached = Rated->CachedTokens * 2 > Request.PromptTokens;
    if (!MostlyCached &&
        m_Targets[Index].pendingPrefillTime(Now) > MaxPendingPrefill) {
      Result.PrefillLimited = true;
      return;
    }
    const bool Better =
        !Best || Rated->Cost < Best->Cost ||
        (Rated->Cost == Best->Cost &&
         hashPair(Prefix, Index) > hashPair(Prefix, Best->Target));
    if (Better)
      Best = Rated;
  };

  const auto Holders = m_PrefixCache.holders(Request);
  for (std::size_t I = 0; I < std::min(Holders.size(), CacheCandidates); ++I)
    Consider(Holders[I]);
  std::size_t Considered = 0;
  for (auto It = m_FreeByLoad.begin();
       It != m_FreeByLoad.end() && Considered < LoadCandidates;
       ++It, ++Considered)
    Consider(It->second);
  return Result;
}

std::optional<TargetIndex> Placement::chooseToReserve(const GrantedWork &Work,
                                                      TimePoint Now) const {
  std::optional<TargetIndex> Best;
  TokenCount MostFreeKv = 0;
  for (TargetIndex Index = 0; Index < m_Targets.size(); ++Index) {
    const auto &Item = m_Targets[Index];
    if (!Item.isUsable(Now) || !Item.fitsWhenEmpty(Work))
      continue;
    const auto FreeKv = Item.kvTokenLimit() - Item.ownKvTokens();
    if (!Best || FreeKv > MostFreeKv) {
      Best = Index;
      MostFreeKv = FreeKv;
    }
  }
  return Best;
}

} // namespace mangodeck
