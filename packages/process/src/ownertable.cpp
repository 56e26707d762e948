#include "mangodeck/process/ownertable.h"

#include "mangodeck/process/rendezvous.h"

#include <algorithm>
#include <string>

namespace mangodeck {

namespace {

/// Collects the members of each failure domain that may own groups and keys:
/// the eligible ones or, in a domain that has none, the live ones.
std::map<FailureDomain, std::vector<VmName>>
collectCandidates(std::span<const Member> Members) {
  std::map<FailureDomain, std::vector<VmName>> Eligible;
  std::map<FailureDomain, std::vector<VmName>> Live;
  for (const auto &Entry : Members) {
    if (Entry.isEligible())
      Eligible[Entry.Domain].push_back(Entry.Vm);
    if (Entry.isLive())
      Live[Entry.Domain].push_back(Entry.Vm);
  }
  Eligible.merge(Live);
  return Eligible;
}

} // namespace

OwnerTable::OwnerTable(std::span<const Member> Members,
                       std::span<const GroupId> Groups, std::uint64_t Version)
    : m_Version(Version), m_Candidates(collectCandidates(Members)) {
  for (const auto &Group : Groups) {
    const auto *Owner =
        selectByRendezvous(candidatesOf(Group.Domain), toString(Group));
    if (Owner)
      m_Owners.emplace(Group, *Owner);
  }
}

std::span<const VmName>
OwnerTable::candidatesOf(const FailureDomain &Domain) const {
  const auto It = m_Candidates.find(Domain);
  if (It == m_Candidates.end())
    return {};
  return It->second;
}

const VmName *OwnerTable::ownerOf(const GroupId &Group) const {
  const auto It = m_Owners.find(Group);
  return It == m_Owners.end() ? nullptr : &It->second;
}

const VmName *OwnerTable::keyOwnerOf(const FailureDomain &Domain,
                                     std::string_view Customer,
                                     std::string_view Key) const {
  std::string Name(Customer);
  Name.push_back('/');
  Name.append(Key);
  return selectByRendezvous(candidatesOf(Domain), Name);
}

std::vector<GroupId> OwnerTable::ownedBy(const VmName &Vm) const {
  std::vector<GroupId> Result;
  for (const auto &[Group, Owner] : m_Owners) {
    if (Owner == Vm)
      Result.push_back(Group);
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<GroupId> OwnerTable::changedSince(const OwnerTable &Before) const {
  std::vector<GroupId> Result;
  for (const auto &[Group, Owner] : m_Owners) {
    const auto *Previous = Before.ownerOf(Group);
    if (!Previous || *Previous != Owner)
      Result.push_back(Group);
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

} // namespace mangodeck
