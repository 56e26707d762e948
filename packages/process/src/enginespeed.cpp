#include "enginespeed.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Weight of a new sample in the moving averages.
constexpr double SampleWeight = 0.15;
/// Weight of the first sample; that of the n-th one is this divided by n, until
/// it would be below SampleWeight.
constexpr double FirstSampleWeight = 0.5;
constexpr double RelaxWeight = 0.1;
constexpr unsigned SamplesAfterRelax = 1;
/// A prompt of up to this many tokens updates the fixed delay, a longer one the
/// time per token.
constexpr TokenCount ShortPromptTokens = 64;
constexpr double MinSecondsPerToken = 1.0 / 1000000;
constexpr TokenCount MinOutputTokens = 4;

void moveTowards(double &Average, double Sample, double Weight) {
  Average += Weight * (Sample - Average);
}

} // namespace

void EngineSpeed::setPrior(const EngineSpeed &Similar) {
  if (hasSamples())
    return;
  *this = Similar;
  m_Samples = 0;
}

/// The time to the first token is modeled as a fixed delay plus a time for each
/// token to prefill. A short prompt corrects the first, a long one the second.
void EngineSpeed::addSample(TokenCount Prefill, Duration FirstToken,
                            TokenCount Output, Duration Decode) {
  const double FirstSeconds = toSeconds(FirstToken);
  const double Weight =
      std::max(SampleWeight, FirstSampleWeight / (m_Samples + 1));
  if (FirstSeconds > 0 && Prefill <= ShortPromptTokens)
    moveTowards(m_BaseSeconds, FirstSeconds, Weight);
  else if (FirstSeconds > 0)
    moveTowards(m_PrefillSecondsPerToken,
                std::max(MinSecondsPerToken, (FirstSeconds - m_BaseSeconds) /
                                                 static_cast<double>(Prefill)),
                Weight);
  if (Output >= MinOutputTokens && Decode > Duration(0))
    moveTowards(m_GapSeconds,
                toSeconds(Decode) / static_cast<double>(Output - 1), Weight);
  ++m_Samples;
}

void EngineSpeed::relaxTowards(const EngineSpeed &Typical) {
  moveTowards(m_BaseSeconds, Typical.m_BaseSeconds, RelaxWeight);
  moveTowards(m_PrefillSecondsPerToken, Typical.m_PrefillSecondsPerToken,
              RelaxWeight);
  moveTowards(m_GapSeconds, Typical.m_GapSeconds, RelaxWeight);
  m_Samples = std::min(m_Samples, SamplesAfterRelax);
}

Duration EngineSpeed::prefillTime(TokenCount Tokens) const {
  return fromSeconds(m_PrefillSecondsPerToken * static_cast<double>(Tokens));
}

Duration EngineSpeed::timeToFirstToken(TokenCount Tokens) const {
  return fromSeconds(m_BaseSeconds) + prefillTime(Tokens);
}

Duration EngineSpeed::timeForAnswer(TokenCount Prefill,
                                    TokenCount Output) const {
  return timeToFirstToken(Prefill) +
         fromSeconds(m_GapSeconds * static_cast<double>(Output));
}

} // namespace mangodeck
