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

/// Number of buckets in which two tables are compared.
constexpr std::size_t SyncBuckets = 32;
using BucketHashes = std::array<std::uint32_t, SyncBuckets>;

/// Bucket of a key.
std::size_t bucketOf(std::string_view Key);

/// What one daemon believes of all members, itself included.
class MemberTable {
public:
  struct Record {
    Member Known;
    TimePoint Since;        ///< Of its present state.
    TimePoint SuspectUntil; ///< While suspect.
    TimePoint LastReminder; ///< When it was last told that it is thought dead.
    std::uint32_t SendsLeft = 0; ///< How often its rumor is still passed on.
  };

  explicit MemberTable(Member Self);
  MemberTable(const MemberTable &) = delete;
  MemberTable &operator=(const MemberTable &) = delete;

  /// Merges a rumor about another member. Returns whether it was news; \p
  /// Before is then what was known, if anything.
  bool merge(const Member &Rumor, TimePoint Now, std::optional<Member> &Before);

  /// Replaces what this daemon says of itself.
  void setSelf(const Member &Self);

  const Member &self() const { return m_SelfRecord->Known; }
  const VmName &selfName() const { return m_Self; }
  Record *find(const VmName &Vm);
  const Record *find(const VmName &Vm) const;

  const std::map<VmName, Record> &records() const { return m_Records; }
  std::map<VmName, Record> &records() { return m_Records; }

  /// Live members other than this one.
  std::vector<const Member *> livePeers() const;
  /// Those of the live peers that are not suspect; if all are, all of them.
  /// What is sent to others is mostly lost.
  std::vector<const Member *> responsivePeers() const;
  std::size_t liveCount() const { return m_LiveCount; }
  std::size_t suspectCount() const { return m_SuspectCount; }

  /// Adds the live members' versions to \p Hashes.
  void addHashesTo(BucketHashes &Hashes) const;

  /// Forgets members that have long been gone.
  void expire(TimePoint Now);

private:
  /// Counts \p Known in (+1) or out (-1).
  void count(const Member &Known, int Sign);

  VmName m_Self;
  std::map<VmName, Record> m_Records;
  Record *m_SelfRecord; ///< Map nodes do not move.
  std::size_t m_LiveCount = 0;
  std::size_t m_SuspectCount = 0;
};

} // namespace mangodeck

#endif
