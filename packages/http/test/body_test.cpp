#include "mangodeck/http/body.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace mangodeck::http {

class BodyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BodyTest);
  CPPUNIT_TEST(body_grownInPieces_keepsBytesAndStaysNearItsSize);
  CPPUNIT_TEST(body_reservedOnce_isNotMoved);
  CPPUNIT_TEST(body_movedFrom_isEmpty);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against growth by doubling: a body of 2.1 MB took 4 MB.
  void body_grownInPieces_keepsBytesAndStaysNearItsSize() {
    Body Grown;
    std::string Expected;
    while (Expected.size() < 3000000) {
      const std::string Piece(7919,
                              static_cast<char>('a' + Expected.size() % 26));
      const auto Promised = Grown.capacityFor(Grown.size() + Piece.size());
      Grown.append(Piece);
      Expected += Piece;
      CPPUNIT_ASSERT_EQUAL(Promised, Grown.capacity());
      CPPUNIT_ASSERT(Grown.size() < Body::DoublingBytes ||
                     Grown.capacity() <= Grown.size() + Body::StepBytes);
    }
    CPPUNIT_ASSERT(Grown.view() == Expected);
  }

  void body_reservedOnce_isNotMoved() {
    Body Whole;
    Whole.reserve(1000000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1000000), Whole.capacity());
    Whole.append("x");
    const auto *Start = Whole.view().data();
    Whole.append(std::string(999999, 'y'));
    CPPUNIT_ASSERT(Start == Whole.view().data());
  }

  // Guards against a second owner of the bytes.
  void body_movedFrom_isEmpty() {
    Body From("abc");
    Body To;
    auto *Source = &From;
    To = std::move(*Source);
    CPPUNIT_ASSERT(From.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), From.capacity());
    const Body Last(std::move(To));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), std::string(Last.view()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyTest);

} // namespace mangodeck::http
