#ifndef MANGODECK_PROCESS_ENGINESPEED_H
#define MANGODECK_PROCESS_ENGINESPEED_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Speed of one target, estimated from finished requests with moving averages.
class EngineSpeed {
public:
  /// Copies the speed of a similar target as the initial estimate; no effect
  /// after the first sample.
  void setPrior(const EngineSpeed &Similar);

  /// Updates the estimates from a finished request. \p Prefill is the number of
  /// tokens that were prefilled, \p FirstToken the time to the first token,
  /// from which the caller has subtracted the delay expected from the prefill
  /// of earlier requests. \p Output is the number of output tokens, \p Decode
  /// the time from the first to the last of them.
  void addSample(TokenCount Prefill, Duration FirstToken, TokenCount Output,
                 Duration Decode);

  /// Moves the estimate a step towards \p Typical. Called for a target without
  /// recent samples, so that one that was slow gets requests again. The next
  /// samples weigh more than usual.
  void relaxTowards(const EngineSpeed &Typical);

  /// Keeps the estimate as an initial value only, e.g. after a restart of the
  /// target: the next samples weigh as much as the first ones.
  void demoteToPrior() { m_Samples = 0; }

  /// Expected duration of the prefill of \p Tokens.
  Duration prefillTime(TokenCount Tokens) const;

  /// Expected time until the first token with \p Tokens to prefill.
  Duration timeToFirstToken(TokenCount Tokens) const;

  /// Mean time between two output tokens.
  Duration tokenGap() const { return fromSeconds(m_GapSeconds); }

  /// Expected time for a whole answer of \p Output tokens.
  Duration timeForAnswer(TokenCount Prefill, TokenCount Output) const;

  bool hasSamples() const { return m_Samples > 0; }

private:
  double m_BaseSeconds = 0.03; ///< To the first token, without prefill.
  double m_PrefillSecondsPerToken = 1.0 / 4000;
  double m_GapSeconds = 0.03;
  unsigned m_Samples = 0;
};

} // namespace mangodeck

#endif
