#include "mangodeck/common/rcupointer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>
#include <vector>

namespace mangodeck {

namespace {

struct Pair {
  int First = 0;
  int Second = 0;
};

} // namespace

class RcuPointerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RcuPointerTest);
  CPPUNIT_TEST(rcuPointer_replacedWhileRead_readersSeeConsistentValues);
  CPPUNIT_TEST_SUITE_END();

public:
  void rcuPointer_replacedWhileRead_readersSeeConsistentValues() {
    RcuPointer<Pair> Pointer(std::make_shared<const Pair>());
    std::atomic<int> InconsistentReads = 0;
    std::vector<std::thread> Readers;
    for (int R = 0; R < 3; ++R)
      Readers.emplace_back([&] {
        for (int I = 0; I < 20000; ++I) {
          const auto Value = Pointer.read();
          if (Value->First != Value->Second)
            ++InconsistentReads;
        }
      });
    for (int I = 1; I <= 200; ++I)
      Pointer.replace(std::make_shared<const Pair>(Pair{I, I}));
    for (auto &Reader : Readers)
      Reader.join();
    CPPUNIT_ASSERT_EQUAL(0, InconsistentReads.load());
    CPPUNIT_ASSERT_EQUAL(200, Pointer.share()->First);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RcuPointerTest);

} // namespace mangodeck
