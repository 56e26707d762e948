#include "placement.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Targets considered by load, and by believed cache, for one choice.
constexpr std::size_t LoadCandidates = 8;
constexpr std::size_t CacheCandidates = 16;
/// Output tokens whose gap counts as much as the time to the first token.
constexpr TokenCount DecodeWeightTokens = 32;

/// Mixes two numbers; the target with the highest mix of a prefix and its own
/// position wins ties, so that equal prefixes go to the same target.
std::uint64_t mix(std::uint64_t A, std::uint64_t B) {
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
    m_Summaries.emplace_back();
    setPrior(Index);
  }
  refreshAll(Now);
}

/// A new target starts from the speed of one of the same hardware.
void Placement::setPrior(TargetIndex Index) {
  auto &New = m_Targets[Index];
  for (const auto &Other : m_Targets)
    if (Other.Speed.hasSamples() &&
        Other.record().HardwareGeneration == New.record().HardwareGeneration)
      return New.Speed.setPrior(Other.Speed);
}

void Placement::relaxIdle(TimePoint Now) {
  std::vector<const TargetState *> Known;
  for (const auto &Item : m_Targets)
    if (Item.isUsable(Now) && Item.Speed.hasSamples())
      Known.push_back(&Item);
  if (Known.size() < 2)
    return;
  const auto Middle =
      Known.begin() + static_cast<std::ptrdiff_t>(Known.size() / 2);
  std::nth_element(Known.begin(), Middle, Known.end(),
                   [](const TargetState *A, const TargetState *B) {
                     return A->Speed.tokenGap() < B->Speed.tokenGap();
                   });
  const EngineSpeed Typical = (*Middle)->Speed;
  for (auto &Item : m_Targets)
    if (Item.isUsable(Now) && Item.isIdle(Now))
      Item.Speed.relaxTowards(Typical);
}

void Placement::noteFailure(TargetIndex Index, TimePoint Now) {
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
  auto &Old = m_Summaries[Index];
  const auto &Item = m_Targets[Index];
  Summary New;
  New.Usable = Item.isUsable(Now);
  New.Ejected = Item.Health.state() == TargetHealth::State::Ejected;
  New.Free = New.Usable ? Item.freeSequences() : 0;
  New.Open = New.Free > 0;
  New.Load = Item.loadScore();

  m_FreeSequences = m_FreeSequences - Old.Free + New.Free;
  m_UsableCount = m_UsableCount - Old.Usable + New.Usable;
  m_EjectedCount = m_EjectedCount - Old.Ejected + New.Ejected;
  if (Old.Open)
    m_Open.erase({Old.Load, Index});
  if (New.Open)
    m_Open.insert({New.Load, Index});
  Old = New;
}

void Placement::refreshAll(TimePoint Now) {
  for (TargetIndex Index = 0; Index < m_Targets.size(); ++Index) {
    m_Targets[Index].Health.update(Now);
    refresh(Index, Now);
  }
}

std::optional<Choice> Placement::rate(TargetIndex Index, const Ticket &Request,
                                      const GrantedWork &Work,
                                      TimePoint Now) const {
  const auto &Item = m_Targets[Index];
  if (!m_Summaries[Index].Open || !Item.fits(Work))
    return std::nullopt;
  Choice Result;
  Result.Target = Index;
  Result.Cached = m_Belief.cachedTokens(Index, Request);
  const auto Prefill = Request.PromptTokens - Result.Cached;
  const auto Weighed = std::min(Request.OutputTokens, DecodeWeightTokens);
  Result.FirstToken =
      Item.expectedTimeToFirstToken(Prefill, Now) +
      fromSeconds(m_Summaries[Index].Load * static_cast<double>(Weighed));
  return Result;
}

/// Candidates are the targets with the least load and those that are believed
/// to hold the prompt's prefix; the least expected time wins. Constant in the
/// number of targets, but for the ordered set's logarithm.
Selection Placement::choose(const Ticket &Request,
                            std::optional<TargetIndex> Held, Duration MostAhead,
                            TimePoint Now) const {
  const std::uint64_t Prefix = Request.PrefixBlocks.empty()
                                   ? Request.Id.Low
                                   : Request.PrefixBlocks.front();
  const auto Work = workOf(Request);
  Selection Result;
  auto &Best = Result.Best;
  const auto Consider = [&](TargetIndex Index) {
    if (Held == Index)
      return;
    const auto Rated = rate(Index, Request, Work, Now);
    if (!Rated)
      return;
    const bool Cached = Rated->Cached * 2 > Request.PromptTokens;
    if (!Cached && m_Targets[Index].pendingPrefillTime(Now) > MostAhead) {
      Result.Deferred = true;
      return;
    }
    const bool Better = !Best || Rated->FirstToken < Best->FirstToken ||
                        (Rated->FirstToken == Best->FirstToken &&
                         mix(Prefix, Index) > mix(Prefix, Best->Target));
    if (Better)
      Best = Rated;
  };

  const auto Holders = m_Belief.holders(Request);
  for (std::size_t I = 0; I < std::min(Holders.size(), CacheCandidates); ++I)
    Consider(Holders[I]);
  std::size_t Seen = 0;
  for (auto It = m_Open.begin(); It != m_Open.end() && Seen < LoadCandidates;
       ++It, ++Seen)
    Consider(It->second);
  return Result;
}

std::optional<TargetIndex> Placement::chooseToHold(const GrantedWork &Work,
                                                   TimePoint Now) const {
  std::optional<TargetIndex> Best;
  TokenCount MostFree = 0;
  for (TargetIndex Index = 0; Index < m_Targets.size(); ++Index) {
    const auto &Item = m_Targets[Index];
    if (!Item.isUsable(Now) || !Item.fitsWhenEmpty(Work))
      continue;
    const auto Free = Item.kvTokenLimit() - Item.ownKvTokens();
    if (!Best || Free > MostFree) {
      Best = Index;
      MostFree = Free;
    }
  }
  return Best;
}

} // namespace mangodeck
