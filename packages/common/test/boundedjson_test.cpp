#include "mangodeck/common/boundedjson.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace mangodeck {

class BoundedJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedJsonTest);
  CPPUNIT_TEST(parse_nestedUpToBound_isReadAndDeeperIsDiscarded);
  CPPUNIT_TEST(parse_floatOutOfRange_isNull);
  CPPUNIT_TEST(parse_invalidText_isDiscarded);
  CPPUNIT_TEST(integerWithin_otherThanIntegerInRange_isNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void parse_nestedUpToBound_isReadAndDeeperIsDiscarded() {
    for (const std::size_t Depth : {MaxJsonDepth, MaxJsonDepth + 1}) {
      const bool IsRead = Depth == MaxJsonDepth;
      CPPUNIT_ASSERT_EQUAL(!IsRead, parseBoundedJson(std::string(Depth, '[') +
                                                     std::string(Depth, ']'))
                                        .is_discarded());
      CPPUNIT_ASSERT_EQUAL(
          !IsRead, parseBoundedMessagePack(std::string(Depth, '\x91') + '\xc0')
                       .is_discarded());
    }
    // Values beside each other are not deep.
    std::string Wide = "[";
    for (int Number = 0; Number < 1000; ++Number)
      Wide += "[{\"a\":[]}],";
    CPPUNIT_ASSERT(parseBoundedJson(Wide + "[]]").is_array());
  }

  void parse_floatOutOfRange_isNull() {
    for (const auto *Text : {"[1e308]", "[-1e16]", "[1.1e15]"})
      CPPUNIT_ASSERT(parseBoundedJson(Text).at(0).is_null());
    CPPUNIT_ASSERT_EQUAL(0.5, parseBoundedJson("[0.5]").at(0).get<double>());
  }

  void parse_invalidText_isDiscarded() {
    for (const auto *Text : {"", "[", "[1e999]", "\"\xff\"", "{\"a\":}"})
      CPPUNIT_ASSERT(parseBoundedJson(Text).is_discarded());
    CPPUNIT_ASSERT(
        parseBoundedMessagePack("\xdd\xff\xff\xff\xff").is_discarded());
  }

  void integerWithin_otherThanIntegerInRange_isNothing() {
    const auto Read = [](const char *Text) {
      return integerWithin(nlohmann::json::parse(Text), 0, 10);
    };
    CPPUNIT_ASSERT(Read("10") == 10 && Read("0") == 0);
    for (const auto *Text :
         {"11", "-1", "0.5", "\"3\"", "null", "18446744073709551615"})
      CPPUNIT_ASSERT(!Read(Text));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedJsonTest);

} // namespace mangodeck
