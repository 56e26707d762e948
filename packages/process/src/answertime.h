#ifndef MANGODECK_PROCESS_ANSWERTIME_H
#define MANGODECK_PROCESS_ANSWERTIME_H

#include "mangodeck/request/ticket.h"

namespace mangodeck {

/// Time that a target of the group takes for an answer, learned from finished
/// requests; tells until when a start makes sense.
class AnswerTime {
public:
  /// Learns from a finished request whose caller had estimated \p Estimated
  /// output tokens.
  void addSample(TokenCount Estimated, const FinishReport &Report);

  /// Time that an answer to \p Request takes even if all goes well; 0 before
  /// anything was learned.
  Duration minTimeFor(const Ticket &Request) const;

private:
  double m_OutputShare = 0; ///< Output over its estimate.
  double m_GapSeconds = 0;
};

} // namespace mangodeck

#endif
