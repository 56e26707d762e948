#include "mangodeck/gateway/changesubscribers.h"

namespace mangodeck {

namespace {

/// Time for which a query subscribes, in deadlines. A daemon that depends on
/// others asks two of them every half of the deadline, so it has about eight
/// subscriptions at a time.
constexpr int LifetimeDeadlines = 2;
/// Bounds the messages that one change causes.
constexpr std::size_t MaxSubscriptions = 64;

} // namespace

ChangeSubscribers::ChangeSubscribers(Duration ChangeDeadline)
    : m_Lifetime(LifetimeDeadlines * ChangeDeadline) {}

void ChangeSubscribers::renew(const ChangeSubscriber &Subscriber,
                              TimePoint Now) {
  const Address Key{Subscriber.Address.Ip, Subscriber.Address.Port};
  if (m_Subscriptions.size() >= MaxSubscriptions &&
      !m_Subscriptions.contains(Key))
    return;
  m_Subscriptions[Key] = {Subscriber, Now};
}

std::vector<ChangeSubscriber> ChangeSubscribers::current(TimePoint Now) {
  std::erase_if(m_Subscriptions, [&](const auto &Each) {
    return Now - Each.second.QueriedAt >= m_Lifetime;
  });
  std::vector<ChangeSubscriber> Result;
  for (const auto &[Key, Each] : m_Subscriptions) {
    Result.push_back(Each.Subscriber);
    Result.back().SentAt += Now - Each.QueriedAt;
  }
  return Result;
}

} // namespace mangodeck
