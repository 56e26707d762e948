#include "spill.h"

#include <xxhash.h>

namespace mangodeck {

namespace {

/// Older digests are not acted on.
constexpr Duration DigestLifetime = 3s;

bool hasLowerWaiting(const GroupSummary &Digest, TierRank Tier) {
  for (std::size_t Rank = Tier + 1U; Rank < Digest.WaitingPerTier.size();
       ++Rank)
    if (Digest.WaitingPerTier[Rank] > 0)
      return true;
  return false;
}

std::uint64_t weightOf(std::uint64_t Prefix, const GroupId &Group) {
  const auto Text = toString(Group);
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Prefix);
}

} // namespace

bool Spill::isFresh(const Peer &Other, TimePoint Now) {
  return Now - Other.Received <= DigestLifetime;
}

void Spill::update(const GroupSummary &Digest, Duration LinkDelay,
                   TimePoint Now) {
  m_Peers[Digest.Group] = {Digest, LinkDelay, Now};
}

std::optional<GroupId> Spill::withRoom(TimePoint Now) const {
  const Peer *Best = nullptr;
  for (const auto &[Id, Other] : m_Peers) {
    if (!isFresh(Other, Now) || Other.Digest.FreeSequences == 0)
      continue;
    const bool Better =
        !Best || Other.LinkDelay < Best->LinkDelay ||
        (Other.LinkDelay == Best->LinkDelay &&
         Other.Digest.FreeSequences > Best->Digest.FreeSequences);
    if (Better)
      Best = &Other;
  }
  if (!Best)
    return std::nullopt;
  return Best->Digest.Group;
}

std::optional<GroupId> Spill::admitting(TierRank Tier, TimePoint Now) const {
  if (const auto Room = withRoom(Now))
    return Room;
  const Peer *Best = nullptr;
  for (const auto &[Id, Other] : m_Peers) {
    const bool Admits = Other.Digest.LowestAdmitted >= Tier &&
                        hasLowerWaiting(Other.Digest, Tier);
    if (!isFresh(Other, Now) || !Admits)
      continue;
    if (!Best || Other.Digest.QueueDelay < Best->Digest.QueueDelay)
      Best = &Other;
  }
  if (!Best)
    return std::nullopt;
  return Best->Digest.Group;
}

std::optional<GroupId> Spill::homeOf(std::uint64_t Prefix, const GroupId &Self,
                                     TimePoint Now) const {
  const Peer *Home = nullptr;
  std::uint64_t Heaviest = weightOf(Prefix, Self);
  for (const auto &[Id, Other] : m_Peers) {
    const auto Weight = weightOf(Prefix, Id);
    if (!isFresh(Other, Now) || Weight <= Heaviest)
      continue;
    Heaviest = Weight;
    Home = &Other;
  }
  if (!Home || Home->Digest.FreeSequences == 0)
    return std::nullopt;
  return Home->Digest.Group;
}

std::map<std::string, double> Spill::demand(TimePoint Now) const {
  std::map<std::string, double> Sum;
  for (const auto &[Id, Other] : m_Peers)
    if (isFresh(Other, Now))
      for (const auto &Item : Other.Digest.Demand)
        Sum[Item.Customer.Text] += Item.RequestsPerSecond;
  return Sum;
}

void Spill::onPassed(const GroupId &Group) {
  const auto It = m_Peers.find(Group);
  if (It != m_Peers.end() && It->second.Digest.FreeSequences > 0)
    --It->second.Digest.FreeSequences;
}

} // namespace mangodeck
