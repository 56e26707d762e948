#ifndef MANGODECK_REPLAY_EVENTLOOP_H
#define MANGODECK_REPLAY_EVENTLOOP_H

#include "mangodeck/common/units.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace mangodeck {

/// Runs callbacks in virtual time; those of one time in the order in which
/// they were added.
class EventLoop {
public:
  TimePoint now() const { return m_Now; }
  void at(TimePoint Time, std::function<void()> Callback);
  void after(Duration Delay, std::function<void()> Callback) {
    at(m_Now + Delay, std::move(Callback));
  }

  /// Runs the next callback. Returns false if there is none.
  bool runOne();

private:
  struct Item {
    TimePoint Time;
    std::uint64_t Order;
    std::function<void()> Callback;
    bool operator>(const Item &Other) const;
  };

  TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_NextOrder = 0;
  std::priority_queue<Item, std::vector<Item>, std::greater<>> m_Items;
};

} // namespace mangodeck

#endif
