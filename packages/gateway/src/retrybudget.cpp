#include "mangodeck/gateway/retrybudget.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Share of the slack that is used. The rest covers daemons that have restarted
/// within the window and had used their share of the slack before.
constexpr double UsableSlackShare = 0.6;
/// Share of the ratio that is used. The rest covers repeats of requests that
/// arrived in the window before.
constexpr double UsableRatioShare = 0.85;

void removeExpired(std::deque<TimePoint> &Times, TimePoint ExpiredUntil) {
  while (!Times.empty() && Times.front() <= ExpiredUntil)
    Times.pop_front();
}

} // namespace

void RetryBudget::setDaemonCount(std::size_t Count) {
  m_DaemonCount = std::max<std::size_t>(1, Count);
}

RetryBudget::Usage &RetryBudget::currentUsage(const ServiceName &Service,
                                              TimePoint Now) {
  auto &Usage = m_Usage[Service.Text];
  removeExpired(Usage.RequestTimes, Now - m_Limits.Window);
  removeExpired(Usage.RepeatTimes, Now - m_Limits.Window);
  return Usage;
}

void RetryBudget::recordRequest(const ServiceName &Service, TimePoint Now) {
  currentUsage(Service, Now).RequestTimes.push_back(Now);
}

double RetryBudget::remaining(const ServiceName &Service, TimePoint Now) {
  const auto &Usage = currentUsage(Service, Now);
  const double Allowed =
      m_Limits.Ratio * UsableRatioShare *
          static_cast<double>(Usage.RequestTimes.size()) +
      m_Limits.Slack * UsableSlackShare / static_cast<double>(m_DaemonCount);
  return Allowed - static_cast<double>(Usage.RepeatTimes.size());
}

bool RetryBudget::tryTake(const ServiceName &Service, TimePoint Now) {
  if (remaining(Service, Now) < 1)
    return false;
  currentUsage(Service, Now).RepeatTimes.push_back(Now);
  return true;
}

} // namespace mangodeck
