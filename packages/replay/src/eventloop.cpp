#include "mangodeck/replay/eventloop.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangodeck {

bool EventLoop::Item::operator>(const Item &Other) const {
  return std::tie(Time, Order) > std::tie(Other.Time, Other.Order);
}

void EventLoop::at(TimePoint Time, std::function<void()> Callback) {
  m_Items.push(Item{std::max(Time, m_Now), m_NextOrder++, std::move(Callback)});
}

bool EventLoop::runOne() {
  if (m_Items.empty())
    return false;
  // The queue's top is constant only to keep its order, which the callback
  // takes no part in.
  auto Callback = std::move(const_cast<Item &>(m_Items.top()).Callback);
  m_Now = m_Items.top().Time;
  m_Items.pop();
  Callback();
  return true;
}

} // namespace mangodeck
