#ifndef MANGODECK_PROCESS_GOSSIPSCHEDULER_H
#define MANGODECK_PROCESS_GOSSIPSCHEDULER_H

#include "gossipentrytable.h"
#include "mangodeck/process/packet.h"
#include "membertable.h"

#include <cstdint>
#include <vector>

namespace mangodeck {

/// Maximum number of datagrams in the answer to one table comparison.
constexpr std::size_t MaxSyncPackets = 4;

/// Selects the gossip for each datagram: pending rumors and entries, the most
/// urgent first and, among equally urgent ones, the least sent first, within a
/// byte budget that refills with time.
class GossipScheduler {
public:
  GossipScheduler(MemberTable &Members, GossipEntryTable &Entries,
                  std::uint64_t BytesPerSecond);

  /// Adds the bytes for \p Elapsed to the budget, which holds at most the bytes
  /// of one second.
  void refill(Duration Elapsed);
  std::int64_t budgetBytes() const { return m_BudgetBytes; }
  void spend(std::size_t Bytes) {
    m_BudgetBytes -= static_cast<std::int64_t>(Bytes);
  }

  /// Schedules a rumor or entry to be sent a number of times that grows with
  /// the logarithm of the number of members.
  void spread(MemberTable::Record &Record);
  void spread(GossipEntryTable::Record &Record);

  /// Schedules a rumor to be sent only a few times, as most other members reach
  /// the same conclusion by themselves.
  void spreadReduced(MemberTable::Record &Record);

  bool hasPending() const { return m_PendingMembers + m_PendingEntries > 0; }

  /// Adds the pending gossip that fits into \p Message and charges it to the
  /// budget.
  void fill(Packet &Message, TimePoint Now);

  /// Returns datagrams with the contents of the buckets whose hashes differ
  /// from \p RemoteHashes: filled copies of \p Template, as many as the budget
  /// allows and at most MaxSyncPackets. The contents begin with bucket \p
  /// FirstBucket modulo SyncBucketCount; a different value each time lets
  /// repeated comparisons make progress when not everything fits.
  std::vector<Packet> listDifferences(const Packet &Template,
                                      const BucketHashes &RemoteHashes,
                                      std::uint64_t FirstBucket, TimePoint Now);

  BucketHashes buckets() const;

private:
  std::uint32_t sendLimit() const;

  MemberTable &m_Members;
  GossipEntryTable &m_Entries;
  std::uint64_t m_BytesPerSecond;
  std::int64_t m_BudgetBytes = 0;
  std::size_t m_PendingMembers = 0;
  std::size_t m_PendingEntries = 0;
};

/// Returns \p Rumor without address and failure domain unless the member is
/// alive: receivers that know the member do not need them.
Member compacted(const Member &Rumor);

} // namespace mangodeck

#endif
