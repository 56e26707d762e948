#include "mangodeck/process/ownertable.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace mangodeck {

namespace {

Member makeMember(std::string_view Vm, std::string_view Domain) {
  Member Entry;
  Entry.Vm = VmName(Vm);
  Entry.Domain = FailureDomain(Domain);
  Entry.Address = "127.0.0.1:1";
  return Entry;
}

std::vector<Member> makeMembers(int Count) {
  std::vector<Member> Members;
  for (int I = 0; I < Count; ++I)
    Members.push_back(makeMember(fmt::format("vm-{}", I), "a"));
  return Members;
}

std::vector<GroupId> makeGroups(std::uint32_t Count) {
  std::vector<GroupId> Groups;
  for (std::uint32_t I = 0; I < Count; ++I)
    Groups.push_back({ServiceName("chat"), FailureDomain("a"), I});
  return Groups;
}

} // namespace

class OwnerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerTableTest);
  CPPUNIT_TEST(ownerTable_memberDies_onlyItsGroupsMove);
  CPPUNIT_TEST(ownerTable_manyGroups_areSpreadEvenly);
  CPPUNIT_TEST(ownerTable_memberLeaving_ownsNothing);
  CPPUNIT_TEST(ownerTable_allLeaving_stillOwn);
  CPPUNIT_TEST(ownerTable_domainWithoutMembers_hasNoOwner);
  CPPUNIT_TEST(ownerTable_keyOwner_isInOwnDomainAndStable);
  CPPUNIT_TEST_SUITE_END();

public:
  void ownerTable_memberDies_onlyItsGroupsMove() {
    auto Members = makeMembers(8);
    const auto Groups = makeGroups(200);
    const OwnerTable Before(Members, Groups, 1);
    Members[3].State = MemberState::Dead;
    const OwnerTable After(Members, Groups, 2);
    CPPUNIT_ASSERT(After.changedSince(Before) == Before.ownedBy(Members[3].Vm));
    CPPUNIT_ASSERT(After.ownedBy(Members[3].Vm).empty());
  }

  void ownerTable_manyGroups_areSpreadEvenly() {
    const auto Members = makeMembers(8);
    const OwnerTable Table(Members, makeGroups(800), 1);
    for (const auto &Entry : Members) {
      const auto Owned = Table.ownedBy(Entry.Vm).size();
      CPPUNIT_ASSERT(Owned > 60 && Owned < 150);
    }
  }

  void ownerTable_memberLeaving_ownsNothing() {
    auto Members = makeMembers(2);
    Members[0].Leaving = true;
    const OwnerTable Table(Members, makeGroups(20), 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, Table.ownedBy(Members[1].Vm).size());
  }

  void ownerTable_allLeaving_stillOwn() {
    auto Members = makeMembers(1);
    Members[0].Leaving = true;
    const OwnerTable Table(Members, makeGroups(3), 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Table.ownedBy(Members[0].Vm).size());
  }

  void ownerTable_domainWithoutMembers_hasNoOwner() {
    const GroupId InOtherDomain{ServiceName("chat"), FailureDomain("b"), 0};
    const std::vector<GroupId> Groups{InOtherDomain};
    const OwnerTable Table(makeMembers(2), Groups, 1);
    CPPUNIT_ASSERT(!Table.ownerOf(InOtherDomain));
    CPPUNIT_ASSERT(!Table.keyOwnerOf(FailureDomain("b"), "c", "k"));
  }

  void ownerTable_keyOwner_isInOwnDomainAndStable() {
    auto Members = makeMembers(4);
    Members.push_back(makeMember("other", "b"));
    const OwnerTable Table(Members, {}, 1);
    std::swap(Members[0], Members[4]);
    const OwnerTable Reordered(Members, {}, 2);
    const auto *Owner = Table.keyOwnerOf(FailureDomain("a"), "coop", "key-1");
    CPPUNIT_ASSERT(Owner && *Owner != VmName("other"));
    CPPUNIT_ASSERT(*Owner ==
                   *Reordered.keyOwnerOf(FailureDomain("a"), "coop", "key-1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerTableTest);

} // namespace mangodeck
