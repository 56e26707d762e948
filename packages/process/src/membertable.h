#ifndef MANGODECK_PROCESS_MEMBERTABLE_H
#define MANGODECK_PROCESS_MEMBERTABLE_H

#include "mangodeck/common/units.h"
#include "mangodeck/process/member.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mangodeck {

/// Number of hash buckets by which two members compare their tables.
constexpr std::size_t SyncBucketCount = 32;
using BucketHashes = std::array<std::uint32_t, SyncBucketCount>;

/// Index of the bucket that \p Key belongs to.
std::size_t bucketOf(std::string_view Key);

/// What one daemon knows about all members, including itself.
class MemberTable {
public:
  struct Record {
    Member Info;
    TimePoint StateSince;   ///< When the member got its present state.
    TimePoint SuspectUntil; ///< End of the suspicion; valid while suspect.
    /// When the member was last notified that it is suspect or dead here.
    TimePoint LastSuspicionNotice;
    /// Number of further datagrams in which this rumor is sent.
    std::uint32_t SendsLeft = 0;
  };

  explicit MemberTable(Member Self);
  MemberTable(const MemberTable &) = delete;
  MemberTable &operator=(const MemberTable &) = delete;

  /// Merges a rumor about another member. Returns whether the table changed;
  /// \p Before is then set to the previous knowledge, if there was any.
  bool merge(const Member &Rumor, TimePoint Now, std::optional<Member> &Before);

  /// Replaces the record of this daemon itself.
  void setSelf(const Member &Self);

  const Member &self() const { return m_SelfRecord->Info; }
  const VmName &selfName() const { return m_SelfName; }
  Record *find(const VmName &Vm);
  const Record *find(const VmName &Vm) const;

  const std::map<VmName, Record> &records() const { return m_Records; }
  std::map<VmName, Record> &records() { return m_Records; }

  /// Live members other than this one.
  std::vector<const Member *> livePeers() const;
  /// Live members other than this one that are not suspect, or all live ones
  /// if all are suspect. Most datagrams to suspects would be lost.
  std::vector<const Member *> responsivePeers() const;
  std::size_t liveCount() const { return m_LiveCount; }
  std::size_t suspectCount() const { return m_SuspectCount; }

  /// Combines the hash of each live member's version into its bucket of \p
  /// Hashes.
  void addHashesTo(BucketHashes &Hashes) const;

  /// Removes members that have been dead or left for longer than their
  /// retention time.
  void expire(TimePoint Now);

private:
  /// Adds \p Info to the counters (\p Sign +1) or removes it (-1).
  void count(const Member &Info, int Sign);

  VmName m_SelfName;
  std::map<VmName, Record> m_Records;
  Record *m_SelfRecord; ///< Stays valid, as map nodes do not move.
  std::size_t m_LiveCount = 0;
  std::size_t m_SuspectCount = 0;
};

} // namespace mangodeck

#endif
