#include "mangodeck/gateway/targetpace.h"

#include <algorithm>
#include <cmath>

namespace mangodeck {

namespace {

/// Time in which what a statement tells falls to 1/e: slow times last 0.6 s on
/// average and usual ones 3.4 s, which gives 1 / (1 / 0.6 + 1 / 3.4).
constexpr double DecaySeconds = 0.51;

} // namespace

void TargetPace::record(double Pace, TimePoint Time) {
  if (Time < m_StatedAt)
    return;
  m_Stated = Pace;
  m_StatedAt = Time;
}

double TargetPace::expected(TimePoint Now) const {
  const double Age = std::max(0.0, toSeconds(Now - m_StatedAt));
  return 1 + (m_Stated - 1) * std::exp(-Age / DecaySeconds);
}

double TargetPace::expectedOver(Duration Span, TimePoint Now) const {
  const double Decays = toSeconds(Span) / DecaySeconds;
  if (Decays <= 0)
    return expected(Now);
  return 1 + (expected(Now) - 1) * (1 - std::exp(-Decays)) / Decays;
}

std::optional<double> TargetPace::statedWithin(Duration MaxAge,
                                               TimePoint Now) const {
  return Now - m_StatedAt <= MaxAge ? std::optional(m_Stated) : std::nullopt;
}

} // namespace mangodeck
