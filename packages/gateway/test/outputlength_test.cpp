#include "mangodeck/gateway/outputlength.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace mangodeck {

class OutputLengthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutputLengthTest);
  CPPUNIT_TEST(expect_fewAnswers_keepsHint);
  CPPUNIT_TEST(expect_hintsTooLong_areCorrectedWithTheirSpread);
  CPPUNIT_TEST(expect_noHint_isUsualLength);
  CPPUNIT_TEST(record_answersCutOff_doNotShortenExpectation);
  CPPUNIT_TEST_SUITE_END();

  static RequestWork work(TokenCount Output) {
    RequestWork Work;
    Work.IsEngine = true;
    Work.OutputTokens = Output;
    Work.MaxOutputTokens = 4000;
    return Work;
  }

  OutputLength m_Lengths;

public:
  void setUp() override { m_Lengths = OutputLength(); }

  /// Guards against trust in the first few answers.
  void expect_fewAnswers_keepsHint() {
    for (int I = 0; I < 15; ++I)
      m_Lengths.record("r", 100, work(100), 900, true);
    auto Work = work(100);
    m_Lengths.expect("r", 100, Work);
    CPPUNIT_ASSERT_EQUAL(TokenCount(100), Work.OutputTokens);
    CPPUNIT_ASSERT_EQUAL(DefaultOutputSpread, Work.OutputSpread);
  }

  /// Guards against trust in hints that are off on a route: here half of them
  /// are twice, half of them eight times as long as the output.
  void expect_hintsTooLong_areCorrectedWithTheirSpread() {
    for (int I = 0; I < 200; ++I)
      m_Lengths.record("r", 800, work(800), I % 2 ? 100 : 400, true);
    auto Work = work(1600);
    m_Lengths.expect("r", 1600, Work);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(400, static_cast<double>(Work.OutputTokens),
                                 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(2.0), Work.OutputSpread, 0.01);
  }

  void expect_noHint_isUsualLength() {
    for (int I = 0; I < 100; ++I)
      m_Lengths.record("r", std::nullopt, work(2000), 300, true);
    auto Work = work(2000);
    m_Lengths.expect("r", std::nullopt, Work);
    CPPUNIT_ASSERT_EQUAL(TokenCount(300), Work.OutputTokens);
    Work = work(100);
    m_Lengths.expect("r", 100, Work);
    CPPUNIT_ASSERT_EQUAL(TokenCount(100), Work.OutputTokens);
  }

  /// Guards against answers that were cut off early counting as short ones.
  void record_answersCutOff_doNotShortenExpectation() {
    for (int I = 0; I < 100; ++I) {
      m_Lengths.record("r", 500, work(500), 500, true);
      m_Lengths.record("r", 500, work(500), 50, false);
    }
    auto Work = work(500);
    m_Lengths.expect("r", 500, Work);
    CPPUNIT_ASSERT_EQUAL(TokenCount(500), Work.OutputTokens);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutputLengthTest);

} // namespace mangodeck
