#include "drainrate.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr Duration MinWindow = 1s;
constexpr double Smoothing = 0.3;
constexpr double MinTokensPerSecond = 10.0;
constexpr double InitialTokensPerSecond = 2000.0;
constexpr double MaxDelaySeconds = 3600.0;
constexpr Duration MinRetryAfter = 200ms;
constexpr Duration MaxRetryAfter = 60s;
constexpr double MinJitterFactor = 0.75;
constexpr double JitterRange = 0.5;

} // namespace

void DrainRate::update(TimePoint Now, bool Waiting) {
  if (m_WindowStart == TimePoint{})
    m_WindowStart = Now;
  const Duration Elapsed = Now - m_WindowStart;
  if (Elapsed < MinWindow)
    return;
  const double Sample =
      static_cast<double>(m_StartedTokens) / toSeconds(Elapsed);
  if (m_TokensPerSecond == 0)
    m_TokensPerSecond = Sample;
  else if (Waiting || Sample > m_TokensPerSecond)
    m_TokensPerSecond += Smoothing * (Sample - m_TokensPerSecond);
  m_StartedTokens = 0;
  m_WindowStart = Now;
}

double DrainRate::tokensPerSecond() const {
  if (m_TokensPerSecond == 0)
    return InitialTokensPerSecond;
  return std::max(m_TokensPerSecond, MinTokensPerSecond);
}

Duration DrainRate::timeToStart(TokenCount Tokens) const {
  return fromSeconds(std::min(MaxDelaySeconds,
                              static_cast<double>(Tokens) / tokensPerSecond()));
}

Duration DrainRate::retryAfter(TokenCount Tokens, double Jitter) const {
  const Duration Delay =
      std::clamp<Duration>(timeToStart(Tokens), MinRetryAfter, MaxRetryAfter);
  return fromSeconds(toSeconds(Delay) *
                     (MinJitterFactor + JitterRange * Jitter));
}

} // namespace mangodeck
