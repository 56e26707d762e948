#include "mangodeck/version/revisionwriter.h"

#include "faultystore.h"
#include "records.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class RevisionWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RevisionWriterTest);
  CPPUNIT_TEST(change_answerLostAfterWrite_isAcceptedOnce);
  CPPUNIT_TEST(change_answerLostAndOthersWrittenFirst_isConflict);
  CPPUNIT_TEST(operators_twoRacing_oneAcceptedOtherToldWhose);
  CPPUNIT_TEST(operators_tenRacing_oneAcceptedOthersToldWhose);
  CPPUNIT_TEST(change_againstOlderBase_isConflict);
  CPPUNIT_TEST(change_invalidRecords_writesNothing);
  CPPUNIT_TEST(change_storeDown_isRefusedOrUnknown);
  CPPUNIT_TEST(change_tooLarge_isInvalidAndWritesNothing);
  CPPUNIT_TEST(log_ofManyRevisions_readsBackThroughSnapshots);
  CPPUNIT_TEST_SUITE_END();

public:
  void change_answerLostAfterWrite_isAcceptedOnce() {
    m_Store.AnswersToLose = 1;
    const auto Result = apply("ana", 1, 0);
    CPPUNIT_ASSERT(Result.Outcome == Acceptance::Accepted);
    const auto State = readConfiguration(m_Inner);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{1}, State->Number);
    CPPUNIT_ASSERT_EQUAL(Result.Digest, State->Digest);
  }

  void change_answerLostAndOthersWrittenFirst_isConflict() {
    m_Store.BeforeWrite = [this] {
      m_Store.AnswersToLose = 0;
      CPPUNIT_ASSERT(apply("ben", 2, 0).Outcome == Acceptance::Accepted);
      m_Store.AnswersToLose = 1;
    };
    const auto Result = apply("ana", 1, 0);
    CPPUNIT_ASSERT(Result.Outcome == Acceptance::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::string("ben"), Result.Other->Author);
  }

  void operators_twoRacing_oneAcceptedOtherToldWhose() { race(2); }

  void operators_tenRacing_oneAcceptedOthersToldWhose() { race(10); }

  void change_againstOlderBase_isConflict() {
    CPPUNIT_ASSERT(apply("ana", 1, 0).Outcome == Acceptance::Accepted);
    const auto Result = apply("ben", 2, 0);
    CPPUNIT_ASSERT(Result.Outcome == Acceptance::Conflict);
    CPPUNIT_ASSERT_EQUAL(std::string("ana"), Result.Other->Author);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{1}, readConfiguration(m_Inner)->Number);
  }

  void change_invalidRecords_writesNothing() {
    auto Wanted = makeRecords(1);
    auto Clash = Wanted.begin()->second;
    Clash.Id.Name = "silver";
    Wanted[Clash.Id] = Clash;
    const auto Result = m_Writer.accept({Wanted, "ana", "clash", 0});
    CPPUNIT_ASSERT(Result.Outcome == Acceptance::Invalid);
    CPPUNIT_ASSERT_EQUAL(0, m_Store.Writes);
  }

  void change_storeDown_isRefusedOrUnknown() {
    m_Store.IsDown = true;
    CPPUNIT_ASSERT(apply("ana", 1, 0).Outcome == Acceptance::Refused);
    m_Store.IsDown = false;
    m_Store.BeforeWrite = [this] { m_Store.IsDown = true; };
    CPPUNIT_ASSERT(apply("ana", 1, 0).Outcome == Acceptance::Unknown);
  }

  void change_tooLarge_isInvalidAndWritesNothing() {
    const auto Result =
        m_Writer.accept({makeLargeSite(5000, 600, 38), "ana", "all", 0});
    CPPUNIT_ASSERT(Result.Outcome == Acceptance::Invalid);
    CPPUNIT_ASSERT_EQUAL(0, m_Store.Writes);
  }

  void log_ofManyRevisions_readsBackThroughSnapshots() {
    for (int I = 0; I < 230; ++I)
      CPPUNIT_ASSERT(apply("ana", I + 1, I).Outcome == Acceptance::Accepted);
    m_Store.Reads = 0;
    const auto State = readConfiguration(m_Store);
    CPPUNIT_ASSERT_EQUAL(4, m_Store.Reads);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{230}, State->Number);
    CPPUNIT_ASSERT_EQUAL(stateDigest(makeRecords(230)),
                         stateDigest(State->Records));
    BlockingStore Reader(m_Inner);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         Reader.range(SnapshotPrefix, "", 0)->size());
    const auto Earlier = readConfigurationAt(m_Inner, 120);
    CPPUNIT_ASSERT_EQUAL(stateDigest(makeRecords(120)),
                         stateDigest(Earlier->Records));
  }

private:
  AcceptanceResult apply(std::string_view Author, int Deadline,
                         RevisionNumber Base) {
    return m_Writer.accept(
        {makeRecords(Deadline), std::string(Author), "change", Base});
  }

  /// Each operator reads, and before its write takes effect the next one does
  /// all of its work; so all have read the same revision.
  AcceptanceResult applyThenNext(int Operator, int Count, int &Accepted,
                                 std::vector<std::string> &Blamed) {
    if (Operator + 1 < Count)
      m_Store.BeforeWrite = [this, Operator, Count, &Accepted, &Blamed] {
        applyThenNext(Operator + 1, Count, Accepted, Blamed);
      };
    auto Result =
        apply("operator-" + std::to_string(Operator), Operator + 1, 0);
    if (Result.Outcome == Acceptance::Accepted)
      ++Accepted;
    else if (Result.Outcome == Acceptance::Conflict)
      Blamed.push_back(Result.Other->Author);
    return Result;
  }

  void race(int Count) {
    int Accepted = 0;
    std::vector<std::string> Blamed;
    applyThenNext(0, Count, Accepted, Blamed);
    CPPUNIT_ASSERT_EQUAL(1, Accepted);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(Count - 1), Blamed.size());
    const auto State = readConfiguration(m_Inner);
    CPPUNIT_ASSERT_EQUAL(RevisionNumber{1}, State->Number);
    for (const auto &Author : Blamed)
      CPPUNIT_ASSERT_EQUAL(State->Newest->Author, Author);
  }

  ManualClock m_Clock;
  MemoryStore m_Inner{m_Clock};
  FaultyStore m_Store{m_Inner};
  SeededRandom m_Random{5};
  RevisionWriter m_Writer{m_Store, m_Clock, m_Random,
                          [this](Duration Span) { m_Clock.advance(Span); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionWriterTest);

} // namespace mangodeck
