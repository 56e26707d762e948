#ifndef MANGODECK_REPLAY_DECISIONBENCH_H
#define MANGODECK_REPLAY_DECISIONBENCH_H

#include <cstddef>

namespace mangodeck {

/// Cost of decisions in one dispatch group of a given size.
struct DecisionCost {
  std::size_t Targets = 0;
  std::size_t Waiting = 0;
  /// One request's whole way: a submit that waits, and a finish that grants.
  double DecisionNanoseconds = 0;
  /// A submit into a full queue that evicts a lower tier, and its withdrawal.
  double EvictionNanoseconds = 0;
  double TickNanoseconds = 0;
  double BytesPerTicket = 0; ///< Held for each waiting ticket.
  double BytesPerTarget = 0;
};

/// Measures a group with all targets full and \p Waiting tickets, by the
/// machine's clock and allocator.
DecisionCost measureDecisions(std::size_t Targets, std::size_t Waiting);

} // namespace mangodeck

#endif
