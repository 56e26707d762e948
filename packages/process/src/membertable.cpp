#include "membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace mangodeck {

namespace {

constexpr std::size_t MaxMembers = 2000;
constexpr Duration DeadRetention = std::chrono::hours(24);
constexpr Duration LeftRetention = std::chrono::minutes(10);

std::uint64_t hashOf(const Member &Known) {
  const std::uint64_t Fields[] = {Known.Started, Known.Refutation,
                                  Known.Leaving ? 1U : 0U};
  const auto Seed = XXH3_64bits(Known.Vm.Text.data(), Known.Vm.Text.size());
  return XXH3_64bits_withSeed(Fields, sizeof(Fields), Seed);
}

/// Whether \p Rumor takes precedence over \p Known: a later start, then (but
/// for the final state Left) a higher refutation, then the graver state.
bool supersedes(const Member &Rumor, const Member &Known) {
  if (Rumor.Started != Known.Started)
    return Rumor.Started > Known.Started;
  if (Known.State == MemberState::Left)
    return false;
  if (Rumor.State == MemberState::Left)
    return true;
  return std::tie(Rumor.Refutation, Rumor.State) >
         std::tie(Known.Refutation, Known.State);
}

} // namespace

std::string_view toString(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return "alive";
  case MemberState::Suspect:
    return "suspect";
  case MemberState::Dead:
    return "dead";
  case MemberState::Left:
    return "left";
  }
  return "unknown";
}

std::size_t bucketOf(std::string_view Key) {
  return XXH3_64bits(Key.data(), Key.size()) % SyncBuckets;
}

MemberTable::MemberTable(Member Self) : m_Self(Self.Vm) {
  m_SelfRecord = &m_Records[m_Self];
  m_SelfRecord->Known = std::move(Self);
  count(m_SelfRecord->Known, +1);
}

void MemberTable::setSelf(const Member &Self) {
  count(m_SelfRecord->Known, -1);
  m_SelfRecord->Known = Self;
  count(Self, +1);
}

MemberTable::Record *MemberTable::find(const VmName &Vm) {
  const auto It = m_Records.find(Vm);
  return It == m_Records.end() ? nullptr : &It->second;
}

const MemberTable::Record *MemberTable::find(const VmName &Vm) const {
  const auto It = m_Records.find(Vm);
  return It == m_Records.end() ? nullptr : &It->second;
}

/// Rumors of suspicion and death carry no address; they are merged only for
/// members that are known, so that a member long forgotten is not brought
/// back by a daemon that still remembers its death.
bool MemberTable::merge(const Member &Rumor, TimePoint Now,
                        std::optional<Member> &Before) {
  auto *Found = find(Rumor.Vm);
  if (!Found) {
    const bool Usable = Rumor.isLive() && !Rumor.Address.empty() &&
                        m_Records.size() < MaxMembers;
    if (!Usable)
      return false;
    auto &Added = m_Records[Rumor.Vm];
    Added.Known = Rumor;
    Added.Since = Now;
    count(Added.Known, +1);
    return true;
  }

  const Member Old = Found->Known;
  Member New = Old;
  if (supersedes(Rumor, Old)) {
    New.State = Rumor.State;
    New.Started = Rumor.Started;
    New.Refutation = Rumor.Refutation;
    if (!Rumor.Address.empty())
      New.Address = Rumor.Address;
    if (!Rumor.Domain.empty())
      New.Domain = Rumor.Domain;
  }
  if (Rumor.Started == New.Started)
    New.Leaving = Rumor.Leaving || (Old.Started == New.Started && Old.Leaving);
  if (New == Old)
    return false;
  Before = Old;
  Found->Known = New;
  if (New.State != Old.State)
    Found->Since = Now;
  count(Old, -1);
  count(New, +1);
  return true;
}

void MemberTable::count(const Member &Known, int Sign) {
  const auto Step = static_cast<std::size_t>(Sign);
  if (Known.isLive())
    m_LiveCount += Step;
  if (Known.State == MemberState::Suspect)
    m_SuspectCount += Step;
}

std::vector<const Member *> MemberTable::livePeers() const {
  std::vector<const Member *> Result;
  Result.reserve(m_Records.size());
  for (const auto &[Vm, Entry] : m_Records) {
    if (Vm != m_Self && Entry.Known.isLive())
      Result.push_back(&Entry.Known);
  }
  return Result;
}

std::vector<const Member *> MemberTable::responsivePeers() const {
  auto Peers = livePeers();
  if (m_LiveCount > m_SuspectCount + 1)
    std::erase_if(Peers, [](const Member *Peer) {
      return Peer->State == MemberState::Suspect;
    });
  return Peers;
}

void MemberTable::addHashesTo(BucketHashes &Hashes) const {
  for (const auto &[Vm, Entry] : m_Records) {
    if (Entry.Known.isLive())
      Hashes[bucketOf(Vm.Text)] ^=
          static_cast<std::uint32_t>(hashOf(Entry.Known));
  }
}

void MemberTable::expire(TimePoint Now) {
  std::erase_if(m_Records, [&](const auto &Item) {
    const auto &Entry = Item.second;
    if (Entry.Known.State == MemberState::Left)
      return Now - Entry.Since > LeftRetention;
    return Entry.Known.State == MemberState::Dead &&
           Now - Entry.Since > DeadRetention;
  });
}

} // namespace mangodeck
