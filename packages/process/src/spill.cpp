#include "spill.h"

#include <xxhash.h>

namespace mangodeck {

namespace {

/// Older summaries are ignored.
constexpr Duration SummaryLifetime = 3s;

bool hasLowerTierWaiting(const GroupSummary &Summary, TierRank Tier) {
  for (std::size_t Rank = Tier + 1U; Rank < Summary.WaitingPerTier.size();
       ++Rank)
    if (Summary.WaitingPerTier[Rank] > 0)
      return true;
  return false;
}

std::uint64_t rendezvousWeight(std::uint64_t Prefix, const GroupId &Group) {
  const auto Text = toString(Group);
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Prefix);
}

} // namespace

bool Spill::isFresh(const OtherGroup &Other, TimePoint Now) {
  return Now - Other.ReceivedAt <= SummaryLifetime;
}

void Spill::recordSummary(const GroupSummary &Summary, Duration LinkDelay,
                          TimePoint Now) {
  m_OtherGroups[Summary.Group] = {Summary, LinkDelay, Now};
}

std::optional<GroupId> Spill::nearestWithFreeSequences(TimePoint Now) const {
  const OtherGroup *Best = nullptr;
  for (const auto &[Id, Other] : m_OtherGroups) {
    if (!isFresh(Other, Now) || Other.Summary.FreeSequences == 0)
      continue;
    const bool Better =
        !Best || Other.LinkDelay < Best->LinkDelay ||
        (Other.LinkDelay == Best->LinkDelay &&
         Other.Summary.FreeSequences > Best->Summary.FreeSequences);
    if (Better)
      Best = &Other;
  }
  if (!Best)
    return std::nullopt;
  return Best->Summary.Group;
}

std::optional<GroupId> Spill::groupAdmitting(TierRank Tier,
                                             TimePoint Now) const {
  if (const auto Free = nearestWithFreeSequences(Now))
    return Free;
  const OtherGroup *Best = nullptr;
  for (const auto &[Id, Other] : m_OtherGroups) {
    const bool Admits = Other.Summary.LowestAdmitted >= Tier &&
                        hasLowerTierWaiting(Other.Summary, Tier);
    if (!isFresh(Other, Now) || !Admits)
      continue;
    if (!Best || Other.Summary.QueueDelay < Best->Summary.QueueDelay)
      Best = &Other;
  }
  if (!Best)
    return std::nullopt;
  return Best->Summary.Group;
}

std::optional<GroupId> Spill::groupForPrefix(std::uint64_t Prefix,
                                             const GroupId &Self,
                                             TimePoint Now) const {
  const OtherGroup *Winner = nullptr;
  std::uint64_t HighestWeight = rendezvousWeight(Prefix, Self);
  for (const auto &[Id, Other] : m_OtherGroups) {
    const auto Weight = rendezvousWeight(Prefix, Id);
    if (!isFresh(Other, Now) || Weight <= HighestWeight)
      continue;
    HighestWeight = Weight;
    Winner = &Other;
  }
  if (!Winner || Winner->Summary.FreeSequences == 0)
    return std::nullopt;
  return Winner->Summary.Group;
}

std::map<std::string, double> Spill::demandPerSecond(TimePoint Now) const {
  std::map<std::string, double> Sum;
  for (const auto &[Id, Other] : m_OtherGroups)
    if (isFresh(Other, Now))
      for (const auto &Item : Other.Summary.Demand)
        Sum[Item.Customer.Text] += Item.RequestsPerSecond;
  return Sum;
}

void Spill::recordSpill(const GroupId &Group) {
  const auto It = m_OtherGroups.find(Group);
  if (It != m_OtherGroups.end() && It->second.Summary.FreeSequences > 0)
    --It->second.Summary.FreeSequences;
}

} // namespace mangodeck
