#ifndef MANGODECK_PROCESS_WAITINGTICKET_H
#define MANGODECK_PROCESS_WAITINGTICKET_H

#include "mangodeck/request/ticket.h"

namespace mangodeck {

/// A ticket in the queue of a dispatch group.
struct WaitingTicket {
  Ticket Request;
  std::uint64_t ArrivalNumber = 0; ///< Order of arrival in the group.
  TimePoint LatestStart;           ///< A later start misses the deadline.
  double CustomerWeight = 1.0; ///< Share of the customer relative to others.
  bool Blocked = false;        ///< Excluded from dispatch order.
};

/// Cost of a request in tokens, the unit of fair sharing, tier reserves,
/// customer limits and the drain rate. A request to a plain service costs one
/// token.
inline TokenCount costInTokens(const Ticket &Request) {
  const TokenCount Tokens = Request.PromptTokens + Request.OutputTokens;
  return Tokens > 0 ? Tokens : 1;
}

} // namespace mangodeck

#endif
