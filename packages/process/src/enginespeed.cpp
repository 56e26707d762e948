#include "enginespeed.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr double Smoothing = 0.15;
/// Prompts below this many tokens tell the fixed delay, longer ones the speed.
constexpr TokenCount ShortPromptTokens = 64;
constexpr double LeastSecondsPerToken = 1.0 / 1000000;
constexpr TokenCount LeastOutputTokens = 4;

void approach(double &Average, double Sample) {
  Average += Smoothing * (Sample - Average);
}

} // namespace

void EngineSpeed::setPrior(const EngineSpeed &Similar) {
  if (learned())
    return;
  *this = Similar;
  m_Samples = 0;
}

/// The delay to the first token is taken as a fixed part plus a part for each
/// token to prefill; each sample corrects the part that it tells most about.
void EngineSpeed::learn(TokenCount Prefill, Duration FirstToken,
                        TokenCount Output, Duration Decode) {
  const double First = toSeconds(FirstToken);
  if (First > 0 && Prefill <= ShortPromptTokens)
    approach(m_BaseSeconds, First);
  else if (First > 0)
    approach(m_SecondsPerToken,
             std::max(LeastSecondsPerToken,
                      (First - m_BaseSeconds) / static_cast<double>(Prefill)));
  if (Output >= LeastOutputTokens && Decode > Duration(0))
    approach(m_GapSeconds, toSeconds(Decode) / static_cast<double>(Output - 1));
  ++m_Samples;
}

void EngineSpeed::reset() { *this = EngineSpeed(); }

Duration EngineSpeed::prefillTime(TokenCount Tokens) const {
  return fromSeconds(m_SecondsPerToken * static_cast<double>(Tokens));
}

Duration EngineSpeed::timeToFirst(TokenCount Tokens) const {
  return fromSeconds(m_BaseSeconds) + prefillTime(Tokens);
}

Duration EngineSpeed::timeFor(TokenCount Prefill, TokenCount Output) const {
  return timeToFirst(Prefill) +
         fromSeconds(m_GapSeconds * static_cast<double>(Output));
}

} // namespace mangodeck
