#include "mangodeck/gateway/memoryaccount.h"

#include <cppunit/extensions/HelperMacros.h>
#include <vector>

namespace mangodeck {

namespace {

using http::MemoryUse;

const TimePoint Start{100s};

bool reserve(MemoryAccount &Account, MemoryUse Use, std::size_t Bytes,
             std::size_t Total, std::size_t OwnerBytes = 0,
             TimePoint Now = Start) {
  return Account.reserve({Use, Bytes, Total, OwnerBytes}, Now);
}

} // namespace

class MemoryAccountTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryAccountTest);
  CPPUNIT_TEST(bodies_upToShare_leaveRoomForAnswers);
  CPPUNIT_TEST(answers_sixOfLargestSizeAtSmallDaemon_fit);
  CPPUNIT_TEST(answers_longOnesUpToTheirShare_leaveRoomForShortOnes);
  CPPUNIT_TEST(longBodies_upToTheirShare_leaveRoomForShortOnes);
  CPPUNIT_TEST(largestBody_ofSmallestVm_fits);
  CPPUNIT_TEST(owner_withoutPressure_mayTakeAllRoom);
  CPPUNIT_TEST(owner_underPressure_getsHalfOfTheRoom);
  CPPUNIT_TEST(shares_atSmallestVm_leaveAQuarterToTheProgram);
  CPPUNIT_TEST(choice_callersWithProgress_areKept);
  CPPUNIT_TEST(choice_amongStalled_isByBytesAndTime);
  CPPUNIT_TEST_SUITE_END();

public:
  void bodies_upToShare_leaveRoomForAnswers() {
    MemoryAccount Budget(16 << 20, {});
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 3 << 20, 3 << 20));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 1 << 20, 1000));
    CPPUNIT_ASSERT(!reserve(Budget, MemoryUse::Body, 1, 1));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Answer, 4 << 20, 1000));
    CPPUNIT_ASSERT(!reserve(Budget, MemoryUse::Answer, 1, 1));
    Budget.release(MemoryPool::Bodies, 1);
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 1, 1));
    Budget.release(MemoryPool::Answers, 1);
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Answer, 1, 1));
  }

  // Regression: two of six answers of 4.19 MB were given up for lack of room.
  void answers_sixOfLargestSizeAtSmallDaemon_fit() {
    MemoryAccount Budget(110 << 20, {});
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 20 << 20, 20 << 20));
    for (int Number = 0; Number < 6; ++Number)
      CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Answer, 4190000, 4190000));
  }

  // Guards against answers that nobody reads and that keep out those of
  // ordinary requests.
  void answers_longOnesUpToTheirShare_leaveRoomForShortOnes() {
    MemoryAccount Budget(16 << 20, {});
    while (reserve(Budget, MemoryUse::Answer, 100000, 100000))
      ;
    for (int Number = 0; Number < 50; ++Number)
      CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Answer, 4096, 4096));
  }

  void longBodies_upToTheirShare_leaveRoomForShortOnes() {
    MemoryAccount Budget(16 << 20, {});
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 3 << 20, 3 << 20));
    CPPUNIT_ASSERT(!reserve(Budget, MemoryUse::Body, 100000, 100000));
    // A body that grows counts by what it has become.
    CPPUNIT_ASSERT(!reserve(Budget, MemoryUse::Body, 100, 100000));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 60000, 60000));
  }

  // Guards against shares that no longer hold what the limits allow.
  void largestBody_ofSmallestVm_fits() {
    MemoryAccount Budget(112 << 20, {});
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 4 << 20, 4 << 20));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Answer, 4 << 20, 4 << 20));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Head, 300000, 300000));
  }

  // Guards against a limit that a customer reaches whose uploads are the only
  // ones.
  void owner_withoutPressure_mayTakeAllRoom() {
    MemoryAccount Budget(112 << 20, {});
    std::size_t Owned = 0;
    while (reserve(Budget, MemoryUse::Body, 4 << 20, 4 << 20, Owned))
      Owned += 4 << 20;
    CPPUNIT_ASSERT_EQUAL(std::size_t(20 << 20), Owned);
  }

  // Guards against uploads of one key that take all room again and again.
  void owner_underPressure_getsHalfOfTheRoom() {
    MemoryAccount Budget(112 << 20, {});
    while (reserve(Budget, MemoryUse::Body, 4 << 20, 4 << 20))
      ;
    Budget.release(MemoryPool::Bodies, 20 << 20);
    CPPUNIT_ASSERT(Budget.needsOwner(MemoryUse::Body, 4 << 20, Start));
    CPPUNIT_ASSERT(!Budget.needsOwner(MemoryUse::Body, 1000, Start));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 4 << 20, 4 << 20, 4 << 20));
    CPPUNIT_ASSERT(
        !reserve(Budget, MemoryUse::Body, 4 << 20, 4 << 20, 8 << 20));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 4 << 20, 4 << 20, 0));
    CPPUNIT_ASSERT(reserve(Budget, MemoryUse::Body, 4 << 20, 4 << 20, 8 << 20,
                           Start + 5s));
  }

  // Guards against shares that together leave no room for the program.
  void shares_atSmallestVm_leaveAQuarterToTheProgram() {
    const MemoryAccount Budget(112 << 20, {});
    std::size_t Sum = 0;
    for (const auto Pool : {MemoryPool::Heads, MemoryPool::Bodies,
                            MemoryPool::Answers, MemoryPool::Unread})
      Sum += Budget.limit(Pool);
    CPPUNIT_ASSERT(Sum <= (112 << 20) * 3 / 4);
  }

  // Guards against giving up a caller that sends or reads.
  void choice_callersWithProgress_areKept() {
    const std::vector<http::HeldMemory> Holders = {{4 << 20, Start - 900ms},
                                                   {0, Start - 60s}};
    CPPUNIT_ASSERT(!chooseToGiveUp(Holders, 1s, Start));
  }

  void choice_amongStalled_isByBytesAndTime() {
    const std::vector<http::HeldMemory> Holders = {
        {1000, Start - 10s}, {4 << 20, Start - 2s}, {4 << 20, Start - 900ms}};
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), *chooseToGiveUp(Holders, 1s, Start));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryAccountTest);

} // namespace mangodeck
