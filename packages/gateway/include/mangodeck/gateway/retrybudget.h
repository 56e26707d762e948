#ifndef MANGODECK_GATEWAY_RETRYBUDGET_H
#define MANGODECK_GATEWAY_RETRYBUDGET_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// Limits on repeated sends of a service's requests by all daemons together.
struct RetryBudgetLimits {
  double Ratio = 0.2;    ///< Repeats per request.
  double Slack = 56;     ///< Repeats per window in addition to the ratio.
  Duration Window = 10s; ///< The limits hold in every window of this length.
};

/// This daemon's share of the retry budget of each service. The shares of all
/// daemons together stay within the budget without messages between them: the
/// ratio applies to the requests that arrived at this daemon, and the slack is
/// divided by the number of daemons. Part of both is kept in reserve.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetLimits Limits) : m_Limits(Limits) {}

  void setDaemonCount(std::size_t Count);
  /// Records that a request of \p Service has arrived at this daemon.
  void recordRequest(const ServiceName &Service, TimePoint Now);
  /// Records a repeated send of a request; false if the budget does not allow
  /// one.
  bool tryTake(const ServiceName &Service, TimePoint Now);
  /// Number of repeated sends that the budget still allows.
  double remaining(const ServiceName &Service, TimePoint Now);

private:
  struct Usage {
    std::deque<TimePoint> RequestTimes;
    std::deque<TimePoint> RepeatTimes;
  };
  /// Usage of a service, without what is older than the window.
  Usage &currentUsage(const ServiceName &Service, TimePoint Now);

  RetryBudgetLimits m_Limits;
  std::size_t m_DaemonCount = 1;
  std::unordered_map<std::string, Usage> m_Usage;
};

} // namespace mangodeck

#endif
