#include "answertime.h"

namespace mangodeck {

namespace {

/// Weight of a new sample in the moving averages.
constexpr double SampleWeight = 0.02;
/// Share of the mean time that an answer is assumed to take at least.
constexpr double MinTimeShare = 0.85;

void moveTowards(double &Average, double Sample) {
  Average = Average == 0 ? Sample : Average + SampleWeight * (Sample - Average);
}

} // namespace

void AnswerTime::addSample(TokenCount ExpectedTokens,
                           const FinishReport &Report) {
  if (ExpectedTokens <= 0 || Report.OutputTokens <= 1)
    return;
  moveTowards(m_ActualToExpected, static_cast<double>(Report.OutputTokens) /
                                      static_cast<double>(ExpectedTokens));
  moveTowards(m_TokenGapSeconds,
              toSeconds(Report.DecodeTime) /
                  static_cast<double>(Report.OutputTokens - 1));
}

Duration AnswerTime::minTimeFor(const Ticket &Request) const {
  return fromSeconds(MinTimeShare * m_ActualToExpected * m_TokenGapSeconds *
                     static_cast<double>(Request.OutputTokens));
}

} // namespace mangodeck
