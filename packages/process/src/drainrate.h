#ifndef MANGODECK_PROCESS_DRAINRATE_H
#define MANGODECK_PROCESS_DRAINRATE_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Measures how many tokens of queued work a group dispatches per second.
class DrainRate {
public:
  /// Records that work of \p Tokens was dispatched to a target.
  void recordStarted(TokenCount Tokens) { m_StartedTokens += Tokens; }

  /// Updates the average if the window has passed. \p Waiting says whether work
  /// is queued; without it a lower rate is ignored, because an idle group
  /// dispatches less than it could.
  void update(TimePoint Now, bool Waiting);

  /// The average rate, but at least a small minimum.
  double tokensPerSecond() const;

  /// Time until \p Tokens of queued work have been dispatched.
  Duration timeToStart(TokenCount Tokens) const;

  /// Time after which a refused caller may retry while \p Tokens of work are
  /// queued. \p Jitter, uniform in [0, 1), spreads the retries.
  Duration retryAfter(TokenCount Tokens, double Jitter) const;

private:
  TokenCount m_StartedTokens = 0;
  TimePoint m_WindowStart{};
  double m_TokensPerSecond = 0;
};

} // namespace mangodeck

#endif
