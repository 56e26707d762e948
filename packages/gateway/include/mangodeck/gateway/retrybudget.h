#ifndef MANGODECK_GATEWAY_RETRYBUDGET_H
#define MANGODECK_GATEWAY_RETRYBUDGET_H

#include "mangodeck/common/ids.h"
#include "mangodeck/common/units.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace mangodeck {

/// Bounds of the retry budget over all daemons.
struct RetryBudgetLimits {
  double Ratio = 0.2;    ///< Repeats per request.
  double Slack = 56;     ///< Repeats allowed beyond the ratio in a window.
  Duration Window = 10s; ///< Any span of this length counts.
};

/// This daemon's part of the retry budget of each service. The parts of all
/// daemons sum to the budget without an exchange of messages: the ratio holds
/// of the requests that came here, and the slack is divided by the number of
/// daemons.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetLimits Limits) : m_Limits(Limits) {}

  void setDaemonCount(std::size_t Count);
  /// A request of \p Service arrived at this daemon.
  void recordRequest(const ServiceName &Service, TimePoint Now);
  /// Books a further send of a request; false if the budget is used up.
  bool tryTake(const ServiceName &Service, TimePoint Now);
  /// Sends still allowed now.
  double remaining(const ServiceName &Service, TimePoint Now);

private:
  struct Usage {
    std::deque<TimePoint> Requests;
    std::deque<TimePoint> Repeats;
  };
  Usage &usageOf(const ServiceName &Service, TimePoint Now);

  RetryBudgetLimits m_Limits;
  std::size_t m_Daemons = 1;
  std::unordered_map<std::string, Usage> m_Usage;
};

} // namespace mangodeck

#endif
