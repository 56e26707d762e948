#ifndef MANGODECK_CONNECTION_TOKENBUCKET_H
#define MANGODECK_CONNECTION_TOKENBUCKET_H

#include "mangodeck/common/units.h"

#include <algorithm>

namespace mangodeck {

/// Limits a rate of calls, with a burst.
class TokenBucket {
public:
  TokenBucket(double PerSecond, double Burst)
      : m_PerSecond(PerSecond), m_Burst(Burst), m_Tokens(Burst) {}

  /// Takes one token if there is one.
  bool take(TimePoint Now) {
    refill(Now);
    if (m_Tokens < 1.0)
      return false;
    m_Tokens -= 1.0;
    return true;
  }

  /// How long until take() succeeds.
  Duration timeToNext(TimePoint Now) {
    refill(Now);
    return fromSeconds(std::max(0.0, 1.0 - m_Tokens) / m_PerSecond);
  }

private:
  void refill(TimePoint Now) {
    if (m_Last != TimePoint{})
      m_Tokens =
          std::min(m_Burst, m_Tokens + toSeconds(Now - m_Last) * m_PerSecond);
    m_Last = Now;
  }

  double m_PerSecond;
  double m_Burst;
  double m_Tokens;
  TimePoint m_Last;
};

} // namespace mangodeck

#endif
