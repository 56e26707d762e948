#include "gossipscheduler.h"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace mangodeck {

namespace {

/// How often news is passed on that most others find out by themselves.
constexpr std::uint32_t BriefSends = 2;

/// Urgency of rumors beside entries; lower goes first. Refutations go before
/// the suspicions that they outrank.
enum class Urgency : std::uint8_t { Refutation, StateChange, Entry, Arrival };

/// A rumor or entry that waits to be passed on.
struct Candidate {
  Urgency Rank;
  std::uint8_t Kind;
  std::uint32_t SendsLeft;
  MemberTable::Record *Rumor = nullptr;
  EntryTable::Record *Entry = nullptr;
};

bool goesBefore(const Candidate &A, const Candidate &B) {
  return std::make_tuple(A.Rank, A.Kind, B.SendsLeft) <
         std::make_tuple(B.Rank, B.Kind, A.SendsLeft);
}

Urgency urgencyOf(const Member &Known) {
  if (Known.State != MemberState::Alive)
    return Urgency::StateChange;
  if (Known.Leaving || Known.Refutation > 0)
    return Urgency::Refutation;
  return Urgency::Arrival;
}

} // namespace

Member compacted(const Member &Rumor) {
  auto Result = Rumor;
  if (Rumor.State == MemberState::Alive)
    return Result;
  Result.Address.clear();
  Result.Domain = FailureDomain();
  return Result;
}

GossipScheduler::GossipScheduler(MemberTable &Members, EntryTable &Entries,
                                 std::uint64_t BytesPerSecond)
    : m_Members(Members), m_Entries(Entries), m_BytesPerSecond(BytesPerSecond) {
}

void GossipScheduler::refill(Duration Elapsed) {
  const auto Rate = static_cast<double>(m_BytesPerSecond);
  m_Budget += static_cast<std::int64_t>(Rate * toSeconds(Elapsed));
  m_Budget = std::min(m_Budget, static_cast<std::int64_t>(m_BytesPerSecond));
}

/// An epidemic reaches all of n members with high probability when each
/// passes the news on some multiple of log n times; what it misses is caught
/// by the comparison of tables.
std::uint32_t GossipScheduler::sendLimit() const {
  return 4 +
         2 * static_cast<std::uint32_t>(std::bit_width(m_Members.liveCount()));
}

void GossipScheduler::spread(MemberTable::Record &Found) {
  if (Found.SendsLeft == 0)
    ++m_PendingMembers;
  Found.SendsLeft = sendLimit();
}

void GossipScheduler::spreadBriefly(MemberTable::Record &Found) {
  if (Found.SendsLeft == 0)
    ++m_PendingMembers;
  Found.SendsLeft = BriefSends;
}

void GossipScheduler::spread(EntryTable::Record &Found) {
  if (Found.SendsLeft == 0)
    ++m_PendingEntries;
  Found.SendsLeft = sendLimit();
}

void GossipScheduler::fill(Packet &Message, TimePoint Now) {
  if (!hasPending() || m_Budget <= 0)
    return;
  // Step 1. Collect what waits; expired records have left the counts stale.
  std::vector<Candidate> Waiting;
  m_PendingMembers = 0;
  m_PendingEntries = 0;
  for (auto &[Vm, Found] : m_Members.records()) {
    if (Found.SendsLeft == 0)
      continue;
    ++m_PendingMembers;
    Waiting.push_back(
        {urgencyOf(Found.Known), 0, Found.SendsLeft, &Found, nullptr});
  }
  for (auto &[Name, Found] : m_Entries.records()) {
    if (Found.SendsLeft == 0)
      continue;
    ++m_PendingEntries;
    Waiting.push_back({Urgency::Entry, static_cast<std::uint8_t>(Name.Kind),
                       Found.SendsLeft, nullptr, &Found});
  }
  std::stable_sort(Waiting.begin(), Waiting.end(), goesBefore);

  // Step 2. Take what fits into the datagram and the budget.
  auto Room = static_cast<std::int64_t>(MaxPacketBytes) -
              static_cast<std::int64_t>(encodedBound(Message));
  Room = std::min(Room, m_Budget);
  for (const auto &Next : Waiting) {
    const auto Rumor = Next.Rumor ? compacted(Next.Rumor->Known) : Member();
    const auto Entry =
        Next.Entry ? EntryTable::aged(*Next.Entry, Now) : GossipEntry();
    const auto Bytes = static_cast<std::int64_t>(
        Next.Rumor ? encodedBound(Rumor) : encodedBound(Entry));
    if (Bytes > Room)
      break;
    Room -= Bytes;
    m_Budget -= Bytes;
    if (Next.Rumor) {
      Message.Members.push_back(Rumor);
      m_PendingMembers -= --Next.Rumor->SendsLeft == 0 ? 1 : 0;
    } else {
      Message.Entries.push_back(Entry);
      m_PendingEntries -= --Next.Entry->SendsLeft == 0 ? 1 : 0;
    }
  }
}

BucketHashes GossipScheduler::buckets() const {
  BucketHashes Hashes{};
  m_Members.addHashesTo(Hashes);
  m_Entries.addHashesTo(Hashes);
  return Hashes;
}

/// Starts at a different bucket each time, so that repeated requests make
/// progress when the differences exceed the budget.
std::vector<Packet> GossipScheduler::listDifferences(const Packet &Head,
                                                     const BucketHashes &Theirs,
                                                     std::uint64_t Start,
                                                     TimePoint Now) {
  // Step 1. Sort what differs into its buckets.
  const auto Own = buckets();
  std::array<std::vector<Member>, SyncBuckets> Rumors;
  std::array<std::vector<GossipEntry>, SyncBuckets> Entries;
  for (const auto &[Name, Found] : m_Entries.records()) {
    const auto Bucket = bucketOf(EntryTable::bucketKey(Name));
    if (!Found.Entry.Direct && Own[Bucket] != Theirs[Bucket])
      Entries[Bucket].push_back(EntryTable::aged(Found, Now));
  }
  for (const auto &[Vm, Found] : m_Members.records()) {
    const auto Bucket = bucketOf(Vm.Text);
    if (Own[Bucket] != Theirs[Bucket])
      Rumors[Bucket].push_back(Found.Known);
  }

  // Step 2. Fill datagrams, one bucket after the other.
  std::vector<Packet> Result;
  auto Room = std::int64_t{0};
  const auto HeadBytes = static_cast<std::int64_t>(encodedBound(Head));
  const auto Take = [&](std::size_t Size) {
    const auto Bytes = static_cast<std::int64_t>(Size);
    if (Result.empty() || Bytes > Room) {
      if (m_Budget <= 0 || Result.size() == MaxSyncPackets)
        return false;
      Result.push_back(Head);
      Room = static_cast<std::int64_t>(MaxPacketBytes) - HeadBytes;
      spend(encodedBound(Head) + UdpOverheadBytes);
    }
    Room -= Bytes;
    spend(Size);
    return true;
  };
  for (std::size_t I = 0; I < SyncBuckets; ++I) {
    const auto Bucket = (Start + I) % SyncBuckets;
    for (const auto &Entry : Entries[Bucket]) {
      if (!Take(encodedBound(Entry)))
        return Result;
      Result.back().Entries.push_back(Entry);
    }
    for (const auto &Rumor : Rumors[Bucket]) {
      if (!Take(encodedBound(Rumor)))
        return Result;
      Result.back().Members.push_back(Rumor);
    }
  }
  return Result;
}

} // namespace mangodeck
