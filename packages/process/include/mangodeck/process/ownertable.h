#ifndef MANGODECK_PROCESS_OWNERTABLE_H
#define MANGODECK_PROCESS_OWNERTABLE_H

#include "mangodeck/common/rcupointer.h"
#include "mangodeck/process/member.h"

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace mangodeck {

/// Owner of each dispatch group and of each idempotency key, computed from one
/// view of the members. Immutable; request threads read it by read-copy-update.
class OwnerTable {
public:
  OwnerTable() = default;

  /// Assigns each of \p Groups to a live, not leaving member of the group's
  /// failure domain; to a live one if all are leaving. \p Version grows with
  /// each table of a process.
  OwnerTable(std::span<const Member> Members, std::span<const GroupId> Groups,
             std::uint64_t Version);

  std::uint64_t version() const { return m_Version; }

  /// Owner of \p Group; null if no member of its failure domain is live.
  const VmName *ownerOf(const GroupId &Group) const;

  /// Owner of an idempotency key: the member of \p Domain that records which
  /// entry daemon holds the request in progress, see KeyOwner. Selected by
  /// rendezvous hash; null if no member is live.
  const VmName *keyOwnerOf(const FailureDomain &Domain,
                           std::string_view Customer,
                           std::string_view Key) const;

  /// Groups that \p Vm owns.
  std::vector<GroupId> ownedBy(const VmName &Vm) const;

  /// Groups of this table whose owner differs in \p Before.
  std::vector<GroupId> changedSince(const OwnerTable &Before) const;

private:
  std::span<const VmName> candidatesOf(const FailureDomain &Domain) const;

  std::uint64_t m_Version = 0;
  std::map<FailureDomain, std::vector<VmName>> m_Candidates;
  std::unordered_map<GroupId, VmName> m_Owners;
};

/// The table in force. One thread replaces it; request threads read it.
using OwnerTablePointer = RcuPointer<OwnerTable>;

} // namespace mangodeck

#endif
