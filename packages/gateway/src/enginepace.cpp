#include "mangodeck/gateway/enginepace.h"

namespace mangodeck {

namespace {

constexpr double BaseStepMs = 3.82;                ///< Of an empty batch.
constexpr double StepMsPerRunningRequest = 0.0227; ///< Added for each request.
constexpr double PrefillTokensPerMs = 68.2;
constexpr double AttentionMsPerMillionPairs =
    0.242; ///< Pairs of prompt tokens.
constexpr double FirstTokenDelayMs = 36.0;

} // namespace

Duration nominalStepTime(std::uint32_t Running) {
  return fromSeconds((BaseStepMs + StepMsPerRunningRequest * Running) / 1000);
}

Duration nominalPrefillTime(TokenCount Tokens) {
  const auto Count = static_cast<double>(Tokens);
  return fromSeconds((Count / PrefillTokensPerMs +
                      AttentionMsPerMillionPairs * Count * Count / 1e6) /
                     1000);
}

Duration nominalFirstTokenDelay() {
  return fromSeconds(FirstTokenDelayMs / 1000);
}

} // namespace mangodeck
