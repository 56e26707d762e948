#include "drainrate.h"

#include <algorithm>

namespace mangodeck {

namespace {

constexpr Duration Window = 1s;
constexpr double Smoothing = 0.3;
constexpr double FloorTokensPerSecond = 10.0;
constexpr double InitialTokensPerSecond = 2000.0;
constexpr double LongestSeconds = 3600.0;
constexpr Duration ShortestRetry = 200ms;
constexpr Duration LongestRetry = 60s;
constexpr double LeastJitterFactor = 0.75;
constexpr double JitterRange = 0.5;

} // namespace

void DrainRate::update(TimePoint Now, bool Waiting) {
  if (m_Since == TimePoint{})
    m_Since = Now;
  const Duration Elapsed = Now - m_Since;
  if (Elapsed < Window)
    return;
  const double Sample = static_cast<double>(m_Started) / toSeconds(Elapsed);
  if (m_Rate == 0)
    m_Rate = Sample;
  else if (Waiting || Sample > m_Rate)
    m_Rate += Smoothing * (Sample - m_Rate);
  m_Started = 0;
  m_Since = Now;
}

double DrainRate::tokensPerSecond() const {
  if (m_Rate == 0)
    return InitialTokensPerSecond;
  return std::max(m_Rate, FloorTokensPerSecond);
}

Duration DrainRate::timeFor(TokenCount Tokens) const {
  return fromSeconds(std::min(LongestSeconds,
                              static_cast<double>(Tokens) / tokensPerSecond()));
}

Duration DrainRate::retryAfter(TokenCount Tokens, double Jitter) const {
  const Duration Delay =
      std::clamp<Duration>(timeFor(Tokens), ShortestRetry, LongestRetry);
  return fromSeconds(toSeconds(Delay) *
                     (LeastJitterFactor + JitterRange * Jitter));
}

} // namespace mangodeck
