#include "membertable.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace mangodeck {

namespace {

constexpr std::size_t MaxMembers = 2000;
constexpr Duration DeadRetention = std::chrono::hours(24);
constexpr Duration LeftRetention = std::chrono::minutes(10);

std::uint64_t hashOf(const Member &Info) {
  const std::uint64_t Fields[] = {Info.Started, Info.RefutationNumber,
                                  Info.Leaving ? 1U : 0U};
  const auto Seed = XXH3_64bits(Info.Vm.Text.data(), Info.Vm.Text.size());
  return XXH3_64bits_withSeed(Fields, sizeof(Fields), Seed);
}

/// Whether \p Rumor takes precedence over \p Current. The later incarnation
/// wins; within one incarnation Left is final, then the higher refutation
/// number wins, then the later state in the order of MemberState.
bool supersedes(const Member &Rumor, const Member &Current) {
  if (Rumor.Started != Current.Started)
    return Rumor.Started > Current.Started;
  if (Current.State == MemberState::Left)
    return false;
  if (Rumor.State == MemberState::Left)
    return true;
  return std::tie(Rumor.RefutationNumber, Rumor.State) >
         std::tie(Current.RefutationNumber, Current.State);
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
  return XXH3_64bits(Key.data(), Key.size()) % SyncBucketCount;
}

MemberTable::MemberTable(Member Self) : m_SelfName(Self.Vm) {
  m_SelfRecord = &m_Records[m_SelfName];
  m_SelfRecord->Info = std::move(Self);
  count(m_SelfRecord->Info, +1);
}

void MemberTable::setSelf(const Member &Self) {
  count(m_SelfRecord->Info, -1);
  m_SelfRecord->Info = Self;
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

/// Adds an unknown member only if the rumor says that it is live and has an
/// address. A member that was already removed here is thus not added again by
/// a daemon that still has it as dead, and rumors of suspicion, which carry no
/// address, do not add members that could not be contacted.
bool MemberTable::merge(const Member &Rumor, TimePoint Now,
                        std::optional<Member> &Before) {
  auto *Found = find(Rumor.Vm);
  if (!Found) {
    const bool Usable = Rumor.isLive() && !Rumor.Address.empty() &&
                        m_Records.size() < MaxMembers;
    if (!Usable)
      return false;
    auto &Added = m_Records[Rumor.Vm];
    Added.Info = Rumor;
    Added.StateSince = Now;
    count(Added.Info, +1);
    return true;
  }

  const Member Old = Found->Info;
  Member New = Old;
  if (supersedes(Rumor, Old)) {
    New.State = Rumor.State;
    New.Started = Rumor.Started;
    New.RefutationNumber = Rumor.RefutationNumber;
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
  Found->Info = New;
  if (New.State != Old.State)
    Found->StateSince = Now;
  count(Old, -1);
  count(New, +1);
  return true;
}

void MemberTable::count(const Member &Info, int Sign) {
  const auto Step = static_cast<std::size_t>(Sign);
  if (Info.isLive())
    m_LiveCount += Step;
  if (Info.State == MemberState::Suspect)
    m_SuspectCount += Step;
}

std::vector<const Member *> MemberTable::livePeers() const {
  std::vector<const Member *> Result;
  Result.reserve(m_Records.size());
  for (const auto &[Vm, Found] : m_Records) {
    if (Vm != m_SelfName && Found.Info.isLive())
      Result.push_back(&Found.Info);
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
  for (const auto &[Vm, Found] : m_Records) {
    if (Found.Info.isLive())
      Hashes[bucketOf(Vm.Text)] ^=
          static_cast<std::uint32_t>(hashOf(Found.Info));
  }
}

void MemberTable::expire(TimePoint Now) {
  std::erase_if(m_Records, [&](const auto &Item) {
    const auto &Found = Item.second;
    if (Found.Info.State == MemberState::Left)
      return Now - Found.StateSince > LeftRetention;
    return Found.Info.State == MemberState::Dead &&
           Now - Found.StateSince > DeadRetention;
  });
}

} // namespace mangodeck
