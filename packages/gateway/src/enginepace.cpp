#include "mangodeck/gateway/enginepace.h"

namespace mangodeck {

namespace {

constexpr double StepMs = 3.82;             ///< Step of one request.
constexpr double StepMsPerRequest = 0.0227; ///< For each request more.
constexpr double PrefillTokensPerMs = 68.2;
constexpr double PairMsPerMillion = 0.242; ///< Per million pairs of tokens.
constexpr double FirstTokenMs = 36.0;

} // namespace

Duration nominalStepTime(std::uint32_t Running) {
  return fromSeconds((StepMs + StepMsPerRequest * Running) / 1000);
}

Duration nominalPrefillTime(TokenCount Tokens) {
  const auto Count = static_cast<double>(Tokens);
  return fromSeconds(
      (Count / PrefillTokensPerMs + PairMsPerMillion * Count * Count / 1e6) /
      1000);
}

Duration nominalFirstTokenDelay() { return fromSeconds(FirstTokenMs / 1000); }

} // namespace mangodeck
