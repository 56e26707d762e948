#include "mangodeck/common/ids.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class IdsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IdsTest);
  CPPUNIT_TEST(requestId_formattedAndParsed_isEqual);
  CPPUNIT_TEST(requestId_wrongLengthOrDigit_isRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  void requestId_formattedAndParsed_isEqual() {
    const RequestId Id{0x0123456789abcdefULL, 42};
    CPPUNIT_ASSERT(parseRequestId(toString(Id)) == Id);
  }

  void requestId_wrongLengthOrDigit_isRejected() {
    CPPUNIT_ASSERT(!parseRequestId("12"));
    CPPUNIT_ASSERT(!parseRequestId("0123456789abcdeg000000000000002a"));
    CPPUNIT_ASSERT(!parseRequestId("-123456789abcdef000000000000002a"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdsTest);

} // namespace mangodeck
