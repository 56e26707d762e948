#include "mangodeck/version/revision.h"

#include "records.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class RevisionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RevisionTest);
  CPPUNIT_TEST(revision_encodedAndDecoded_givesTheSameState);
  CPPUNIT_TEST(revision_newerFormat_isUnknownSchema);
  CPPUNIT_TEST(revision_brokenValues_areRefusedWithPlace);
  CPPUNIT_TEST(revision_recordOfUnknownSchema_keepsItsBytes);
  CPPUNIT_TEST(image_ofTwoYearSize_staysBelowBoundAndReadsBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void revision_encodedAndDecoded_givesTheSameState() {
    const auto Before = makeRecords(1, "---\nkind: tier\nschema: 1\n"
                                       "name: old\nrank: 1\n");
    const auto After = makeRecords(2);
    const auto Change = makeNumbered(Before, After);
    const auto Read = decodeRevision({1, encodeRevision(Change)});
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read->Put.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Read->Removed.size());
    const auto Applied = applyRevision(Before, *Read);
    CPPUNIT_ASSERT(Applied);
    CPPUNIT_ASSERT_EQUAL(stateDigest(After), stateDigest(*Applied));
    CPPUNIT_ASSERT(!applyRevision(After, *Read));
  }

  void revision_newerFormat_isUnknownSchema() {
    auto Value = encodeRevision(makeNumbered({}, makeRecords(1)));
    const std::string Old = "\"format\":1";
    Value.replace(Value.find(Old), Old.size(), "\"format\":2");
    const auto Read = decodeRevision({1, Value});
    CPPUNIT_ASSERT(!Read && Read.error().Code == Errc::UnknownSchema);
  }

  void revision_brokenValues_areRefusedWithPlace() {
    const auto Good = encodeRevision(makeNumbered({}, makeRecords(1)));
    const std::string Deep(500000, '[');
    const std::vector<std::string> Values = {
        "",    "null",
        "[1]", Good.substr(0, Good.size() / 2),
        Deep,  "{\"format\":1,\"put\":" + Deep};
    for (const auto &Value : Values) {
      const auto Read = decodeRevision({1, Value});
      CPPUNIT_ASSERT(!Read);
      CPPUNIT_ASSERT_EQUAL(logKey(1), Read.error().Place.File);
    }
    CPPUNIT_ASSERT(!decodeRevision({2, Good}));
  }

  void revision_recordOfUnknownSchema_keepsItsBytes() {
    const auto Records = makeRecords(1, "---\nkind: tier\nschema: 2\n"
                                        "name: gold\nrank: 0\n"
                                        "reserve: 0.125\n");
    const auto Value = encodeRevision(makeNumbered({}, Records));
    const auto Read = decodeRevision({1, Value}, 1);
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT(std::holds_alternative<OpaqueRecord>(Read->Put.back().Body));
    CPPUNIT_ASSERT(applyRevision({}, *Read));
  }

  void image_ofTwoYearSize_staysBelowBoundAndReadsBack() {
    const auto Records = makeLargeSite(2500, 600, 38);
    const auto Parts = encodeImage(7, Records);
    for (const auto &Part : Parts)
      CPPUNIT_ASSERT(Part.size() < MaxStoreValueBytes);
    const auto Read = decodeImage(7, Parts);
    CPPUNIT_ASSERT(Read);
    CPPUNIT_ASSERT_EQUAL(stateDigest(Records), stateDigest(*Read));
    CPPUNIT_ASSERT(!decodeImage(7, std::span(Parts).first(1)));
    CPPUNIT_ASSERT(!decodeImage(8, Parts));
  }

private:
  static Revision makeNumbered(const RecordSet &Before,
                               const RecordSet &After) {
    auto Change = makeChange(Before, After);
    Change.Number = 1;
    Change.ParentDigest = EmptyDigest;
    Change.ChangeId = "c1";
    return Change;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionTest);

} // namespace mangodeck
