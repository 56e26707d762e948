#include "mangodeck/process/ownerpublisher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

namespace mangodeck {

class OwnerPublisherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerPublisherTest);
  CPPUNIT_TEST(publisher_readersDuringChanges_seeWholeAndNewerTables);
  CPPUNIT_TEST_SUITE_END();

public:
  void publisher_readersDuringChanges_seeWholeAndNewerTables() {
    constexpr std::uint64_t Tables = 200;
    OwnerPublisher Publisher;
    std::atomic<int> Faults{0};
    const auto Read = [&] {
      std::uint64_t Last = 0;
      while (Last < Tables) {
        OwnerPublisher::Reader Table(Publisher);
        const auto Version = Table->version();
        const GroupId Group{ServiceName("chat"), FailureDomain("a"), 0};
        if (Version < Last || (Version > 0 && !Table->ownerOf(Group)))
          ++Faults;
        Last = Version;
      }
    };
    std::vector<std::thread> Readers;
    for (int I = 0; I < 2; ++I)
      Readers.emplace_back(Read);
    Member Only;
    Only.Vm = VmName("vm-1");
    Only.Domain = FailureDomain("a");
    const std::vector<Member> Members{Only};
    const std::vector<GroupId> Groups{
        {ServiceName("chat"), FailureDomain("a"), 0}};
    for (std::uint64_t Version = 1; Version <= Tables; ++Version)
      Publisher.publish(OwnerTable(Members, Groups, Version));
    for (auto &Reader : Readers)
      Reader.join();
    CPPUNIT_ASSERT_EQUAL(0, Faults.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerPublisherTest);

} // namespace mangodeck
