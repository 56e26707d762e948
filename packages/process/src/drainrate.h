#ifndef MANGODECK_PROCESS_DRAINRATE_H
#define MANGODECK_PROCESS_DRAINRATE_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Measures how many tokens of waiting work a group starts each second.
class DrainRate {
public:
  /// Books \p Tokens of work that left the queue for a target.
  void add(TokenCount Tokens) { m_Started += Tokens; }

  /// Updates the average; \p Waiting tells whether work waited meanwhile, as
  /// an idle group says nothing about its rate.
  void update(TimePoint Now, bool Waiting);

  /// Tokens per second; never below a small floor.
  double tokensPerSecond() const;

  /// Time until \p Tokens of waiting work have been started.
  Duration timeFor(TokenCount Tokens) const;

  /// When a refused caller may try again with \p Tokens of work waiting.
  /// \p Jitter from 0 to 1 spreads the callers.
  Duration retryAfter(TokenCount Tokens, double Jitter) const;

private:
  TokenCount m_Started = 0;
  TimePoint m_Since{};
  double m_Rate = 0;
};

} // namespace mangodeck

#endif
