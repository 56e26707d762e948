#include "mangodeck/gateway/targetratelimit.h"

namespace mangodeck {

bool TargetRateLimit::apply(const RateLimitStatement &Statement) {
  if (Statement.StatedAt <= m_Last.StatedAt)
    return false;
  const bool HasChanged = Statement.PerSecond != m_Last.PerSecond;
  m_Last = Statement;
  return HasChanged;
}

} // namespace mangodeck
