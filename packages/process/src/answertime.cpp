#include "answertime.h"

namespace mangodeck {

namespace {

constexpr double Smoothing = 0.02;
/// Part of the mean time that is held for certain.
constexpr double CertainPart = 0.85;

void approach(double &Average, double Sample) {
  Average = Average == 0 ? Sample : Average + Smoothing * (Sample - Average);
}

} // namespace

void AnswerTime::addSample(TokenCount Estimated, const FinishReport &Report) {
  if (Estimated <= 0 || Report.OutputTokens <= 1)
    return;
  approach(m_OutputShare, static_cast<double>(Report.OutputTokens) /
                              static_cast<double>(Estimated));
  approach(m_GapSeconds, toSeconds(Report.Decode) /
                             static_cast<double>(Report.OutputTokens - 1));
}

Duration AnswerTime::minTimeFor(const Ticket &Request) const {
  return fromSeconds(CertainPart * m_OutputShare * m_GapSeconds *
                     static_cast<double>(Request.OutputTokens));
}

} // namespace mangodeck
