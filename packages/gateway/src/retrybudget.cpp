#include "mangodeck/gateway/retrybudget.h"

#include <algorithm>

namespace mangodeck {

namespace {

/// Part of the slack that is given out. The rest covers daemons that started
/// within the window, whose former life has used its part already.
constexpr double SlackPart = 0.6;
/// Part of the ratio that is given out, as requests count in the window in
/// which they came and their repeats may come in the next.
constexpr double RatioPart = 0.85;

void expire(std::deque<TimePoint> &Times, TimePoint Before) {
  while (!Times.empty() && Times.front() <= Before)
    Times.pop_front();
}

} // namespace

void RetryBudget::setDaemonCount(std::size_t Count) {
  m_Daemons = std::max<std::size_t>(1, Count);
}

RetryBudget::Usage &RetryBudget::usageOf(const ServiceName &Service,
                                         TimePoint Now) {
  auto &Usage = m_Usage[Service.Text];
  expire(Usage.Requests, Now - m_Limits.Window);
  expire(Usage.Repeats, Now - m_Limits.Window);
  return Usage;
}

void RetryBudget::recordRequest(const ServiceName &Service, TimePoint Now) {
  usageOf(Service, Now).Requests.push_back(Now);
}

double RetryBudget::remaining(const ServiceName &Service, TimePoint Now) {
  const auto &Usage = usageOf(Service, Now);
  const double Allowed =
      m_Limits.Ratio * RatioPart * static_cast<double>(Usage.Requests.size()) +
      m_Limits.Slack * SlackPart / static_cast<double>(m_Daemons);
  return Allowed - static_cast<double>(Usage.Repeats.size());
}

bool RetryBudget::tryTake(const ServiceName &Service, TimePoint Now) {
  if (remaining(Service, Now) < 1)
    return false;
  usageOf(Service, Now).Repeats.push_back(Now);
  return true;
}

} // namespace mangodeck
