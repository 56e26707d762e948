#include "enginespeed.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr double Smoothing = 0.15;
/// The first samples count for more.
constexpr double FirstSmoothing = 0.5;
constexpr double RelaxPart = 0.1;
constexpr unsigned RelaxedSamples = 1;
/// Prompts below this many tokens tell the fixed delay, longer ones the speed.
constexpr TokenCount ShortPromptTokens = 64;
constexpr double LeastSecondsPerToken = 1.0 / 1000000;
constexpr TokenCount LeastOutputTokens = 4;

void approach(double &Average, double Sample, double Part) {
  Average += Part * (Sample - Average);
}

} // namespace

void EngineSpeed::setPrior(const EngineSpeed &Similar) {
  if (hasSamples())
    return;
  *this = Similar;
  m_Samples = 0;
}

/// The delay to the first token is taken as a fixed part plus a part for each
/// token to prefill; each sample corrects the part that it tells most about.
void EngineSpeed::addSample(TokenCount Prefill, Duration FirstToken,
                            TokenCount Output, Duration Decode) {
  const double First = toSeconds(FirstToken);
  const double Part = std::max(Smoothing, FirstSmoothing / (m_Samples + 1));
  if (First > 0 && Prefill <= ShortPromptTokens)
    approach(m_BaseSeconds, First, Part);
  else if (First > 0)
    approach(m_SecondsPerToken,
             std::max(LeastSecondsPerToken,
                      (First - m_BaseSeconds) / static_cast<double>(Prefill)),
             Part);
  if (Output >= LeastOutputTokens && Decode > Duration(0))
    approach(m_GapSeconds, toSeconds(Decode) / static_cast<double>(Output - 1),
             Part);
  ++m_Samples;
}

void EngineSpeed::relaxTowards(const EngineSpeed &Typical) {
  approach(m_BaseSeconds, Typical.m_BaseSeconds, RelaxPart);
  approach(m_SecondsPerToken, Typical.m_SecondsPerToken, RelaxPart);
  approach(m_GapSeconds, Typical.m_GapSeconds, RelaxPart);
  m_Samples = std::min(m_Samples, RelaxedSamples);
}

Duration EngineSpeed::prefillTime(TokenCount Tokens) const {
  return fromSeconds(m_SecondsPerToken * static_cast<double>(Tokens));
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
