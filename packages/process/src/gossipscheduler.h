#ifndef MANGODECK_PROCESS_GOSSIPSCHEDULER_H
#define MANGODECK_PROCESS_GOSSIPSCHEDULER_H

#include "entrytable.h"
#include "mangodeck/process/packet.h"
#include "membertable.h"

#include <cstdint>
#include <vector>

namespace mangodeck {

/// Most datagrams that answer one request for differences.
constexpr std::size_t MaxSyncPackets = 4;

/// Chooses what goes into each datagram: pending rumors and entries, most
/// urgent first and among equals the least sent first, within a byte budget
/// that refills with time.
class GossipScheduler {
public:
  GossipScheduler(MemberTable &Members, EntryTable &Entries,
                  std::uint64_t BytesPerSecond);

  /// Adds \p Elapsed to the budget.
  void refill(Duration Elapsed);
  std::int64_t budget() const { return m_Budget; }
  void spend(std::size_t Bytes) {
    m_Budget -= static_cast<std::int64_t>(Bytes);
  }

  /// Marks a rumor or entry as news, to be passed on a number of times
  /// logarithmic in the number of members.
  void spread(MemberTable::Record &Found);
  void spread(EntryTable::Record &Found);

  /// Marks a rumor as news that most others find out by themselves.
  void spreadBriefly(MemberTable::Record &Found);

  bool hasPending() const { return m_PendingMembers + m_PendingEntries > 0; }

  /// Adds what fits to \p Message and charges it to the budget.
  void fill(Packet &Message, TimePoint Now);

  /// Datagrams with the contents of the buckets that differ from \p Theirs:
  /// copies of \p Head, filled, as many as the budget pays for, at most
  /// MaxSyncPackets. \p Start varies what comes first when not all fit.
  std::vector<Packet> listDifferences(const Packet &Head,
                                      const BucketHashes &Theirs,
                                      std::uint64_t Start, TimePoint Now);

  BucketHashes buckets() const;

private:
  std::uint32_t sendLimit() const;

  MemberTable &m_Members;
  EntryTable &m_Entries;
  std::uint64_t m_BytesPerSecond;
  std::int64_t m_Budget = 0;
  std::size_t m_PendingMembers = 0;
  std::size_t m_PendingEntries = 0;
};

/// A rumor without the fields that those who know the member do not need.
Member compacted(const Member &Rumor);

} // namespace mangodeck

#endif
