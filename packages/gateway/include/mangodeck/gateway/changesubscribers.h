#ifndef MANGODECK_GATEWAY_CHANGESUBSCRIBERS_H
#define MANGODECK_GATEWAY_CHANGESUBSCRIBERS_H

#include "mangodeck/common/units.h"
#include "mangodeck/gateway/changerelay.h"

#include <map>
#include <utility>
#include <vector>

namespace mangodeck {

/// The daemons that have asked this one for changes of the store's keys within
/// the last deadlines. What this daemon learns is sent to them at once, so that
/// a change spreads along the queries of before instead of waiting for the next
/// ones: each daemon has asked several others, chosen at random, so the way
/// from one that knows to any other one takes a few messages, in a fleet of any
/// size.
///
/// A message states when it was sent by the clock of its receiver, as the time
/// of the query plus the time since its arrival here. That is never later than
/// the true time, however long the message waits in a link, and no estimate of
/// the difference of both clocks is needed.
class ChangeSubscribers {
public:
  /// \p ChangeDeadline: time within which changes must take effect.
  explicit ChangeSubscribers(Duration ChangeDeadline);

  /// The query of \p Subscriber has arrived.
  void renew(const ChangeSubscriber &Subscriber, TimePoint Now);
  /// Those whose time has not run out, with \p Now by their clocks as SentAt.
  std::vector<ChangeSubscriber> current(TimePoint Now);

private:
  using Address = std::pair<std::string, std::uint16_t>;
  struct Subscription {
    ChangeSubscriber Subscriber;
    TimePoint QueriedAt;
  };

  Duration m_Lifetime;
  std::map<Address, Subscription> m_Subscriptions;
};

} // namespace mangodeck

#endif
