#ifndef MANGODECK_PROCESS_ANSWERTIME_H
#define MANGODECK_PROCESS_ANSWERTIME_H

#include "mangodeck/request/ticket.h"

namespace mangodeck {

/// Estimates the time that the targets of a group take for an answer, with
/// moving averages over finished requests. The group refuses or drops a request
/// whose deadline leaves less than this time.
class AnswerTime {
public:
  /// Adds a finished request, for which \p ExpectedTokens output tokens had
  /// been expected.
  void addSample(TokenCount ExpectedTokens, const FinishReport &Report);

  /// Lower estimate of the time from the first to the last token of an answer
  /// to \p Request; 0 before the first sample.
  Duration minTimeFor(const Ticket &Request) const;

private:
  /// Mean of actual over expected output tokens.
  double m_ActualToExpected = 0;
  double m_TokenGapSeconds = 0;
};

} // namespace mangodeck

#endif
