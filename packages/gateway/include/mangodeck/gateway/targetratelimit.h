#ifndef MANGODECK_GATEWAY_TARGETRATELIMIT_H
#define MANGODECK_GATEWAY_TARGETRATELIMIT_H

#include "mangodeck/common/units.h"

#include <optional>

namespace mangodeck {

/// What a target stated in an answer about the rate of requests that it
/// accepts from all daemons together.
struct RateLimitStatement {
  std::optional<double> PerSecond; ///< Requests; std::nullopt: no limit.
  TimePoint StatedAt{};            ///< Arrival of the answer.
};

/// The rate limit of one target.
class TargetRateLimit {
public:
  /// Applies a statement unless it is older than the last one. Returns whether
  /// the limit has changed.
  bool apply(const RateLimitStatement &Statement);
  const RateLimitStatement &lastStatement() const { return m_Last; }
  bool isActive() const { return m_Last.PerSecond.has_value(); }

private:
  RateLimitStatement m_Last;
};

} // namespace mangodeck

#endif
