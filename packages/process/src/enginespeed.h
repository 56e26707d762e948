#ifndef MANGODECK_PROCESS_ENGINESPEED_H
#define MANGODECK_PROCESS_ENGINESPEED_H

#include "mangodeck/common/units.h"

namespace mangodeck {

/// Speed of one target, learned from finished requests.
class EngineSpeed {
public:
  /// Starts from the speed of similar targets; ignored once learned.
  void setPrior(const EngineSpeed &Similar);

  /// Learns from a request that had \p Prefill tokens to fill and saw its
  /// first token after \p FirstToken, not counting the expected delay by
  /// earlier requests; it then made \p Output tokens in \p Decode.
  void addSample(TokenCount Prefill, Duration FirstToken, TokenCount Output,
                 Duration Decode);

  /// Moves a speed that has not been measured lately towards that of
  /// \p Typical, so that a target that was slow is tried again; the next
  /// samples then count for more.
  void relaxTowards(const EngineSpeed &Typical);

  /// What was learned is only a start from now on, e.g. when the target was
  /// started again.
  void demoteToPrior() { m_Samples = 0; }

  /// Time that the prefill of \p Tokens takes.
  Duration prefillTime(TokenCount Tokens) const;

  /// Time until the first token with \p Tokens to prefill.
  Duration timeToFirstToken(TokenCount Tokens) const;

  /// Mean time between two output tokens.
  Duration tokenGap() const { return fromSeconds(m_GapSeconds); }

  /// Time for a whole answer.
  Duration timeForAnswer(TokenCount Prefill, TokenCount Output) const;

  bool hasSamples() const { return m_Samples > 0; }

private:
  double m_BaseSeconds = 0.03;
  double m_SecondsPerToken = 1.0 / 4000;
  double m_GapSeconds = 0.03;
  unsigned m_Samples = 0;
};

} // namespace mangodeck

#endif
