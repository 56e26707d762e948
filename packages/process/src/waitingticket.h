#ifndef MANGODECK_PROCESS_WAITINGTICKET_H
#define MANGODECK_PROCESS_WAITINGTICKET_H

#include "mangodeck/request/ticket.h"

namespace mangodeck {

/// A ticket in the queue of a dispatch group.
struct WaitingTicket {
  Ticket Request;
  std::uint64_t Sequence = 0; ///< Order of arrival in the group.
  TimePoint LatestStart;      ///< A later start would miss the deadline.
  double Weight = 1.0;        ///< Of its customer.
  bool Parked = false;        ///< Not to be dispatched for now.
};

/// Work of a request, in tokens: the unit of fairness and of the drain rate.
/// A request of a plain service counts as one token.
inline TokenCount costOf(const Ticket &Request) {
  const TokenCount Tokens = Request.PromptTokens + Request.OutputTokens;
  return Tokens > 0 ? Tokens : 1;
}

} // namespace mangodeck

#endif
