#include "mangodeck/gateway/valuedelta.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace mangodeck {

class ValueDeltaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ValueDeltaTest);
  CPPUNIT_TEST(delta_oneOfManyRoutesMoved_isSmall);
  CPPUNIT_TEST(delta_anyPair_decodesToValue);
  CPPUNIT_TEST(delta_otherBaseOrDamaged_isRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void delta_oneOfManyRoutesMoved_isSmall() {
    const auto Before = configuration(7, 200, 60);
    const auto After = configuration(8, 200, 61);
    const auto Delta = encodeValueDelta(Before, 5, After);
    CPPUNIT_ASSERT(Before.size() > 10000);
    CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", Delta.Bytes.size()),
                           Delta.Bytes.size() < 1024);
    CPPUNIT_ASSERT(decodeValueDelta(Before, Delta) == After);
  }

  void delta_anyPair_decodesToValue() {
    const auto Large = configuration(1, 1500, 3); // Above the dictionary.
    for (const auto &Base : {std::string(), std::string("a"), Large})
      for (const auto &Value : {std::string(), std::string("ab"), Large,
                                Large + "x", Large.substr(40000)})
        CPPUNIT_ASSERT(
            decodeValueDelta(Base, encodeValueDelta(Base, 1, Value)) == Value);
  }

  void delta_otherBaseOrDamaged_isRejected() {
    const auto Before = configuration(7, 200, 60);
    const auto Delta = encodeValueDelta(Before, 5, configuration(8, 200, 61));
    CPPUNIT_ASSERT(!decodeValueDelta("", Delta));
    CPPUNIT_ASSERT(!decodeValueDelta(configuration(6, 199, 2), Delta));
    auto Damaged = Delta;
    Damaged.Bytes.resize(Damaged.Bytes.size() / 2);
    CPPUNIT_ASSERT(!decodeValueDelta(Before, Damaged));
    Damaged = Delta;
    Damaged.ValueBytes = 1u << 31;
    CPPUNIT_ASSERT(!decodeValueDelta(Before, Damaged));
  }

private:
  /// The service of route \p Moved differs from that of the others.
  static std::string configuration(int Version, int Routes, int Moved) {
    auto Text = fmt::format("{{\"Version\":{},\"Routes\":[", Version);
    for (int I = 0; I < Routes; ++I)
      Text += fmt::format("{{\"Host\":\"h{}\",\"Prefix\":\"/p{}/\",\"Service\":"
                          "\"{}\"}},",
                          I * 7919 % 100003, I * 104729 % 99991,
                          I == Moved ? "other" : "usual");
    return Text + "]}";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ValueDeltaTest);

} // namespace mangodeck
