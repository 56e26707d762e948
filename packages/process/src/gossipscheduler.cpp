#include "gossipscheduler.h"

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>

namespace mangodeck {

namespace {

/// Number of sends of a rumor that most other members conclude by themselves.
constexpr std::uint32_t ReducedSendLimit = 2;

/// Urgency of rumors and entries; lower values are sent first. Refutations go
/// before the suspicions that they override. Entries are further ordered by
/// their kind.
enum class Urgency : std::uint8_t { Refutation, StateChange, Entry, Arrival };

/// A rumor or entry that is to be sent.
struct Candidate {
  Urgency Rank;
  std::uint8_t Kind;
  std::uint32_t SendsLeft;
  MemberTable::Record *Rumor = nullptr;
  GossipEntryTable::Record *Entry = nullptr;
};

bool isMoreUrgent(const Candidate &A, const Candidate &B) {
  return std::make_tuple(A.Rank, A.Kind, B.SendsLeft) <
         std::make_tuple(B.Rank, B.Kind, A.SendsLeft);
}

Urgency urgencyOf(const Member &Info) {
  if (Info.State != MemberState::Alive)
    return Urgency::StateChange;
  if (Info.Leaving || Info.RefutationNumber > 0)
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

GossipScheduler::GossipScheduler(MemberTable &Members,
                                 GossipEntryTable &Entries,
                                 std::uint64_t BytesPerSecond)
    : m_Members(Members), m_Entries(Entries), m_BytesPerSecond(BytesPerSecond) {
}

void GossipScheduler::refill(Duration Elapsed) {
  const auto Rate = static_cast<double>(m_BytesPerSecond);
  m_BudgetBytes += static_cast<std::int64_t>(Rate * toSeconds(Elapsed));
  m_BudgetBytes =
      std::min(m_BudgetBytes, static_cast<std::int64_t>(m_BytesPerSecond));
}

/// A rumor reaches all n members with high probability if each member sends it
/// a multiple of log n times. Members that it misses receive it by the
/// comparison of tables.
std::uint32_t GossipScheduler::sendLimit() const {
  return 4 +
         2 * static_cast<std::uint32_t>(std::bit_width(m_Members.liveCount()));
}

void GossipScheduler::spread(MemberTable::Record &Record) {
  if (Record.SendsLeft == 0)
    ++m_PendingMembers;
  Record.SendsLeft = sendLimit();
}

void GossipScheduler::spreadReduced(MemberTable::Record &Record) {
  if (Record.SendsLeft == 0)
    ++m_PendingMembers;
  Record.SendsLeft = ReducedSendLimit;
}

void GossipScheduler::spread(GossipEntryTable::Record &Record) {
  if (Record.SendsLeft == 0)
    ++m_PendingEntries;
  Record.SendsLeft = sendLimit();
}

void GossipScheduler::fill(Packet &Message, TimePoint Now) {
  if (!hasPending() || m_BudgetBytes <= 0)
    return;
  // Step 1. Collect the pending rumors and entries. Count them anew, as the
  // counters still include records that have expired.
  std::vector<Candidate> Pending;
  m_PendingMembers = 0;
  m_PendingEntries = 0;
  for (auto &[Vm, Record] : m_Members.records()) {
    if (Record.SendsLeft == 0)
      continue;
    ++m_PendingMembers;
    Pending.push_back(
        {urgencyOf(Record.Info), 0, Record.SendsLeft, &Record, nullptr});
  }
  for (auto &[EntryKey, Record] : m_Entries.records()) {
    if (Record.SendsLeft == 0)
      continue;
    ++m_PendingEntries;
    Pending.push_back({Urgency::Entry, static_cast<std::uint8_t>(EntryKey.Kind),
                       Record.SendsLeft, nullptr, &Record});
  }
  std::stable_sort(Pending.begin(), Pending.end(), isMoreUrgent);

  // Step 2. Add what fits into the datagram and the budget.
  auto FreeBytes = static_cast<std::int64_t>(MaxPacketBytes) -
                   static_cast<std::int64_t>(maxEncodedBytes(Message));
  FreeBytes = std::min(FreeBytes, m_BudgetBytes);
  for (const auto &Next : Pending) {
    const auto Rumor = Next.Rumor ? compacted(Next.Rumor->Info) : Member();
    const auto Entry = Next.Entry
                           ? GossipEntryTable::entryToSend(*Next.Entry, Now)
                           : GossipEntry();
    const auto Bytes = static_cast<std::int64_t>(
        Next.Rumor ? maxEncodedBytes(Rumor) : maxEncodedBytes(Entry));
    if (Bytes > FreeBytes)
      break;
    FreeBytes -= Bytes;
    m_BudgetBytes -= Bytes;
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

std::vector<Packet>
GossipScheduler::listDifferences(const Packet &Template,
                                 const BucketHashes &RemoteHashes,
                                 std::uint64_t FirstBucket, TimePoint Now) {
  // Step 1. Collect the records of the buckets that differ.
  const auto OwnHashes = buckets();
  std::array<std::vector<Member>, SyncBucketCount> Rumors;
  std::array<std::vector<GossipEntry>, SyncBucketCount> Entries;
  for (const auto &[EntryKey, Record] : m_Entries.records()) {
    const auto Bucket = bucketOf(GossipEntryTable::bucketKey(EntryKey));
    if (!Record.Entry.Direct && OwnHashes[Bucket] != RemoteHashes[Bucket])
      Entries[Bucket].push_back(GossipEntryTable::entryToSend(Record, Now));
  }
  for (const auto &[Vm, Record] : m_Members.records()) {
    const auto Bucket = bucketOf(Vm.Text);
    if (OwnHashes[Bucket] != RemoteHashes[Bucket])
      Rumors[Bucket].push_back(Record.Info);
  }

  // Step 2. Fill datagrams, one bucket after the other.
  std::vector<Packet> Result;
  auto FreeBytes = std::int64_t{0};
  const auto TemplateBytes =
      static_cast<std::int64_t>(maxEncodedBytes(Template));
  const auto Reserve = [&](std::size_t EncodedBytes) {
    const auto Bytes = static_cast<std::int64_t>(EncodedBytes);
    if (Result.empty() || Bytes > FreeBytes) {
      if (m_BudgetBytes <= 0 || Result.size() == MaxSyncPackets)
        return false;
      Result.push_back(Template);
      FreeBytes = static_cast<std::int64_t>(MaxPacketBytes) - TemplateBytes;
      spend(maxEncodedBytes(Template) + UdpOverheadBytes);
    }
    FreeBytes -= Bytes;
    spend(EncodedBytes);
    return true;
  };
  for (std::size_t I = 0; I < SyncBucketCount; ++I) {
    const auto Bucket = (FirstBucket + I) % SyncBucketCount;
    for (const auto &Entry : Entries[Bucket]) {
      if (!Reserve(maxEncodedBytes(Entry)))
        return Result;
      Result.back().Entries.push_back(Entry);
    }
    for (const auto &Rumor : Rumors[Bucket]) {
      if (!Reserve(maxEncodedBytes(Rumor)))
        return Result;
      Result.back().Members.push_back(Rumor);
    }
  }
  return Result;
}

} // namespace mangodeck
